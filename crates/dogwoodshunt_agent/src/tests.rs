//! Tests of the response buffer and of the splitter of server-sent events.

mod service_streams;

use crate::response_buffer::ResponseBuffer;
use crate::sse::EventSplitter;
use async_channel::Receiver;
use bytes::Bytes;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::MAX_UNACKNOWLEDGED_BYTES;
use dogwoodshunt_wire::frame::ResponseHead;
use smol::block_on;
use smol::future;

fn response_buffer() -> (ResponseBuffer, Receiver<Frame>) {
    let (tx, rx) = async_channel::unbounded();
    let request = RequestId {
        entry_boot: 1,
        number: 1,
    };
    (ResponseBuffer::new(request, tx), rx)
}

fn head() -> ResponseHead {
    ResponseHead {
        status: 200,
        content_type: None,
        ran: "roast@1".into(),
    }
}

fn frame_summaries(rx: &Receiver<Frame>) -> Vec<String> {
    let frames = std::iter::from_fn(|| rx.try_recv().ok());
    let summaries = frames.map(|frame| match frame {
        Frame::Head { .. } => "head".to_owned(),
        Frame::Chunk { number, .. } => number.to_string(),
        Frame::End { chunks, .. } => format!("end {chunks}"),
        other => format!("{other:?}"),
    });
    summaries.collect()
}

#[test]
fn response_resumes_on_a_new_connection_without_gap_or_repetition() {
    let (response, first_rx) = response_buffer();
    response.send_head(head());
    for _ in 0..3 {
        block_on(response.send_chunk(Bytes::from_static(b"x"))).unwrap();
    }
    response.acknowledge(1);
    assert_eq!(frame_summaries(&first_rx), ["head", "0", "1", "2"]);
    response.detach();
    block_on(response.send_chunk(Bytes::from_static(b"x"))).unwrap();
    response.complete();
    let (tx, second_rx) = async_channel::unbounded();
    response.resume(tx, 2, true);
    assert_eq!(frame_summaries(&second_rx), ["2", "3", "end 4"]);
    assert!(!response.is_delivered());
    response.acknowledge(5);
    assert!(response.is_delivered());
}

#[test]
fn sending_waits_for_acknowledgements_while_the_window_is_full() {
    let (response, _rx) = response_buffer();
    let chunk = Bytes::from(vec![0; MAX_UNACKNOWLEDGED_BYTES]);
    block_on(response.send_chunk(chunk.clone())).unwrap();
    let blocked = block_on(future::poll_once(response.send_chunk(chunk.clone())));
    assert!(blocked.is_none());
    response.acknowledge(1);
    block_on(response.send_chunk(chunk)).unwrap();
}

#[test]
fn cancelled_response_accepts_no_chunks() {
    let (response, _rx) = response_buffer();
    response.cancel();
    assert!(block_on(response.send_chunk(Bytes::from_static(b"x"))).is_err());
}

#[test]
fn events_are_complete_wherever_the_received_bytes_are_split() {
    let stream = b"data: {}\n\ndata: [DONE]\n\n";
    for split_at in 0..stream.len() {
        let mut events = EventSplitter::default();
        events.push(&stream[..split_at]);
        let mut found: Vec<Bytes> = std::iter::from_fn(|| events.next_event()).collect();
        events.push(&stream[split_at..]);
        found.extend(std::iter::from_fn(|| events.next_event()));
        assert_eq!(found, [&b"data: {}\n\n"[..], &b"data: [DONE]\n\n"[..]]);
        assert_eq!(events.pending_bytes(), 0);
    }
}
