//! Ledger of workspaces.

use super::TestAgent;
use dogwoodshunt_quotas::QuotaGrant;
use dogwoodshunt_quotas::QuotaLimits;
use dogwoodshunt_quotas::QuotaRequest;
use dogwoodshunt_quotas::messages::Ask;
use dogwoodshunt_quotas::messages::WorkspaceRequest;
use dogwoodshunt_wire::Frame;
use std::time::Duration;

impl TestAgent {
    fn receive_quota_request(&mut self, workspaces: Vec<WorkspaceRequest>) {
        self.receive_frame(Frame::QuotaRequest(Box::new(QuotaRequest {
            entries: 1,
            registered: 1,
            workspaces,
        })));
    }

    fn register(&mut self) {
        self.receive_quota_request(vec![WorkspaceRequest {
            workspace: "w".into(),
            limits: Some(QuotaLimits {
                rate: 1_000,
                burst: 1_000,
                revision: 1,
            }),
            ..WorkspaceRequest::default()
        }]);
    }

    fn ask(&mut self, amount: u64, wait_ms: u64) {
        self.receive_quota_request(vec![WorkspaceRequest {
            workspace: "w".into(),
            ask: Some(Ask {
                number: 1,
                least: amount,
                wanted: amount,
                wait_ms,
            }),
            ..WorkspaceRequest::default()
        }]);
    }

    fn take_quota_grants(&mut self) -> Vec<QuotaGrant> {
        let frames = self.take_sent_frames().into_iter();
        let grants = frames.filter_map(|frame| match frame {
            Frame::QuotaGrant(grant) => Some(*grant),
            _ => None,
        });
        grants.collect()
    }
}

#[test]
fn agent_grants_tokens_once_they_have_arrived() {
    let mut agent = TestAgent::owning_named_engine();
    agent.register();
    agent.take_sent_frames();
    agent.ask(100, 200);
    assert!(agent.take_quota_grants().is_empty());
    agent.now += Duration::from_millis(100);
    agent.control.tick(agent.now);
    let grants = agent.take_quota_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].workspaces[0].amount, 100);
}

/// An idle entry would count as registered with an agent that has forgotten it.
#[test]
fn agent_that_has_lost_a_registration_asks_for_it() {
    let mut agent = TestAgent::owning_named_engine();
    agent.register();
    agent.receive_quota_request(Vec::new());
    assert!(agent.take_quota_grants().is_empty());
    agent.now += Duration::from_millis(1_500);
    agent.receive_quota_request(Vec::new());
    let grants = agent.take_quota_grants();
    assert!(grants.len() == 1 && grants[0].register_again);
}

/// A registration would outlive the connection, and the entry count twice with its next one.
#[test]
fn registration_ends_with_the_connection_of_the_entry() {
    let mut agent = TestAgent::owning_named_engine();
    agent.register();
    agent.now += Duration::from_millis(500);
    // Closes the earlier connection of the same entry.
    agent.connect_entry("entry", 7);
    agent.register();
    agent.take_sent_frames();
    agent.ask(100, 0);
    assert_eq!(agent.take_quota_grants()[0].workspaces[0].amount, 0);
}
