//! Settings of the agent, and the scheduler settings derived from them.

use dogwoodshunt_residency::SchedulerSettings;
use dogwoodshunt_runtime::limits::LimitSettings;
use dogwoodshunt_runtime::program::ProgramSettings;
use dogwoodshunt_runtime::settings::InvalidSetting;
use dogwoodshunt_runtime::settings::NodeSettings;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::settings::ValidateSettings;
use dogwoodshunt_runtime::settings::validate_range;
use dogwoodshunt_runtime::settings::validate_shared_key;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineAgentSettings {
    /// Name and failure domain of this agent.
    pub node: NodeSettings,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Address on which metrics are served.
    pub listen_metrics: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Key with which entries and agents authenticate each other.
    pub shared_key: Box<str>,
    /// Time between two heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum prefill backlog of the granted runs, as the time in milliseconds that
    /// the engine needs to prefill the backlog.
    #[serde(default = "default_read_ahead_ms")]
    pub read_ahead_ms: u64,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Settings of logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_read_ahead_ms() -> u64 {
    300
}

/// Half-life of an adapter's popularity: demand shifts between adapters within a
/// few seconds.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(10);

/// Maximum load rate, in loads per second: no limit in practice, since the engine's
/// limit on concurrent loads takes effect first.
const MAX_LOADS_PER_SECOND: f64 = 1_000.0;

/// Maximum number of loads in a burst: as many as an engine accepts concurrently.
const MAX_LOAD_BURST: f64 = 4.0;

impl EngineAgentSettings {
    /// Returns the settings of the scheduler.
    ///
    /// No granter decides on the loads of this agent, so the granter timeout is
    /// zero and the fallback limits always apply.
    pub fn scheduler_settings(&self) -> SchedulerSettings {
        SchedulerSettings::builder()
            .fallback_loads_per_second(MAX_LOADS_PER_SECOND)
            .fallback_load_burst(MAX_LOAD_BURST)
            .granter_timeout(Duration::ZERO)
            .popularity_half_life(POPULARITY_HALF_LIFE)
            .max_prefill_backlog(Duration::from_millis(self.read_ahead_ms))
            .build()
    }
}

impl ValidateSettings for EngineAgentSettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        self.node.validate()?;
        validate_shared_key(&self.shared_key)?;
        self.limits.validate()?;
        validate_range("heartbeat_ms", self.heartbeat_ms, 50, 5_000)?;
        validate_range("read_ahead_ms", self.read_ahead_ms, 10, 10_000)
    }
}

impl ProgramSettings for EngineAgentSettings {
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
