//! Event streams of services that end with their connection.

use crate::response_buffer::ResponseBuffer;
use crate::run::Run;
use bytes::Bytes;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_residency::Target;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Submit;
use rstest::rstest;
use smol::Executor;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Runs a request on a service that responds with `response` and ends the connection.
/// Returns the last frame that the entry receives.
async fn last_frame(executor: Arc<Executor<'static>>, response: String) -> Frame {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serve = async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        stream.read(&mut buf).await.unwrap();
        stream.write_all(response.as_bytes()).await.unwrap();
        stream.close().await.unwrap();
    };
    executor.spawn(serve).detach();
    let request = RequestId {
        entry_boot: 1,
        number: 1,
    };
    let (tx, rx) = async_channel::unbounded();
    let (_cancel_tx, cancel_rx) = async_channel::bounded(1);
    let run = Run {
        client: Arc::new(Client::new(executor, Duration::from_secs(5))),
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
    };
    run.run().await;
    let mut frames = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        frames.push(frame);
    }
    frames.pop().unwrap()
}

#[rstest]
#[case::inside_an_event("data: a\n\ndata: b", false)]
#[case::before_any_event("", false)]
#[case::between_events("data: a\n\ndata: b\n\n", true)]
fn event_stream_of_a_service_is_complete_only_if_it_ends_between_events(
    #[case] body: &str,
    #[case] is_complete: bool,
) {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let response = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{body}");
    let last = smol::block_on(executor.run(last_frame(executor.clone(), response)));
    assert_eq!(matches!(last, Frame::End { .. }), is_complete, "{last:?}");
}
