//! Software versions that began streams, of which entries tell agents and for which they ask them.

use super::TestEntry;
use crate::control::ControlEvent;
use crate::control::Grant;
use crate::control::KnownOrigin;
use crate::control::PlacementRequest;
use async_channel::Receiver;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_streams::lookups::LOOKUP_TIMEOUT;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::StreamOrigin;
use std::time::Duration;

fn origin(stream: StreamId, software: &str) -> StreamOrigin {
    StreamOrigin {
        stream,
        service: "models".into(),
        software: software.into(),
    }
}

impl TestEntry {
    fn find(&mut self, stream: StreamId) -> Receiver<Option<KnownOrigin>> {
        let (reply_tx, origin_rx) = async_channel::bounded(1);
        self.handle(ControlEvent::FindOrigin { stream, reply_tx });
        origin_rx
    }

    /// Returns the heartbeats to each agent since the last call that concern streams.
    fn take_stream_heartbeats(&self) -> Vec<(AgentKey, Heartbeat)> {
        let heartbeats = |(agent, frame_rx): &(AgentKey, Receiver<Frame>)| {
            let frames = std::iter::from_fn(|| frame_rx.try_recv().ok());
            let heartbeats = frames.filter_map(|frame| match frame {
                Frame::Heartbeat(heartbeat) => Some((*agent, *heartbeat)),
                _ => None,
            });
            heartbeats.collect::<Vec<_>>()
        };
        let all = self.agents.iter().flat_map(heartbeats);
        let concerns_streams = |heartbeat: &Heartbeat| {
            !heartbeat.stream_origins.is_empty() || !heartbeat.asked_streams.is_empty()
        };
        all.filter(|(_, heartbeat)| concerns_streams(heartbeat))
            .collect()
    }

    fn place_at(&mut self, software: &str) -> Receiver<Result<Grant, NotRun>> {
        self.last_placement_id += 1;
        let (reply_tx, grant_rx) = async_channel::bounded(1);
        let req = PlacementRequest {
            id: "taken-up".into(),
            fingerprint: 0,
            service: "models".into(),
            base_model: "base".into(),
            adapter: Some("a".into()),
            workspace: None,
            max_event_gap: None,
            demand: Demand::default(),
            software: Some(software.into()),
            excluded: Vec::new(),
            is_repeat: false,
            slo_deadline: self.now + Duration::from_secs(1),
            useful_until: self.now + Duration::from_secs(2),
        };
        self.handle(ControlEvent::Place {
            placement_id: self.last_placement_id,
            req: Box::new(req),
            reply_tx,
        });
        grant_rx
    }
}

#[test]
fn entry_remembers_a_stream_and_tells_agents() {
    let mut entry = TestEntry::new();
    entry.handle(ControlEvent::StreamBegun(origin(7, "v1")));
    let told = entry.take_stream_heartbeats();
    assert_eq!(told.len(), 2);
    for (_, heartbeat) in told {
        assert_eq!(heartbeat.stream_origins, [origin(7, "v1")]);
    }
    let known = entry.find(7).try_recv().unwrap().unwrap();
    assert_eq!((known.origin, known.source), (origin(7, "v1"), "entry"));
    assert!(entry.take_stream_heartbeats().is_empty());
}

#[test]
fn unknown_stream_is_asked_for_and_remembered() {
    let mut entry = TestEntry::new();
    let found = entry.find(7);
    assert!(found.is_empty());
    let asked = entry.take_stream_heartbeats();
    assert_eq!(asked.len(), 2);
    for (_, heartbeat) in &asked {
        assert_eq!(heartbeat.asked_streams, [7]);
    }
    let agent = asked[0].0;
    entry.receive_heartbeat(agent, |heartbeat| heartbeat.unknown_streams = vec![7]);
    assert!(found.is_empty());
    let agent = asked[1].0;
    entry.receive_heartbeat(agent, |heartbeat| {
        heartbeat.stream_origins = vec![origin(7, "v1")];
    });
    let known = found.try_recv().unwrap().unwrap();
    assert_eq!((known.origin, known.source), (origin(7, "v1"), "agent"));
    let known = entry.find(7).try_recv().unwrap().unwrap();
    assert_eq!(known.source, "entry");
}

#[test]
fn stream_that_no_agent_knows_is_unknown_as_soon_as_all_have_answered() {
    let mut entry = TestEntry::new();
    let found = entry.find(7);
    for (agent, _) in entry.take_stream_heartbeats() {
        entry.receive_heartbeat(agent, |heartbeat| heartbeat.unknown_streams = vec![7]);
    }
    assert_eq!(found.try_recv(), Ok(None));
}

#[test]
fn stream_is_unknown_when_an_agent_stays_silent() {
    let mut entry = TestEntry::new();
    let found = entry.find(7);
    let asked = entry.take_stream_heartbeats();
    entry.receive_heartbeat(asked[0].0, |heartbeat| heartbeat.unknown_streams = vec![7]);
    assert!(found.is_empty());
    entry.now += LOOKUP_TIMEOUT;
    entry.receive_heartbeat(asked[0].0, |_| {});
    assert_eq!(found.try_recv(), Ok(None));
}

