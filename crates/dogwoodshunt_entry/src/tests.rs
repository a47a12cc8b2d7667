//! Tests for the order of response chunks, error responses and stored `Debug` text.

use crate::agent_connection::AttemptEvent;
use crate::api::chunk_sequencer::BodyEvent;
use crate::api::chunk_sequencer::ChunkSequencer;
use crate::api::response::RequestError;
use crate::control::RequestTarget;
use bytes::Bytes;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use hyper::StatusCode;
use rstest::rstest;
use std::time::Duration;

fn chunk(number: u64) -> AttemptEvent {
    AttemptEvent::Chunk {
        number,
        data: Bytes::from_static(b"x"),
    }
}

#[test]
fn duplicate_chunk_is_ignored() {
    let mut sequencer = ChunkSequencer::default();
    assert_eq!(
        sequencer.on_event(chunk(0)),
        BodyEvent::Bytes(Bytes::from_static(b"x"))
    );
    assert_eq!(sequencer.on_event(chunk(0)), BodyEvent::Ignored);
    assert_eq!(
        sequencer.on_event(AttemptEvent::End { chunks: 1 }),
        BodyEvent::End
    );
}

#[test]
#[should_panic(expected = "whole_answer_to_its_caller")]
fn missing_chunk_violates_the_invariant() {
    let mut sequencer = ChunkSequencer::default();
    sequencer.on_event(chunk(0));
    sequencer.on_event(chunk(2));
}

#[test]
#[should_panic(expected = "whole_answer_to_its_caller")]
fn end_before_the_last_chunk_violates_the_invariant() {
    let mut sequencer = ChunkSequencer::default();
    sequencer.on_event(chunk(0));
    sequencer.on_event(AttemptEvent::End { chunks: 2 });
}

#[rstest]
#[case(NotRunReason::Overloaded, 429, Some("1"))]
#[case(NotRunReason::Stale, 503, Some("1"))]
#[case(NotRunReason::Withdrawn, 410, None)]
fn not_run_reason_sets_status_and_retry_after(
    #[case] reason: NotRunReason,
    #[case] status: u16,
    #[case] retry_after: Option<&str>,
) {
    let not_run = NotRun::new(reason, Duration::from_millis(200));
    let response = RequestError::not_run(not_run).into_response();
    assert_eq!(response.status(), StatusCode::from_u16(status).unwrap());
    let header = response.headers().get("retry-after");
    assert_eq!(header.map(|value| value.to_str().unwrap()), retry_after);
}

#[test]
fn debug_text_of_request_target_is_stable() {
    // Stored fingerprints of requests with an idempotency key contain this text.
    let adapter = RequestTarget::Adapter {
        name: "a".into(),
        version: Some("1".into()),
    };
    let text = format!("{adapter:?}");
    assert_eq!(text, r#"Adapter { name: "a", version: Some("1") }"#);
    let text = format!("{:?}", RequestTarget::Service("s".into()));
    assert_eq!(text, r#"Service("s")"#);
}
