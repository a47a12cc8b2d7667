//! Settings of a workload.

use dogwoodshunt_runtime::settings::InvalidSetting;
use dogwoodshunt_runtime::settings::ValidateSettings;
use dogwoodshunt_runtime::settings::validate_range;
use serde::Deserialize;

/// What to ask of which fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name for reports.
    pub name: Box<str>,
    /// The fleet.
    pub fleet: FleetSettings,
    /// Adapters in the catalogue.
    pub adapters: u64,
    /// Exponent of the Zipf law of their popularity.
    pub zipf_exponent: f64,
    /// Requests per second.
    pub rate: f64,
    /// Tokens of an answer; drawn evenly between half and one and a half of it.
    pub tokens: u64,
    /// Share of the requests that call the plain service and may not be repeated.
    pub service_share: f64,
    /// Time until the first byte is of no more use, in milliseconds.
    pub deadline_ms: u64,
    /// Time before the measurement, in seconds.
    pub warm_up_s: u64,
    /// Time of the measurement, in seconds.
    pub measure_s: u64,
    /// What happens in the middle of the measurement.
    #[serde(default)]
    pub event: Event,
    /// Bursts on top of the even rate.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Weights and limits of the chosen design, as in an entry's settings.
    pub routing: RoutingWeights,
}

/// Size of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Entries.
    pub entries: u64,
    /// Model runners, each with an agent.
    pub runners: u64,
    /// Application runners.
    pub services: u64,
    /// Adapters that fit into a runner.
    pub slots: u64,
    /// Requests that run in a runner at once.
    pub batch: u64,
    /// Time per generated token, in microseconds.
    pub token_us: u64,
}

/// Weights of the chosen design.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingWeights {
    /// Cost of a second of load stall.
    pub stall_weight: f64,
    /// Cost of an empty batch.
    pub batch_weight: f64,
}

/// Regular bursts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Time from the start of one burst to the next, in seconds.
    pub every_s: f64,
    /// Length of a burst, in seconds.
    pub length_s: f64,
    /// Rate during a burst, as a multiple of the even rate.
    pub factor: f64,
}

/// What happens in the middle of the measurement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The key-value service is down for ten seconds.
    KvOutage,
    /// The ten busiest adapters move to a new version.
    NewVersions,
    /// Nothing.
    #[default]
    None,
    /// A quarter of the engines restart empty.
    RackRestart,
    /// A tail adapter becomes the busiest, with a fifth of all requests.
    Shift,
}

impl ValidateSettings for Workload {
    fn validate(&self) -> Result<(), InvalidSetting> {
        validate_range("adapters", self.adapters, 1, 46_000)?;
        validate_range("tokens", self.tokens, 1, 100_000)?;
        validate_range("warm_up_s", self.warm_up_s, 1, 3_600)?;
        validate_range("measure_s", self.measure_s, 1, 3_600)?;
        validate_range("fleet.entries", self.fleet.entries, 1, 64)?;
        validate_range("fleet.runners", self.fleet.runners, 1, 100)?;
        for (field, value, most) in [
            ("rate", self.rate, 10_000.0),
            ("zipf_exponent", self.zipf_exponent, 10.0),
        ] {
            if !(0.01..=most).contains(&value) {
                let message = format!("{value} is out of range; use 0.01 to {most}");
                return Err(InvalidSetting::new(field, message));
            }
        }
        Ok(())
    }
}
