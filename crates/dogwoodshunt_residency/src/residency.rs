//! Events that change an agent's state.

use crate::action::Action;
use crate::budget::LoadBudget;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::JobKey;
use crate::job::Queued;
use crate::job::RunEnd;
use crate::job::Running;
use crate::plan::Gate;
use crate::popularity::Popularity;
use crate::settings::Settings;
use crate::upstream::Kind;
use crate::upstream::Link;
use crate::upstream::Residence;
use crate::upstream::Resident;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use slotmap::SlotMap;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Weight of the newest run in the mean run time.
const RUN_SMOOTHING: f64 = 0.1;

/// Time after which a refused caller may find room elsewhere.
pub(crate) const SHORT_RETRY: Duration = Duration::from_millis(500);

/// State of one agent's upstreams and jobs.
#[derive(Clone, Debug)]
pub struct Residency {
    pub(crate) settings: Settings,
    pub(crate) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(crate) jobs: SlotMap<JobKey, AnyJob>,
    pub(crate) queue: Vec<JobKey>,
    pub(crate) budget: LoadBudget,
    pub(crate) popularity: Popularity,
    pub(crate) preloads: BTreeMap<AdapterRef, Box<str>>,
    leaving: bool,
    mean_run: Duration,
}

impl Residency {
    /// Creates an agent without upstreams.
    pub fn new(settings: Settings) -> Self {
        let budget = LoadBudget::new(
            settings.load_share,
            settings.load_burst,
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
            leaving: false,
            mean_run: Duration::from_millis(500),
        }
    }

