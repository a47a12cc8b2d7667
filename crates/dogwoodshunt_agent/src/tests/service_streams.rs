//! Event streams of services that end with their connection.

use super::run_against;
use dogwoodshunt_wire::Frame;
use rstest::rstest;

#[rstest]
#[case::inside_an_event("data: a\n\ndata: b", false)]
#[case::before_any_event("", false)]
#[case::between_events("data: a\n\ndata: b\n\n", true)]
fn event_stream_of_a_service_is_complete_only_if_it_ends_between_events(
    #[case] body: &str,
    #[case] is_complete: bool,
) {
    let response = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{body}");
    let (frames, _) = run_against(response, false);
    let last = frames.last().unwrap();
    assert_eq!(matches!(last, Frame::End { .. }), is_complete, "{last:?}");
}
