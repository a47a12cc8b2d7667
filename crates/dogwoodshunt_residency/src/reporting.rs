//! Builds an agent's load reports from the state of its scheduler.
//!
//! Figures that change at every moment are rounded, so that reports, which are sent when they
//! change, do not change without need.

use crate::job::AnyJob;
use crate::job::Target;
use crate::report::EngineLoad;
use crate::report::LearnedLoad;
use crate::report::PendingLoad;
use crate::report::Report;
use crate::report::Served;
use crate::report::UpstreamReport;
use crate::scheduler::Scheduler;
use crate::upstream::BaseModelState;
use crate::upstream::ResidentState;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of pending loads in one report.
const MAX_REPORTED_LOADS: usize = 16;

/// Step to which the percentage of time spent on prefill is rounded.
const BUSY_PERCENT_STEP: f64 = 10.0;

/// Step to which the learned slowdowns are rounded, in percent.
const SLOWDOWN_PERCENT_STEP: f64 = 25.0;

/// Step to which the learned time per token is rounded, in nanoseconds: 2% of the usual one.
const NS_PER_TOKEN_STEP: f64 = 500.0;

/// Step to which the prefill rate is rounded down, in tokens per second.
const RATE_STEP_TOKENS_PER_S: u64 = 1_000;

/// Step to which the moving average of run times is rounded down.
const MEAN_RUN_STEP: Duration = Duration::from_millis(10);

/// Step to which the age of a pending load is rounded down.
const PENDING_AGE_STEP: Duration = Duration::from_millis(250);

/// Shortest wait for the rate limit of an upstream that is reported.
const RATE_WAIT_STEP: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Returns a report of the current load.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            upstreams: self.upstream_reports(now),
            queued: saturating_u32(self.queued_len()),
            mean_run: round_down(self.mean_run(), MEAN_RUN_STEP),
            pending_loads: self.pending_loads(now),
        }
    }

    fn upstream_reports(&self, now: Instant) -> Vec<UpstreamReport> {
        let with_state = |is_match: fn(&ResidentState) -> bool, key| -> Vec<AdapterRef> {
            let residents = self.upstream(key).into_iter().flat_map(|u| &u.residents);
            let matching = residents.filter(|(_, resident)| is_match(&resident.state));
            let mut matching: Vec<AdapterRef> =
                matching.map(|(adapter, _)| adapter.clone()).collect();
            // Sorted, so that equal sets compare equal.
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
                rate_limit: upstream.rate_limit,
                waits_for_rate: upstream
                    .next_dispatch_at()
                    .is_some_and(|at| at.saturating_duration_since(now) >= RATE_WAIT_STEP),
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
            learned: self.paces_prompts.then(|| self.learned_load(now, key)),
        })
    }

    fn learned_load(&self, now: Instant, key: UpstreamKey) -> LearnedLoad {
        let streams = self.begun_streams(key);
        let tokens = self.upstream(key).map(|upstream| &upstream.tokens);
        let speed = tokens.map(|tokens| &tokens.speed);
        let percent = |ratio: f64| {
            ((ratio * 100.0 / SLOWDOWN_PERCENT_STEP).round() * SLOWDOWN_PERCENT_STEP) as u16
        };
        let known = speed.filter(|speed| speed.is_known());
        let ns_steps = known.map_or(0.0, |s| s.ms_per_token() * 1e6 / NS_PER_TOKEN_STEP);
        LearnedLoad {
            streams: streams.count,
            tightest_gap: streams.tightest_gap,
            ns_per_token: (ns_steps.round() * NS_PER_TOKEN_STEP) as u32,
            margin_percent: percent(speed.map_or(1.0, |speed| speed.margin())),
            slowdown_percent: percent(tokens.map_or(1.0, |tokens| tokens.slowdown(now))),
        }
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
            pending.oldest = pending.oldest.max(round_down(age, PENDING_AGE_STEP));
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

/// Rounds `value` down to a multiple of `step`, so that reports do not change at every
/// moment.
fn round_down(value: Duration, step: Duration) -> Duration {
    let steps = u32::try_from(value.as_nanos() / step.as_nanos()).unwrap_or(u32::MAX);
    step * steps
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
