//! Settings of an entry, with their defaults and valid ranges.

use dogwoodshunt_quotas::QuotaAllowance;
use dogwoodshunt_routing::RouterSettings;
use dogwoodshunt_runtime::limits::LimitSettings;
use dogwoodshunt_runtime::program::ProgramSettings;
use dogwoodshunt_runtime::settings::InvalidSetting;
use dogwoodshunt_runtime::settings::NodeSettings;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::settings::ValidateSettings;
use dogwoodshunt_runtime::settings::validate_range;
use dogwoodshunt_runtime::settings::validate_shared_key;
use dogwoodshunt_types::BootId;
use dogwoodshunt_workspaces::RevocationLimit;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Identity of this process.
    pub node: NodeSettings,
    /// Address to which callers connect.
    pub listen_callers: SocketAddr,
    /// Address of the readiness probe.
    pub listen_ready: SocketAddr,
    /// Address on which metrics are served.
    pub listen_metrics: SocketAddr,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Port on which the agent beside each engine listens.
    pub agent_port: u16,
    /// Key that all processes share for authentication.
    pub shared_key: Box<str>,
    /// Grace period: time from SIGTERM until the platform kills the process, in
    /// milliseconds.
    pub grace_ms: u64,
    /// Limits on retries.
    pub retries: RetrySettings,
    /// Times within which changes in the key-value service must take effect.
    #[serde(default)]
    pub change_limits: ChangeLimits,
    /// Time after which a key that a configuration takes away must have no effect, even if this
    /// entry does not reach the key-value service, in milliseconds; `None` if there is no such limit.
    #[serde(default)]
    pub revocation_ms: Option<u64>,
    /// Cost by which the requests of a workspace may exceed its quota in one window, over all
    /// entries together. Half of it is granted as additional burst, so that a few large requests
    /// at once are not refused; the rest covers what entries spend without knowing of each other.
    #[serde(default)]
    pub quota_slack: u64,
    /// Window over which the platform counts the requests of a workspace, in seconds; 0 if it
    /// is not known. Half of the burst of a quota is then granted evenly over the window.
    #[serde(default)]
    pub quota_window_s: u64,
    /// Weights and limits for the placement of model requests on engines.
    #[serde(default)]
    pub placing: PlacementSettings,
    /// Interval between heartbeats to agents, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Settings of logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Limits on retries, for all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Number of retries that a service may receive per request; from 0 to 1.
    pub ratio: f64,
    /// Number of retries that a service may receive in addition to `ratio`, in
    /// one window over which the platform counts retries.
    pub slack: f64,
}

/// Times within which changes in the key-value service must take effect. They bound how
/// seldom the service may be asked, whose calls are limited for all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeLimits {
    /// Time until a configuration is in force, in milliseconds.
    pub config_ms: u64,
    /// Time until an upstream that is leaving gets no more requests, in milliseconds.
    pub departure_ms: u64,
}

impl Default for ChangeLimits {
    fn default() -> Self {
        Self {
            config_ms: 2_000,
            departure_ms: 2_000,
        }
    }
}

impl ChangeLimits {
    /// Share of `config_ms` for which one watch stays open, which bounds how long a stalled
    /// connection can hide a change.
    const WATCH_SHARE: f64 = 0.9;

    /// Share of `departure_ms` between two watches of the list of upstreams, which changes
    /// many times a second.
    const LIST_SHARE: f64 = 0.35;

    /// Returns the longest time for which one watch stays open.
    pub fn watch_timeout(&self) -> Duration {
        Duration::from_millis(self.config_ms).mul_f64(Self::WATCH_SHARE)
    }

    /// Returns the delay between two watches of the list of upstreams.
    pub fn list_watch_delay(&self) -> Duration {
        Duration::from_millis(self.departure_ms).mul_f64(Self::LIST_SHARE)
    }
}

/// Weights and limits for the placement of model requests on engines.
///
/// The router sends a request to the engine with the lowest cost; the unit of
/// cost is one second of wait for the first byte.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Number of home agents of an adapter: the agents that may load it if it is
    /// ready on no agent. Where the popularity of adapters follows a Zipf law
    /// with exponent 1.2, the most popular adapter receives a fifth of all
    /// requests and needs several engines.
    pub homes: usize,
    /// Number of random engines of which the least loaded one is considered in
    /// addition to the homes. Two suffice to keep any engine from idling while the
    /// homes of an adapter have queues.
    pub random_candidates: usize,
    /// Cost per rank of a home agent, in milliseconds: more than the difference
    /// between the estimates of two entries, so that they agree on the first
    /// home agent, and less than the prefill time of a long prompt.
    pub home_step_ms: u64,
    /// Cost of an engine in another failure domain, in milliseconds.
    pub domain_step_ms: u64,
    /// Cost of one second of load time of an adapter, in addition to the wait.
    pub load_weight: f64,
    /// Cost of delaying one request that is already running by one second.
    pub interference_weight: f64,
    /// Cost of one second between the first and the last byte of a response.
    pub output_weight: f64,
    /// Multiple of the route's latency objective within which the first byte of
    /// a stream must be expected; otherwise the request is refused at once.
    pub useful_objectives: f64,
    /// Whether placement and admission use learned costs: speeds of engines, lengths of responses,
    /// and the gaps that prompts make in streams.
    pub learned_costs: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            homes: 6,
            random_candidates: 2,
            home_step_ms: 100,
            domain_step_ms: 0,
            load_weight: 5.0,
            interference_weight: 0.01,
            output_weight: 0.03,
            useful_objectives: 1.4,
            learned_costs: false,
        }
    }
}

