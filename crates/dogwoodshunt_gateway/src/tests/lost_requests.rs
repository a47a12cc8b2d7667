//! Requests that crash upstreams, of which entries tell each other.

use super::TestEntry;
use crate::call::Call;
use crate::control::ControlEvent;
use crate::control::RunEnd;
use crate::control::SelectedUpstream;
use bytes::Bytes;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::RequestObservation;
use dogwoodshunt_wire::frame::UpstreamProcess;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderValue;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const DEADLY: RequestFingerprint = 0xdead;

fn lost(started: u64, age_ms: u64) -> RequestObservation {
    RequestObservation {
        fingerprint: DEADLY,
        lost_at: Some(UpstreamProcess {
            name: "plain-1".into(),
            started,
        }),
        age: Duration::from_millis(age_ms),
    }
}

impl TestEntry {
    fn end_call(&mut self, started: u64, end: CallEnd) {
        self.handle(ControlEvent::CallEnded {
            service: "records".into(),
            upstream: "plain-1".into(),
            started,
            fingerprint: DEADLY,
            workspace: None,
            end,
        });
    }

    fn select_for(&mut self, fingerprint: RequestFingerprint) -> Result<SelectedUpstream, NotRun> {
        let (reply_tx, selection_rx) = async_channel::bounded(1);
        self.handle(ControlEvent::SelectUpstream {
            service: "records".into(),
            fingerprint,
            workspace: None,
            excluded: Vec::new(),
            software: None,
            reply_tx,
        });
        selection_rx.try_recv().unwrap()
    }

    fn may_repeat(&mut self, fingerprint: RequestFingerprint) -> bool {
        let (reply_tx, decision_rx) = async_channel::bounded(1);
        self.handle(ControlEvent::TakeRetry {
            service: "records".into(),
            fingerprint,
            reply_tx,
        });
        decision_rx.try_recv().unwrap()
    }

    /// Returns the observations in the heartbeats to each agent since the last call.
    fn take_requests(&self) -> Vec<Vec<RequestObservation>> {
        let requests = |(_, frame_rx): &(AgentKey, async_channel::Receiver<Frame>)| {
            let frames = std::iter::from_fn(|| frame_rx.try_recv().ok());
            let requests = frames.filter_map(|frame| match frame {
                Frame::Heartbeat(heartbeat) => Some(heartbeat.requests),
                _ => None,
            });
            requests.flatten().collect()
        };
        self.agents.iter().map(requests).collect()
    }
}

#[test]
fn entry_tells_agents_of_a_lost_response_and_of_the_answer_after_it() {
    let mut entry = TestEntry::new();
    entry.end_call(1, CallEnd::Answered);
    assert_eq!(entry.take_requests(), [vec![], vec![]]);
    entry.end_call(1, CallEnd::Lost);
    assert_eq!(entry.take_requests(), [vec![lost(1, 0)], vec![lost(1, 0)]]);
    entry.end_call(1, CallEnd::Lost);
    entry.end_call(1, CallEnd::Failed);
    assert_eq!(entry.take_requests(), [vec![], vec![]]);
    entry.now += Duration::from_millis(10);
    entry.end_call(1, CallEnd::Answered);
    let told = entry.take_requests();
    assert!(
        told.iter()
            .all(|seen| seen.len() == 1 && seen[0].lost_at.is_none())
    );
}

#[test]
fn request_is_refused_after_losses_that_several_entries_have_seen() {
    let mut entry = TestEntry::new();
    entry.end_call(1, CallEnd::Lost);
    let agent = entry.agents[0].0;
    entry.receive_heartbeat(agent, |heartbeat| heartbeat.requests = vec![lost(2, 300)]);
    assert!(entry.select_for(DEADLY).is_ok());
    entry.receive_heartbeat(agent, |heartbeat| heartbeat.requests = vec![lost(3, 100)]);
    let not_run = entry.select_for(DEADLY).unwrap_err();
    assert_eq!(not_run.reason, NotRunReason::CrashesEngines);
    assert!(entry.select_for(DEADLY + 1).is_ok());
    // What others have told is not passed on once more.
    assert_eq!(entry.take_requests().concat().len(), 2);
}

