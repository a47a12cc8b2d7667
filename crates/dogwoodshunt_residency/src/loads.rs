//! Choice of the adapters to load and to evict.

use crate::action::Action;
use crate::job::AnyJob;
use crate::job::Target;
use crate::scheduler::Scheduler;
use crate::upstream::BaseModelState;
use crate::upstream::Resident;
use crate::upstream::ResidentState;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use std::time::Duration;
use std::time::Instant;

impl Scheduler {
    /// Orders engines that lack their base model, as after a restart, to load it.
    ///
    /// An order that is not confirmed within `base_model_load_timeout` is repeated.
    pub(crate) fn load_base_models(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let limit = self.settings.base_model_load_timeout;
        for (key, upstream) in &mut self.upstreams {
            let due = match upstream.base_model_state {
                BaseModelState::Ready => false,
                BaseModelState::Absent => true,
                BaseModelState::Loading { since } => now.saturating_duration_since(since) >= limit,
            };
            if due && upstream.takes_work() && upstream.owned {
                upstream.base_model_state = BaseModelState::Loading { since: now };
                actions.push(Action::LoadBaseModel { upstream: key });
            }
        }
    }

    pub(crate) fn unload_drained(&mut self, actions: &mut Vec<Action>) {
        let drained: Vec<(UpstreamKey, AdapterRef)> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.owned && upstream.takes_work())
            .flat_map(|(key, upstream)| {
                let residents = upstream.residents.iter();
                let idle = residents.filter(|(_, resident)| {
                    resident.state == ResidentState::Draining && resident.pins == 0
                });
                idle.map(move |(adapter, _)| (key, adapter.clone()))
            })
            .collect();
        for (key, adapter) in drained {
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
        resident.state = ResidentState::Unloading;
        Some(Action::Unload {
            upstream: key,
            adapter,
        })
    }

