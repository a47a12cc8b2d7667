//! Boundaries of server-sent events.

use crate::http::sse::EventScanner;
use rstest::rstest;

#[rstest]
#[case::empty("", false, false)]
#[case::whole_events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true)]
#[case::inside_a_field("id: 1\ndata: a\n\nid: 2\nda", true, true)]
#[case::after_a_field("id: 1\ndata: a\n", true, false)]
#[case::crlf("id: 1\r\ndata: a\r\n\r\n", false, true)]
#[case::crlf_inside("id: 1\r\ndata: a\r\n", true, false)]
#[case::cr("data: a\r\r", false, true)]
#[case::keep_alive_comment("data: a\n\n: ping\n", false, true)]
#[case::comment_inside_an_event("data: a\n: ping\n", true, false)]
#[case::cut_comment("data: a\n\n: pi", true, true)]
fn end_inside_an_event_is_told_from_an_end_between_events(
    #[case] stream: &str,
    #[case] is_inside: bool,
    #[case] has_whole_event: bool,
    #[values(1, 2, 3, 100)] chunk_len: usize,
) {
    let mut scanner = EventScanner::default();
    for chunk in stream.as_bytes().chunks(chunk_len) {
        scanner.advance(chunk);
    }
    assert_eq!(scanner.is_inside_event(), is_inside);
    assert_eq!(scanner.has_whole_event(), has_whole_event);
}

#[test]
fn advance_returns_the_bytes_up_to_the_last_event_that_ended() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.advance(b"data: a\n"), None);
    assert_eq!(scanner.advance(b"\ndata: b\r\n\r\ndata"), Some(12));
    assert_eq!(scanner.advance(b": c\n\n: ping\n"), Some(12));
}
