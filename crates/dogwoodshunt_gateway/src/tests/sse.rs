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

fn events(ids: &[u64]) -> String {
    let events = ids.iter().map(|id| format!("id: {id}\ndata: x\n\n"));
    events.collect()
}

/// Guards against a piece that is missing or comes twice where two runs are joined.
#[rstest]
#[case::next(&[1, 2], &[3, 4], true)]
#[case::first_event_again(&[1, 2], &[1, 2, 3], false)]
#[case::last_event_again(&[1, 2], &[2, 3], false)]
#[case::event_left_out(&[1, 2], &[4, 5], false)]
#[case::event_left_out_after_the_first(&[1], &[3], false)]
#[case::ids_that_skip_numbers(&[4, 8], &[13], true)]
#[case::ids_that_skip_numbers_again(&[4, 8], &[8], false)]
#[case::ids_from_another_number(&[7], &[9], true)]
fn run_that_goes_on_begins_with_the_next_event(
    #[case] before: &[u64],
    #[case] run: &[u64],
    #[case] follows: bool,
) {
    let mut splitter = EventSplitter::starting_after(None);
    splitter.push(events(before).as_bytes()).unwrap();
    splitter.push(b"id: 99\nda").unwrap();
    splitter.begin_run();
    let run = events(run);
    // Comments belong to no event.
    assert_eq!(splitter.push(b": waiting\n\n").unwrap(), ": waiting\n\n");
    let pushed = splitter.push(run.as_bytes());
    assert_eq!(pushed.is_ok_and(|whole| whole == run), follows);
}

/// A stream that the caller takes up may have had any ids before.
#[rstest]
#[case(&[13, 14], true)]
#[case(&[15], true)]
#[case(&[12], false)]
#[case(&[1, 2], false)]
fn stream_taken_up_begins_after_the_event_that_the_caller_has(
    #[case] run: &[u64],
    #[case] follows: bool,
) {
    let mut splitter = EventSplitter::starting_after(Some(12));
    assert_eq!(splitter.push(events(run).as_bytes()).is_ok(), follows);
}

#[rstest]
#[case::no_event("", true)]
#[case::lf("id: 1\ndata: x\n\n", true)]
#[case::crlf("id: 1\r\ndata: x\r\n\r\n", true)]
#[case::cr("id: 1\rdata: x\r\r", true)]
#[case::no_id("data: x\n\n", false)]
#[case::no_id_after_one("id: 1\ndata: x\n\ndata: y\n\n", false)]
#[case::no_number("id: one\ndata: x\n\n", false)]
fn run_can_go_on_only_after_an_event_with_an_id(#[case] stream: &str, #[case] expected: bool) {
    let mut splitter = EventSplitter::starting_after(None);
    splitter.push(stream.as_bytes()).unwrap();
    assert_eq!(splitter.can_go_on(), expected);
}
