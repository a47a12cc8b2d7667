//! Upstreams that announce in a response that they are leaving or want a pause.

use super::TestEntry;
use crate::control::ControlEvent;
use crate::platform::Announcement;
use crate::watch::Topic;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_wire::Frame;
use std::time::Duration;

const LEAVING: Announcement = Announcement {
    leaving: true,
    pause: None,
    rate_limit: None,
};

fn pause(pause: Duration) -> Announcement {
    Announcement {
        leaving: false,
        pause: Some(pause),
        rate_limit: None,
    }
}

impl TestEntry {
    fn receive_announcement(&mut self, service: &str, upstream: &str, announcement: Announcement) {
        self.handle(ControlEvent::UpstreamAnnounced {
            service: service.into(),
            upstream: upstream.into(),
            started: 1,
            announcement,
            ends_rate_limit: false,
        });
    }
}

#[test]
fn plain_upstream_that_announces_its_departure_gets_no_calls_whatever_is_listed() {
    let mut entry = TestEntry::new();
    entry.receive_announcement("records", "plain-1", LEAVING);
    assert!(entry.select_upstream().is_err());
    entry.put_record(Topic::Upstreams, "up/plain-1", "upstream records 9 ready");
    assert!(entry.select_upstream().is_err());
}

#[test]
fn engine_that_announces_its_departure_gets_no_requests() {
    let mut entry = TestEntry::new();
    entry.receive_announcement("models", "engine-1", LEAVING);
    let leaving = entry.agents[0].0;
    for _ in 0..20 {
        let (_, _grant_rx) = entry.place("a");
        assert_ne!(entry.expect_admit().0, leaving);
    }
    entry.put_record(Topic::Upstreams, "up/engine-1", "upstream models 1 ready");
    entry.receive_heartbeat(leaving, |_| {});
    let (_, _grant_rx) = entry.place("a");
    assert_ne!(entry.expect_admit().0, leaving);
}

#[test]
fn placement_that_waits_for_an_engine_moves_elsewhere_when_it_announces_its_departure() {
    let mut entry = TestEntry::new();
    let (_, _grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    let engine = if agent == entry.agents[0].0 {
        "engine-1"
    } else {
        "engine-2"
    };
    entry.receive_announcement("models", engine, LEAVING);
    let sent = entry.take_sent_frames();
    let is_withdrawn = sent.iter().any(|(to, frame)| {
        *to == agent
            && *frame
                == Frame::Cancel {
                    request: admit.request,
                }
    });
    assert!(is_withdrawn, "{sent:?}");
    let is_placed_elsewhere = sent
        .iter()
        .any(|(to, frame)| *to != agent && matches!(frame, Frame::Admit(_)));
    assert!(is_placed_elsewhere, "{sent:?}");
}

#[test]
fn engine_that_asks_for_a_pause_gets_no_requests_until_its_end_also_after_a_reconnect() {
    let mut entry = TestEntry::new();
    entry.receive_announcement("models", "engine-1", pause(Duration::from_secs(10)));
    let paused = entry.agents[0].0;
    entry.handle(ControlEvent::AgentDisconnected { agent: paused });
    entry.agents.retain(|(known, _)| *known != paused);
    entry.connect_agent(paused);
    for _ in 0..20 {
        let (_, _grant_rx) = entry.place("a");
        assert_ne!(entry.expect_admit().0, paused);
    }
    // The other engine leaves, so the request waits for nothing: it is refused at once
    // with the rest of the pause.
    entry.put_record(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
    entry.now += Duration::from_secs(4);
    entry.receive_heartbeat(paused, |_| {});
    let (_, grant_rx) = entry.place("a");
    let not_run = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(not_run.reason, NotRunReason::Paused);
    assert_eq!(not_run.retry_after, Duration::from_secs(6));
    entry.now += Duration::from_secs(6);
    entry.receive_heartbeat(paused, |_| {});
    let (_, _grant_rx) = entry.place("a");
    assert_eq!(entry.expect_admit().0, paused);
}

#[test]
fn restarted_engine_gets_requests_in_spite_of_the_pause_before() {
    let mut entry = TestEntry::new();
    entry.put_record(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
    entry.receive_announcement("models", "engine-1", pause(Duration::from_secs(10)));
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_err());
    entry.put_record(Topic::Upstreams, "up/engine-3", "upstream models 1 ready");
    let (_, _grant_rx) = entry.place("a");
    assert_eq!(entry.expect_admit().0, entry.agents[0].0);
}

#[test]
fn pause_without_an_end_is_bounded() {
    let mut entry = TestEntry::new();
    entry.receive_announcement("records", "plain-1", pause(Duration::MAX));
    let not_run = entry.select_upstream().unwrap_err();
    assert_eq!(not_run.retry_after, Duration::from_secs(300));
}

#[test]
fn pause_outlasts_the_record_of_the_upstream() {
    let mut entry = TestEntry::new();
    entry.put_record(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
    let ten_seconds = pause(Duration::from_secs(10));
    entry.receive_announcement("models", "engine-1", ten_seconds);
    entry.receive_announcement("records", "plain-1", ten_seconds);
    for key in ["up/engine-1", "up/plain-1"] {
        let change = KeyChange::Deleted {
            key: key.into(),
            revision: 9,
        };
        entry.handle(ControlEvent::StoreChanged {
            topic: Topic::Upstreams,
            changes: vec![change],
        });
    }
    entry.put_record(Topic::Upstreams, "up/engine-1", "upstream models 1 ready");
    entry.put_record(Topic::Upstreams, "up/plain-1", "upstream records 9 ready");
    let reason = |not_run: NotRun| not_run.reason;
    let selected = entry.select_upstream().map_err(reason);
    assert_eq!(selected.err(), Some(NotRunReason::Paused));
    let (_, grant_rx) = entry.place("a");
    let granted = grant_rx.try_recv().unwrap().map_err(reason);
    assert_eq!(granted.err(), Some(NotRunReason::Paused));
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut entry = TestEntry::new();
    for seconds in [10, 2] {
        entry.receive_announcement("records", "plain-1", pause(Duration::from_secs(seconds)));
    }
    let not_run = entry.select_upstream().unwrap_err();
    assert_eq!(not_run.retry_after, Duration::from_secs(10));
}
