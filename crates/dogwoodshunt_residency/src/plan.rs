//! Planning step and dispatch of queued jobs. The module `loads` decides which
//! adapters to load and to evict.

use crate::action::Action;
use crate::demand::Demand;
use crate::fair_share;
use crate::fair_share::Group;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::JobKey;
use crate::job::Queued;
use crate::job::Target;
use crate::scheduler::Scheduler;
use crate::upstream::BaseModelState;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use slotmap::SecondaryMap;
use std::time::Duration;
use std::time::Instant;

/// Time that is left for a planning step, the network and the first token when a rate limit
/// decides whether a job can still have its first byte in time.
const FIRST_BYTE_MARGIN: Duration = Duration::from_millis(100);

/// Check of whether a target may run now.
pub trait AdmissionCheck {
    /// Checks that the catalogue allows `target` and that the node's copy of the
    /// catalogue is fresh enough.
    ///
    /// # Errors
    ///
    /// Returns the reason for which `target` must not run now.
    fn check(&self, target: &Target) -> Result<(), NotRun>;
}

impl Upstream {
    /// Returns whether this upstream serves the base model or service of `target`,
    /// regardless of the upstream's current state.
    pub fn can_serve(&self, target: &Target) -> bool {
        match (&self.kind, target) {
            (UpstreamKind::Engine { base_model: own }, Target::Adapter { base_model, .. }) => {
                own == base_model
            }
            (UpstreamKind::Engine { base_model: own }, Target::BaseModel(name)) => own == name,
            (UpstreamKind::Service(own), Target::Service(name)) => own == name,
            (UpstreamKind::Engine { .. }, Target::Service(_))
            | (UpstreamKind::Service(_), Target::Adapter { .. } | Target::BaseModel(_)) => false,
        }
    }

    fn can_run_now(&self, now: Instant, target: &Target) -> bool {
        let adapter_ready = target
            .adapter()
            .is_none_or(|adapter| self.is_ready(adapter));
        let base_model_ready = self.base_model_state == BaseModelState::Ready;
        self.takes_work()
            && self.is_within_rate(now)
            && self.has_batch_capacity()
            && self.can_serve(target)
            && adapter_ready
            && base_model_ready
    }

    /// Returns the prompt tokens that this upstream would have to process, without
    /// the prefix that the upstream is estimated to have cached.
    pub fn uncached_tokens(&self, target: &Target, demand: &Demand) -> u64 {
        let adapter = target.to_string();
        let cached = self.tokens.prefixes.cached_tokens(&adapter, &demand.parts);
        u64::from(demand.prompt_tokens).saturating_sub(cached)
    }

    /// Returns the expected time from the dispatch of a job to its first byte, with a margin.
    pub(crate) fn first_byte_time(&self, job: &Job<Queued>) -> Duration {
        let uncached = self.uncached_tokens(&job.target, &job.demand) as f64;
        let prefill_ms = uncached / self.tokens.prefill_rate.tokens_per_ms().max(1.0);
        FIRST_BYTE_MARGIN + Duration::from_secs_f64(prefill_ms / 1e3)
    }

    fn start_prefill(&mut self, now: Instant, target: &Target, demand: &Demand) -> u64 {
        let uncached = self.uncached_tokens(target, demand);
        self.tokens.start_prefill(now, uncached);
        self.tokens.reserved_kv += demand.max_kv_tokens();
        let adapter = target.to_string();
        self.tokens.prefixes.record(&adapter, &demand.parts);
        uncached
    }
}

impl Scheduler {
    /// Runs one planning step and returns the actions to carry out.
    ///
    /// The step refuses expired jobs, loads missing base models, dispatches jobs,
    /// refuses jobs that rate limits or a lack of capacity keep waiting for too long, unloads drained adapters and
    /// starts loads, in this order.
    pub fn plan(&mut self, now: Instant, admission_check: &dyn AdmissionCheck) -> Vec<Action> {
        let mut actions = self.refuse_expired(now);
        self.load_base_models(now, &mut actions);
        self.dispatch_queued(now, admission_check, &mut actions);
        self.refuse_beyond_rate(now, &mut actions);
        self.refuse_beyond_capacity(now, &mut actions);
        self.unload_drained(&mut actions);
        self.start_loads(now, &mut actions);
        let _holds = self.check_invariants();
        actions
    }