    /// Orders pending loads, by descending cost of delay, where the load budget allows.
    ///
    /// Where no slot is free, only the unload of another adapter is ordered, and the
    /// load follows in a later planning step. Where no engine can accept the load,
    /// another adapter may be drained.
    pub(crate) fn start_loads(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (adapter, base_model, waited) in self.loads_by_cost(now) {
            if self.evict_other_version(&adapter, actions) {
                continue;
            }
            let Some(key) = self.upstream_for_load(now, &adapter, &base_model) else {
                self.drain_for_starved(now, &adapter, &base_model, waited);
                continue;
            };
            if !self.budget.allows(now, &adapter) {
                continue;
            }
            if !self.upstreams[key].has_free_slot() {
                let victim = self.victim(now, key);
                actions.extend(victim.and_then(|victim| self.unload(key, victim)));
                continue;
            }
            if !self.budget.try_take(now, &adapter) {
                continue;
            }
            let loading = Resident::new(ResidentState::Loading { since: now }, now);
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

    /// Unloads or drains another version of `wanted` on an upstream that can hold
    /// only one version of an adapter.
    ///
    /// Returns whether such a version is present and must be removed first.
    fn evict_other_version(&mut self, wanted: &AdapterRef, actions: &mut Vec<Action>) -> bool {
        let other = self.upstreams.iter().find_map(|(key, upstream)| {
            let single_version = upstream.limits.single_version && upstream.owned;
            let (adapter, resident) = upstream.other_version(wanted).filter(|_| single_version)?;
            Some((key, adapter.clone(), resident.state, resident.pins))
        });
        let Some((key, adapter, state, pins)) = other else {
            return false;
        };
        match state {
            ResidentState::Ready | ResidentState::Draining if pins == 0 => {
                if self.upstreams[key].can_send_order() {
                    actions.extend(self.unload(key, adapter));
                }
            }
            ResidentState::Ready => {
                if let Some(resident) = self.upstreams[key].residents.get_mut(&adapter) {
                    resident.state = ResidentState::Draining;
                }
            }
            ResidentState::Loading { .. }
            | ResidentState::Draining
            | ResidentState::Unloading
            | ResidentState::Unknown => {}
        }
        true
    }

    /// Returns the adapters to load, each with its base model and the age of its
    /// oldest queued job, by descending cost of delay.
    fn loads_by_cost(&self, now: Instant) -> Vec<(AdapterRef, Box<str>, Duration)> {
        let mut loads: Vec<(AdapterRef, Box<str>, Duration)> = Vec::new();
        for load in self.pending_loads(now) {
            if let Some(base_model) = self.base_model_of(&load.adapter) {
                loads.push((load.adapter, base_model, load.oldest));
            }
        }
        loads
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

    fn upstream_for_load(
        &self,
        now: Instant,
        adapter: &AdapterRef,
        base_model: &str,
    ) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.takes_work() && upstream.owned)
            .filter(|(_, upstream)| upstream.is_engine_of(base_model))
            .filter(|(_, upstream)| upstream.can_send_order() && upstream.may_load(now, adapter))
            .filter(|(_, upstream)| upstream.base_model_state == BaseModelState::Ready)
            .filter(|(_, upstream)| upstream.load_window_allows(now))
            // A draining adapter still occupies its slot and has pins, which a new
            // load would discard.
            .filter(|(_, upstream)| !upstream.residents.contains_key(adapter))
            .filter(|(key, upstream)| upstream.has_free_slot() || self.victim(now, *key).is_some())
            .min_by_key(|(_, upstream)| (!upstream.has_free_slot(), upstream.running))
            .map(|(key, _)| key)
    }

    /// Returns the adapter to evict: the least popular one that no run uses and no
    /// queued job needs.
    fn victim(&self, now: Instant, key: UpstreamKey) -> Option<AdapterRef> {
        let residents = self.upstreams[key].residents.iter();
        residents
            .filter(|(_, resident)| resident.state == ResidentState::Ready && resident.pins == 0)
            .filter(|(adapter, _)| !self.is_requested(adapter))
            .min_by(|a, b| self.eviction_order(now, a, b))
            .map(|(adapter, _)| adapter.clone())
    }

    /// Compares two adapters by popularity, then last use, then name; the lesser one
    /// is evicted first.
    fn eviction_order(
        &self,
        now: Instant,
        a: &(&AdapterRef, &Resident),
        b: &(&AdapterRef, &Resident),
    ) -> std::cmp::Ordering {
        let count = |adapter| self.popularity.get(now, adapter);
        let by_popularity = count(a.0).total_cmp(&count(b.0));
        let by_use = a.1.last_used.cmp(&b.1.last_used);
        by_popularity.then(by_use).then_with(|| a.0.cmp(b.0))
    }

    pub(crate) fn is_requested(&self, adapter: &AdapterRef) -> bool {
        self.queue.iter().any(|key| match &self.jobs[*key] {
            AnyJob::Queued(job) => job.target.adapter() == Some(adapter),
            AnyJob::Running(_) => false,
        })
    }

    /// Drains the least popular ready adapter on an engine that could load `adapter`,
    /// once the oldest request for `adapter` has waited for `starvation_limit`.
    ///
    /// Otherwise adapters with a steady stream of requests would keep their slots
    /// forever. At most one adapter per engine drains at a time.
    fn drain_for_starved(
        &mut self,
        now: Instant,
        adapter: &AdapterRef,
        base_model: &str,
        waited: Duration,
    ) {
        if waited < self.settings.starvation_limit {
            return;
        }
        let without_draining = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.takes_work() && upstream.owned)
            .filter(|(_, upstream)| upstream.is_engine_of(base_model))
            .filter(|(_, upstream)| upstream.can_send_order() && upstream.may_load(now, adapter))
            .find(|(_, upstream)| {
                let mut residents = upstream.residents.values();
                !residents.any(|resident| resident.state == ResidentState::Draining)
            })
            .map(|(key, _)| key);
        let Some(key) = without_draining else { return };
        let ready = self.upstreams[key]
            .residents
            .iter()
            .filter(|(_, resident)| resident.state == ResidentState::Ready);
        let least_popular = ready.min_by(|a, b| self.eviction_order(now, a, b));
        let Some(least_popular) = least_popular.map(|(adapter, _)| adapter.clone()) else {
            return;
        };
        if let Some(resident) = self.upstreams[key].residents.get_mut(&least_popular) {
            resident.state = ResidentState::Draining;
        }
    }
}
