//! What callers see of responses that break off.

use crate::http::body;
use crate::http::body::BodyError;
use crate::http::body::ResponseBody;
use crate::http::server;
use crate::http::server::Handler;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use rstest::rstest;
use smol::Executor;
use smol::Timer;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Answers each request with a body of the two parts, and breaks it off after the first one if the
/// path says so.
struct TwoParts;

impl Handler for TwoParts {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let breaks_off = req.uri().path() == "/breaks-off";
        let parts = smol::stream::unfold(0, move |part| async move {
            // Without a pause the server drops the first part unsent.
            Timer::after(Duration::from_millis(20)).await;
            let broken_off = || BodyError {
                reason: "broken off".into(),
            };
            let part_bytes = match part {
                0 => Ok(Bytes::from_static(b"one")),
                1 if breaks_off => Err(broken_off()),
                1 => Ok(Bytes::from_static(b"two")),
                _ => return None,
            };
            Some((part_bytes, part + 1))
        });
        Response::new(body::stream(parts))
    }
}

/// Sends a request with the head `head` and returns all that the server sends; `Err` if the
/// connection is reset.
fn exchange(head: &str) -> std::io::Result<String> {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (_stop, stopped) = async_channel::bounded(1);
        let serve = server::serve(listener, executor.clone(), stopped, Arc::new(TwoParts));
        executor.spawn(serve).detach();
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(head.as_bytes()).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        Ok(response)
    };
    smol::block_on(executor.run(run))
}

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Guards against a response that breaks off and ends as a whole one does.
#[rstest]
#[case::chunked("HTTP/1.1\r\nhost: h\r\nconnection: close\r\n")]
#[case::until_close("HTTP/1.0\r\nhost: h\r\n")]
#[case::until_close_kept_alive("HTTP/1.0\r\nhost: h\r\nconnection: keep-alive\r\n")]
fn response_that_breaks_off_never_looks_whole(#[case] rest_of_head: &str) {
    let response = exchange(&format!("GET /breaks-off {rest_of_head}\r\n"));
    let is_chunked = |response: &str| response.contains("transfer-encoding: chunked");
    if let Ok(response) = response {
        assert!(is_chunked(&response), "{response}");
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    }
}

#[rstest]
#[case::chunked("HTTP/1.1\r\nhost: h\r\nconnection: close\r\n", LAST_CHUNK)]
#[case::until_close("HTTP/1.0\r\nhost: h\r\n", "onetwo")]
fn whole_response_ends_without_a_reset(#[case] rest_of_head: &str, #[case] end: &str) {
    let response = exchange(&format!("GET /whole {rest_of_head}\r\n"));
    let response = response.expect("response");
    assert!(response.ends_with(end), "{response}");
}