    fn refuse_expired(&mut self, now: Instant) -> Vec<Action> {
        let expired: Vec<JobKey> = self
            .queue
            .iter()
            .copied()
            .filter(|key| match &self.jobs[*key] {
                AnyJob::Queued(job) => job.deadline.is_some_and(|deadline| deadline <= now),
                AnyJob::Running(_) => false,
            })
            .collect();
        let not_run = NotRun::new(NotRunReason::Deadline, self.mean_run());
        expired
            .into_iter()
            .filter_map(|key| self.refuse(key, not_run))
            .collect()
    }

    /// Dispatches queued jobs in scheduling order.
    ///
    /// Once a job does not fit into an upstream's token capacity or must wait for events of the
    /// streams there, no later job is
    /// dispatched to that upstream in this step. Otherwise small requests would
    /// starve large ones on a busy upstream.
    fn dispatch_queued(
        &mut self,
        now: Instant,
        admission_check: &dyn AdmissionCheck,
        actions: &mut Vec<Action>,
    ) {
        let mut saturated: Vec<UpstreamKey> = Vec::new();
        for key in self.sorted_queue(now) {
            let AnyJob::Queued(job) = &self.jobs[key] else {
                continue;
            };
            let Some(upstream) = self.least_busy_upstream(now, &job.target, &saturated) else {
                continue;
            };
            if !self.has_token_capacity(upstream, job)
                || self.must_wait_for_streams(now, upstream, job)
            {
                saturated.push(upstream);
                continue;
            }
            match admission_check.check(&job.target) {
                Ok(()) => actions.extend(self.dispatch(now, key, upstream)),
                Err(not_run) => actions.extend(self.refuse(key, not_run)),
            }
        }
    }

    /// Refuses queued jobs that the rate limits of the upstreams keep waiting for too long, so
    /// that they can run on other agents in time.
    fn refuse_beyond_rate(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.upstreams.values().all(|u| u.rate_limit.is_none()) {
            return;
        }
        let mut next_dispatch: SecondaryMap<UpstreamKey, Instant> = SecondaryMap::new();
        let mut refused: Vec<(JobKey, Instant)> = Vec::new();
        for key in self.sorted_queue(now) {
            let AnyJob::Queued(job) = &self.jobs[key] else {
                continue;
            };
            let able = self.upstreams.iter();
            let able = able.filter(|(_, u)| u.takes_work() && u.can_serve(&job.target));
            let dispatch_times = able.map(|(key, upstream)| {
                let known = next_dispatch.get(key).copied();
                let at = known.or(upstream.next_dispatch_at()).unwrap_or(now);
                (at.max(now), key, upstream.rate_limit)
            });
            let first = dispatch_times.min_by_key(|(at, key, limit)| (limit.is_some(), *at, *key));
            let Some((at, upstream, Some(limit))) = first else {
                continue;
            };
            let first_byte_at = at + self.upstreams[upstream].first_byte_time(job);
            if job
                .useful_until()
                .is_some_and(|until| until < first_byte_at)
            {
                refused.push((key, at));
            } else {
                next_dispatch.insert(upstream, at + limit.interval());
            }
        }
        for (key, at) in refused {
            let wait = at.saturating_duration_since(now);
            actions.extend(self.refuse(key, NotRun::new(NotRunReason::Overloaded, wait)));
        }
    }

