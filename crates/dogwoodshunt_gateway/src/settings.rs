//! Settings of an entry.

use dogwoodshunt_routing::Settings as Routing;
use dogwoodshunt_runtime::program::ProgramSettings;
use dogwoodshunt_runtime::settings::Checked;
use dogwoodshunt_runtime::settings::Misfit;
use dogwoodshunt_runtime::settings::NodeSettings;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::settings::check_key;
use dogwoodshunt_runtime::settings::check_range;
use dogwoodshunt_types::BootId;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Who this process is.
    pub node: NodeSettings,
    /// Address on which callers connect.
    pub listen_callers: SocketAddr,
    /// Address on which the platform asks whether this entry is ready.
    pub listen_ready: SocketAddr,
    /// Address on which metrics are served.
    pub listen_metrics: SocketAddr,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Port on which the agents beside engines listen.
    pub agent_port: u16,
    /// Key shared by all processes.
    pub shared_key: Box<str>,
    /// Time from SIGTERM until the platform kills the process, in milliseconds.
    pub grace_ms: u64,
    /// Limits on sending requests again.
    pub retries: RetrySettings,
    /// Weights of placing model requests.
    #[serde(default)]
    pub placing: PlacingSettings,
    /// Time between two heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Where logs go.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Limits on sending requests again, for all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries a service may get for each request.
    pub ratio: f64,
    /// Retries a service may get besides, in one window.
    pub slack: f64,
}

/// Weights of placing model requests; costs are in seconds of wait for the
/// first byte.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacingSettings {
    /// Hosts that an adapter may be brought to: the most popular one of a Zipf
    /// law with exponent 1.2 takes a fifth of all requests, so several engines.
    pub homes: usize,
    /// Cost of each further home, in milliseconds: more than the estimates of
    /// two entries differ by, less than the reading of a long prompt takes.
    pub home_step_ms: u64,
    /// Cost of an engine in another failure domain, in milliseconds.
    pub domain_step_ms: u64,
    /// Cost of a load besides its wait, a second of load.
    pub load_weight: f64,
    /// Cost of holding up one running request for a second.
    pub interference_weight: f64,
    /// Cost of a second from the first byte to the last.
    pub output_weight: f64,
    /// Objectives within which the first byte of a stream must be expected, or
    /// else the request is refused at once.
    pub useful_objectives: f64,
}

impl Default for PlacingSettings {
    fn default() -> Self {
        Self {
            homes: 6,
            home_step_ms: 100,
            domain_step_ms: 0,
            load_weight: 5.0,
            interference_weight: 0.01,
            output_weight: 0.03,
            useful_objectives: 1.4,
        }
    }
}

fn default_heartbeat_ms() -> u64 {
    500
}

/// Part of the allowed ratio that is used; the rest covers that a request
/// counts in one window and its retry in the next.
const RATIO_USED: f64 = 0.9;

/// Time that an adapter takes while the weight store is not crowded.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Adapters that the weight store brings in a second: eight at once, each in
/// the time of one load.
const LOADS_PER_SECOND: f64 = 32.0;

/// Adapters that a host keeps a copy of after they were unloaded.
const HOST_COPIES: usize = 40;

impl GatewaySettings {
    /// Returns the weights and limits of placing; `boot` seeds the choices.
    pub fn routing(&self, boot: BootId) -> Routing {
        let placing = &self.placing;
        Routing::builder()
            .homes(placing.homes)
            .batch_weight(0.0)
            .home_step(Duration::from_millis(placing.home_step_ms))
            .host_copies(HOST_COPIES)
            .domain(self.node.failure_domain.clone())
            .domain_step(Duration::from_millis(placing.domain_step_ms))
            .interference_weight(placing.interference_weight)
            .output_weight(placing.output_weight)
            .load_weight(placing.load_weight)
            .load_time(LOAD_TIME)
            .loads_per_second(LOADS_PER_SECOND)
            .seed(boot)
            .build()
    }

    /// Returns the retry ratio that this entry keeps to.
    pub fn retry_ratio(&self) -> f64 {
        self.retries.ratio * RATIO_USED
    }

    /// Returns the grace as a duration.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

impl Checked for GatewaySettings {
    fn check(&self) -> Result<(), Misfit> {
        self.node.check()?;
        check_key(&self.shared_key)?;
        check_range("heartbeat_ms", self.heartbeat_ms, 50, 5_000)?;
        check_range("grace_ms", self.grace_ms, 1_000, 600_000)?;
        if !(0.0..=1.0).contains(&self.retries.ratio) {
            let message = "must lie between 0 and 1";
            return Err(Misfit::new("retries.ratio", message));
        }
        if self.retries.slack.is_nan() || self.retries.slack < 0.0 {
            return Err(Misfit::new("retries.slack", "must not be below 0"));
        }
        self.placing.check()
    }
}

impl PlacingSettings {
    fn check(&self) -> Result<(), Misfit> {
        check_range("placing.homes", self.homes as u64, 1, 64)?;
        check_range("placing.home_step_ms", self.home_step_ms, 0, 10_000)?;
        check_range("placing.domain_step_ms", self.domain_step_ms, 0, 10_000)?;
        for (field, weight) in [
            ("placing.load_weight", self.load_weight),
            ("placing.interference_weight", self.interference_weight),
            ("placing.output_weight", self.output_weight),
            ("placing.useful_objectives", self.useful_objectives),
        ] {
            if !(0.0..=100.0).contains(&weight) {
                return Err(Misfit::new(field, "must lie between 0 and 100"));
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