    /// Adds an upstream; it is used once a probe has answered.
    pub fn add_upstream(&mut self, name: UpstreamName, kind: Kind) -> UpstreamKey {
        self.upstreams.insert(Upstream::new(name, kind))
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns one upstream.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &AnyJob> {
        self.jobs.values()
    }

    /// Returns one job.
    pub fn job(&self, key: JobKey) -> Option<&AnyJob> {
        self.jobs.get(key)
    }

    /// Returns how many jobs wait.
    pub fn queued_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many jobs run.
    pub fn running_len(&self) -> usize {
        self.jobs.len() - self.queue.len()
    }

    /// Returns whether no job waits or runs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether the agent takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the mean time that a request runs.
    pub fn mean_run(&self) -> Duration {
        self.mean_run
    }

    /// Returns the permissions to load.
    pub fn budget_mut(&mut self) -> &mut LoadBudget {
        &mut self.budget
    }

    /// Returns whether `adapter` is ready, or about to be, on any upstream.
    pub fn is_resident_anywhere(&self, adapter: &AdapterRef) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.is_ready(adapter) || upstream.is_expected(adapter))
    }

    /// Takes in a job, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns why the job was not run where the agent is leaving, the gate is
    /// closed, nothing here serves the target or the queue is full.
    pub fn submit(
        &mut self,
        now: Instant,
        job: Job<Queued>,
        gate: &dyn Gate,
    ) -> Result<JobKey, NotRun> {
        if self.leaving {
            return Err(NotRun::new(NotRunReason::Leaving, Duration::ZERO));
        }
        gate.check(&job.target)?;
        if !self.serves(&job) {
            return Err(NotRun::new(NotRunReason::NoUpstream, SHORT_RETRY));
        }
        if self.is_held_up(&job) {
            return Err(NotRun::new(NotRunReason::Overloaded, SHORT_RETRY));
        }
        if self.queue.len() >= self.settings.queue_limit {
            return Err(NotRun::new(NotRunReason::Overloaded, self.mean_run));
        }
        if let Some(adapter) = job.target.adapter() {
            self.popularity.record(now, adapter);
        }
        let key = self.jobs.insert(AnyJob::Queued(job));
        self.queue.push(key);
        Ok(key)
    }

    /// Takes in a job that already runs on `upstream`, as its entry says.
    pub fn adopt(&mut self, now: Instant, key: UpstreamKey, job: Job<Queued>) -> Option<JobKey> {
        let upstream = self.upstreams.get_mut(key)?;
        upstream.running += 1;
        upstream.tokens.held += job.demand.held_tokens();
        if let Some(adapter) = job.target.adapter() {
            let resident = upstream.residents.entry(adapter.clone());
            resident
                .or_insert_with(|| Resident::new(Residence::Ready, now))
                .pins += 1;
        }
        let boot = upstream.boot;
        let running = job.dispatch(now, key, boot, 0);
        Some(self.jobs.insert(AnyJob::Running(running)))
    }

    /// Ends a job whose caller has gone.
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

    /// Records how the run of a job ended.
    ///
    /// A job that its upstream declined goes back to the queue, or is refused
    /// once it has been declined too often.
    pub fn on_run_end(&mut self, now: Instant, key: JobKey, end: RunEnd) -> Vec<Action> {
        let Some(AnyJob::Running(job)) = self.jobs.get(key).cloned() else {
            return Vec::new();
        };
        self.unpin(&job, now);
        match end {
            RunEnd::Over => {
                self.note_run(now.saturating_duration_since(job.since()));
                self.jobs.remove(key);
                return Vec::new();
            }
            RunEnd::AdapterMissing => self.forget_resident(&job),
            RunEnd::Unreached => self.mark_down(job.upstream()),
        }
        let upstream = job.upstream();
        let job = job.declined();
        let declined = job.declined;
        self.jobs[key] = AnyJob::Queued(job);
        self.queue.push(key);
        let mut actions = vec![Action::Probe { upstream }];
        if declined >= self.settings.run_attempts {
            let not_run = NotRun::new(NotRunReason::NoUpstream, SHORT_RETRY);
            actions.extend(self.refuse(key, not_run));
        }
        actions
    }

    /// Records whether one upstream is leaving.
    pub fn set_upstream_leaving(&mut self, name: &str, leaving: bool) {
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| *upstream.name == *name) {
            upstream.leaving = leaving;
        }
    }

    /// Records whether the whole agent is leaving.
    ///
    /// Jobs that wait are refused, so that entries send them elsewhere; jobs
    /// that run are left to finish.
    pub fn set_leaving(&mut self, leaving: bool) -> Vec<Action> {
        self.leaving = leaving;
        if !leaving {
            return Vec::new();
        }
        let waiting = self.queue.clone();
        let not_run = NotRun::new(NotRunReason::Leaving, Duration::ZERO);
        waiting
            .into_iter()
            .filter_map(|key| self.refuse(key, not_run))
            .collect()
    }

    /// Asks for `adapter` to be loaded before requests wait for it.
    pub fn preload(&mut self, adapter: AdapterRef, base_model: &str) {
        if !self.is_resident_anywhere(&adapter) {
            self.preloads.insert(adapter, base_model.into());
        }
    }

    /// Gives up preloads of adapters that `keep` does not name.
    pub fn retain_preloads(&mut self, keep: impl Fn(&AdapterRef) -> bool) {
        self.preloads.retain(|adapter, _| keep(adapter));
    }

    /// Returns the requests expected for `name` soon, by those for its ready versions.
    pub(crate) fn expected_requests(&self, now: Instant, name: &str) -> usize {
        let counts = self.popularity.iter(now);
        let versions = counts.filter(|(adapter, _)| *adapter.name == *name);
        versions.map(|(_, count)| count).sum::<f64>().ceil() as usize
    }

    /// Refuses a queued job; a job in any other state is left alone.
    pub(crate) fn refuse(&mut self, key: JobKey, not_run: NotRun) -> Option<Action> {
        let Some(AnyJob::Queued(_)) = self.jobs.get(key) else {
            return None;
        };
        self.queue.retain(|queued| *queued != key);
        match self.jobs.remove(key) {
            Some(AnyJob::Queued(job)) => Some(Action::NotRun {
                job: key,
                refused: job.refuse(not_run),
            }),
            Some(AnyJob::Running(_)) | None => None,
        }
    }

    /// Returns whether runs on another version hold up the one that `job` needs.
    fn is_held_up(&self, job: &Job<Queued>) -> bool {
        let Some(adapter) = job.target.adapter() else {
            return false;
        };
        let fitting = |upstream: &&Upstream| upstream.takes_work() && upstream.fits(&job.target);
        let mut fitting = self.upstreams.values().filter(fitting);
        fitting.all(|upstream| {
            let other = upstream.other_version(adapter);
            upstream.room.one_version && other.is_some_and(|(_, resident)| resident.pins > 0)
        })
    }

    fn serves(&self, job: &Job<Queued>) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.takes_work() && upstream.fits(&job.target))
    }

    /// Records that a running job's first byte has come: its prompt was read.
    pub fn on_first_byte(&mut self, now: Instant, key: JobKey) {
        let Some(AnyJob::Running(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let (boot, tokens) = (job.boot(), job.mark_read());
        let upstream = self.upstreams.get_mut(job.upstream());
        if let Some(upstream) = upstream.filter(|upstream| upstream.boot == boot) {
            upstream.end_reading(now, tokens);
        }
    }

    fn unpin(&mut self, job: &Job<Running>, now: Instant) {
        let upstream = self.upstreams.get_mut(job.upstream());
        let Some(upstream) = upstream.filter(|upstream| upstream.boot == job.boot()) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        upstream.tokens.unread = upstream.tokens.unread.saturating_sub(job.unread());
        let held = job.demand.held_tokens();
        upstream.tokens.held = upstream.tokens.held.saturating_sub(held);
        let Some(adapter) = job.target.adapter() else {
            return;
        };
        if let Some(resident) = upstream.residents.get_mut(adapter) {
            resident.pins = resident.pins.saturating_sub(1);
            resident.last_used = now;
        }
    }

    fn note_run(&mut self, ran: Duration) {
        let mean = self.mean_run.as_secs_f64();
        let mean = mean + RUN_SMOOTHING * (ran.as_secs_f64() - mean);
        self.mean_run = Duration::from_secs_f64(mean);
    }

    /// Records that the upstream of a running job says it lacks the adapter;
    /// its next probe tells for certain.
    pub fn forget_adapter_of(&mut self, key: JobKey) {
        if let Some(AnyJob::Running(job)) = self.jobs.get(key).cloned() {
            let upstream = self.upstreams.get_mut(job.upstream());
            if let (Some(upstream), Some(adapter)) = (upstream, job.target.adapter())
                && let Some(resident) = upstream.residents.get_mut(adapter)
            {
                resident.state = Residence::Unsure;
            }
        }
    }

    fn forget_resident(&mut self, job: &Job<Running>) {
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
            upstream.link = Link::Down;
        }
    }

    /// Checks the invariants of this slice.
    ///
    /// # Panics
    ///
    /// Panics on a violation if debug assertions are on.
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
            let state = upstream.residents.get(adapter).map(|r| r.state);
            let evicted = matches!(state, Some(Residence::Unloading));
            holds &= invariant::check(
                Invariant::PinnedNeverEvicted,
                !evicted,
                &format_args!("{adapter} is {state:?} while {} runs", job.request),
            );
        }
        holds
    }
}
