//! Settings of an agent.

use dogwoodshunt_residency::Settings;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::UpstreamKind;
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
    /// Who this agent is; its name is the name of its host.
    pub node: NodeSettings,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Key shared by all entries and agents, at least 16 bytes.
    pub shared_key: Box<str>,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// The host's engines and services.
    pub upstreams: Vec<UpstreamSettings>,
    /// Age of the last word at which the catalogue is no longer trusted.
    #[serde(default = "default_freshness_limit_ms")]
    pub freshness_limit_ms: u64,
    /// Time between heartbeats.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Most requests that may wait.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u64,
    /// Time that a waiting adapter may be passed over for resident ones.
    #[serde(default = "default_pass_over_ms")]
    pub pass_over_ms: u64,
    /// Loads per second that this agent may start without a granter.
    #[serde(default = "default_load_share")]
    pub load_share: f64,
    /// Time that an engine's answer to an order may take.
    #[serde(default = "default_order_timeout_ms")]
    pub order_timeout_ms: u64,
    /// Threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u64,
    /// Where logs and metrics go.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// One engine or service of the host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name, unique among all hosts.
    pub name: Box<str>,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// What it serves.
    pub serves: ServesSettings,
}

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum ServesSettings {
    /// A model engine.
    Engine {
        /// Base model that it holds.
        base_model: Box<str>,
        /// Adapters that fit at once.
        slots: u64,
        /// Requests that run at once.
        batch: u64,
    },
    /// A plain service.
    Service {
        /// Name under which callers reach it.
        name: Box<str>,
        /// Calls that run at once.
        concurrency: u64,
    },
}

impl UpstreamSettings {
    /// Returns what the upstream serves.
    pub fn kind(&self) -> UpstreamKind {
        match &self.serves {
            ServesSettings::Engine { base_model, .. } => UpstreamKind::Engine {
                base_model: base_model.clone(),
            },
            ServesSettings::Service { name, .. } => UpstreamKind::Service(name.clone()),
        }
    }

    /// Returns the upstream's room.
    pub fn limits(&self) -> Limits {
        let size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        match &self.serves {
            ServesSettings::Engine { slots, batch, .. } => Limits::new(size(*slots), size(*batch)),
            ServesSettings::Service { concurrency, .. } => Limits::new(0, size(*concurrency)),
        }
    }

    fn validate(&self) -> Result<(), InvalidSetting> {
        match &self.serves {
            ServesSettings::Engine { slots, batch, .. } => {
                validate_range("upstreams.slots", *slots, 1, 10_000)?;
                validate_range("upstreams.batch", *batch, 1, 100_000)
            }
            ServesSettings::Service { concurrency, .. } => {
                validate_range("upstreams.concurrency", *concurrency, 1, 100_000)
            }
        }
    }
}

impl AgentSettings {
    /// Returns the limits of the agent's decisions.
    pub fn scheduler(&self) -> Settings {
        Settings::builder()
            .queue_limit(usize::try_from(self.queue_limit).unwrap_or(usize::MAX))
            .starvation_limit(Duration::from_millis(self.pass_over_ms))
            .fallback_loads_per_second(self.load_share)
            .build()
    }

    fn validate_upstreams(&self) -> Result<(), InvalidSetting> {
        let mut names = BTreeSet::new();
        for upstream in &self.upstreams {
            if !names.insert(&upstream.name) {
                let message = format!("{} is named twice; names are unique", upstream.name);
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
        validate_range("freshness_limit_ms", self.freshness_limit_ms, 500, 3_000)?;
        validate_range("heartbeat_ms", self.heartbeat_ms, 20, 1_000)?;
        validate_range("queue_limit", self.queue_limit, 1, 1_000_000)?;
        validate_range("pass_over_ms", self.pass_over_ms, 1, 60_000)?;
        validate_range("order_timeout_ms", self.order_timeout_ms, 100, 600_000)?;
        validate_range("traffic_threads", self.traffic_threads, 1, 256)?;
        if !(0.001..=1_000.0).contains(&self.load_share) {
            let message = format!("{} is out of range; use 0.001 to 1000", self.load_share);
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
