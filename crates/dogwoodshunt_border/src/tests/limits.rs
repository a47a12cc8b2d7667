//! Requests and connections at the limits of a process.

use crate::http::ResponseBody;
use crate::http::limits::ConnectionAccount;
use crate::http::limits::LimitEvent;
use crate::http::limits::ProcessLimits;
use crate::http::request_body;
use crate::http::request_body::RequestBodyError;
use crate::http::server;
use crate::http::server::Endpoint;
use crate::http::server::Handler;
use dogwoodshunt_limits::Limits;
use dogwoodshunt_limits::Listener;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use smol::Executor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a body in these tests, in bytes.
const BODY_LIMIT: usize = 128 * 1024;

/// Answers each request with the size of its body.
struct SizeOfBody;

impl Handler for SizeOfBody {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let account = req.extensions().get::<Arc<ConnectionAccount>>().cloned();
        let timeout = Duration::from_secs(15);
        let body = req.into_body();
        match request_body::receive(body, account.as_ref(), BODY_LIMIT, timeout).await {
            Ok(bytes) => server::text(200, bytes.len().to_string()),
            Err(RequestBodyError::ConnectionLost { .. }) => server::text(400, "lost"),
            Err(RequestBodyError::NoRoom) => server::text(503, "no room"),
            Err(RequestBodyError::TimedOut { .. }) => server::text(408, "slow"),
            Err(RequestBodyError::TooLarge { .. }) => server::text(413, "large"),
        }
    }
}

fn limits() -> Limits {
    Limits::builder()
        .budget(16 << 20)
        .small_reserve(4 << 20)
        .connections(100)
        .body_stall(Duration::from_secs(1))
        .build()
}

/// Sends `request` to a server within `limits`, then reads until the server closes the connection.
/// Returns the response, and the bytes that are leased afterwards.
fn exchange(limits: Limits, request: &[u8]) -> (String, usize) {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let process = ProcessLimits::new(limits, Box::new(|_| {}));
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let endpoint = Endpoint::limited(listener, &process, Listener::Callers);
        let (stop, stopped) = async_channel::bounded(1);
        let serve = server::serve(endpoint, executor.clone(), stopped, Arc::new(SizeOfBody));
        let served = executor.spawn(serve);
        let mut stream = TcpStream::connect(address).await.expect("connection");
        stream.write_all(request).await.expect("request is taken");
        let mut response = String::new();
        let read = stream.read_to_string(&mut response).await;
        read.expect("response without a reset");
        drop((stop, stream));
        served.await;
        response
    };
    let response = smol::block_on(executor.run(run));
    (response, process.usage().0)
}

fn chunked(chunk: usize, count: usize, end: &str) -> Vec<u8> {
    let mut request = b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    for _ in 0..count {
        request.extend(format!("{chunk:x}\r\n").bytes());
        request.extend(vec![b'x'; chunk]);
        request.extend(b"\r\n");
    }
    request.extend(end.bytes());
    request
}

/// Guards against a body that is changed when its chunks are copied, and against a lease that stays.
#[test]
fn body_of_tiny_chunks_arrives_whole_and_its_lease_ends() {
    let (response, leased) = exchange(limits(), &chunked(1, 5_000, "0\r\n\r\n"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("5000"), "{response}");
    assert_eq!(leased, 0);
}

/// Guards against a refusal that the client loses since it still sends when the connection closes.
#[test]
fn refusal_of_a_large_body_reaches_a_client_that_still_sends() {
    let (response, leased) = exchange(limits(), &chunked(16 * 1024, 40, ""));
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert_eq!(leased, 0);
}

/// Guards against a body without progress that keeps its bytes.
#[test]
fn body_that_stops_is_refused_as_not_run() {
    let (response, leased) = exchange(limits(), &chunked(1_000, 5, ""));
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert_eq!(leased, 0);
}

/// Guards against a body that waits for room which never comes.
#[test]
fn body_beyond_the_budget_is_refused_as_not_run() {
    let tiny = Limits::builder()
        .budget(100 << 10)
        .small_reserve(25 << 10)
        .connections(1)
        .build();
    let head = "POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 100000\r\n\r\n";
    let (response, leased) = exchange(tiny, head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(leased, 0);
}

/// Answers each request with more than the buffers of a connection hold.
struct LargeAnswer;

impl Handler for LargeAnswer {
    async fn handle(&self, _req: Request<Incoming>) -> Response<ResponseBody> {
        server::text(200, "x".repeat(32 << 20))
    }
}

/// Guards against a connection that stays open for a caller that reads nothing.
#[test]
fn connection_whose_peer_reads_nothing_is_closed() {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let mut limits = limits();
    limits.write_stall = Duration::from_millis(200);
    let (stalled, stalls) = async_channel::unbounded();
    let observe = move |event: LimitEvent| stalled.try_send(event).unwrap_or_default();
    let process = ProcessLimits::new(limits, Box::new(observe));
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let endpoint = Endpoint::limited(listener, &process, Listener::Callers);
        let (stop, stopped) = async_channel::bounded(1);
        let serve = server::serve(endpoint, executor.clone(), stopped, Arc::new(LargeAnswer));
        let served = executor.spawn(serve);
        let mut stream = TcpStream::connect(address).await.expect("connection");
        let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        stream.write_all(request).await.expect("request is taken");
        assert_eq!(stalls.recv().await, Ok(LimitEvent::WriteStalled));
        drop(stop);
        // The server ends while the peer is still connected.
        served.await;
        drop(stream);
    };
    smol::block_on(executor.run(run));
    assert_eq!(process.usage(), (0, 0));
}
