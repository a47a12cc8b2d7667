//! Engines that requests do not reach.

use super::TestEntry;
use crate::control::ControlEvent;
use crate::control::RunEnd;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::UnreachedCause;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_wire::Frame;
use rstest::rstest;

impl TestEntry {
    /// Places a request and ends its run at once; returns the agent that was asked.
    fn run(&mut self, end: RunEnd) -> AgentKey {
        let (placement_id, grant_rx) = self.place("a");
        let (agent, admit) = self.expect_admit();
        let frame = Frame::Admitted {
            request: admit.request,
            upstream: self.engine_of(agent),
            started: 0,
            service: Some("models".into()),
            target: admit.target,
        };
        self.handle(ControlEvent::Frame { agent, frame });
        assert!(grant_rx.try_recv().unwrap().is_ok());
        self.handle(ControlEvent::PlacementEnded { placement_id, end });
        self.take_sent_frames();
        agent
    }
}

#[test]
fn request_is_not_placed_at_engines_that_it_has_not_reached() {
    let mut entry = TestEntry::new();
    let agents = entry.control.agent_keys();
    for (engine, other) in [("engine-1", agents[1]), ("engine-2", agents[0])] {
        let (_, _grant_rx) = entry.place_beside("a", &[engine]);
        assert_eq!(entry.expect_admit().0, other);
    }
    let (_, grant_rx) = entry.place_beside("a", &["engine-1", "engine-2"]);
    let refusal = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::NoUpstream);
}

#[test]
fn other_requests_go_elsewhere_after_a_refused_connection_until_another_process_takes_its_place() {
    let mut entry = TestEntry::new();
    let refused = RunEnd::Unreached(UnreachedCause::Refused);
    let first = entry.run(refused);
    let second = entry.run(RunEnd::Answered);
    assert_ne!(first, second);
    for _ in 0..5 {
        assert_eq!(entry.run(RunEnd::Answered), second);
    }
    assert_eq!(entry.run(refused), second);
    let (_, grant_rx) = entry.place("a");
    let refusal = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::Unreachable);
    let number = 1 + entry
        .control
        .agent_keys()
        .iter()
        .position(|key| *key == first)
        .unwrap();
    let (key, value) = (
        format!("up/engine-{number}"),
        format!("upstream models {number} ready 2 v1"),
    );
    entry.put_record(super::Topic::Upstreams, &key, &value);
    assert_eq!(entry.run(RunEnd::Answered), first);
}

#[rstest]
#[case::connection_limit(UnreachedCause::Closed)]
#[case::lossy_link(UnreachedCause::TimedOut)]
fn engine_that_loses_a_connection_beside_answers_keeps_its_requests(#[case] cause: UnreachedCause) {
    let mut entry = TestEntry::new();
    let first = entry.run(RunEnd::Answered);
    for _ in 0..10 {
        assert_eq!(entry.run(RunEnd::Unreached(cause)), first);
        assert_eq!(entry.run(RunEnd::Unreached(cause)), first);
        assert_eq!(entry.run(RunEnd::Refused), first);
    }
}
