//! Refusal of queued jobs that cannot be served in time.
//!
//! The work that waits is projected in scheduling order onto the upstreams. Since that order
//! gives each workspace its share, what does not fit before its deadline belongs to workspaces
//! beyond theirs. It is refused at once, so that its callers learn early when to return.
//!
//! Only a queue in which a request of a workspace waits is projected.

use crate::action::Action;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::JobKey;
use crate::job::Queued;
use crate::scheduler::Scheduler;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use slotmap::SecondaryMap;
use std::time::Duration;
use std::time::Instant;

/// Longest time after the expected wait over which the callers of refused jobs are asked to return.
const MAX_SPREAD: Duration = Duration::from_secs(5);

/// Work that is expected to start on an upstream before a queued job.
#[derive(Clone, Copy, Debug, Default)]
struct WorkAhead {
    prefill_tokens: u64,
    kv_tokens: u64,
    jobs: usize,
}

impl Upstream {
    /// Returns the expected time until a job can start on this upstream, if `ahead` starts before
    /// it, and the expected time of its prefill.
    ///
    /// A place of the batch, and the KV cache of a run, become free in one of `mean_run` on average.
    fn expected_start(
        &self,
        job: &Job<Queued>,
        ahead: &WorkAhead,
        mean_run: Duration,
    ) -> (Duration, Duration) {
        let uncached = self.uncached_tokens(&job.target, &job.demand);
        let prefill_ahead = self.tokens.pending_prefill + ahead.prefill_tokens;
        let prefill_wait = self.tokens.prefill_rate.prefill_time(prefill_ahead);
        let places = self.running + ahead.jobs + 1;
        let missing_places = places.saturating_sub(self.limits.batch) as f64;
        let place_wait = mean_run.mul_f64(missing_places / self.limits.batch.max(1) as f64);
        let kv_tokens = self.tokens.reserved_kv + ahead.kv_tokens + job.demand.max_kv_tokens();
        let missing_kv = kv_tokens.saturating_sub(self.limits.kv_tokens) as f64;
        let kv_wait = mean_run.mul_f64(missing_kv / self.limits.kv_tokens.max(1) as f64);
        let start = prefill_wait.max(place_wait).max(kv_wait);
        (start, self.tokens.prefill_rate.prefill_time(uncached))
    }
}

impl Scheduler {
    /// Refuses queued jobs of which the first byte is expected after their deadline, and those
    /// beyond the limit of the queue. Both are the last in scheduling order.
    ///
    /// Jobs that wait for an adapter or for the rate limit of an upstream are left to the decisions
    /// about these.
    pub(crate) fn refuse_beyond_capacity(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.has_queued_workspaces() {
            return;
        }
        let mut ahead: SecondaryMap<UpstreamKey, WorkAhead> = SecondaryMap::new();
        let mut refused: Vec<(JobKey, Duration, Duration)> = Vec::new();
        let mut kept = 0;
        for key in self.sorted_queue(now) {
            let AnyJob::Queued(job) = &self.jobs[key] else {
                continue;
            };
            let able = self.upstreams.iter().filter(|(_, upstream)| {
                let target = &job.target;
                let adapter_ready = target.adapter().is_none_or(|a| upstream.is_ready(a));
                let unlimited = upstream.rate_limit.is_none() && upstream.limits.batch > 0;
                upstream.takes_work() && upstream.can_serve(target) && adapter_ready && unlimited
            });
            let starts = able.map(|(key, upstream)| {
                let ahead = ahead.get(key).copied().unwrap_or_default();
                let (start, prefill) = upstream.expected_start(job, &ahead, self.mean_run());
                (start, prefill, key)
            });
            let first = starts.min_by_key(|(start, prefill, key)| (*start + *prefill, *key));
            let is_late = first.is_some_and(|(start, prefill, _)| {
                let expected_at = now + start + prefill;
                job.deadline.is_some_and(|deadline| deadline < expected_at)
            });
            if is_late || kept >= self.settings.queue_limit {
                let unknown = (self.mean_run(), Duration::ZERO);
                let (start, prefill) =
                    first.map_or(unknown, |(start, prefill, _)| (start, prefill));
                refused.push((key, start, prefill));
                continue;
            }
            kept += 1;
            let Some((_, _, upstream)) = first else {
                continue;
            };
            let uncached = self.upstreams[upstream].uncached_tokens(&job.target, &job.demand);
            if let Some(entry) = ahead.entry(upstream) {
                let ahead = entry.or_default();
                ahead.prefill_tokens += uncached;
                ahead.kv_tokens += job.demand.max_kv_tokens();
                ahead.jobs += 1;
            }
        }
        for (key, start, prefill) in refused {
            let retry_after = self.next_retry(now, start, prefill);
            let not_run = NotRun::new(NotRunReason::Overloaded, retry_after);
            actions.extend(self.refuse(key, not_run));
        }
    }

    /// Returns the delay after which the caller of a refused job should return: the expected wait,
    /// or the time at which the jobs refused before it have run when they return as asked.
    fn next_retry(&mut self, now: Instant, wait: Duration, prefill: Duration) -> Duration {
        let expected_at = now + wait;
        let after_others = self.next_retry_at.filter(|at| {
            let spread = at.saturating_duration_since(expected_at);
            *at > expected_at && spread <= MAX_SPREAD
        });
        let retry_at = after_others.unwrap_or(expected_at);
        self.next_retry_at = Some(retry_at + prefill);
        retry_at.saturating_duration_since(now)
    }

    pub(crate) fn has_queued_workspaces(&self) -> bool {
        self.queue.iter().any(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => job.workspace.is_some(),
            AnyJob::Running(_) => false,
        })
    }
}
