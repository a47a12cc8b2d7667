//! Orders to upstreams and probes of them: how they ended, and what follows.

use crate::action::Action;
use crate::job::AnyJob;
use crate::job::JobKey;
use crate::residency::Residency;
use crate::upstream::Residence;
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
    /// Adapters that it holds.
    pub resident: Vec<AdapterRef>,
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
        upstream.read_back(now, answer.boot, &answer.resident);
        upstream.room = answer.room;
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
        if let Some(resident) = upstream.residents.get_mut(adapter) {
            resident.state = Residence::Ready;
            resident.last_used = now;
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
