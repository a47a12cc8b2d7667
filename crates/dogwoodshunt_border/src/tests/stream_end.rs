//! Streams of events that are cut although their framing has no error.

use crate::http::StreamEndCheck;
use crate::http::stream_end::StreamCut;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use rstest::rstest;

const EVENTS: Option<&str> = Some("Text/Event-Stream; charset=utf-8");

#[rstest]
#[case::whole(EVENTS, "", "data: a\n\n", None)]
#[case::inside_an_event(EVENTS, "", "data: a\n\nda", Some(StreamCut::InsideEvent))]
#[case::chunked_inside_an_event(EVENTS, "transfer-encoding", "da", Some(StreamCut::InsideEvent))]
#[case::before_any_event(EVENTS, "", "", Some(StreamCut::BeforeFirstEvent))]
#[case::only_a_comment(EVENTS, "", ": ping\n\n", Some(StreamCut::BeforeFirstEvent))]
#[case::empty_and_chunked(EVENTS, "transfer-encoding", "", None)]
#[case::empty_with_length(EVENTS, "content-length", "", None)]
#[case::another_type(Some("application/json"), "", "{", None)]
#[case::no_type(None, "", "data: a\n\nda", Some(StreamCut::InsideEvent))]
fn cut_stream_is_told_from_a_whole_one(
    #[case] content_type: Option<&'static str>,
    #[case] framing_header: &'static str,
    #[case] body: &str,
    #[case] cut: Option<StreamCut>,
) {
    let mut headers = HeaderMap::new();
    if let Some(content_type) = content_type {
        headers.insert("content-type", HeaderValue::from_static(content_type));
    }
    if !framing_header.is_empty() {
        headers.insert(framing_header, HeaderValue::from_static("chunked"));
    }
    let mut check = StreamEndCheck::new(&headers, true);
    check.advance(body.as_bytes());
    assert_eq!(check.check_end().err(), cut);
}

#[test]
fn body_without_a_type_is_no_stream_unless_one_is_expected() {
    let mut check = StreamEndCheck::new(&HeaderMap::new(), false);
    check.advance(b"data");
    assert_eq!(check.check_end(), Ok(()));
}
