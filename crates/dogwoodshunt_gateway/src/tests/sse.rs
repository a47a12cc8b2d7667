//! Splitting of event streams.

use crate::call::sse::EventSplitter;
use rstest::rstest;

#[test]
fn event_is_found_whole_however_its_bytes_are_split() {
    let stream = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda";
    for chunk_len in 1..stream.len() {
        let mut splitter = EventSplitter::starting_after(None);
        let mut whole = Vec::new();
        for chunk in stream.chunks(chunk_len) {
            whole.extend_from_slice(&splitter.push(chunk).unwrap());
        }
        assert_eq!(whole, &stream[..30], "chunks of {chunk_len} bytes");
        assert_eq!(splitter.last_id(), Some(2));
        assert_eq!(splitter.take_partial(), &stream[30..]);
    }
}

#[rstest]
#[case::lf("id: 1\ndata: x\n\n", "id: 2\nda")]
#[case::crlf("id: 1\r\ndata: x\r\n\r\n", "id: 2\r\nda")]
#[case::cr("id: 1\rdata: x\r\r", "id: 2\rda")]
fn event_is_passed_on_as_soon_as_it_is_whole_whatever_ends_its_lines(
    #[case] event: &str,
    #[case] rest: &str,
) {
    let mut splitter = EventSplitter::starting_after(None);
    let stream = format!("{event}{rest}");
    assert_eq!(splitter.push(stream.as_bytes()).unwrap(), event);
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.take_partial(), rest);
}

#[test]
fn event_without_end_is_given_up_with_bounded_memory() {
    let mut splitter = EventSplitter::starting_after(None);
    let chunk = [b'x'; 8 * 1024];
    let accepted = (0..1_000)
        .take_while(|_| splitter.push(&chunk).is_ok())
        .count();
    assert!(accepted * chunk.len() <= 256 * 1024, "{accepted} chunks");
}
