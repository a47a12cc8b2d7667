//! Tests of how the entry puts answers together.

use crate::api::answer::GaveUp;
use crate::api::parts::Part;
use crate::api::parts::Parts;
use crate::port::Answer;
use bytes::Bytes;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use hyper::StatusCode;
use rstest::rstest;
use std::time::Duration;

fn chunk(number: u64) -> Answer {
    Answer::Chunk {
        number,
        data: Bytes::from_static(b"x"),
    }
}

#[test]
fn part_that_comes_twice_is_used_once() {
    let mut parts = Parts::default();
    assert_eq!(parts.take(chunk(0)), Part::Bytes(Bytes::from_static(b"x")));
    assert_eq!(parts.take(chunk(0)), Part::Nothing);
    assert_eq!(parts.take(Answer::End { chunks: 1 }), Part::End);
}

#[test]
#[should_panic(expected = "whole_answer_to_its_caller")]
fn gap_is_never_spliced_over() {
    let mut parts = Parts::default();
    parts.take(chunk(0));
    parts.take(chunk(2));
}

#[test]
#[should_panic(expected = "whole_answer_to_its_caller")]
fn end_before_the_last_part_is_never_taken_for_the_end() {
    let mut parts = Parts::default();
    parts.take(chunk(0));
    parts.take(Answer::End { chunks: 2 });
}

#[rstest]
#[case(NotRunReason::Overloaded, 429, Some("1"))]
#[case(NotRunReason::Stale, 503, Some("1"))]
#[case(NotRunReason::Withdrawn, 410, None)]
fn refusal_names_its_status_and_when_to_come_back(
    #[case] reason: NotRunReason,
    #[case] status: u16,
    #[case] retry_after: Option<&str>,
) {
    let not_run = NotRun::new(reason, Duration::from_millis(200));
    let response = GaveUp::not_run(not_run).into_response();
    assert_eq!(response.status(), StatusCode::from_u16(status).unwrap());
    let header = response.headers().get("retry-after");
    assert_eq!(header.map(|value| value.to_str().unwrap()), retry_after);
}
