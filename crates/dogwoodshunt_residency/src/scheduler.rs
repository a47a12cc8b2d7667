//! State of the scheduler, and the events of jobs, preloads and leaving upstreams.

use crate::action::Action;
use crate::fair_share;
use crate::fair_share::FairShare;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::JobKey;
use crate::job::Queued;
use crate::job::RunOutcome;
use crate::job::Running;
use crate::load_budget::LoadBudget;
use crate::plan::AdmissionCheck;
use crate::popularity::Popularity;
use crate::settings::SchedulerSettings;
use crate::upstream::Reachability;
use crate::upstream::Resident;
use crate::upstream::ResidentState;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use slotmap::SlotMap;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Weight of the newest run in the moving average of run times.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Retry delay sent with a refusal where another agent may have capacity.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Scheduler of one agent: the state of the agent's upstreams and jobs.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(crate) jobs: SlotMap<JobKey, AnyJob>,
    /// Keys of the queued jobs.
    pub(crate) queue: Vec<JobKey>,
    pub(crate) budget: LoadBudget,
    pub(crate) popularity: Popularity,
    /// Adapters to load before any request needs them, with their base models.
    pub(crate) preloads: BTreeMap<AdapterRef, Box<str>>,
    pub(crate) fair_share: FairShare,
    /// When the caller of the next job that is refused for lack of capacity should return.
    pub(crate) next_retry_at: Option<Instant>,
    /// Whether an entry has asked to pace prompts by the gaps that they make in streams.
    pub(crate) paces_prompts: bool,
    leaving: bool,
    mean_run: Duration,
}

impl Scheduler {
    /// Creates a scheduler without upstreams.
    pub fn new(settings: SchedulerSettings) -> Self {
        let budget = LoadBudget::new(
            settings.fallback_loads_per_second,
            settings.fallback_load_burst,
            settings.granter_timeout,
        );
        let popularity = Popularity::new(settings.popularity_half_life);
        Self {
            settings,
            upstreams: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            queue: Vec::new(),
            budget,
            popularity,
            preloads: BTreeMap::new(),
            fair_share: FairShare::default(),
            next_retry_at: None,
            paces_prompts: false,
            leaving: false,
            mean_run: Duration::from_millis(500),
        }
    }

    /// Adds an upstream, which receives no jobs or orders before its first response to
    /// a probe.
    pub fn add_upstream(&mut self, name: UpstreamName, kind: UpstreamKind) -> UpstreamKey {
        self.upstreams.insert(Upstream::new(name, kind))
    }

