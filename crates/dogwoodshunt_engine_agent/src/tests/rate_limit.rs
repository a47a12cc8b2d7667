//! Limits that the engine names for the requests of all entries together.

use super::TestAgent;
use super::granted_runs;
use crate::control::Event;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::ObservedRateLimit;
use std::time::Duration;

impl TestAgent {
    fn with_loaded_adapter() -> Self {
        let mut agent = Self::owning_named_engine();
        agent.report_limit(None);
        agent
    }

    fn report_limit(&mut self, rate_limit: Option<RateLimit>) {
        self.receive_report(|report| {
            report.adapters = vec![AdapterRef::new("a", "1")];
            report.rate_limit = rate_limit;
        });
    }

    /// Receives what an entry has seen `age` ago.
    fn receive_observation(&mut self, started: u64, limit: Option<RateLimit>, age: Duration) {
        let seen = ObservedRateLimit {
            started,
            limit,
            age,
        };
        self.receive_frame(Frame::Heartbeat(Box::new(Heartbeat {
            rate_limit: Some(seen),
            ..Heartbeat::default()
        })));
    }

    /// Requests three runs and returns how many are granted at once.
    fn granted_of_three(&mut self) -> usize {
        self.take_sent_frames();
        (0..3).for_each(|_| {
            self.request_run("a", 7);
        });
        granted_runs(&self.take_sent_frames()).len()
    }
}

fn one_a_second() -> Option<RateLimit> {
    RateLimit::per_second(1.0)
}

#[test]
fn agent_keeps_to_the_limit_that_an_entry_has_seen() {
    let mut agent = TestAgent::with_loaded_adapter();
    assert_eq!(agent.granted_of_three(), 3);
    agent.receive_observation(100, one_a_second(), Duration::ZERO);
    assert_eq!(agent.granted_of_three(), 0);
    // Reports without a limit do not end one that only other responses name.
    agent.now += Duration::from_millis(500);
    agent.report_limit(None);
    assert_eq!(agent.granted_of_three(), 0);
}

#[test]
fn agent_keeps_to_the_limit_that_reports_name_until_one_names_none() {
    let mut agent = TestAgent::with_loaded_adapter();
    agent.report_limit(one_a_second());
    assert_eq!(agent.granted_of_three(), 1);
    agent.now += Duration::from_millis(200);
    agent.report_limit(None);
    assert_eq!(agent.granted_of_three(), 3);
}

#[test]
fn newest_observation_holds_in_whatever_order_entries_send_them() {
    let mut agent = TestAgent::with_loaded_adapter();
    agent.now += Duration::from_secs(2);
    agent.receive_observation(100, None, Duration::from_millis(100));
    agent.receive_observation(100, one_a_second(), Duration::from_millis(900));
    assert_eq!(agent.granted_of_three(), 3);
    agent.receive_observation(100, one_a_second(), Duration::from_millis(50));
    assert_eq!(agent.granted_of_three(), 0);
}

#[test]
fn limit_that_an_entry_tells_before_the_first_report_of_the_process_holds() {
    let mut agent = TestAgent::new();
    agent.connect_entry("entry", 7);
    agent.handle_and_decide(Event::Ownership(Ownership::Owned { epoch: 5, era: 0 }));
    agent.receive_observation(100, one_a_second(), Duration::from_millis(10));
    agent.receive_upstream_config(|_| {});
    agent.report_limit(None);
    assert_eq!(agent.granted_of_three(), 1);
    agent.receive_observation(101, one_a_second(), Duration::ZERO);
    agent.receive_upstream_config(|config| {
        let identity = config.upstream.as_mut().unwrap();
        (identity.name, identity.started) = ("engine-2".into(), 101);
    });
    agent.receive_report(|report| {
        report.started = 101;
        report.adapters = vec![AdapterRef::new("a", "1")];
    });
    agent.now += Duration::from_millis(990);
    assert_eq!(agent.granted_of_three(), 0);
}

#[test]
fn limit_of_another_engine_process_is_ignored() {
    let mut agent = TestAgent::with_loaded_adapter();
    agent.receive_observation(99, one_a_second(), Duration::ZERO);
    assert_eq!(agent.granted_of_three(), 3);
    agent.receive_observation(100, one_a_second(), Duration::ZERO);
    assert_eq!(agent.granted_of_three(), 0);
    agent.receive_report(|report| report.started = 101);
    agent.receive_upstream_config(|config| {
        let identity = config.upstream.as_mut().unwrap();
        (identity.name, identity.started) = ("engine-2".into(), 101);
    });
    agent.receive_report(|report| {
        report.started = 101;
        report.adapters = vec![AdapterRef::new("a", "1")];
    });
    assert!(agent.granted_of_three() >= 3);
}
