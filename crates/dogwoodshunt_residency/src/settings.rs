//! Limits and weights of an agent's decisions.

use bon::Builder;
use std::time::Duration;

/// Limits and weights of an agent's decisions.
#[derive(Builder, Clone, Debug)]
pub struct Settings {
    /// Most jobs that may wait at once.
    #[builder(default = 1024)]
    pub queue_limit: usize,
    /// How long a waiting adapter may be passed over for resident ones.
    #[builder(default = Duration::from_millis(500))]
    pub pass_over_limit: Duration,
    /// Loads per second that this agent may start without a granter.
    #[builder(default = 0.25)]
    pub load_share: f64,
    /// Loads that this agent may start at once after a quiet time without one.
    #[builder(default = 1.0)]
    pub load_burst: f64,
    /// How long after its last word the granter counts as gone.
    #[builder(default = Duration::from_secs(2))]
    pub granter_timeout: Duration,
    /// Time that one load takes while the weight store is not crowded.
    #[builder(default = Duration::from_millis(250))]
    pub load_time: Duration,
    /// Loads that an engine that has just started has in flight at first.
    #[builder(default = 1)]
    pub loads_at_first: usize,
    /// Times the usual time from which a load shows that the store is crowded.
    /// A report that comes late makes a load seem up to half as long again.
    #[builder(default = 1.6)]
    pub slow_load: f64,
    /// First pause after a failed load.
    #[builder(default = Duration::from_millis(500))]
    pub backoff_first: Duration,
    /// Longest pause after failed loads.
    #[builder(default = Duration::from_secs(30))]
    pub backoff_most: Duration,
    /// Failed loads after which waiting jobs are refused.
    #[builder(default = 2)]
    pub load_attempts: u32,
    /// Times an upstream may decline a job before the agent refuses it.
    #[builder(default = 3)]
    pub run_attempts: u32,
    /// Prompt tokens that an engine may have before it, as time of reading;
    /// what waits here instead keeps its order and can still go elsewhere.
    #[builder(default = Duration::from_millis(300))]
    pub read_ahead: Duration,
    /// How long a load of a base model may take before it is ordered again.
    #[builder(default = Duration::from_secs(6))]
    pub base_load_limit: Duration,
    /// Half-life of an adapter's popularity.
    #[builder(default = Duration::from_secs(60))]
    pub popularity_half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self::builder().build()
    }
}
