//! Simulated host: an engine with the agent that controls it.

use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::engine::SimRequestId;
use crate::outcome::MAX_EVENT_GAP;
use bon::Builder;
use dogwoodshunt_residency::AdmissionCheck;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::SchedulerSettings;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::ProbeResponse;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::UpstreamKind;
use dogwoodshunt_routing::RouterSettings;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RateLimit;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Base model of all engines.
pub(crate) const BASE_MODEL: &str = "base";

/// Maximum number of adapters that an engine loads at once.
const MAX_CONCURRENT_LOADS: usize = 4;

/// Size of the simulated fleet, and the settings of its routers and agents.
#[derive(Builder, Clone, Debug)]
pub struct FleetConfig {
    /// Number of entries.
    #[builder(default = 4)]
    pub entries: usize,
    /// Number of hosts, each with one engine.
    #[builder(default = 18)]
    pub engines: usize,
    /// Capacity and speed of each engine.
    #[builder(default = EngineSpec::builder().build())]
    pub engine: EngineSpec,
    /// Settings of each entry's router.
    #[builder(default)]
    pub routing: RouterSettings,
    /// Settings of each agent's residency.
    #[builder(default)]
    pub scheduler: SchedulerSettings,
    /// Deadline for the first byte, as a multiple of the latency objective.
    /// Requests whose first byte is expected later are refused. The caller's
    /// first-event timeout is an upper bound.
    #[builder(default = 3.2)]
    pub useful_objectives: f64,
    /// Time from which arriving requests count, for results of a fleet that has warmed up.
    #[builder(default = Duration::ZERO)]
    pub count_from: Duration,
    /// Number of concurrent loads that the weight store serves at full speed.
    #[builder(default = 8.0)]
    pub store_full_speed_loads: f64,
    /// Rate limits that the first engines name, in their order.
    #[builder(default)]
    pub rate_limits: Vec<RateLimit>,
    /// When the engines name their limits, from the start of the simulation.
    #[builder(default = Duration::ZERO)]
    pub rate_limits_from: Duration,
    /// Number of engines, the last ones, that join the running fleet without adapters.
    #[builder(default = 0)]
    pub late_engines: usize,
    /// When the late engines join, from the start of the simulation.
    #[builder(default = Duration::ZERO)]
    pub late_engines_join_at: Duration,
    /// Factors by which the steps of the first engines take longer, in their order.
    #[builder(default)]
    pub slow_engines: Vec<f64>,
    /// Transient slowdowns of each engine.
    pub slow_moments: Option<SlowMoments>,
    /// Longest gap between two events of a response that counts as on time.
    #[builder(default = MAX_EVENT_GAP)]
    pub max_event_gap: Duration,
}

/// Transient slowdowns of an engine.
#[derive(Clone, Copy, Debug)]
pub struct SlowMoments {
    /// Factor by which steps take longer.
    pub factor: f64,
    /// Share of the time that the engine is slow.
    pub share: f64,
    /// Mean duration of one slowdown.
    pub mean_duration: Duration,
}

/// Slow moments of one engine, drawn as the simulated time advances.
pub(crate) struct SlowMomentClock {
    moments: SlowMoments,
    rng: ChaCha8Rng,
    from: Duration,
    until: Duration,
}

impl SlowMomentClock {
    /// Returns the factor by which a step that begins at `elapsed` takes longer.
    fn factor(&mut self, elapsed: Duration) -> f64 {
        while elapsed >= self.until {
            let quiet = self.moments.mean_duration.as_secs_f64()
                * (1.0 / self.moments.share - 1.0)
                * self.rng.random_range(0.2..1.8);
            let slow = self.moments.mean_duration.as_secs_f64() * self.rng.random_range(0.4..1.6);
            self.from = self.until + Duration::from_secs_f64(quiet);
            self.until = self.from + Duration::from_secs_f64(slow);
        }
        if elapsed >= self.from {
            self.moments.factor
        } else {
            1.0
        }
    }
}

/// Gate that lets every target run.
pub(crate) struct AllowAll;

impl AdmissionCheck for AllowAll {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Engine with the agent that controls it.
pub(crate) struct Host {
    /// Residency of the agent, which decides on dispatch, loads and unloads.
    pub(crate) scheduler: Scheduler,
    /// Key of the engine in `scheduler`.
    pub(crate) upstream: UpstreamKey,
    pub(crate) engine: Engine,
    /// Whether the engine is in the middle of a step.
    pub(crate) step_in_progress: bool,
    /// Adapters in the host cache, oldest first.
    host_cache: VecDeque<AdapterRef>,
    /// Requests by the agent's job for them.
    pub(crate) requests_by_job: HashMap<JobKey, SimRequestId>,
    /// Factor by which all steps take longer.
    pub(crate) speed_factor: f64,
    slow_moments: Option<SlowMomentClock>,
}

impl Host {
    /// Creates a host with an idle engine that holds no adapter.
    pub(crate) fn new(now: Instant, config: &FleetConfig, index: usize) -> Self {
        let mut scheduler = Scheduler::new(config.scheduler.clone());
        let base_model = BASE_MODEL.into();
        let upstream = scheduler.add_upstream("engine".into(), UpstreamKind::Engine { base_model });
        scheduler.set_owned(true);
        let probe_answer = ProbeResponse {
            boot: 1,
            limits: Limits {
                kv_tokens: config.engine.kv_capacity_tokens / 10 * 9,
                max_concurrent_loads: MAX_CONCURRENT_LOADS,
                single_version: true,
                ..Limits::new(config.engine.adapter_slots, config.engine.max_batch_size)
            },
            has_base_model: true,
            resident: Vec::new(),
            loading: None,
        };
        scheduler.on_probe(now, upstream, &probe_answer);
        Host {
            scheduler,
            upstream,
            engine: Engine::new(config.engine.clone()),
            step_in_progress: false,
            host_cache: VecDeque::new(),
            requests_by_job: HashMap::new(),
            speed_factor: config.slow_engines.get(index).copied().unwrap_or(1.0),
            slow_moments: config.slow_moments.map(|moments| SlowMomentClock {
                moments,
                rng: ChaCha8Rng::seed_from_u64(index as u64),
                from: Duration::ZERO,
                until: Duration::ZERO,
            }),
        }
    }

    /// Returns the factor by which a step that begins at `elapsed` takes longer.
    pub(crate) fn step_factor(&mut self, elapsed: Duration) -> f64 {
        let transient = self.slow_moments.as_mut();
        self.speed_factor * transient.map_or(1.0, |clock| clock.factor(elapsed))
    }

    /// Adds an adapter that the engine has unloaded to the host cache, and
    /// evicts the oldest one if the cache is over capacity.
    pub(crate) fn insert_into_cache(&mut self, adapter: AdapterRef) {
        self.host_cache.push_back(adapter);
        if self.host_cache.len() > self.engine.spec().host_cache_capacity {
            self.host_cache.pop_front();
        }
    }

    /// Removes an adapter from the host cache, and returns whether it was there.
    pub(crate) fn take_from_cache(&mut self, adapter: &AdapterRef) -> bool {
        let previous_len = self.host_cache.len();
        self.host_cache.retain(|cached| cached != adapter);
        self.host_cache.len() < previous_len
    }
}
