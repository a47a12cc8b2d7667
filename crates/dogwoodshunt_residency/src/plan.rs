//! What to run, load and evict next.

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
use crate::upstream::Residence;
use crate::upstream::Resident;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use std::time::Duration;
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

    /// Orders the base model of engines that have lost it, as after a restart.
    fn load_bases(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let limit = self.settings.base_load_limit;
        for (key, upstream) in &mut self.upstreams {
            let due = match upstream.base {
                Base::Ready => false,
                Base::Absent => true,
                Base::Loading { since } => now.saturating_duration_since(since) >= limit,
            };
            if due && upstream.takes_work() && upstream.owned {
                upstream.base = Base::Loading { since: now };
                actions.push(Action::LoadBase { upstream: key });
            }
        }
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

    fn unload_retired(&mut self, actions: &mut Vec<Action>) {
        let retired: Vec<(UpstreamKey, AdapterRef)> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.owned && upstream.takes_work())
            .flat_map(|(key, upstream)| {
                let residents = upstream.residents.iter();
                let idle = residents.filter(|(_, resident)| {
                    resident.state == Residence::Retiring && resident.pins == 0
                });
                idle.map(move |(adapter, _)| (key, adapter.clone()))
            })
            .collect();
        for (key, adapter) in retired {
            actions.extend(self.unload(key, adapter));
        }
    }

    fn unload(&mut self, key: UpstreamKey, adapter: AdapterRef) -> Option<Action> {
        let resident = self.upstreams[key].residents.get_mut(&adapter)?;
        let unpinned = invariant::check(
            Invariant::PinnedNeverEvicted,
            resident.pins == 0,
            &format_args!("unload of {adapter} with {} pins", resident.pins),
        );
        if !unpinned {
            return None;
        }
        resident.state = Residence::Unloading;
        Some(Action::Unload {
            upstream: key,
            adapter,
        })
    }

    fn start_loads(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (adapter, base_model, waited) in self.load_order(now) {
            if self.retire_older(&adapter, actions) {
                continue;
            }
            let Some(key) = self.load_site(now, &adapter, &base_model) else {
                self.retire_for(now, &adapter, &base_model, waited);
                continue;
            };
            if !self.budget.allows(now, &adapter) {
                continue;
            }
            if !self.upstreams[key].has_slot() {
                let victim = self.victim(now, key);
                actions.extend(victim.and_then(|victim| self.unload(key, victim)));
                continue;
            }
            if !self.budget.take(now, &adapter) {
                continue;
            }
            let loading = Resident::new(Residence::Loading { since: now }, now);
            self.upstreams[key]
                .residents
                .insert(adapter.clone(), loading);
            self.preloads.remove(&adapter);
            actions.push(Action::Load {
                upstream: key,
                adapter,
            });
        }
    }

    /// Makes room for a version where an upstream holds one at a time.
    ///
    /// Returns whether another version must leave first.
    fn retire_older(&mut self, wanted: &AdapterRef, actions: &mut Vec<Action>) -> bool {
        let held = self.upstreams.iter().find_map(|(key, upstream)| {
            let one_version = upstream.room.one_version && upstream.owned;
            let (adapter, resident) = upstream.other_version(wanted).filter(|_| one_version)?;
            Some((key, adapter.clone(), resident.state, resident.pins))
        });
        let Some((key, adapter, state, pins)) = held else {
            return false;
        };
        match state {
            Residence::Ready | Residence::Retiring if pins == 0 => {
                if self.upstreams[key].takes_order() {
                    actions.extend(self.unload(key, adapter));
                }
            }
            Residence::Ready => {
                if let Some(resident) = self.upstreams[key].residents.get_mut(&adapter) {
                    resident.state = Residence::Retiring;
                }
            }
            Residence::Loading { .. }
            | Residence::Retiring
            | Residence::Unloading
            | Residence::Unsure => {}
        }
        true
    }

    /// Returns the adapters to load, the costliest wait first.
    fn load_order(&self, now: Instant) -> Vec<(AdapterRef, Box<str>, Duration)> {
        let mut order: Vec<(AdapterRef, Box<str>, Duration)> = Vec::new();
        for want in self.wants(now) {
            if let Some(base_model) = self.base_model_of(&want.adapter) {
                order.push((want.adapter, base_model, want.oldest));
            }
        }
        order
    }

    fn base_model_of(&self, wanted: &AdapterRef) -> Option<Box<str>> {
        let preload = self.preloads.get(wanted).cloned();
        preload.or_else(|| self.queued_base_model_of(wanted))
    }

    fn queued_base_model_of(&self, wanted: &AdapterRef) -> Option<Box<str>> {
        self.queue.iter().find_map(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => match &job.target {
                Target::Adapter {
                    adapter,
                    base_model,
                } if adapter == wanted => Some(base_model.clone()),
                Target::Adapter { .. } | Target::BaseModel(_) | Target::Service(_) => None,
            },
            AnyJob::Running(_) => None,
        })
    }

    fn load_site(
        &self,
        now: Instant,
        adapter: &AdapterRef,
        base_model: &str,
    ) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.takes_work() && upstream.owned)
            .filter(|(_, upstream)| upstream.is_engine_of(base_model))
            .filter(|(_, upstream)| upstream.takes_order() && upstream.may_load(now, adapter))
            .filter(|(_, upstream)| upstream.base == Base::Ready)
            .filter(|(_, upstream)| upstream.has_load_room(now))
            // A retiring adapter still holds its slot and its pins.
            .filter(|(_, upstream)| !upstream.residents.contains_key(adapter))
            .filter(|(key, upstream)| upstream.has_slot() || self.victim(now, *key).is_some())
            .min_by_key(|(_, upstream)| (!upstream.has_slot(), upstream.running))
            .map(|(key, _)| key)
    }

    /// Returns the unpinned adapter that is cheapest to lose.
    fn victim(&self, now: Instant, key: UpstreamKey) -> Option<AdapterRef> {
        let residents = self.upstreams[key].residents.iter();
        residents
            .filter(|(_, resident)| resident.state == Residence::Ready && resident.pins == 0)
            .filter(|(adapter, _)| !self.is_waited_for(adapter))
            .min_by(|a, b| self.by_worth(now, a, b))
            .map(|(adapter, _)| adapter.clone())
    }

    fn by_worth(
        &self,
        now: Instant,
        a: &(&AdapterRef, &Resident),
        b: &(&AdapterRef, &Resident),
    ) -> std::cmp::Ordering {
        let worth = |adapter| self.popularity.get(now, adapter);
        let by_popularity = worth(a.0).total_cmp(&worth(b.0));
        let by_use = a.1.last_used.cmp(&b.1.last_used);
        by_popularity.then(by_use).then_with(|| a.0.cmp(b.0))
    }

    pub(crate) fn is_waited_for(&self, adapter: &AdapterRef) -> bool {
        self.queue.iter().any(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => job.target.adapter() == Some(adapter),
            AnyJob::Running(_) => false,
        })
    }

    /// Lets a pinned adapter run out where another has waited too long.
    fn retire_for(
        &mut self,
        now: Instant,
        adapter: &AdapterRef,
        base_model: &str,
        waited: Duration,
    ) {
        if waited < self.settings.pass_over_limit {
            return;
        }
        let site = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.takes_work() && upstream.owned)
            .filter(|(_, upstream)| upstream.is_engine_of(base_model))
            .filter(|(_, upstream)| upstream.takes_order() && upstream.may_load(now, adapter))
            .find(|(_, upstream)| {
                let mut residents = upstream.residents.values();
                !residents.any(|resident| resident.state == Residence::Retiring)
            })
            .map(|(key, _)| key);
        let Some(key) = site else { return };
        let ready = self.upstreams[key]
            .residents
            .iter()
            .filter(|(_, resident)| resident.state == Residence::Ready);
        let cheapest = ready.min_by(|a, b| self.by_worth(now, a, b));
        let Some(cheapest) = cheapest.map(|(adapter, _)| adapter.clone()) else {
            return;
        };
        if let Some(resident) = self.upstreams[key].residents.get_mut(&cheapest) {
            resident.state = Residence::Retiring;
        }
    }
}
