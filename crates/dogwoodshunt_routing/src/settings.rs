//! Weights and limits of an entry's decisions.

use bon::Builder;
use dogwoodshunt_types::FailureDomain;
use std::time::Duration;

/// How an agent is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// By estimated cost.
    #[default]
    Cost,
    /// The agent with the fewest requests; a baseline.
    LeastLoaded,
    /// Any agent; a baseline.
    Random,
    /// The first agent by rendezvous hashing; a baseline.
    Rendezvous,
}

/// Weights and limits of an entry's decisions.
#[derive(Builder, Clone, Debug)]
pub struct Settings {
    /// How an agent is chosen.
    #[builder(default)]
    pub policy: Policy,
    /// Cost of a second of load stall, in seconds of queue wait.
    #[builder(default = 1.0)]
    pub stall_weight: f64,
    /// Cost of a load besides its wait, in seconds of queue wait a second of
    /// load, shared by the requests that are expected to use it.
    #[builder(default = 0.5)]
    pub load_weight: f64,
    /// Cost of holding up one running request for a second, in seconds of wait.
    #[builder(default = 0.0)]
    pub interference_weight: f64,
    /// Cost of a second until the last byte, in seconds of wait for the first.
    #[builder(default = 0.0)]
    pub output_weight: f64,
    /// Time of one step of an engine that reads a full piece of a prompt in it;
    /// each running request gets one token a step.
    #[builder(default = Duration::from_millis(60))]
    pub reading_step: Duration,
    /// Failure domain of this entry.
    #[builder(default)]
    pub domain: FailureDomain,
    /// Cost of another failure domain than this entry's.
    #[builder(default = Duration::ZERO)]
    pub domain_step: Duration,
    /// Cost of each further home where the adapter is absent: entries that do
    /// not know of each other's requests meet at the first one.
    #[builder(default = Duration::from_millis(250))]
    pub home_step: Duration,
    /// Adapters that a host keeps a copy of after they were unloaded.
    #[builder(default = 0)]
    pub host_copies: usize,
    /// Time that a load takes where the host keeps a copy.
    #[builder(default = Duration::from_millis(25))]
    pub reload_time: Duration,
    /// Half-life of an adapter's popularity.
    #[builder(default = Duration::from_secs(5))]
    pub popularity_half_life: Duration,
    /// Cost of an empty batch, in seconds of queue wait.
    #[builder(default = 0.05)]
    pub batch_weight: f64,
    /// Agents that an adapter may be brought to, the first by rendezvous hashing.
    #[builder(default = 3)]
    pub homes: usize,
    /// Time that one load takes while the weight store is not crowded.
    #[builder(default = Duration::from_millis(250))]
    pub load_time: Duration,
    /// Loads per second that the weight store allows.
    #[builder(default = 4.0)]
    pub loads_per_second: f64,
    /// Age at which a load report counts as unknown.
    #[builder(default = Duration::from_secs(2))]
    pub report_limit: Duration,
    /// Most attempts of one request.
    #[builder(default = 4)]
    pub attempts: u32,
    /// Retries earned by one request.
    #[builder(default = 0.1)]
    pub retry_ratio: f64,
    /// Retries that may be made at once after a quiet time.
    #[builder(default = 20.0)]
    pub retry_burst: f64,
    /// Seed of the random choices.
    #[builder(default = 0)]
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self::builder().build()
    }
}
