//! Runs of workspaces.

use super::TestAgent;
use super::granted_runs;
use crate::workspace_labels::WorkspaceLabels;
use dogwoodshunt_residency::Target;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use std::time::Duration;

impl TestAgent {
    fn request_run_of(&mut self, workspace: &str) -> RequestId {
        self.last_request_number += 1;
        let request = RequestId {
            entry_boot: 7,
            number: self.last_request_number,
        };
        self.receive_frame(Frame::Admit(Box::new(Admit {
            request,
            target: Target::Adapter {
                adapter: AdapterRef::new("a", "1"),
                base_model: "base".into(),
            },
            demand: Default::default(),
            workspace: Some(workspace.into()),
            max_event_gap: None,
            paced: false,
            due_in: Duration::from_secs(1),
            time_left: Duration::from_secs(3),
            started: false,
        })));
        request
    }

    fn report_two_a_second(&mut self) {
        self.receive_report(|report| {
            report.adapters = vec![AdapterRef::new("a", "1")];
            report.rate_limit = RateLimit::per_second(2.0);
        });
    }
}

#[test]
fn scarce_runs_go_to_the_workspace_that_has_had_none() {
    let mut agent = TestAgent::owning_named_engine();
    agent.report_two_a_second();
    let first = agent.request_run_of("large");
    agent.request_run_of("large");
    let other = agent.request_run_of("small");
    let granted = granted_runs(&agent.take_sent_frames());
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].0, first);
    agent.now += Duration::from_millis(500);
    agent.report_two_a_second();
    let granted = granted_runs(&agent.take_sent_frames());
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].0, other);
}

/// Guards against metrics that grow with the number of workspaces.
#[test]
fn workspaces_beyond_64_share_a_label() {
    let labels = WorkspaceLabels::default();
    for number in 0..64 {
        let name = format!("w{number}");
        assert_eq!(labels.label(Some(&name)), name);
    }
    assert_eq!(labels.label(Some("w64")), "other");
    assert_eq!(labels.label(Some("w3")), "w3");
    assert_eq!(labels.label(None), "none");
}
