//! Load reports of an agent to entries.

use crate::job::AnyJob;
use crate::job::Target;
use crate::scheduler::Scheduler;
use crate::upstream::BaseModelState;
use crate::upstream::ResidentState;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of pending loads in one report.
const MAX_REPORTED_LOADS: usize = 16;

/// Step to which the percentage of time spent on prefill is rounded.
const BUSY_PERCENT_STEP: f64 = 10.0;

/// Step to which the prefill rate is rounded down, in tokens per second.
const RATE_STEP_TOKENS_PER_S: u64 = 1_000;

/// Load of an engine, in tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Prompt tokens that the engine has yet to process, of running requests and of
    /// queued ones that the engine can serve.
    #[serde(rename = "u")]
    pub pending_prefill: u64,
    /// KV cache tokens that running requests occupy when their completions have
    /// their maximum length.
    #[serde(rename = "h")]
    pub reserved_kv: u64,
    /// Estimated prefill rate, in tokens per second.
    #[serde(rename = "p")]
    pub prefill_tokens_per_second: u64,
    /// Adapter slots that are empty or hold an adapter that no running or queued
    /// request uses.
    #[serde(rename = "f")]
    pub free_slots: u32,
    /// Percentage of recent time, about the last second, that the engine spent on
    /// prefill.
    #[serde(rename = "b")]
    pub prefill_busy_percent: u8,
}

/// Load of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// Configured name.
    pub name: UpstreamName,
    /// Targets that the upstream serves.
    pub serves: Served,
    /// Whether the upstream accepts new requests.
    pub takes_work: bool,
    /// Number of running requests.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub batch: u32,
    /// Maximum number of resident adapters.
    pub slots: u32,
    /// Adapters that accept requests.
    pub ready: Vec<AdapterRef>,
    /// Adapters whose load is in flight.
    pub loading: Vec<AdapterRef>,
    /// Capacity of the KV cache, in tokens; 0 if unknown.
    pub kv_tokens: u64,
    /// Load in tokens; `None` if the capacity of the KV cache is unknown.
    pub engine: Option<EngineLoad>,
}

/// Kind of the targets that an upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Served {
    /// One base model and adapters of it.
    BaseModel(Box<str>),
    /// Plain service, which has neither a model nor adapters.
    Service(ServiceName),
}

/// Adapter that is needed but neither resident nor loading.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingLoad {
    /// Adapter and version to load.
    pub adapter: AdapterRef,
    /// Number of queued requests for the adapter, or of expected ones for a preload.
    pub waiting: u32,
    /// Age of the oldest of the queued requests; zero for a preload.
    pub oldest: Duration,
    /// Highest priority among the queued requests; normal for a preload.
    pub priority: Priority,
}

/// Load of one agent at a point in time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Load of each upstream.
    pub upstreams: Vec<UpstreamReport>,
    /// Number of requests in the agent's queue.
    pub queued: u32,
    /// Moving average of run times.
    pub mean_run: Duration,
    /// Adapters that wait to be loaded, by descending cost of delay.
    #[serde(rename = "wants")]
    pub pending_loads: Vec<PendingLoad>,
}

/// Fields of a report that change with every request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportLoad {
    /// Number of running requests of each upstream, in the order of the full report.
    #[serde(rename = "r")]
    pub running: Vec<u32>,
    /// Load of each upstream in tokens, in the order of the full report.
    #[serde(rename = "e")]
    pub engines: Vec<Option<EngineLoad>>,
    /// Number of requests in the agent's queue.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Moving average of run times.
    #[serde(rename = "m")]
    pub mean_run: Duration,
    /// Adapters that wait to be loaded, by descending cost of delay.
    #[serde(rename = "w")]
    pub pending_loads: Vec<PendingLoad>,
}

/// Full report, or the changes since the previous one on the same connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportUpdate {
    /// Full report.
    Full(Report),
    /// Current load; upstreams and their adapters are as in the previous report.
    Load(ReportLoad),
}

