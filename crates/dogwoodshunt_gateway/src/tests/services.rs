//! Two services whose engines have the same base model, and addresses that other services use again.

use super::TestEntry;
use super::record;
use crate::control::ControlEvent;
use crate::control::Grant;
use crate::watch::Topic;
use async_channel::Receiver;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;

impl TestEntry {
    fn place_at_service(&mut self, service: &str) -> (u64, Receiver<Result<Grant, NotRun>>) {
        self.place_with("a", |req| req.service = service.into())
    }

    /// Places a request and returns the agent that is asked, or `None` if none is.
    fn agent_asked_for(&mut self, service: &str) -> Option<AgentKey> {
        let (placement_id, grant_rx) = self.place_at_service(service);
        let asked = self.take_sent_frames();
        let refused = matches!(grant_rx.try_recv(), Ok(Err(_)));
        assert_eq!(asked.len(), usize::from(!refused), "{asked:?}");
        let end = crate::control::RunEnd::Finished;
        self.handle(ControlEvent::PlacementEnded { placement_id, end });
        self.take_sent_frames();
        asked.first().map(|(agent, _)| *agent)
    }

    /// Applies changes of the list of upstreams that one answer of the store brings.
    fn list_at_once(&mut self, records: &[(&str, &str)]) {
        self.revision += 1;
        let changes = records
            .iter()
            .map(|(key, value)| KeyChange::Put(record(key, value, self.revision)))
            .collect();
        let topic = Topic::Upstreams;
        self.handle(ControlEvent::StoreChanged { topic, changes });
    }

    /// Answers a request for admission in the name of a process that the agent sees.
    pub(super) fn admit_at(
        &mut self,
        agent: AgentKey,
        admit: &Admit,
        name: &str,
        service: Option<&str>,
    ) {
        let frame = Frame::Admitted {
            request: admit.request,
            upstream: name.into(),
            started: 5,
            service: service.map(Into::into),
            target: admit.target.clone(),
        };
        self.handle(ControlEvent::Frame { agent, frame });
    }
}

/// Guards against a choice of engines by their base model alone.
#[test]
fn request_is_placed_at_an_engine_of_its_service() {
    let mut entry = TestEntry::new();
    let agents = entry.control.agent_keys();
    entry.put_record(
        Topic::Upstreams,
        "up/engine-2",
        "upstream models-next 2 ready",
    );
    for _ in 0..4 {
        assert_eq!(entry.agent_asked_for("models"), Some(agents[0]));
        assert_eq!(entry.agent_asked_for("models-next"), Some(agents[1]));
    }
}

/// An address that an engine of another service uses again: the service is that of the engine that
/// is listed now.
#[test]
fn address_used_again_belongs_to_the_service_listed_there() {
    let mut entry = TestEntry::new();
    let agents = entry.control.agent_keys();
    entry.handle(ControlEvent::StoreChanged {
        topic: Topic::Upstreams,
        changes: vec![KeyChange::Deleted {
            key: "up/engine-1".into(),
            revision: 9,
        }],
    });
    assert_eq!(entry.agent_asked_for("models"), Some(agents[1]));
    entry.put_record(
        Topic::Upstreams,
        "up/engine-3",
        "upstream models-next 1 ready 5",
    );
    assert_eq!(entry.agent_asked_for("models"), Some(agents[1]));
    assert_eq!(entry.agent_asked_for("models-next"), Some(agents[0]));
    // The record of the engine before comes late: the process that started last is running.
    entry.put_record(Topic::Upstreams, "up/engine-1", "upstream models 1 ready 1");
    assert_eq!(entry.agent_asked_for("models"), Some(agents[1]));
    assert_eq!(entry.agent_asked_for("models-next"), Some(agents[0]));
}

/// Both services list the address within one answer of the store.
#[test]
fn address_listed_by_two_services_at_once_belongs_to_the_later_process() {
    let mut entry = TestEntry::new();
    let agents = entry.control.agent_keys();
    entry.list_at_once(&[
        ("up/engine-3", "upstream models-next 1 ready 5"),
        ("up/engine-1", "upstream models 1 ready 1"),
        ("up/engine-4", "upstream models-next 2 ready 1"),
        ("up/engine-2", "upstream models 2 ready 5"),
    ]);
    assert_eq!(entry.agent_asked_for("models-next"), Some(agents[0]));
    assert_eq!(entry.agent_asked_for("models"), Some(agents[1]));
}

