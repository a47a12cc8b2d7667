//! Refusal of prompts that crash engines.

use super::TestEntry;
use crate::control::ControlEvent;
use crate::control::Grant;
use crate::control::PlacementRequest;
use async_channel::Receiver;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::demand::PromptPart;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::EngineCrash;
use std::time::Duration;

impl TestEntry {
    fn place_prompt(&mut self, parts: &[u64]) -> Receiver<Result<Grant, NotRun>> {
        self.last_placement_id += 1;
        let (reply_tx, grant_rx) = async_channel::bounded(1);
        let parts = parts.iter().map(|id| PromptPart { id: *id, tokens: 1 });
        let req = PlacementRequest {
            fingerprint: 0,
            id: "prompt".into(),
            service: "models".into(),
            base_model: "base".into(),
            adapter: Some("a".into()),
            workspace: None,
            max_event_gap: None,
            demand: Demand {
                parts: parts.collect(),
                ..Demand::default()
            },
            software: None,
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

    /// Receives the crashes of three processes of an agent's engine, 1 s apart, each with one
    /// unanswered prompt.
    fn receive_crashes(&mut self, agent: AgentKey, shared_parts: &[u64]) {
        let crashes = (0..3).map(|index| EngineCrash {
            started: index,
            age: Duration::from_secs(3 - index),
            suspects: vec![shared_parts.to_vec()],
        });
        let crashes: Vec<EngineCrash> = crashes.collect();
        self.receive_heartbeat(agent, |heartbeat| heartbeat.crashes = crashes);
    }
}

fn refusal(grant_rx: &Receiver<Result<Grant, NotRun>>) -> Option<NotRun> {
    grant_rx.try_recv().ok()?.err()
}

#[test]
fn prompt_that_crashes_engines_is_refused_at_once_and_its_caller_learns_for_how_long() {
    let mut entry = TestEntry::new();
    let agent = entry.agents[0].0;
    entry.receive_crashes(agent, &[1, 0xdead]);
    let refused = refusal(&entry.place_prompt(&[1, 0xdead, 7])).unwrap();
    assert_eq!(refused.reason, NotRunReason::CrashesEngines);
    assert_eq!(refused.retry_after, Duration::from_secs(600));
    assert!(entry.take_sent_frames().is_empty());
    // The last part belongs to the request alone, and the first one to sound prompts too.
    let grant_rxs = [
        entry.place_prompt(&[1, 0xdead]),
        entry.place_prompt(&[1, 8, 9]),
    ];
    assert!(grant_rxs.iter().all(|grant_rx| refusal(grant_rx).is_none()));
}

#[test]
fn prompt_that_waits_for_an_engine_is_withdrawn_once_it_is_known_to_crash_engines() {
    let mut entry = TestEntry::new();
    let deadly_rx = entry.place_prompt(&[1, 0xdead, 7]);
    let (agent, admit) = entry.expect_admit();
    let sound_rx = entry.place_prompt(&[1, 7]);
    entry.expect_admit();
    entry.receive_crashes(agent, &[1, 0xdead]);
    let refused = refusal(&deadly_rx).unwrap();
    assert_eq!(refused.reason, NotRunReason::CrashesEngines);
    let request = admit.request;
    assert_eq!(
        entry.take_sent_frames(),
        [(agent, Frame::Cancel { request })]
    );
    assert!(refusal(&sound_rx).is_none());
}

#[test]
fn part_that_an_engine_answered_is_not_refused() {
    let mut entry = TestEntry::new();
    let _grant_rx = entry.place_prompt(&[1, 7]);
    let (agent, admit) = entry.expect_admit();
    entry.receive_admitted(agent, &admit);
    let placement_id = entry.last_placement_id;
    entry.handle(ControlEvent::FirstByte { placement_id });
    entry.receive_crashes(agent, &[1]);
    assert!(refusal(&entry.place_prompt(&[1, 8])).is_none());
}