fn default_heartbeat_ms() -> u64 {
    500
}

/// Fraction of the allowed retry ratio that entries use. The rest covers
/// requests that count in one window while their retries count in the next.
const RETRY_RATIO_FRACTION: f64 = 0.9;

/// Time to load an adapter while the weight store is not congested.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(250);

/// Adapters that the weight store delivers per second: eight at a time, each
/// within [`ADAPTER_LOAD_TIME`].
const LOADS_PER_SECOND: f64 = 32.0;

/// Number of adapters of which a host keeps a local copy after they are
/// unloaded.
const CACHED_ADAPTERS_PER_HOST: usize = 40;

impl GatewaySettings {
    /// Returns the settings of the router; `boot` is the seed of its random
    /// choices.
    pub fn router_settings(&self, boot: BootId) -> RouterSettings {
        let placing = &self.placing;
        RouterSettings::builder()
            .homes(placing.homes)
            .random_candidates(placing.random_candidates)
            .batch_weight(0.0)
            .home_step(Duration::from_millis(placing.home_step_ms))
            .host_cache_capacity(CACHED_ADAPTERS_PER_HOST)
            .domain(self.node.failure_domain.clone())
            .domain_step(Duration::from_millis(placing.domain_step_ms))
            .interference_weight(placing.interference_weight)
            .output_weight(placing.output_weight)
            .load_weight(placing.load_weight)
            .learned_costs(placing.learned_costs)
            .load_time(ADAPTER_LOAD_TIME)
            .loads_per_second(LOADS_PER_SECOND)
            .seed(boot)
            .build()
    }

    /// Returns the retry ratio that this entry uses: a fraction of the allowed
    /// one, `retries.ratio`.
    pub fn retry_ratio(&self) -> f64 {
        self.retries.ratio * RETRY_RATIO_FRACTION
    }

    /// Returns the limit on the age of the configuration by which requests with keys run.
    pub fn revocation_limit(&self) -> Option<RevocationLimit> {
        let revocation = Duration::from_millis(self.revocation_ms?);
        Some(RevocationLimit::new(revocation))
    }

    /// Returns the longest time for which a watch of the operators' records stays open.
    pub fn operator_watch_timeout(&self) -> Duration {
        let limit = self.revocation_limit();
        let longest = limit.map_or(Duration::MAX, |limit| limit.max_watch_wait());
        self.change_limits.watch_timeout().min(longest)
    }

    /// Returns how the limits that ledgers are told differ from a quota.
    pub fn quota_allowance(&self) -> QuotaAllowance {
        QuotaAllowance {
            slack: self.quota_slack / 2,
            window_s: self.quota_window_s,
        }
    }

    /// Returns the time from SIGTERM until the platform kills the process.
    pub fn grace_period(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

impl ValidateSettings for GatewaySettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        self.node.validate()?;
        validate_shared_key(&self.shared_key)?;
        validate_range("heartbeat_ms", self.heartbeat_ms, 50, 5_000)?;
        validate_range("grace_ms", self.grace_ms, 1_000, 600_000)?;
        if !(0.0..=1.0).contains(&self.retries.ratio) {
            let message = "must lie between 0 and 1";
            return Err(InvalidSetting::new("retries.ratio", message));
        }
        if self.retries.slack.is_nan() || self.retries.slack < 0.0 {
            return Err(InvalidSetting::new("retries.slack", "must not be below 0"));
        }
        self.limits.validate()?;
        let limits = &self.change_limits;
        validate_range("change_limits.config_ms", limits.config_ms, 100, 60_000)?;
        validate_range(
            "change_limits.departure_ms",
            limits.departure_ms,
            100,
            60_000,
        )?;
        validate_range("quota_window_s", self.quota_window_s, 0, 3_600)?;
        if let Some(revocation_ms) = self.revocation_ms {
            validate_range("revocation_ms", revocation_ms, 1_000, 600_000)?;
        }
        self.placing.validate()
    }
}

impl PlacementSettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        validate_range("placing.homes", self.homes as u64, 1, 64)?;
        let random_candidates = self.random_candidates as u64;
        validate_range("placing.random_candidates", random_candidates, 0, 16)?;
        validate_range("placing.home_step_ms", self.home_step_ms, 0, 10_000)?;
        validate_range("placing.domain_step_ms", self.domain_step_ms, 0, 10_000)?;
        for (field, weight) in [
            ("placing.load_weight", self.load_weight),
            ("placing.interference_weight", self.interference_weight),
            ("placing.output_weight", self.output_weight),
            ("placing.useful_objectives", self.useful_objectives),
        ] {
            if !(0.0..=100.0).contains(&weight) {
                return Err(InvalidSetting::new(field, "must lie between 0 and 100"));
            }
        }
        Ok(())
    }
}

impl ProgramSettings for GatewaySettings {
    fn node(&self) -> &str {
        &self.node.name
    }

    fn traffic_threads(&self) -> u64 {
        1
    }

    fn telemetry(&self) -> &TelemetrySettings {
        &self.telemetry
    }
}