/// An engine that is listed under another service with its id.
#[test]
fn engine_that_changes_its_service_serves_the_new_one() {
    let mut entry = TestEntry::new();
    let agents = entry.control.agent_keys();
    entry.put_record(
        Topic::Upstreams,
        "up/engine-1",
        "upstream models-next 1 ready 5",
    );
    assert_eq!(entry.agent_asked_for("models"), Some(agents[1]));
    assert_eq!(entry.agent_asked_for("models-next"), Some(agents[0]));
    // No configuration has a service of that name.
    entry.put_record(
        Topic::Upstreams,
        "up/engine-1",
        "upstream unknown 1 ready 6",
    );
    assert_eq!(entry.agent_asked_for("models"), Some(agents[1]));
    assert_eq!(entry.agent_asked_for("models-next"), None);
}

/// The list is out of date: the agent grants the run in the name of a process of another service.
#[test]
fn run_is_not_granted_at_a_process_of_another_service() {
    for (service, expected) in [
        (Some("models"), true),
        (Some("models-next"), false),
        // An agent of an earlier release names no service.
        (None, false),
    ] {
        let mut entry = TestEntry::new();
        entry.put_record(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
        let (_, grant_rx) = entry.place_at_service("models");
        let (agent, admit) = entry.expect_admit();
        entry.admit_at(agent, &admit, "engine-3", service);
        let granted = grant_rx.try_recv().expect("a decision");
        assert_eq!(granted.is_ok(), expected, "{service:?}: {granted:?}");
        let is_ended = entry
            .take_sent_frames()
            .iter()
            .any(|(to, frame)| *to == agent && matches!(frame, Frame::Done { .. }));
        assert_eq!(is_ended, !expected);
    }
}

/// The record of a service changes between the request for admission and the grant.
#[test]
fn run_is_not_granted_at_an_engine_that_left_the_service_meanwhile() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place_at_service("models");
    let (agent, admit) = entry.expect_admit();
    let (index, other) = match entry.control.agent_keys()[..] {
        [first, second] if first == agent => (1, second),
        [first, _] => (2, first),
        _ => panic!("two agents"),
    };
    let (key, value) = (
        format!("up/engine-{index}"),
        format!("upstream models-next {index} ready 5"),
    );
    entry.put_record(Topic::Upstreams, &key, &value);
    entry.admit_at(agent, &admit, &format!("engine-{index}"), None);
    assert!(grant_rx.try_recv().is_err(), "granted at the other service");
    let frames = entry.take_sent_frames();
    let asked_next = frames
        .iter()
        .any(|(to, frame)| *to == other && matches!(frame, Frame::Admit(_)));
    assert!(asked_next, "{frames:?}");
}

/// Without their agents, engines get requests of their own service only.
#[test]
fn unattended_engine_runs_requests_of_its_service_only() {
    let mut entry = TestEntry::new();
    entry.put_record(
        Topic::Upstreams,
        "up/engine-2",
        "upstream models-next 2 ready",
    );
    for agent in entry.control.agent_keys() {
        entry.handle(ControlEvent::AgentDisconnected { agent });
    }
    for (service, engine) in [("models", "engine-1"), ("models-next", "engine-2")] {
        let (_, grant_rx) = entry.place_at_service(service);
        let grant = grant_rx.try_recv().expect("a decision").expect("a grant");
        assert_eq!(&*grant.upstream, engine);
    }
    let (_, grant_rx) = entry.place_at_service("records");
    let refusal = grant_rx.try_recv().expect("a decision").unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::NoUpstream);
}

/// Guards against calls to a plain upstream that is listed under another service by now.
#[test]
fn plain_upstream_that_changes_its_service_gets_no_calls_of_the_old_one() {
    let mut entry = TestEntry::new();
    assert!(entry.select_upstream().is_ok());
    entry.put_record(Topic::Upstreams, "up/plain-1", "upstream unknown 9 ready 5");
    assert!(entry.select_upstream().is_err());
}