impl Report {
    /// Returns the update to send to a receiver whose previous report is `last`.
    pub fn update_since(&self, last: Option<&Self>) -> ReportUpdate {
        match last {
            Some(last) if self.differs_in_load_only(last) => ReportUpdate::Load(self.load()),
            Some(_) | None => ReportUpdate::Full(self.clone()),
        }
    }

    /// Returns the report that results from applying `update` to `last`.
    ///
    /// Returns `None` for an update of the load without a previous report.
    pub fn apply_update(last: Option<&Self>, update: ReportUpdate) -> Option<Self> {
        match update {
            ReportUpdate::Full(report) => Some(report),
            ReportUpdate::Load(load) => last.map(|last| last.with_load(load)),
        }
    }

    fn load(&self) -> ReportLoad {
        ReportLoad {
            running: self
                .upstreams
                .iter()
                .map(|upstream| upstream.running)
                .collect(),
            engines: self
                .upstreams
                .iter()
                .map(|upstream| upstream.engine)
                .collect(),
            queued: self.queued,
            mean_run: self.mean_run,
            pending_loads: self.pending_loads.clone(),
        }
    }

    fn with_load(&self, load: ReportLoad) -> Self {
        let mut upstreams = self.upstreams.clone();
        for (upstream, running) in upstreams.iter_mut().zip(load.running) {
            upstream.running = running;
        }
        for (upstream, engine) in upstreams.iter_mut().zip(load.engines) {
            upstream.engine = engine;
        }
        Self {
            upstreams,
            queued: load.queued,
            mean_run: load.mean_run,
            pending_loads: load.pending_loads,
        }
    }

    fn differs_in_load_only(&self, last: &Self) -> bool {
        let differ_in_load_only = |(a, b): (&UpstreamReport, &UpstreamReport)| {
            a.takes_work == b.takes_work && a.ready == b.ready && a.loading == b.loading
        };
        let pairs = self.upstreams.iter().zip(&last.upstreams);
        self.upstreams.len() == last.upstreams.len() && pairs.into_iter().all(differ_in_load_only)
    }
}

