//! Settings of a workload: the fleet, the requests and the event during the measurement.

use dogwoodshunt_runtime::settings::InvalidSetting;
use dogwoodshunt_runtime::settings::ValidateSettings;
use dogwoodshunt_runtime::settings::validate_range;
use serde::Deserialize;

/// Workload of an experiment, read from a JSON file with comments.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name shown in reports and plots.
    pub name: Box<str>,
    /// Size of the fleet and parameters of its engines.
    pub fleet: FleetSettings,
    /// Number of adapters in the catalogue.
    pub adapters: u64,
    /// Exponent of the Zipf distribution of adapter popularity.
    pub zipf_exponent: f64,
    /// Mean arrival rate outside bursts, in requests per second.
    #[serde(rename = "rate")]
    pub requests_per_second: f64,
    /// Mean number of generated tokens; drawn uniformly between half and one and a half times
    /// this value.
    #[serde(rename = "tokens")]
    pub mean_output_tokens: u64,
    /// Share of the requests that call the application service; these requests are not
    /// idempotent.
    pub service_share: f64,
    /// Deadline for the first byte, in milliseconds.
    pub deadline_ms: u64,
    /// Length of the warm-up before the measurement window, in seconds.
    pub warm_up_s: u64,
    /// Length of the measurement window, in seconds.
    pub measure_s: u64,
    /// Event after one third of the measurement window.
    #[serde(default)]
    pub event: Event,
    /// Periodic bursts, if any.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Weights of the cost-based routing policy, as in the settings of an entry.
    pub routing: RoutingWeights,
}

/// Size of the fleet and parameters of its engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Number of entries.
    pub entries: u64,
    /// Number of model runners, each an engine with an agent.
    #[serde(rename = "runners")]
    pub model_runners: u64,
    /// Number of application runners.
    #[serde(rename = "services")]
    pub application_runners: u64,
    /// Number of adapters that an engine holds at once.
    #[serde(rename = "slots")]
    pub adapter_slots: u64,
    /// Maximum number of requests that an engine runs at once.
    #[serde(rename = "batch")]
    pub batch_size: u64,
    /// Time in which an engine generates one token, in microseconds.
    #[serde(rename = "token_us")]
    pub time_per_token_us: u64,
}

/// Weights of the cost-based routing policy.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingWeights {
    /// Cost of a second of waiting for an adapter load, in seconds of queue wait.
    pub stall_weight: f64,
    /// Cost of an empty batch, in seconds of queue wait.
    pub batch_weight: f64,
}

/// Periodic bursts of requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Time from the start of one burst to the next, in seconds.
    #[serde(rename = "every_s")]
    pub period_s: f64,
    /// Duration of a burst, in seconds.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// Arrival rate during a burst, as a multiple of the rate outside bursts.
    #[serde(rename = "factor")]
    pub rate_factor: f64,
}

/// Event during the measurement window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The key-value service is down for ten seconds.
    KvOutage,
    /// The ten adapters with the most requests move to a new version.
    NewVersions,
    /// No event.
    #[default]
    None,
    /// A quarter of the engines restart, with no adapter loaded.
    RackRestart,
    /// The least popular adapter receives a fifth of the adapter requests.
    Shift,
}

impl ValidateSettings for Workload {
    fn validate(&self) -> Result<(), InvalidSetting> {
        validate_range("adapters", self.adapters, 1, 46_000)?;
        validate_range("tokens", self.mean_output_tokens, 1, 100_000)?;
        validate_range("warm_up_s", self.warm_up_s, 1, 3_600)?;
        validate_range("measure_s", self.measure_s, 1, 3_600)?;
        validate_range("fleet.entries", self.fleet.entries, 1, 64)?;
        validate_range("fleet.runners", self.fleet.model_runners, 1, 100)?;
        for (field, value, max) in [
            ("rate", self.requests_per_second, 10_000.0),
            ("zipf_exponent", self.zipf_exponent, 10.0),
        ] {
            if !(0.01..=max).contains(&value) {
                let message = format!("{value} is out of range; use 0.01 to {max}");
                return Err(InvalidSetting::new(field, message));
            }
        }
        Ok(())
    }
}
