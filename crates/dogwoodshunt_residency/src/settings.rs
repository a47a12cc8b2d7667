//! Limits and timeouts of an agent's scheduler.

use bon::Builder;
use std::time::Duration;

/// Limits and timeouts of an agent's scheduler.
#[derive(Builder, Clone, Debug)]
pub struct SchedulerSettings {
    /// Maximum number of queued jobs.
    #[builder(default = 1024)]
    pub queue_limit: usize,
    /// Time that queued jobs of an adapter that is not resident may wait before
    /// another adapter is drained to free its slot.
    #[builder(default = Duration::from_millis(500))]
    pub starvation_limit: Duration,
    /// Loads per second that this agent may start while no granter is reachable.
    #[builder(default = 0.25)]
    pub fallback_loads_per_second: f64,
    /// Maximum number of loads that this agent may start in a burst while no granter
    /// is reachable.
    #[builder(default = 1.0)]
    pub fallback_load_burst: f64,
    /// Time since the granter's last message after which the granter counts as
    /// unreachable.
    #[builder(default = Duration::from_secs(2))]
    pub granter_timeout: Duration,
    /// Duration of a load while the weight store is not contended.
    #[builder(default = Duration::from_millis(250))]
    pub uncontended_load_time: Duration,
    /// Maximum number of loads in flight on an engine that has just started.
    #[builder(default = 1)]
    pub initial_load_limit: usize,
    /// Ratio to the uncontended load duration from which a load shows that the
    /// weight store is contended. A late engine report makes a load appear to take
    /// up to 1.5 times as long, so the ratio must be higher than that.
    #[builder(default = 1.6)]
    pub slow_load_ratio: f64,
    /// Backoff after the first failed load of an adapter.
    #[builder(default = Duration::from_millis(500))]
    pub backoff_initial: Duration,
    /// Maximum backoff after failed loads of an adapter.
    #[builder(default = Duration::from_secs(30))]
    pub backoff_max: Duration,
    /// Consecutive failed loads of an adapter after which its queued jobs are
    /// refused.
    #[builder(default = 2)]
    pub max_load_attempts: u32,
    /// Number of dispatches of a job that end without a run, because the upstream
    /// declines the job or is unreachable, after which the agent refuses the job.
    #[builder(default = 3)]
    pub max_run_attempts: u32,
    /// Maximum prefill backlog of an engine, as the estimated time to process the
    /// backlog. Jobs above the limit stay in the agent's queue, where they are sorted
    /// by urgency and can still be sent to another upstream.
    #[builder(default = Duration::from_millis(300))]
    pub max_prefill_backlog: Duration,
    /// Time after which an unfinished load of a base model is ordered again.
    #[builder(default = Duration::from_secs(6))]
    pub base_model_load_timeout: Duration,
    /// Half-life of the request counts by which adapters are ranked for eviction.
    #[builder(default = Duration::from_secs(60))]
    pub popularity_half_life: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
