//! Orders to upstreams and probes of them: how they ended, and what follows.

use crate::action::Action;
use crate::job::AnyJob;
use crate::job::JobKey;
use crate::job::Target;
use crate::residency::Residency;
use crate::upstream::Base;
use crate::upstream::Residence;
use crate::upstream::Resident;
use crate::upstream::Room;
use crate::upstream::UpstreamKey;
use crate::upstream::backoff_pause;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use std::time::Instant;

/// How a load order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The upstream carried the order out.
    Done,
    /// The upstream refused it or failed to carry it out.
    Failed,
    /// The answer was lost; the upstream may have carried it out.
    Unsure,
}

/// What a probe of an upstream found.
#[derive(Clone, Debug)]
pub struct ProbeAnswer {
    /// Boot of the upstream.
    pub boot: BootId,
    /// Room of the upstream.
    pub room: Room,
    /// Whether its base model is loaded; `true` where it can't be unloaded.
    pub has_base: bool,
    /// Adapters that it holds.
    pub resident: Vec<AdapterRef>,
    /// Adapters on their way to it, where it tells them.
    pub incoming: Option<Vec<AdapterRef>>,
}

impl Residency {
    /// Records how a load order ended.
    pub fn on_load_end(
        &mut self,
        now: Instant,
        upstream: UpstreamKey,
        adapter: &AdapterRef,
        end: OrderEnd,
    ) -> Vec<Action> {
        match end {
            OrderEnd::Done => {
                self.finish_load(now, upstream, adapter);
                Vec::new()
            }
            OrderEnd::Failed => self.fail_load(now, upstream, adapter),
            OrderEnd::Unsure => self.doubt(upstream, adapter),
        }
    }

    /// Records how an unload order ended.
    pub fn on_unload_end(
        &mut self,
        upstream: UpstreamKey,
        adapter: &AdapterRef,
        end: OrderEnd,
    ) -> Vec<Action> {
        match end {
            OrderEnd::Done => {
                if let Some(upstream) = self.upstreams.get_mut(upstream) {
                    upstream.residents.remove(adapter);
                }
                Vec::new()
            }
            OrderEnd::Failed | OrderEnd::Unsure => self.doubt(upstream, adapter),
        }
    }

    /// Records a probe's answer.
    pub fn on_probe(&mut self, now: Instant, key: UpstreamKey, answer: &ProbeAnswer) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let settings = &self.settings;
        upstream.read_back(now, answer.boot, &answer.resident, settings);
        if let Some(incoming) = &answer.incoming {
            upstream.read_incoming(now, incoming, &answer.resident, settings);
        }
        if upstream.room.kv_tokens != answer.room.kv_tokens {
            let kept = answer.room.kv_tokens;
            upstream.tokens.prefixes.set_capacity(kept);
        }
        upstream.room = answer.room;
        upstream.base = match (answer.has_base, upstream.base) {
            (true, _) => Base::Ready,
            (false, Base::Loading { since }) => Base::Loading { since },
            (false, Base::Absent | Base::Ready) => Base::Absent,
        };
    }

    /// Records that an order to load the base model was not carried out; the
    /// next one waits for the first pause after a failure.
    pub fn on_base_refused(&mut self, now: Instant, key: UpstreamKey) {
        let pause = self.settings.backoff_first;
        let since = (now + pause).checked_sub(self.settings.base_load_limit);
        if let Some(upstream) = self.upstreams.get_mut(key)
            && let (Base::Loading { .. }, Some(since)) = (upstream.base, since)
        {
            upstream.base = Base::Loading { since };
        }
    }

    /// Takes over that the newest version of an adapter is `newer`: what waits
    /// for another one gets this one.
    pub fn retarget(&mut self, newer: &AdapterRef) {
        for key in &self.queue {
            if let Some(AnyJob::Queued(job)) = self.jobs.get_mut(*key)
                && let Target::Adapter { adapter, .. } = &mut job.target
                && adapter.name == newer.name
            {
                *adapter = newer.clone();
            }
        }
    }

    /// Records which version a load that is in flight brings.
    pub fn rename_loading(&mut self, key: UpstreamKey, coming: &AdapterRef) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let loading = |(held, resident): &(&AdapterRef, &Resident)| {
            held.name == coming.name && matches!(resident.state, Residence::Loading { .. })
        };
        let held = upstream.residents.iter().find(loading);
        let held = held.map(|(held, _)| held.clone());
        if let Some(resident) = held.and_then(|held| upstream.residents.remove(&held)) {
            upstream.residents.insert(coming.clone(), resident);
        }
    }

    /// Records that an upstream does not answer.
    pub fn on_upstream_down(&mut self, key: UpstreamKey) {
        self.mark_down(key);
    }

    /// Records whether this agent may order its upstreams.
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
        let before = std::mem::replace(&mut resident.state, Residence::Ready);
        resident.last_used = now;
        if let Residence::Loading { since } = before {
            upstream.note_load(now, since, &self.settings);
        }
    }

    fn fail_load(&mut self, now: Instant, key: UpstreamKey, adapter: &AdapterRef) -> Vec<Action> {
        let (first, most) = (self.settings.backoff_first, self.settings.backoff_most);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return Vec::new();
        };
        upstream.residents.remove(adapter);
        let before = upstream.backoffs.get(adapter).map_or(0, |b| b.failures);
        let pause = backoff_pause(first, most, before + 1);
        let failures = upstream.note_failure(adapter, now + pause);
        if failures < self.settings.load_attempts {
            return Vec::new();
        }
        self.refuse_waiters(adapter, NotRun::new(NotRunReason::LoadFailed, pause))
    }

    fn refuse_waiters(&mut self, adapter: &AdapterRef, not_run: NotRun) -> Vec<Action> {
        let waiting: Vec<JobKey> = self
            .queue
            .iter()
            .copied()
            .filter(|key| match &self.jobs[*key] {
                AnyJob::Queued(job) => job.target.adapter() == Some(adapter),
                AnyJob::Running(_) => false,
            })
            .collect();
        waiting
            .into_iter()
            .filter_map(|key| self.refuse(key, not_run))
            .collect()
    }

    fn doubt(&mut self, key: UpstreamKey, adapter: &AdapterRef) -> Vec<Action> {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return Vec::new();
        };
        if let Some(resident) = upstream.residents.get_mut(adapter) {
            resident.state = Residence::Unsure;
        }
        vec![Action::Probe { upstream: key }]
    }
}
