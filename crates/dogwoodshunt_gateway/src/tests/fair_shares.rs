//! Requests and calls of workspaces while capacity is scarce.

use super::TestEntry;
use super::report;
use crate::control::ControlEvent;
use crate::control::SelectedUpstream;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::WorkspaceName;

impl TestEntry {
    /// Makes all agents report prompts that take their engines ten seconds.
    fn receive_long_queues(&mut self) {
        for (agent, _) in self.agents.clone() {
            self.receive_heartbeat(agent, |heartbeat| {
                let mut report = report(&["a@1"]);
                let engine = report.upstreams[0].engine.as_mut();
                engine.unwrap().pending_prefill = 300_000;
                heartbeat.report = Some(ReportUpdate::Full(report));
            });
        }
    }

    fn select_for_workspace(
        &mut self,
        workspace: Option<&str>,
    ) -> Result<SelectedUpstream, NotRun> {
        let (reply_tx, selection_rx) = async_channel::bounded(1);
        self.handle(ControlEvent::SelectUpstream {
            service: "records".into(),
            fingerprint: 0,
            workspace: workspace.map(WorkspaceName::from),
            excluded: Vec::new(),
            software: None,
            reply_tx,
        });
        selection_rx.try_recv().unwrap()
    }
}

/// Guards against a workspace that fills the queues of all agents, so that entries refuse
/// the requests of the others without asking.
#[test]
fn request_of_a_workspace_is_decided_by_one_agent_although_all_queues_are_long() {
    let mut entry = TestEntry::new();
    entry.receive_long_queues();
    let (_, grant_rx) = entry.place("a");
    assert_eq!(
        grant_rx.try_recv().unwrap().unwrap_err().reason,
        NotRunReason::Deadline
    );
    assert!(entry.take_sent_frames().is_empty());
    let (_, grant_rx) = entry.place_with("a", |req| req.workspace = Some("small".into()));
    let (agent, admit) = entry.expect_admit();
    assert_eq!(admit.workspace.as_deref(), Some("small"));
    assert!(grant_rx.is_empty());
    // The second agent is asked only if it is expected to be in time.
    entry.receive_declined(agent, admit.request, NotRunReason::Overloaded);
    assert!(entry.take_sent_frames().is_empty());
    assert!(grant_rx.try_recv().unwrap().is_err());
}

#[test]
fn workspace_with_many_calls_is_refused_while_upstreams_refuse_calls_of_others() {
    let mut entry = TestEntry::new();
    for _ in 0..5 {
        assert!(entry.select_for_workspace(Some("large")).is_ok());
    }
    assert!(entry.select_for_workspace(Some("small")).is_ok());
    entry.handle(ControlEvent::CallEnded {
        service: "records".into(),
        upstream: "plain-1".into(),
        started: 1,
        fingerprint: 0,
        workspace: Some("small".into()),
        end: CallEnd::Refused,
    });
    let refusal = entry.select_for_workspace(Some("large")).unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::Overloaded);
    assert!(entry.select_for_workspace(Some("small")).is_ok());
    assert!(entry.select_for_workspace(None).is_ok());
}