    /// Sets the base model of an engine, in whose place one of another service may have started.
    pub fn set_base_model(&mut self, key: UpstreamKey, base_model: &str) {
        if let Some(upstream) = self.upstreams.get_mut(key)
            && !upstream.is_engine_of(base_model)
        {
            upstream.kind = UpstreamKind::Engine {
                base_model: base_model.into(),
            };
        }
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns one upstream.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns all queued and running jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &AnyJob> {
        self.jobs.values()
    }

    /// Returns one job.
    pub fn job(&self, key: JobKey) -> Option<&AnyJob> {
        self.jobs.get(key)
    }

    /// Returns the number of queued jobs.
    pub fn queued_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running jobs.
    pub fn running_len(&self) -> usize {
        self.jobs.len() - self.queue.len()
    }

    /// Returns whether no job is queued or running.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether the agent is leaving and refuses new jobs.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the moving average of run times; 500 ms before the first run has ended.
    pub fn mean_run(&self) -> Duration {
        self.mean_run
    }

    /// Returns the permissions to start loads.
    pub fn budget_mut(&mut self) -> &mut LoadBudget {
        &mut self.budget
    }

    /// Returns whether any upstream has `adapter` ready, is loading it, or may have
    /// it.
    pub fn is_resident_anywhere(&self, adapter: &AdapterRef) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.is_ready(adapter) || upstream.is_loading_or_unknown(adapter))
    }

    /// Queues a job, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal if the agent is leaving, `admission_check`
    /// rejects the target, no upstream that accepts jobs serves the target, runs on
    /// another version of the adapter prevent the load on every such upstream, or the
    /// queue is full.
    pub fn submit(
        &mut self,
        now: Instant,
        job: Job<Queued>,
        admission_check: &dyn AdmissionCheck,
    ) -> Result<JobKey, NotRun> {
        if self.leaving {
            return Err(NotRun::new(NotRunReason::Leaving, Duration::ZERO));
        }
        admission_check.check(&job.target)?;
        if !self.has_upstream_for(&job) {
            return Err(NotRun::new(NotRunReason::NoUpstream, RETRY_AFTER));
        }
        if self.is_blocked_by_other_version(&job) {
            return Err(NotRun::new(NotRunReason::Overloaded, RETRY_AFTER));
        }
        // One of a workspace within its share is queued beyond the limit, too; the next planning
        // step then refuses the last in scheduling order.
        let limit = match &job.workspace {
            Some(_) if !self.fair_share.is_beyond_share(now, &job.workspace) => {
                self.settings.queue_limit * 2
            }
            Some(_) | None => self.settings.queue_limit,
        };
        let work = self.work_of(&job);
        self.fair_share.on_submitted(now, &job.workspace, work);
        if self.queue.len() >= limit {
            return Err(NotRun::new(NotRunReason::Overloaded, self.mean_run));
        }
        if let Some(adapter) = job.target.adapter() {
            self.popularity.record(now, adapter);
        }
        self.paces_prompts |= job.pacing.is_some();
        let key = self.jobs.insert(AnyJob::Queued(job));
        self.queue.push(key);
        Ok(key)
    }

    /// Registers a job that already runs on the upstream `key`, as reported by the
    /// entry after the agent has restarted.
    ///
    /// Returns `None` if there is no such upstream.
    pub fn adopt(&mut self, now: Instant, key: UpstreamKey, job: Job<Queued>) -> Option<JobKey> {
        let upstream = self.upstreams.get_mut(key)?;
        upstream.running += 1;
        upstream.record_dispatch(now);
        upstream.tokens.reserved_kv += job.demand.max_kv_tokens();
        if let Some(adapter) = job.target.adapter() {
            let resident = upstream.residents.entry(adapter.clone());
            resident
                .or_insert_with(|| Resident::new(ResidentState::Ready, now))
                .pins += 1;
        }
        let boot = upstream.boot;
        let running = job.dispatch(now, key, boot, 0);
        Some(self.jobs.insert(AnyJob::Running(running)))
    }

    /// Cancels a job and returns the action that reports a queued job as not run or
    /// stops a running job.
    pub fn cancel(&mut self, key: JobKey) -> Vec<Action> {
        match self.jobs.get(key) {
            Some(AnyJob::Queued(_)) => {
                let not_run = NotRun::new(NotRunReason::Cancelled, Duration::ZERO);
                self.refuse(key, not_run).into_iter().collect()
            }
            Some(AnyJob::Running(_)) => vec![Action::CancelRun { job: key }],
            None => Vec::new(),
        }
    }

    /// Records the outcome of a dispatched job.
    ///
    /// A job that was declined or did not reach the upstream returns to the queue,
    /// and is refused on the return number `max_run_attempts`.
    pub fn on_run_end(&mut self, now: Instant, key: JobKey, outcome: RunOutcome) -> Vec<Action> {
        let Some(AnyJob::Running(job)) = self.jobs.get(key).cloned() else {
            return Vec::new();
        };
        self.release_run(&job, now);
        let excess = match outcome {
            RunOutcome::Finished => {
                let run_time = now.saturating_duration_since(job.dispatched_at());
                let excess = fair_share::excess_work(job.demand.output_tokens, run_time);
                excess.min(job.charged_work())
            }
            RunOutcome::AdapterMissing | RunOutcome::Unreachable => job.charged_work(),
        };
        self.fair_share
            .on_corrected(now, &job.workspace, job.dispatched_at(), excess);
        match outcome {
            RunOutcome::Finished => {
                self.record_run_time(now.saturating_duration_since(job.dispatched_at()));
                self.jobs.remove(key);
                return Vec::new();
            }
            RunOutcome::AdapterMissing => self.remove_missing_adapter(&job),
            RunOutcome::Unreachable => self.mark_down(job.upstream()),
        }
        let upstream = job.upstream();
        let job = job.requeue();
        let failed_dispatches = job.failed_dispatches;
        self.jobs[key] = AnyJob::Queued(job);
        self.queue.push(key);
        let mut actions = vec![Action::Probe { upstream }];
        if failed_dispatches >= self.settings.max_run_attempts {
            let not_run = NotRun::new(NotRunReason::NoUpstream, RETRY_AFTER);
            actions.extend(self.refuse(key, not_run));
        }
        actions
    }

    /// Sets whether the upstream `name` is leaving and receives no new jobs or orders.
    pub fn set_upstream_leaving(&mut self, name: &str, leaving: bool) {
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| *upstream.name == *name) {
            upstream.leaving = leaving;
        }
    }

    /// Sets the limit that an upstream names for the requests of all senders together.
    ///
    /// All requests for the upstream pass through this agent, which dispatches one at a time
    /// at that rate.
    pub fn set_rate_limit(&mut self, key: UpstreamKey, limit: Option<RateLimit>) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.rate_limit = limit;
        }
    }

    /// Sets whether the whole agent is leaving.
    ///
    /// Queued jobs are refused, so that entries send them to other agents. Running
    /// jobs are left to finish.
    pub fn set_leaving(&mut self, leaving: bool) -> Vec<Action> {
        self.leaving = leaving;
        if !leaving {
            return Vec::new();
        }
        let queued_keys = self.queue.clone();
        let not_run = NotRun::new(NotRunReason::Leaving, Duration::ZERO);
        queued_keys
            .into_iter()
            .filter_map(|key| self.refuse(key, not_run))
            .collect()
    }

    /// Schedules a load of `adapter` before any request needs it.
    pub fn preload(&mut self, adapter: AdapterRef, base_model: &str) {
        if !self.is_resident_anywhere(&adapter) {
            self.preloads.insert(adapter, base_model.into());
        }
    }

    /// Cancels the scheduled preloads of adapters for which `keep` returns false.
    pub fn retain_preloads(&mut self, keep: impl Fn(&AdapterRef) -> bool) {
        self.preloads.retain(|adapter, _| keep(adapter));
    }

    /// Returns how many requests for any version of `name` are expected soon, based
    /// on the recent request counts of all its versions.
    pub(crate) fn expected_requests(&self, now: Instant, name: &str) -> usize {
        let counts = self.popularity.iter(now);
        let versions = counts.filter(|(adapter, _)| *adapter.name == *name);
        versions.map(|(_, count)| count).sum::<f64>().ceil() as usize
    }

    /// Refuses a queued job; does nothing for a job in any other state.
    pub(crate) fn refuse(&mut self, key: JobKey, not_run: NotRun) -> Option<Action> {
        let Some(AnyJob::Queued(_)) = self.jobs.get(key) else {
            return None;
        };
        self.queue.retain(|queued| *queued != key);
        match self.jobs.remove(key) {
            Some(AnyJob::Queued(job)) => Some(Action::NotRun {
                job: key,
                refusal: job.refuse(not_run),
            }),
            Some(AnyJob::Running(_)) | None => None,
        }
    }

    /// Returns whether, on every upstream that could run `job`, runs on another
    /// version of the adapter prevent the load of the version that `job` needs.
    fn is_blocked_by_other_version(&self, job: &Job<Queued>) -> bool {
        let Some(adapter) = job.target.adapter() else {
            return false;
        };
        let candidates =
            |upstream: &&Upstream| upstream.takes_work() && upstream.can_serve(&job.target);
        let mut candidates = self.upstreams.values().filter(candidates);
        candidates.all(|upstream| {
            let other = upstream.other_version(adapter);
            upstream.limits.single_version && other.is_some_and(|(_, resident)| resident.pins > 0)
        })
    }

    /// Returns the demand, work and shares of the workspaces.
    pub fn fair_share(&self) -> &FairShare {
        &self.fair_share
    }

    /// Returns the work that `job` causes on the first upstream that may run it.
    pub(crate) fn work_of(&self, job: &Job<Queued>) -> f64 {
        let upstreams = self.upstreams.values();
        let mut able = upstreams.filter(|u| u.takes_work() && u.can_serve(&job.target));
        let prompt_tokens = u64::from(job.demand.prompt_tokens);
        let uncached = able.next().map_or(prompt_tokens, |upstream| {
            upstream.uncached_tokens(&job.target, &job.demand)
        });
        fair_share::work(uncached, job.demand.output_tokens)
    }

    fn has_upstream_for(&self, job: &Job<Queued>) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.takes_work() && upstream.can_serve(&job.target))
    }

    /// Records the first byte of a running job, which shows that the upstream has
    /// processed the whole prompt.
    pub fn on_first_byte(&mut self, now: Instant, key: JobKey) {
        let Some(AnyJob::Running(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let (boot, tokens) = (job.boot(), job.finish_prefill());
        let upstream = self.upstreams.get_mut(job.upstream());
        if let Some(upstream) = upstream.filter(|upstream| upstream.boot == boot) {
            upstream.finish_prefill(now, tokens);
        }
    }

    fn release_run(&mut self, job: &Job<Running>, now: Instant) {
        let upstream = self.upstreams.get_mut(job.upstream());
        let Some(upstream) = upstream.filter(|upstream| upstream.boot == job.boot()) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        upstream.tokens.pending_prefill = upstream
            .tokens
            .pending_prefill
            .saturating_sub(job.pending_prefill());
        let reserved_kv = job.demand.max_kv_tokens();
        upstream.tokens.reserved_kv = upstream.tokens.reserved_kv.saturating_sub(reserved_kv);
        let Some(adapter) = job.target.adapter() else {
            return;
        };
        if let Some(resident) = upstream.residents.get_mut(adapter) {
            resident.pins = resident.pins.saturating_sub(1);
            resident.last_used = now;
        }
    }

    fn record_run_time(&mut self, run_time: Duration) {
        let mean = self.mean_run.as_secs_f64();
        let mean = mean + RUN_TIME_SMOOTHING * (run_time.as_secs_f64() - mean);
        self.mean_run = Duration::from_secs_f64(mean);
    }

    /// Records that the upstream of a running job has reported the adapter missing.
    ///
    /// The adapter's state is unknown until the next probe.
    pub fn mark_adapter_unknown(&mut self, key: JobKey) {
        if let Some(AnyJob::Running(job)) = self.jobs.get(key).cloned() {
            let upstream = self.upstreams.get_mut(job.upstream());
            if let (Some(upstream), Some(adapter)) = (upstream, job.target.adapter())
                && let Some(resident) = upstream.residents.get_mut(adapter)
            {
                resident.state = ResidentState::Unknown;
            }
        }
    }

    fn remove_missing_adapter(&mut self, job: &Job<Running>) {
        let upstream = self.upstreams.get_mut(job.upstream());
        if let (Some(upstream), Some(adapter)) = (upstream, job.target.adapter()) {
            let unpinned = |resident: &Resident| resident.pins == 0;
            if upstream.residents.get(adapter).is_some_and(unpinned) {
                upstream.residents.remove(adapter);
            }
        }
    }

    pub(crate) fn mark_down(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.reachability = Reachability::Down;
        }
    }

    /// Returns whether no adapter is being unloaded while a job uses the adapter.
    ///
    /// # Panics
    ///
    /// Panics on a violation if debug assertions are enabled.
    #[must_use]
    pub fn check_invariants(&self) -> bool {
        let mut holds = true;
        for job in self.jobs.values() {
            let AnyJob::Running(job) = job else { continue };
            let upstream = self.upstreams.get(job.upstream());
            let upstream = upstream.filter(|upstream| upstream.boot == job.boot());
            let (Some(upstream), Some(adapter)) = (upstream, job.target.adapter()) else {
                continue;
            };
            let state = upstream
                .residents
                .get(adapter)
                .map(|resident| resident.state);
            let unloading = matches!(state, Some(ResidentState::Unloading));
            holds &= invariant::check(
                Invariant::PinnedNeverEvicted,
                !unloading,
                &format_args!(
                    "adapter {adapter} is {state:?} while request {} uses it",
                    job.request
                ),
            );
        }
        holds
    }
}