#[test]
fn request_is_not_sent_again_by_the_entry_after_two_losses() {
    let mut entry = TestEntry::new();
    entry.select_upstream().unwrap();
    entry.end_call(1, CallEnd::Lost);
    assert!(entry.may_repeat(DEADLY));
    entry.end_call(2, CallEnd::Lost);
    assert!(!entry.may_repeat(DEADLY));
    assert!(entry.may_repeat(DEADLY + 1));
}

#[test]
fn waiting_placement_is_withdrawn_when_its_request_turns_out_to_crash_upstreams() {
    let mut entry = TestEntry::new();
    let (placement_id, grant_rx) = entry.place("a");
    entry.take_sent_frames();
    let agent = entry.agents[0].0;
    let requests = (2..5).map(|started| RequestObservation {
        fingerprint: placement_id,
        ..lost(started, 0)
    });
    let requests: Vec<RequestObservation> = requests.collect();
    entry.receive_heartbeat(agent, |heartbeat| heartbeat.requests = requests);
    let not_run = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(not_run.reason, NotRunReason::CrashesEngines);
    assert!(matches!(
        entry.take_sent_frames()[..],
        [(_, Frame::Cancel { .. })]
    ));
}

#[test]
fn run_that_breaks_off_is_a_loss_and_one_that_is_answered_is_none() {
    let mut entry = TestEntry::new();
    let run = |entry: &mut TestEntry, end| {
        let (placement_id, grant_rx) = entry.place("a");
        let (agent, admit) = entry.expect_admit();
        entry.receive_admitted(agent, &admit);
        assert!(grant_rx.try_recv().unwrap().is_ok());
        entry.handle(ControlEvent::PlacementEnded { placement_id, end });
        let told = entry.take_requests();
        told[0]
            .iter()
            .map(|seen| seen.lost_at.clone())
            .collect::<Vec<_>>()
    };
    let engine = UpstreamProcess {
        name: "engine-1".into(),
        started: 1,
    };
    assert_eq!(run(&mut entry, RunEnd::BrokenOff), [Some(engine)]);
    // The caller left, or the request had no losses before.
    assert!(run(&mut entry, RunEnd::Finished).is_empty());
    assert!(run(&mut entry, RunEnd::Answered).is_empty());
}

#[test]
fn restarted_agent_learns_the_losses_with_its_connection() {
    let mut entry = TestEntry::new();
    entry.end_call(1, CallEnd::Lost);
    let agent = entry.agents[0].0;
    entry.handle(ControlEvent::AgentDisconnected { agent });
    entry.agents.retain(|(known, _)| *known != agent);
    entry.now += Duration::from_millis(250);
    entry.connect_agent(agent);
    let told = entry.take_requests();
    assert_eq!(told[1], [lost(1, 250)]);
}

fn call() -> Call {
    Call {
        id: "q1".into(),
        host: "desk.example".into(),
        path: "/lookup/7".into(),
        method: Method::POST,
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        arrived: Instant::now(),
        caller_timeout: None,
        model: None,
        stated_tokens: None,
        resume_after: None,
        resumes: None,
        key: None,
    }
}

#[test]
fn repeat_under_another_id_has_the_same_fingerprint() {
    let mut repeat = call();
    repeat.id = "q2".into();
    repeat
        .headers
        .insert("request-id", HeaderValue::from_static("q2"));
    repeat.caller_timeout = Some(Duration::from_secs(1));
    assert_eq!(repeat.fingerprint(), call().fingerprint());
}

#[rstest]
#[case::method(|call: &mut Call| call.method = Method::GET)]
#[case::host(|call: &mut Call| call.host = "other.example".into())]
#[case::path(|call: &mut Call| call.path = "/lookup/8".into())]
#[case::body(|call: &mut Call| call.body = Bytes::from_static(b"other"))]
#[case::credentials(|call: &mut Call| {
    let credentials = HeaderValue::from_static("Bearer a");
    call.headers.insert("authorization", credentials);
})]
fn other_request_has_another_fingerprint(#[case] modify: impl FnOnce(&mut Call)) {
    let mut other = call();
    modify(&mut other);
    assert_ne!(other.fingerprint(), call().fingerprint());
}
