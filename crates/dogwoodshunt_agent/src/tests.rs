//! Tests of the response buffer and of the splitter of server-sent events.

mod rate_limits;
mod service_streams;

use crate::control::ControlEvent;
use crate::response_buffer::ResponseBuffer;
use crate::run::Run;
use crate::sse::EventSplitter;
use async_channel::Receiver;
use bytes::Bytes;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::MAX_UNACKNOWLEDGED_BYTES;
use dogwoodshunt_wire::frame::ResponseHead;
use dogwoodshunt_wire::frame::Submit;
use smol::Executor;
use smol::block_on;
use smol::future;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Runs a request on a service that responds with `response` and ends the connection, and is
/// known to limit the rate of requests if `rate_limited`. Returns the frames for the entry and
/// the events for the control thread.
fn run_against(response: String, rate_limited: bool) -> (Vec<Frame>, Vec<ControlEvent>) {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let (tx, rx) = async_channel::unbounded();
    let (events_tx, events_rx) = async_channel::unbounded();
    let request = RequestId {
        entry_boot: 1,
        number: 1,
    };
    let run = async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let serve = async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            stream.read(&mut buf).await.unwrap();
            stream.write_all(response.as_bytes()).await.unwrap();
            stream.close().await.unwrap();
        };
        executor.spawn(serve).detach();
        let (_cancel_tx, cancel_rx) = async_channel::bounded(1);
        let run = Run {
            client: Arc::new(Client::new(executor.clone(), Duration::from_secs(5))),
            address: address.into(),
            submit: Arc::new(Submit {
                request,
                revision: 1,
                target: Target::Service("feed".into()),
                priority: Priority::Normal,
                time_left: None,
                method: "GET".into(),
                path: "/feed".into(),
                content_type: None,
                body: Bytes::new(),
            }),
            response_buffer: Arc::new(ResponseBuffer::new(request, tx)),
            cancel_rx,
            upstream: UpstreamKey::default(),
            rate_limited,
            events_tx,
        };
        run.run().await;
    };
    block_on(executor.run(run));
    let frames = std::iter::from_fn(|| rx.try_recv().ok()).collect();
    let events = std::iter::from_fn(|| events_rx.try_recv().ok()).collect();
    (frames, events)
}

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
