//! Tests of the agent's answers.

use crate::output::Output;
use crate::sse::EventSplitter;
use async_channel::Receiver;
use bytes::Bytes;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::MAX_UNACKNOWLEDGED_BYTES;
use dogwoodshunt_wire::frame::ResponseHead;
use smol::block_on;
use smol::future;

fn output() -> (Output, Receiver<Frame>) {
    let (tx, rx) = async_channel::unbounded();
    let request = RequestId {
        entry_boot: 1,
        number: 1,
    };
    (Output::new(request, tx), rx)
}

fn head() -> ResponseHead {
    ResponseHead {
        status: 200,
        content_type: None,
        ran: "roast@1".into(),
    }
}

fn numbers(rx: &Receiver<Frame>) -> Vec<String> {
    let frames = std::iter::from_fn(|| rx.try_recv().ok());
    let names = frames.map(|frame| match frame {
        Frame::Head { .. } => "head".to_owned(),
        Frame::Chunk { number, .. } => number.to_string(),
        Frame::End { chunks, .. } => format!("end {chunks}"),
        other => format!("{other:?}"),
    });
    names.collect()
}

#[test]
fn answer_goes_on_after_a_lost_connection_without_gap_or_repetition() {
    let (output, first) = output();
    output.head(head());
    for _ in 0..3 {
        block_on(output.chunk(Bytes::from_static(b"x"))).unwrap();
    }
    output.ack(1);
    assert_eq!(numbers(&first), ["head", "0", "1", "2"]);
    output.detach();
    block_on(output.chunk(Bytes::from_static(b"x"))).unwrap();
    output.end();
    let (tx, second) = async_channel::unbounded();
    output.resume(tx, 2, true);
    assert_eq!(numbers(&second), ["2", "3", "end 4"]);
    assert!(!output.is_delivered());
    output.ack(5);
    assert!(output.is_delivered());
}

#[test]
fn answer_waits_for_acknowledgements_once_the_window_is_full() {
    let (output, _rx) = output();
    let part = Bytes::from(vec![0; MAX_UNACKNOWLEDGED_BYTES]);
    block_on(output.chunk(part.clone())).unwrap();
    let blocked = block_on(future::poll_once(output.chunk(part.clone())));
    assert!(blocked.is_none());
    output.ack(1);
    block_on(output.chunk(part)).unwrap();
}

#[test]
fn answer_given_up_takes_no_more_parts() {
    let (output, _rx) = output();
    output.give_up();
    assert!(block_on(output.chunk(Bytes::from_static(b"x"))).is_err());
}

#[test]
fn events_are_split_wherever_the_bytes_were_cut() {
    let stream = b"data: {}\n\ndata: [DONE]\n\n";
    for cut in 0..stream.len() {
        let mut events = EventSplitter::default();
        events.push(&stream[..cut]);
        let mut found: Vec<Bytes> = std::iter::from_fn(|| events.next_event()).collect();
        events.push(&stream[cut..]);
        found.extend(std::iter::from_fn(|| events.next_event()));
        assert_eq!(found, [&b"data: {}\n\n"[..], &b"data: [DONE]\n\n"[..]]);
        assert_eq!(events.pending(), 0);
    }
}
