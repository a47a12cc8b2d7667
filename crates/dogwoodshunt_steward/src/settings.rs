//! Settings of the process beside an engine.

use dogwoodshunt_residency::Settings;
use dogwoodshunt_runtime::program::ProgramSettings;
use dogwoodshunt_runtime::settings::Checked;
use dogwoodshunt_runtime::settings::Misfit;
use dogwoodshunt_runtime::settings::NodeSettings;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::settings::check_key;
use dogwoodshunt_runtime::settings::check_range;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the process beside an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// Who this process is.
    pub node: NodeSettings,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Address on which metrics are served.
    pub listen_metrics: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Key shared by all processes.
    pub shared_key: Box<str>,
    /// Time between two heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Prompt tokens that the engine may have before it, as milliseconds of reading.
    #[serde(default = "default_read_ahead_ms")]
    pub read_ahead_ms: u64,
    /// Where logs go.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_read_ahead_ms() -> u64 {
    300
}

/// Half-life of an adapter's popularity: demand moves within a few seconds.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(10);

/// Loads a second without a granter; the engine's transit limit binds first.
const LOADS_PER_SECOND: f64 = 1_000.0;

/// Loads at once without a granter: as many as an engine takes.
const LOAD_BURST: f64 = 4.0;

impl StewardSettings {
    /// Returns the limits and weights of the decisions.
    pub fn residency(&self) -> Settings {
        Settings::builder()
            .load_share(LOADS_PER_SECOND)
            .load_burst(LOAD_BURST)
            .granter_timeout(Duration::ZERO)
            .popularity_half_life(POPULARITY_HALF_LIFE)
            .read_ahead(Duration::from_millis(self.read_ahead_ms))
            .build()
    }
}

impl Checked for StewardSettings {
    fn check(&self) -> Result<(), Misfit> {
        self.node.check()?;
        check_key(&self.shared_key)?;
        check_range("heartbeat_ms", self.heartbeat_ms, 50, 5_000)?;
        check_range("read_ahead_ms", self.read_ahead_ms, 10, 10_000)
    }
}

impl ProgramSettings for StewardSettings {
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
