//! Events of upstreams: outcomes of load and unload orders, responses to probes,
//! and changes of version or ownership.

use crate::action::Action;
use crate::job::AnyJob;
use crate::job::JobKey;
use crate::job::Target;
use crate::scheduler::Scheduler;
use crate::upstream::BaseModelState;
use crate::upstream::Limits;
use crate::upstream::Resident;
use crate::upstream::ResidentState;
use crate::upstream::UpstreamKey;
use crate::upstream::backoff_delay;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use std::time::Instant;

/// Outcome of an order to load or unload an adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The upstream carried the order out.
    Done,
    /// The upstream refused the order or failed to carry it out.
    Failed,
    /// No response arrived; the upstream may have carried the order out.
    Unknown,
}

/// Response of an upstream to a probe.
#[derive(Clone, Debug)]
pub struct ProbeResponse {
    /// Boot ID of the upstream, which changes with each restart.
    pub boot: BootId,
    /// Limits of the upstream.
    pub limits: Limits,
    /// Whether the base model is loaded; `true` for upstreams that cannot unload it
    /// or have none.
    pub has_base_model: bool,
    /// Adapters that are resident on the upstream.
    pub resident: Vec<AdapterRef>,
    /// Adapters that the upstream is loading; `None` if the upstream does not
    /// report them.
    pub loading: Option<Vec<AdapterRef>>,
}

impl Scheduler {
    /// Records the outcome of a load order.
    pub fn on_load_end(
        &mut self,
        now: Instant,
        upstream: UpstreamKey,
        adapter: &AdapterRef,
        outcome: OrderOutcome,
    ) -> Vec<Action> {
        match outcome {
            OrderOutcome::Done => {
                self.finish_load(now, upstream, adapter);
                Vec::new()
            }
            OrderOutcome::Failed => self.fail_load(now, upstream, adapter),
            OrderOutcome::Unknown => self.mark_unknown(upstream, adapter),
        }
    }

    /// Records the outcome of an unload order.
    pub fn on_unload_end(
        &mut self,
        upstream: UpstreamKey,
        adapter: &AdapterRef,
        outcome: OrderOutcome,
    ) -> Vec<Action> {
        match outcome {
            OrderOutcome::Done => {
                if let Some(upstream) = self.upstreams.get_mut(upstream) {
                    upstream.residents.remove(adapter);
                }
                Vec::new()
            }
            OrderOutcome::Failed | OrderOutcome::Unknown => self.mark_unknown(upstream, adapter),
        }
    }

    /// Updates the state of an upstream from its response to a probe.
    pub fn on_probe(&mut self, now: Instant, key: UpstreamKey, response: &ProbeResponse) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let settings = &self.settings;
        upstream.reconcile_residents(now, response.boot, &response.resident, settings);
        if let Some(loading) = &response.loading {
            upstream.reconcile_loads(now, loading, &response.resident, settings);
        }
        if upstream.limits.kv_tokens != response.limits.kv_tokens {
            let kv_tokens = response.limits.kv_tokens;
            upstream.tokens.prefixes.set_capacity(kv_tokens);
        }
        upstream.limits = response.limits;
        upstream.base_model_state = match (response.has_base_model, upstream.base_model_state) {
            (true, _) => BaseModelState::Ready,
            (false, BaseModelState::Loading { since }) => BaseModelState::Loading { since },
            (false, BaseModelState::Absent | BaseModelState::Ready) => BaseModelState::Absent,
        };
    }

    /// Records that an order to load the base model was not carried out.
    ///
    /// The next order follows after `backoff_initial`.
    pub fn on_base_model_load_failed(&mut self, now: Instant, key: UpstreamKey) {
        let delay = self.settings.backoff_initial;
        // Backdated, so that the load times out at the end of the backoff.
        let since = (now + delay).checked_sub(self.settings.base_model_load_timeout);
        if let Some(upstream) = self.upstreams.get_mut(key)
            && let (BaseModelState::Loading { .. }, Some(since)) =
                (upstream.base_model_state, since)
        {
            upstream.base_model_state = BaseModelState::Loading { since };
        }
    }

    /// Switches all queued jobs for any version of the adapter `newer.name` to the
    /// version `newer`.
    pub fn retarget_queued(&mut self, newer: &AdapterRef) {
        for key in &self.queue {
            if let Some(AnyJob::Queued(job)) = self.jobs.get_mut(*key)
                && let Target::Adapter { adapter, .. } = &mut job.target
                && adapter.name == newer.name
            {
                *adapter = newer.clone();
            }
        }
    }

    /// Sets the version of the load in flight for the adapter `actual.name`, as an
    /// upstream may load another version than the one that was ordered.
    pub fn set_loading_version(&mut self, key: UpstreamKey, actual: &AdapterRef) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let is_loading = |(known, resident): &(&AdapterRef, &Resident)| {
            known.name == actual.name && matches!(resident.state, ResidentState::Loading { .. })
        };
        let known = upstream.residents.iter().find(is_loading);
        let known = known.map(|(known, _)| known.clone());
        if let Some(resident) = known.and_then(|known| upstream.residents.remove(&known)) {
            upstream.residents.insert(actual.clone(), resident);
        }
    }

    /// Records that an upstream is unreachable. The upstream receives no new jobs or
    /// orders until it responds to a probe.
    pub fn on_upstream_down(&mut self, key: UpstreamKey) {
        self.mark_down(key);
    }

    /// Sets whether this agent owns its upstreams and may therefore send them
    /// orders.
    pub fn set_owned(&mut self, owned: bool) {
        for upstream in self.upstreams.values_mut() {
            upstream.owned = owned;
        }
    }

    fn finish_load(&mut self, now: Instant, key: UpstreamKey, adapter: &AdapterRef) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.backoffs.remove(adapter);
        let Some(resident) = upstream.residents.get_mut(adapter) else {
            return;
        };
        let previous = std::mem::replace(&mut resident.state, ResidentState::Ready);
        resident.last_used = now;
        if let ResidentState::Loading { since } = previous {
            upstream.record_load_time(now, since, &self.settings);
        }
    }

    fn fail_load(&mut self, now: Instant, key: UpstreamKey, adapter: &AdapterRef) -> Vec<Action> {
        let (initial, max) = (self.settings.backoff_initial, self.settings.backoff_max);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return Vec::new();
        };
        upstream.residents.remove(adapter);
        let previous = upstream
            .backoffs
            .get(adapter)
            .map_or(0, |backoff| backoff.failures);
        let delay = backoff_delay(initial, max, previous + 1);
        let failures = upstream.record_load_failure(adapter, now + delay);
        if failures < self.settings.max_load_attempts {
            return Vec::new();
        }
        self.refuse_queued_for(adapter, NotRun::new(NotRunReason::LoadFailed, delay))
    }

    fn refuse_queued_for(&mut self, adapter: &AdapterRef, not_run: NotRun) -> Vec<Action> {
        let queued_keys: Vec<JobKey> = self
            .queue
            .iter()
            .copied()
            .filter(|key| match &self.jobs[*key] {
                AnyJob::Queued(job) => job.target.adapter() == Some(adapter),
                AnyJob::Running(_) => false,
            })
            .collect();
        queued_keys
            .into_iter()
            .filter_map(|key| self.refuse(key, not_run))
            .collect()
    }

    fn mark_unknown(&mut self, key: UpstreamKey, adapter: &AdapterRef) -> Vec<Action> {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return Vec::new();
        };
        if let Some(resident) = upstream.residents.get_mut(adapter) {
            resident.state = ResidentState::Unknown;
        }
        vec![Action::Probe { upstream: key }]
    }
}
