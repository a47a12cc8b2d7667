//! Lost responses that one entry reports and the agent passes on to the others.

use super::TestAgent;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::RequestObservation;
use dogwoodshunt_wire::frame::UpstreamProcess;
use std::time::Duration;

fn lost(fingerprint: u64, upstream: &str, age_ms: u64) -> RequestObservation {
    RequestObservation {
        fingerprint,
        lost_at: Some(UpstreamProcess {
            name: upstream.into(),
            started: 1,
        }),
        age: Duration::from_millis(age_ms),
    }
}

impl TestAgent {
    fn receive_requests(&mut self, requests: Vec<RequestObservation>) {
        self.receive_frame(Frame::Heartbeat(Box::new(Heartbeat {
            requests,
            ..Heartbeat::default()
        })));
    }

    /// Returns what was passed on to the entry that connected at position `index`.
    fn take_requests(&self, index: usize) -> Vec<RequestObservation> {
        let (sent_rx, _) = &self.links[index];
        let frames = std::iter::from_fn(|| sent_rx.try_recv().ok());
        let requests = frames.filter_map(|frame| match frame {
            Frame::Heartbeat(heartbeat) => Some(heartbeat.requests),
            _ => None,
        });
        requests.flatten().collect()
    }
}

#[test]
fn entries_learn_at_once_and_once_what_another_entry_has_seen() {
    let mut agent = TestAgent::owning_named_engine();
    agent.connect_entry("other", 8);
    agent.receive_requests(vec![lost(7, "u1", 20)]);
    assert_eq!(agent.take_requests(0), [lost(7, "u1", 20)]);
    agent.now += Duration::from_secs(5);
    // Another entry repeats what it has heard; only what is new is passed on.
    agent.receive_requests(vec![lost(7, "u1", 5_020), lost(7, "u2", 0)]);
    assert_eq!(agent.take_requests(0), [lost(7, "u2", 0)]);
}

#[test]
fn entry_that_connects_later_learns_what_was_seen_before() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_requests(vec![lost(7, "u1", 0), lost(7, "u2", 0)]);
    agent.now += Duration::from_secs(60);
    agent.connect_entry("later", 8);
    assert_eq!(
        agent.take_requests(1),
        [lost(7, "u1", 60_000), lost(7, "u2", 60_000)]
    );
    agent.now += Duration::from_secs(600);
    agent.connect_entry("much-later", 9);
    assert!(agent.take_requests(2).is_empty());
}

#[test]
fn answer_is_passed_on_after_the_losses_and_again_only_if_it_is_newer() {
    let mut agent = TestAgent::owning_named_engine();
    let answered = |age_ms| RequestObservation {
        lost_at: None,
        ..lost(7, "", age_ms)
    };
    agent.receive_requests(vec![lost(7, "u1", 50), answered(10)]);
    assert_eq!(agent.take_requests(0), [lost(7, "u1", 50), answered(10)]);
    agent.receive_requests(vec![answered(10)]);
    assert!(agent.take_requests(0).is_empty());
    agent.now += Duration::from_secs(1);
    agent.receive_requests(vec![answered(0)]);
    assert_eq!(agent.take_requests(0), [answered(0)]);
}
