//! Settings of an entry, read from the settings file and validated at start-up.

use dogwoodshunt_routing::Policy;
use dogwoodshunt_routing::RouterSettings;
use dogwoodshunt_runtime::limits::LimitSettings;
use dogwoodshunt_runtime::program::ProgramSettings;
use dogwoodshunt_runtime::settings::InvalidSetting;
use dogwoodshunt_runtime::settings::NodeSettings;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::settings::ValidateSettings;
use dogwoodshunt_runtime::settings::validate_range;
use dogwoodshunt_runtime::settings::validate_shared_key;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Settings of an entry.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity of this entry; its name is the name of its host.
    pub node: NodeSettings,
    /// Address on which the entry listens for callers.
    pub listen_callers: SocketAddr,
    /// Address on which the entry listens for operators; must not be reachable for callers.
    pub listen_operators: SocketAddr,
    /// Key shared by all entries and agents, at least 16 bytes long.
    pub shared_key: Box<str>,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Address of the platform's host list; without the list, only planned stops mark
    /// hosts as leaving.
    #[serde(default)]
    pub host_list: Option<SocketAddr>,
    /// Addresses of the agents.
    pub agents: Vec<SocketAddr>,
    /// Age of the last confirmation at which the catalogue becomes stale, in milliseconds.
    #[serde(default = "default_freshness_limit_ms")]
    pub freshness_limit_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum size of a caller's request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Time until the first response byte is due, for requests that set no deadline, in
    /// milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Settings for the choice of agents.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Number of threads for network traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u64,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Settings for logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Settings for the choice of agents and for retries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// Routing policy: `cost`, or one of the baselines `least_loaded`, `random` and
    /// `rendezvous`.
    #[serde(default)]
    pub policy: PolicySetting,
    /// Cost of one second of stall by an adapter load, in seconds of queue wait.
    #[serde(default = "default_stall_weight")]
    pub stall_weight: f64,
    /// Cost of an empty batch, in seconds of queue wait; a partly filled batch costs
    /// proportionally less.
    #[serde(default = "default_batch_weight")]
    pub batch_weight: f64,
    /// Number of home agents of an adapter: the agents that may load an adapter that is
    /// ready on no agent.
    #[serde(default = "default_homes")]
    pub homes: u64,
    /// Maximum number of attempts of one request.
    #[serde(default = "default_attempts")]
    #[serde(rename = "attempts")]
    pub max_attempts: u64,
}

/// Name of a routing policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PolicySetting {
    /// Agent with the lowest estimated cost.
    #[default]
    Cost,
    /// Agent with the fewest requests.
    LeastLoaded,
    /// Random agent.
    Random,
    /// Agent that ranks highest by rendezvous hashing.
    Rendezvous,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: PolicySetting::default(),
            stall_weight: default_stall_weight(),
            batch_weight: default_batch_weight(),
            homes: default_homes(),
            max_attempts: default_attempts(),
        }
    }
}

impl RoutingSettings {
    /// Returns the settings of the router, with `seed` for the router's random choices.
    pub fn router_settings(&self, seed: u64) -> RouterSettings {
        RouterSettings::builder()
            .policy(match self.policy {
                PolicySetting::Cost => Policy::Cost,
                PolicySetting::LeastLoaded => Policy::LeastLoaded,
                PolicySetting::Random => Policy::Random,
                PolicySetting::Rendezvous => Policy::Rendezvous,
            })
            .stall_weight(self.stall_weight)
            .batch_weight(self.batch_weight)
            .homes(usize::try_from(self.homes).unwrap_or(usize::MAX))
            .max_attempts(u32::try_from(self.max_attempts).unwrap_or(u32::MAX))
            .seed(seed)
            .build()
    }

    fn validate(&self) -> Result<(), InvalidSetting> {
        validate_range("routing.homes", self.homes, 1, 1_000)?;
        validate_range("routing.attempts", self.max_attempts, 1, 16)?;
        for (field, weight) in [
            ("routing.stall_weight", self.stall_weight),
            ("routing.batch_weight", self.batch_weight),
        ] {
            if !(0.0..=1_000.0).contains(&weight) {
                let message = format!("{weight} is out of range; use 0 to 1000");
                return Err(InvalidSetting::new(field, message));
            }
        }
        Ok(())
    }
}

impl EntrySettings {
    fn validate_agents(&self) -> Result<(), InvalidSetting> {
        let mut seen = BTreeSet::new();
        for address in &self.agents {
            if !seen.insert(address) {
                let message = format!("{address} is listed twice; keep one");
                return Err(InvalidSetting::new("agents", message));
            }
        }
        if seen.is_empty() {
            let message = "is empty; list the addresses of the agents";
            return Err(InvalidSetting::new("agents", message));
        }
        Ok(())
    }
}

impl ProgramSettings for EntrySettings {
    fn node(&self) -> &str {
        &self.node.name
    }

    fn traffic_threads(&self) -> u64 {
        self.traffic_threads
    }

    fn telemetry(&self) -> &TelemetrySettings {
        &self.telemetry
    }
}

impl ValidateSettings for EntrySettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        self.node.validate()?;
        validate_shared_key(&self.shared_key)?;
        self.limits.validate()?;
        validate_range("freshness_limit_ms", self.freshness_limit_ms, 500, 3_000)?;
        validate_range("heartbeat_ms", self.heartbeat_ms, 20, 1_000)?;
        validate_range("max_body_bytes", self.max_body_bytes, 1_024, 7 << 20)?;
        validate_range(
            "default_deadline_ms",
            self.default_deadline_ms,
            10,
            3_600_000,
        )?;
        validate_range("traffic_threads", self.traffic_threads, 1, 256)?;
        self.routing.validate()?;
        self.validate_agents()
    }
}

fn default_freshness_limit_ms() -> u64 {
    3_000
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_max_body_bytes() -> u64 {
    4 << 20
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_stall_weight() -> f64 {
    1.0
}

fn default_batch_weight() -> f64 {
    0.05
}

fn default_homes() -> u64 {
    3
}

fn default_attempts() -> u64 {
    4
}

fn default_traffic_threads() -> u64 {
    2
}