#[test]
fn agent_that_connects_during_a_lookup_is_asked() {
    let mut entry = TestEntry::new();
    let agent = entry.agents[0].0;
    entry.handle(ControlEvent::AgentDisconnected { agent });
    let found = entry.find(7);
    let asked = entry.take_stream_heartbeats();
    assert_eq!(asked.len(), 1);
    entry.receive_heartbeat(asked[0].0, |heartbeat| heartbeat.unknown_streams = vec![7]);
    assert!(found.is_empty());
    entry.agents.remove(0);
    entry.connect_agent(agent);
    let asked = entry.take_stream_heartbeats();
    assert_eq!((asked.len(), asked[0].0), (1, agent));
    entry.receive_heartbeat(agent, |heartbeat| {
        heartbeat.stream_origins = vec![origin(7, "v2")];
    });
    assert_eq!(&*found.try_recv().unwrap().unwrap().origin.software, "v2");
}

#[test]
fn stream_goes_on_only_at_engines_of_its_software_version() {
    let mut entry = TestEntry::new();
    entry.put_record(
        super::Topic::Upstreams,
        "up/engine-1",
        "upstream models 1 ready 2 v1",
    );
    entry.put_record(
        super::Topic::Upstreams,
        "up/engine-2",
        "upstream models 2 ready 2 v2",
    );
    let refusal = entry.place_at("v3").try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::SoftwareGone);
    assert!(entry.take_sent_frames().is_empty());
    let agents = entry.control.agent_keys();
    for (software, agent) in ["v1", "v2"].into_iter().zip(agents) {
        let grant_rx = entry.place_at(software);
        assert_eq!(entry.expect_admit().0, agent);
        assert!(grant_rx.is_empty());
    }
}

#[test]
fn admission_does_not_hold_for_an_engine_of_another_version_in_the_same_place() {
    let mut entry = TestEntry::new();
    for (number, version) in [(1, "v1"), (2, "v2")] {
        let key = format!("up/engine-{number}");
        let value = format!("upstream models {number} ready 2 {version}");
        entry.put_record(super::Topic::Upstreams, &key, &value);
    }
    let grant_rx = entry.place_at("v1");
    let (agent, admit) = entry.expect_admit();
    let value = "upstream models 1 ready 3 v2";
    entry.put_record(super::Topic::Upstreams, "up/engine-1", value);
    entry.receive_admitted(agent, &admit);
    let frames = entry.take_sent_frames();
    let ended = frames.iter().any(|(at, frame)| {
        *at == agent && matches!(frame, Frame::Done { request, .. } if *request == admit.request)
    });
    assert!(ended, "{frames:?}");
    assert!(!frames.iter().any(|(_, f)| matches!(f, Frame::Admit(_))));
    let refusal = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::SoftwareGone);
}

/// After the process has stood still, a grant may be older than the process of the engine.
#[test]
fn process_that_granted_a_run_while_the_entry_stood_still_counts_as_unseen() {
    let mut entry = TestEntry::new();
    let mut is_process_seen = |paused_for| {
        let (_, grant_rx) = entry.place("a");
        let (agent, admit) = entry.expect_admit();
        entry.now += paused_for;
        entry.receive_admitted(agent, &admit);
        for agent in entry.control.agent_keys() {
            entry.receive_heartbeat(agent, |_| {});
        }
        let grant = grant_rx.try_recv().expect("a decision").expect("a grant");
        grant.is_process_seen
    };
    let millis = Duration::from_millis;
    assert!(is_process_seen(millis(20)));
    assert!(!is_process_seen(millis(4_000)));
    assert!(!is_process_seen(millis(400)));
    (0..10).for_each(|_| {
        is_process_seen(millis(300));
    });
    assert!(is_process_seen(millis(20)));
}

/// The store is out of reach, so the list does not show that the engine has restarted.
#[test]
fn stream_of_an_engine_that_has_restarted_under_its_name_is_not_recorded_at_the_listed_version() {
    let mut entry = TestEntry::new();
    let key = "up/engine-1";
    let value = "upstream models 1 ready 2 v1";
    entry.put_record(super::Topic::Upstreams, key, value);
    let value = "upstream models 2 leaving";
    entry.put_record(super::Topic::Upstreams, "up/engine-2", value);
    let (_, grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    entry.admitted_started = 3;
    entry.receive_admitted(agent, &admit);
    let grant = grant_rx.try_recv().unwrap().unwrap();
    assert_eq!(grant.software.as_deref(), Some("process engine-1 3"));
    // Nor does a stream that v1 began go on there.
    let refused_rx = entry.place_at("v1");
    let (agent, admit) = entry.expect_admit();
    entry.receive_admitted(agent, &admit);
    let frames = entry.take_sent_frames();
    assert!(
        matches!(frames[..], [(_, Frame::Done { .. })]),
        "{frames:?}"
    );
    assert!(refused_rx.try_recv().unwrap().is_err());
    entry.admitted_started = 2;
    let (_, grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    entry.receive_admitted(agent, &admit);
    let grant = grant_rx.try_recv().unwrap().unwrap();
    assert_eq!(grant.software.as_deref(), Some("v1"));
}
