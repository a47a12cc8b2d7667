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
        let budget = LoadBudget::new(settings.load_share, settings.granter_timeout);
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

    fn serves(&self, job: &Job<Queued>) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.takes_work() && upstream.fits(&job.target))
    }

    fn unpin(&mut self, job: &Job<Running>, now: Instant) {
        let upstream = self.upstreams.get_mut(job.upstream());
        let Some(upstream) = upstream.filter(|upstream| upstream.boot == job.boot()) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
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