impl Scheduler {
    /// Returns a report of the current load.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            upstreams: self.upstream_reports(now),
            queued: saturating_u32(self.queued_len()),
            mean_run: self.mean_run(),
            pending_loads: self.pending_loads(now),
        }
    }

    fn upstream_reports(&self, now: Instant) -> Vec<UpstreamReport> {
        let with_state = |is_match: fn(&ResidentState) -> bool, key| -> Vec<AdapterRef> {
            let residents = self.upstream(key).into_iter().flat_map(|u| &u.residents);
            let matching = residents.filter(|(_, resident)| is_match(&resident.state));
            let mut matching: Vec<AdapterRef> =
                matching.map(|(adapter, _)| adapter.clone()).collect();
            // Sorted, so that equal sets compare equal in `differs_in_load_only`.
            matching.sort_unstable();
            matching
        };
        self.upstreams()
            .map(|(key, upstream)| UpstreamReport {
                name: upstream.name.clone(),
                serves: match &upstream.kind {
                    UpstreamKind::Engine { base_model } => Served::BaseModel(base_model.clone()),
                    UpstreamKind::Service(name) => Served::Service(name.clone()),
                },
                takes_work: upstream.takes_work()
                    && upstream.base_model_state == BaseModelState::Ready
                    && !self.is_leaving(),
                running: saturating_u32(upstream.running),
                batch: saturating_u32(upstream.limits.batch),
                slots: saturating_u32(upstream.limits.slots),
                kv_tokens: match upstream.limits.kv_tokens {
                    u64::MAX => 0,
                    capacity => capacity,
                },
                engine: self.engine_load(now, key),
                ready: with_state(|s| *s == ResidentState::Ready, key),
                loading: with_state(|s| matches!(s, ResidentState::Loading { .. }), key),
            })
            .collect()
    }

    /// Returns the load of an engine in tokens, if the capacity of its KV cache is
    /// known.
    fn engine_load(&self, now: Instant, key: UpstreamKey) -> Option<EngineLoad> {
        let upstream = self.upstream(key)?;
        if upstream.limits.kv_tokens == u64::MAX {
            return None;
        }
        let queued_prefill = self.queue.iter().map(|job| match &self.jobs[*job] {
            AnyJob::Queued(job) if upstream.can_serve(&job.target) => {
                upstream.uncached_tokens(&job.target, &job.demand)
            }
            AnyJob::Queued(_) | AnyJob::Running(_) => 0,
        });
        let per_second = (upstream.tokens.prefill_rate.tokens_per_ms() * 1e3) as u64;
        let busy_steps = upstream.tokens.prefill_rate.busy_share(now) * 100.0 / BUSY_PERCENT_STEP;
        Some(EngineLoad {
            pending_prefill: upstream.tokens.pending_prefill + queued_prefill.sum::<u64>(),
            reserved_kv: upstream.tokens.reserved_kv,
            // Rounded, so that the report does not change with every response.
            prefill_tokens_per_second: per_second / RATE_STEP_TOKENS_PER_S * RATE_STEP_TOKENS_PER_S,
            free_slots: saturating_u32(self.count_free_slots(upstream)),
            prefill_busy_percent: (busy_steps.round() * BUSY_PERCENT_STEP) as u8,
        })
    }

    fn count_free_slots(&self, upstream: &Upstream) -> usize {
        let idle = upstream.residents.iter().filter(|(adapter, resident)| {
            let unused = resident.state == ResidentState::Ready && resident.pins == 0;
            unused && !self.is_requested(adapter)
        });
        let empty = upstream
            .limits
            .slots
            .saturating_sub(upstream.residents.len());
        empty + idle.count()
    }

    /// Returns the adapters that wait to be loaded, by descending cost of delay, up to
    /// the maximum number in a report.
    pub fn pending_loads(&self, now: Instant) -> Vec<PendingLoad> {
        let mut pending_loads: HashMap<&AdapterRef, PendingLoad> = HashMap::new();
        for job in self.jobs() {
            let AnyJob::Queued(job) = job else { continue };
            let Target::Adapter { adapter, .. } = &job.target else {
                continue;
            };
            if self.is_resident_anywhere(adapter) {
                continue;
            }
            let age = now.saturating_duration_since(job.arrived);
            let pending = pending_loads.entry(adapter).or_insert_with(|| PendingLoad {
                adapter: adapter.clone(),
                waiting: 0,
                oldest: Duration::ZERO,
                priority: Priority::Low,
            });
            pending.waiting += 1;
            pending.oldest = pending.oldest.max(age);
            pending.priority = pending.priority.max(job.priority);
        }
        let mut pending_loads: Vec<PendingLoad> = pending_loads.into_values().collect();
        pending_loads.extend(self.pending_preloads(now));
        pending_loads.sort_by(|a, b| {
            let by_cost = b.delay_cost().total_cmp(&a.delay_cost());
            by_cost.then_with(|| a.adapter.cmp(&b.adapter))
        });
        pending_loads.truncate(MAX_REPORTED_LOADS);
        pending_loads
    }
}

impl Scheduler {
    /// Returns the preloads of adapters that are not resident and have no queued
    /// requests, each with the number of requests expected soon.
    fn pending_preloads(&self, now: Instant) -> impl Iterator<Item = PendingLoad> {
        let preloads = self.preloads.keys();
        let missing = preloads
            .filter(|adapter| !self.is_resident_anywhere(adapter) && !self.is_requested(adapter));
        missing.map(move |adapter| PendingLoad {
            adapter: adapter.clone(),
            waiting: saturating_u32(self.expected_requests(now, &adapter.name)),
            oldest: Duration::ZERO,
            priority: Priority::Normal,
        })
    }
}

impl PendingLoad {
    /// Returns the cost of delaying the load, in request-seconds weighted by
    /// priority.
    ///
    /// The age has an offset of 0.1 s, so that loads without an age, such as preloads,
    /// are ranked by the number of requests.
    pub fn delay_cost(&self) -> f64 {
        let weight = match self.priority {
            Priority::Low => 0.5,
            Priority::Normal => 1.0,
            Priority::High => 2.0,
        };
        weight * f64::from(self.waiting) * (0.1 + self.oldest.as_secs_f64())
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
