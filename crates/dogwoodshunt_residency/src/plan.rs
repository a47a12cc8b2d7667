//! What to run next; `loads` says what to load and evict.

use crate::action::Action;
use crate::demand::Demand;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::JobKey;
use crate::job::Queued;
use crate::job::Target;
use crate::residency::Residency;
use crate::upstream::Base;
use crate::upstream::Kind;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use std::time::Instant;

/// Says whether a target may run at this moment.
pub trait Gate {
    /// Checks `target` against the catalogue and the node's freshness.
    ///
    /// # Errors
    ///
    /// Returns why the target must not run now.
    fn check(&self, target: &Target) -> Result<(), NotRun>;
}

impl Upstream {
    /// Returns whether this upstream can ever serve `target`.
    pub fn fits(&self, target: &Target) -> bool {
        match (&self.kind, target) {
            (Kind::Engine { base_model: held }, Target::Adapter { base_model, .. }) => {
                held == base_model
            }
            (Kind::Engine { base_model: held }, Target::BaseModel(name)) => held == name,
            (Kind::Service(held), Target::Service(name)) => held == name,
            (Kind::Engine { .. }, Target::Service(_))
            | (Kind::Service(_), Target::Adapter { .. } | Target::BaseModel(_)) => false,
        }
    }

    fn can_run(&self, target: &Target) -> bool {
        let ready = target
            .adapter()
            .is_none_or(|adapter| self.is_ready(adapter));
        let base = self.base == Base::Ready;
        self.takes_work() && self.has_batch_room() && self.fits(target) && ready && base
    }

    /// Returns the prompt tokens of a job that this upstream would have to read.
    pub fn fresh_tokens(&self, target: &Target, demand: &Demand) -> u64 {
        let adapter = target.to_string();
        let kept = self.tokens.prefixes.kept_tokens(&adapter, &demand.parts);
        u64::from(demand.prompt_tokens).saturating_sub(kept)
    }

    fn start_reading(&mut self, now: Instant, target: &Target, demand: &Demand) -> u64 {
        let fresh = self.fresh_tokens(target, demand);
        self.tokens.unread += fresh;
        self.tokens.held += demand.held_tokens();
        self.tokens.pace.on_start(now);
        let adapter = target.to_string();
        self.tokens.prefixes.record(&adapter, &demand.parts);
        fresh
    }
}

impl Residency {
    /// Decides what to do now.
    pub fn plan(&mut self, now: Instant, gate: &dyn Gate) -> Vec<Action> {
        let mut actions = self.expire(now);
        self.load_bases(now, &mut actions);
        self.dispatch_all(now, gate, &mut actions);
        self.unload_retired(&mut actions);
        self.start_loads(now, &mut actions);
        let _holds = self.check_invariants();
        actions
    }

    fn expire(&mut self, now: Instant) -> Vec<Action> {
        let late: Vec<JobKey> = self
            .queue
            .iter()
            .copied()
            .filter(|key| match &self.jobs[*key] {
                AnyJob::Queued(job) => job.deadline.is_some_and(|deadline| deadline <= now),
                AnyJob::Running(_) => false,
            })
            .collect();
        let not_run = NotRun::new(NotRunReason::Deadline, self.mean_run());
        late.into_iter()
            .filter_map(|key| self.refuse(key, not_run))
            .collect()
    }

    /// Starts what can run, in order.
    ///
    /// Once a job waits for tokens of an upstream, no later one may take them,
    /// or else large requests would never run on a busy upstream.
    fn dispatch_all(&mut self, now: Instant, gate: &dyn Gate, actions: &mut Vec<Action>) {
        let mut full: Vec<UpstreamKey> = Vec::new();
        for key in self.queue_in_order(now) {
            let AnyJob::Queued(job) = &self.jobs[key] else {
                continue;
            };
            let Some(upstream) = self.best_upstream(&job.target, &full) else {
                continue;
            };
            if !self.has_token_room(upstream, job) {
                full.push(upstream);
                continue;
            }
            match gate.check(&job.target) {
                Ok(()) => actions.extend(self.dispatch(now, key, upstream)),
                Err(not_run) => actions.extend(self.refuse(key, not_run)),
            }
        }
    }

    fn has_token_room(&self, key: UpstreamKey, job: &Job<Queued>) -> bool {
        let upstream = &self.upstreams[key];
        let ahead = self.settings.read_ahead.as_secs_f64() * 1e3;
        let limit = (ahead * upstream.tokens.pace.rate()) as u64;
        let fresh = upstream.fresh_tokens(&job.target, &job.demand);
        upstream.has_token_room(fresh, job.demand.held_tokens(), limit)
    }

    /// Returns the queue by class, then those that can still be on time, then
    /// by rank and arrival.
    fn queue_in_order(&self, now: Instant) -> Vec<JobKey> {
        let mut keys = self.queue.clone();
        keys.sort_by_key(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => {
                let late = job.due.is_some_and(|due| due <= now);
                let class = std::cmp::Reverse(job.priority);
                (class, late, job.demand.rank, job.arrived)
            }
            AnyJob::Running(job) => {
                let class = std::cmp::Reverse(job.priority);
                (class, false, job.demand.rank, job.arrived)
            }
        });
        keys
    }

    fn best_upstream(&self, target: &Target, full: &[UpstreamKey]) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(key, upstream)| upstream.can_run(target) && !full.contains(key))
            .min_by_key(|(_, upstream)| upstream.running)
            .map(|(key, _)| key)
    }

    fn dispatch(&mut self, now: Instant, key: JobKey, upstream: UpstreamKey) -> Option<Action> {
        let held = &mut self.upstreams[upstream];
        let takes_work = invariant::check(
            Invariant::LeavingTakesNoWork,
            held.takes_work(),
            &format_args!("dispatch to {}", held.name),
        );
        if !takes_work {
            return None;
        }
        let Some(AnyJob::Queued(job)) = self.jobs.get(key).cloned() else {
            return None;
        };
        let boot = held.boot;
        held.running += 1;
        let unread = held.start_reading(now, &job.target, &job.demand);
        let resident = job
            .target
            .adapter()
            .and_then(|adapter| held.residents.get_mut(adapter));
        if let Some(resident) = resident {
            resident.pins += 1;
            resident.last_used = now;
        }
        self.queue.retain(|queued| *queued != key);
        self.jobs[key] = AnyJob::Running(job.dispatch(now, upstream, boot, unread));
        Some(Action::Dispatch { job: key, upstream })
    }
}
