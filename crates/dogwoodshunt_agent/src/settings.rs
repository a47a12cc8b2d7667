//! Settings of an agent.

use dogwoodshunt_residency::SchedulerSettings;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::UpstreamKind;
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
use std::time::Duration;

/// Settings of an agent.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity of this agent. The name is the name of its host.
    pub node: NodeSettings,
    /// Address that the agent listens on for entries.
    pub listen: SocketAddr,
    /// Key shared by all entries and agents, of at least 16 bytes.
    pub shared_key: Box<str>,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Engines and services of the host.
    pub upstreams: Vec<UpstreamSettings>,
    /// Age in milliseconds of the last confirmation beyond which the catalogue counts
    /// as stale.
    #[serde(default = "default_freshness_limit_ms")]
    pub freshness_limit_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum number of queued requests.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u64,
    /// Time in milliseconds that requests for an adapter may wait while requests for
    /// resident adapters are preferred.
    #[serde(default = "default_pass_over_ms")]
    #[serde(rename = "pass_over_ms")]
    pub starvation_limit_ms: u64,
    /// Loads per second that this agent may start while no granter is connected.
    #[serde(default = "default_load_share")]
    #[serde(rename = "load_share")]
    pub fallback_loads_per_second: f64,
    /// Timeout of an order to an engine, in milliseconds.
    #[serde(default = "default_order_timeout_ms")]
    pub order_timeout_ms: u64,
    /// Number of traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u64,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Destinations of logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Settings of one engine or service of the host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name of the upstream, unique among all hosts.
    pub name: Box<str>,
    /// Address of the HTTP interface of the upstream.
    pub address: SocketAddr,
    /// Kind and capacity of the upstream.
    pub serves: UpstreamKindSettings,
}

/// Kind and capacity of an upstream.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum UpstreamKindSettings {
    /// A model engine.
    Engine {
        /// Base model that the engine serves.
        base_model: Box<str>,
        /// Maximum number of resident adapters.
        slots: u64,
        /// Maximum number of requests that run concurrently.
        batch: u64,
    },
    /// A service without a model.
    Service {
        /// Name by which callers address the service.
        name: Box<str>,
        /// Maximum number of calls that run concurrently.
        concurrency: u64,
    },
}

impl UpstreamSettings {
    /// Returns the kind of the upstream.
    pub fn kind(&self) -> UpstreamKind {
        match &self.serves {
            UpstreamKindSettings::Engine { base_model, .. } => UpstreamKind::Engine {
                base_model: base_model.clone(),
            },
            UpstreamKindSettings::Service { name, .. } => UpstreamKind::Service(name.clone()),
        }
    }

    /// Returns the capacity of the upstream.
    pub fn limits(&self) -> Limits {
        let count = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        match &self.serves {
            UpstreamKindSettings::Engine { slots, batch, .. } => {
                Limits::new(count(*slots), count(*batch))
            }
            UpstreamKindSettings::Service { concurrency, .. } => {
                Limits::new(0, count(*concurrency))
            }
        }
    }

    fn validate(&self) -> Result<(), InvalidSetting> {
        match &self.serves {
            UpstreamKindSettings::Engine { slots, batch, .. } => {
                validate_range("upstreams.slots", *slots, 1, 10_000)?;
                validate_range("upstreams.batch", *batch, 1, 100_000)
            }
            UpstreamKindSettings::Service { concurrency, .. } => {
                validate_range("upstreams.concurrency", *concurrency, 1, 100_000)
            }
        }
    }
}

impl AgentSettings {
    /// Returns the settings of the agent's scheduler.
    pub fn scheduler_settings(&self) -> SchedulerSettings {
        SchedulerSettings::builder()
            .queue_limit(usize::try_from(self.queue_limit).unwrap_or(usize::MAX))
            .starvation_limit(Duration::from_millis(self.starvation_limit_ms))
            .fallback_loads_per_second(self.fallback_loads_per_second)
            .build()
    }

    fn validate_upstreams(&self) -> Result<(), InvalidSetting> {
        let mut names = BTreeSet::new();
        for upstream in &self.upstreams {
            if !names.insert(&upstream.name) {
                let message = format!(
                    "{} is used by two upstreams; names must be unique",
                    upstream.name
                );
                return Err(InvalidSetting::new("upstreams.name", message));
            }
            upstream.validate()?;
        }
        if names.is_empty() {
            let message = "is empty; list the host's engines and services";
            return Err(InvalidSetting::new("upstreams", message));
        }
        Ok(())
    }
}

impl ProgramSettings for AgentSettings {
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

impl ValidateSettings for AgentSettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        self.node.validate()?;
        validate_shared_key(&self.shared_key)?;
        self.limits.validate()?;
        validate_range("freshness_limit_ms", self.freshness_limit_ms, 500, 3_000)?;
        validate_range("heartbeat_ms", self.heartbeat_ms, 20, 1_000)?;
        validate_range("queue_limit", self.queue_limit, 1, 1_000_000)?;
        validate_range("pass_over_ms", self.starvation_limit_ms, 1, 60_000)?;
        validate_range("order_timeout_ms", self.order_timeout_ms, 100, 600_000)?;
        validate_range("traffic_threads", self.traffic_threads, 1, 256)?;
        if !(0.001..=1_000.0).contains(&self.fallback_loads_per_second) {
            let message = format!(
                "{} is out of range; use 0.001 to 1000",
                self.fallback_loads_per_second
            );
            return Err(InvalidSetting::new("load_share", message));
        }
        self.validate_upstreams()
    }
}

fn default_freshness_limit_ms() -> u64 {
    3_000
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_queue_limit() -> u64 {
    1_024
}

fn default_pass_over_ms() -> u64 {
    500
}

fn default_load_share() -> f64 {
    0.25
}

fn default_order_timeout_ms() -> u64 {
    30_000
}

fn default_traffic_threads() -> u64 {
    2
}
