//! Weights and limits of an entry's routing decisions.

use bon::Builder;
use dogwoodshunt_types::FailureDomain;
use std::time::Duration;

/// Policy by which the router chooses an agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Chooses the agent with the lowest estimated cost.
    #[default]
    Cost,
    /// Chooses the agent with the fewest requests relative to its batch size.
    /// Serves as a baseline for comparisons.
    LeastLoaded,
    /// Chooses a random agent. Serves as a baseline for comparisons.
    Random,
    /// Chooses the first agent by rendezvous hashing. Serves as a baseline for
    /// comparisons.
    Rendezvous,
}

/// Weights and limits of an entry's routing decisions.
///
/// Costs are in seconds of waiting time. The home agents of a target are the first
/// [`homes`](Self::homes) eligible agents by rendezvous hashing.
#[derive(Builder, Clone, Debug)]
pub struct RouterSettings {
    /// Policy by which agents are chosen.
    #[builder(default)]
    pub policy: Policy,
    /// Cost of a second of waiting for an adapter load, in seconds of queue wait.
    /// Applies where the load of the engine in tokens is unknown, and to `home_step`.
    #[builder(default = 1.0)]
    pub stall_weight: f64,
    /// Cost of a second of load time, in seconds of queue wait, in addition to
    /// the wait for the load. The cost is divided among the requests that are
    /// expected to use the adapter.
    #[builder(default = 0.5)]
    pub load_weight: f64,
    /// Cost of delaying one running request for a second, in seconds of wait.
    #[builder(default = 0.0)]
    pub interference_weight: f64,
    /// Cost of a second between the first byte and the last byte, in seconds of
    /// wait for the first byte.
    #[builder(default = 0.0)]
    pub output_weight: f64,
    /// Duration of an engine step that prefills a full chunk of a prompt. Each
    /// running request gets one output token per step.
    #[builder(default = Duration::from_millis(60))]
    pub prefill_step: Duration,
    /// Whether costs are estimated from what was learned of the engines and include the streams
    /// that become late.
    #[builder(default = false)]
    pub learned_costs: bool,
    /// Failure domain of this entry.
    #[builder(default)]
    pub domain: FailureDomain,
    /// Cost of choosing an agent outside the failure domain of this entry.
    #[builder(default = Duration::ZERO)]
    pub domain_step: Duration,
    /// Cost that each rank of a home agent adds if the adapter is absent there, so
    /// that entries that do not know of each other's requests agree on the first
    /// home agent.
    #[builder(default = Duration::from_millis(250))]
    pub home_step: Duration,
    /// Number of unloaded adapters of which a host keeps a copy.
    #[builder(default = 0)]
    pub host_cache_capacity: usize,
    /// Time to load an adapter of which the host keeps a copy.
    #[builder(default = Duration::from_millis(25))]
    pub cached_load_time: Duration,
    /// Half-life of the popularity of an adapter.
    #[builder(default = Duration::from_secs(5))]
    pub popularity_half_life: Duration,
    /// Cost of an empty batch, in seconds of queue wait. A partly filled batch
    /// costs proportionally less.
    #[builder(default = 0.05)]
    pub batch_weight: f64,
    /// Number of home agents: the agents that may load an adapter that is ready
    /// on no agent.
    #[builder(default = 3)]
    pub homes: usize,
    /// Number of random agents of which the least loaded one is considered in addition
    /// to the home agents.
    #[builder(default = 0)]
    pub random_candidates: usize,
    /// Time to load one adapter while the weight store is not saturated.
    #[builder(default = Duration::from_millis(250))]
    pub load_time: Duration,
    /// Sustained rate of loads, per second, that the weight store supports.
    #[builder(default = 4.0)]
    pub loads_per_second: f64,
    /// Age at which a load report expires and the load of its agent is unknown.
    #[builder(default = Duration::from_secs(2))]
    pub max_report_age: Duration,
    /// Maximum number of attempts per request, including the first one.
    #[builder(default = 4)]
    pub max_attempts: u32,
    /// Retries that each request adds to the retry budget.
    #[builder(default = 0.1)]
    pub retry_ratio: f64,
    /// Capacity of the retry budget: maximum number of retries in a burst.
    #[builder(default = 20.0)]
    pub retry_burst: f64,
    /// Seed of the random numbers for [`Policy::Random`] and for retry delays.
    #[builder(default = 0)]
    pub seed: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
