//! Guards that report the end of a run or call to the control thread when they
//! are dropped.

use crate::control::ControlEvent;
use crate::control::PlacementId;
use crate::control::RunEnd;
use crate::control::SelectedUpstream;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::WorkspaceName;

/// Reports the end of a placement, or of the run granted for it, when dropped.
pub(super) struct RunGuard {
    pub(super) placement_id: PlacementId,
    /// How the run has ended so far.
    pub(super) end: RunEnd,
    is_answer_reported: bool,
    events: Sender<ControlEvent>,
}

impl RunGuard {
    pub(super) fn new(placement_id: PlacementId, events: Sender<ControlEvent>) -> Self {
        Self {
            placement_id,
            end: RunEnd::Finished,
            is_answer_reported: false,
            events,
        }
    }

    /// Reports once that the engine has begun to answer.
    pub(super) fn report_first_byte(&mut self) {
        if std::mem::replace(&mut self.is_answer_reported, true) {
            return;
        }
        let placement_id = self.placement_id;
        // The channel is unbounded and closes only while the process exits.
        let _ = self
            .events
            .try_send(ControlEvent::FirstByte { placement_id });
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let placement_ended = ControlEvent::PlacementEnded {
            placement_id: self.placement_id,
            end: self.end,
        };
        let _ = self.events.try_send(placement_ended);
    }
}

/// Reports the end of a call of a plain service when dropped.
pub(crate) struct CallGuard {
    pub(super) service: ServiceName,
    pub(super) upstream: UpstreamName,
    pub(super) started: UnixMillis,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) workspace: Option<WorkspaceName>,
    pub(super) end: CallEnd,
    pub(super) events: Sender<ControlEvent>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let ended = ControlEvent::CallEnded {
            service: self.service.clone(),
            upstream: self.upstream.clone(),
            started: self.started,
            fingerprint: self.fingerprint,
            workspace: self.workspace.clone(),
            end: self.end,
        };
        let _ = self.events.try_send(ended);
    }
}

/// Selection of an upstream that the control thread has been asked for.
///
/// A selected upstream has a call in flight from then on. If nobody receives the selection, the call
/// ends when this is dropped.
pub(crate) struct PendingSelection {
    pub(crate) selection_rx: Receiver<Result<SelectedUpstream, NotRun>>,
    pub(crate) service: ServiceName,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) events: Sender<ControlEvent>,
}

impl PendingSelection {
    /// Waits for the selection; returns `None` if the control thread has ended.
    pub(crate) async fn receive(
        &mut self,
    ) -> Option<Result<(SelectedUpstream, CallGuard), NotRun>> {
        let selected = self.selection_rx.recv().await.ok()?;
        Some(selected.map(|selected| {
            let guard = self.guard(&selected);
            (selected, guard)
        }))
    }

    fn guard(&self, selected: &SelectedUpstream) -> CallGuard {
        CallGuard {
            service: self.service.clone(),
            upstream: selected.upstream.clone(),
            started: selected.started,
            fingerprint: self.fingerprint,
            workspace: self.workspace.clone(),
            end: CallEnd::Neutral,
            events: self.events.clone(),
        }
    }
}

impl Drop for PendingSelection {
    fn drop(&mut self) {
        // The control thread ends a call whose selection it cannot send any more.
        self.selection_rx.close();
        if let Ok(Ok(selected)) = self.selection_rx.try_recv() {
            drop(self.guard(&selected));
        }
    }
}