    fn has_token_capacity(&self, key: UpstreamKey, job: &Job<Queued>) -> bool {
        let upstream = &self.upstreams[key];
        let backlog_ms = self.settings.max_prefill_backlog.as_secs_f64() * 1e3;
        let max_pending_prefill =
            (backlog_ms * upstream.tokens.prefill_rate.tokens_per_ms()) as u64;
        let uncached = upstream.uncached_tokens(&job.target, &job.demand);
        upstream.has_token_capacity(uncached, job.demand.max_kv_tokens(), max_pending_prefill)
    }

    /// Returns the queue in scheduling order: by descending priority; within a
    /// priority, jobs that can still meet their latency objective before all others;
    /// then by rank; within a rank by the shares of the workspaces; then by arrival.
    pub(crate) fn sorted_queue(&self, now: Instant) -> Vec<JobKey> {
        let mut keys = self.queue.clone();
        keys.sort_by_key(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => {
                let misses_slo = job.slo_deadline.is_some_and(|at| at <= now);
                let descending_priority = std::cmp::Reverse(job.priority);
                (
                    descending_priority,
                    misses_slo,
                    job.demand.rank,
                    job.arrived,
                )
            }
            AnyJob::Running(job) => {
                let descending_priority = std::cmp::Reverse(job.priority);
                (descending_priority, false, job.demand.rank, job.arrived)
            }
        });
        if self.has_queued_workspaces() {
            self.order_by_share(now, &keys)
        } else {
            keys
        }
    }

    /// Orders the jobs of each priority, SLO state and rank by the shares of their workspaces.
    fn order_by_share(&self, now: Instant, sorted: &[JobKey]) -> Vec<JobKey> {
        let queued = sorted.iter().filter_map(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => Some((*key, job)),
            AnyJob::Running(_) => None,
        });
        let queued: Vec<(JobKey, &Job<Queued>)> = queued.collect();
        let class = |job: &Job<Queued>| {
            let misses_slo = job.slo_deadline.is_some_and(|at| at <= now);
            (job.priority, misses_slo, job.demand.rank)
        };
        let classes = queued.chunk_by(|(_, a), (_, b)| class(a) == class(b));
        let ordered = classes.flat_map(|jobs| {
            let jobs = jobs
                .iter()
                .map(|(key, job)| (*key, &job.workspace, self.work_of(job)));
            let jobs: Vec<(JobKey, &Group, f64)> = jobs.collect();
            self.fair_share.order(now, &jobs)
        });
        ordered.collect()
    }

    fn least_busy_upstream(
        &self,
        now: Instant,
        target: &Target,
        saturated: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(key, upstream)| upstream.can_run_now(now, target) && !saturated.contains(key))
            .min_by_key(|(_, upstream)| upstream.running)
            .map(|(key, _)| key)
    }

    fn dispatch(&mut self, now: Instant, key: JobKey, upstream: UpstreamKey) -> Option<Action> {
        let chosen = &mut self.upstreams[upstream];
        let takes_work = invariant::check(
            Invariant::LeavingTakesNoWork,
            chosen.takes_work(),
            &format_args!("dispatch to upstream {}", chosen.name),
        );
        if !takes_work {
            return None;
        }
        let Some(AnyJob::Queued(job)) = self.jobs.get(key).cloned() else {
            return None;
        };
        let boot = chosen.boot;
        chosen.running += 1;
        chosen.record_dispatch(now);
        let pending_prefill = chosen.start_prefill(now, &job.target, &job.demand);
        let work = fair_share::work(pending_prefill, job.demand.output_tokens);
        let resident = job
            .target
            .adapter()
            .and_then(|adapter| chosen.residents.get_mut(adapter));
        if let Some(resident) = resident {
            resident.pins += 1;
            resident.last_used = now;
        }
        self.queue.retain(|queued| *queued != key);
        self.fair_share.on_dispatched(now, &job.workspace, work);
        let running = job.dispatch(now, upstream, boot, pending_prefill);
        self.jobs[key] = AnyJob::Running(running.with_charged_work(work));
        Some(Action::Dispatch { job: key, upstream })
    }
}
