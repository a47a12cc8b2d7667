//! Upstreams that name a limit on the requests of all entries together.

use super::TestEntry;
use crate::control::ControlEvent;
use crate::platform::Announcement;
use crate::watch::Topic;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::ObservedRateLimit;
use std::time::Duration;

impl TestEntry {
    /// Receives a response that names `rate_limit`, or ends the limit with `None`.
    fn receive_limit(&mut self, service: &str, upstream: &str, rate_limit: Option<RateLimit>) {
        self.handle(ControlEvent::UpstreamAnnounced {
            service: service.into(),
            upstream: upstream.into(),
            started: 1,
            announcement: Announcement {
                rate_limit,
                ..Announcement::default()
            },
            ends_rate_limit: rate_limit.is_none(),
        });
    }

    /// Returns the rate limits in the heartbeats sent to an agent since the last call.
    fn take_observations(&self, agent: AgentKey) -> Vec<ObservedRateLimit> {
        let (_, frame_rx) = self.agents.iter().find(|(key, _)| *key == agent).unwrap();
        let frames = std::iter::from_fn(|| frame_rx.try_recv().ok());
        let observations = frames.filter_map(|frame| match frame {
            Frame::Heartbeat(heartbeat) => heartbeat.rate_limit,
            _ => None,
        });
        observations.collect()
    }
}

fn one_a_second() -> Option<RateLimit> {
    RateLimit::per_second(1.0)
}

fn observed(limit: Option<RateLimit>, age_ms: u64) -> ObservedRateLimit {
    ObservedRateLimit {
        started: 1,
        limit,
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn agent_learns_at_once_what_the_responses_of_its_engine_tell_about_a_limit() {
    let mut entry = TestEntry::new();
    let (limited, other) = (entry.agents[0].0, entry.agents[1].0);
    entry.receive_limit("models", "engine-1", one_a_second());
    assert_eq!(
        entry.take_observations(limited),
        [observed(one_a_second(), 0)]
    );
    entry.receive_limit("models", "engine-1", one_a_second());
    assert!(entry.take_observations(limited).is_empty());
    entry.now += Duration::from_millis(30);
    entry.receive_limit("models", "engine-1", None);
    assert_eq!(entry.take_observations(limited), [observed(None, 0)]);
    assert!(entry.take_observations(other).is_empty());
}

#[test]
fn restarted_agent_learns_the_limit_with_its_connection() {
    let mut entry = TestEntry::new();
    let limited = entry.agents[0].0;
    entry.receive_limit("models", "engine-1", one_a_second());
    entry.handle(ControlEvent::AgentDisconnected { agent: limited });
    entry.agents.retain(|(known, _)| *known != limited);
    entry.now += Duration::from_millis(70);
    entry.connect_agent(limited);
    let observations = entry.take_observations(limited);
    assert_eq!(observations[0], observed(one_a_second(), 70));
}

/// Without its agent, nothing adds up the requests of the entries to an engine.
#[test]
fn engine_with_a_limit_gets_no_requests_while_its_agent_is_away() {
    let mut entry = TestEntry::new();
    entry.receive_limit("models", "engine-1", one_a_second());
    for (agent, _) in entry.agents.clone() {
        entry.handle(ControlEvent::AgentDisconnected { agent });
    }
    for _ in 0..4 {
        let (_, grant_rx) = entry.place("a");
        let grant = grant_rx.try_recv().unwrap().unwrap();
        assert_eq!(&*grant.upstream, "engine-2");
    }
}

#[test]
fn run_is_granted_under_a_limit_that_only_the_agent_has_seen() {
    let mut entry = TestEntry::new();
    entry.put_record(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
    let grant = |entry: &mut TestEntry| {
        let (_, grant_rx) = entry.place("a");
        let (agent, admit) = entry.expect_admit();
        entry.receive_admitted(agent, &admit);
        grant_rx.try_recv().unwrap().unwrap()
    };
    assert!(!grant(&mut entry).rate_limited);
    let agent = entry.agents[0].0;
    entry.receive_heartbeat(agent, |heartbeat| {
        let mut report = super::report(&["a@1"]);
        report.upstreams[0].rate_limit = one_a_second();
        heartbeat.report = Some(dogwoodshunt_residency::report::ReportUpdate::Full(report));
    });
    assert!(grant(&mut entry).rate_limited);
}
