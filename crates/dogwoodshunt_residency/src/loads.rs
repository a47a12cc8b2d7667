//! What to load and evict next.

use crate::action::Action;
use crate::job::AnyJob;
use crate::job::Target;
use crate::residency::Residency;
use crate::upstream::Base;
use crate::upstream::Residence;
use crate::upstream::Resident;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use std::time::Duration;
use std::time::Instant;

impl Residency {
    /// Orders the base model of engines that have lost it, as after a restart.
    pub(crate) fn load_bases(&mut self, now: Instant, actions: &mut Vec<Action>) {
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

    pub(crate) fn unload_retired(&mut self, actions: &mut Vec<Action>) {
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

    pub(crate) fn start_loads(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
