//! Exchanges with peers that misbehave.

use crate::http::Exchanges;
use crate::http::exchange::SendError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use smol::Executor;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Runs `work` beside an executor that drives connections.
fn with_executor<T>(work: impl AsyncFnOnce(Arc<Exchanges>) -> T) -> T {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let exchanges = Arc::new(Exchanges::new(executor.clone(), Duration::from_secs(5)));
    smol::block_on(executor.run(work(exchanges)))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads one request's head.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0_u8]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.unwrap_or(0) == 0 {
            return None;
        }
        head.extend_from_slice(&byte);
    }
    String::from_utf8(head).ok()
}

fn get(id: &str) -> Request<Full<Bytes>> {
    Request::get("/")
        .header("host", "h")
        .header("request-id", id)
        .body(Full::new(Bytes::new()))
        .unwrap()
}

/// Answers the next request on the next connection with `answer`, then closes.
async fn answer_once(listener: &TcpListener, answer: &str) {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_head(&mut stream).await.unwrap();
    stream.write_all(answer.as_bytes()).await.unwrap();
    stream.close().await.unwrap();
}

#[rstest]
#[case::by_length("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", Some("abc"))]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\nabc", Some("abc"))]
#[case::short("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", None)]
#[case::cut_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc", None)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    None
)]
fn answer_that_ends_early_is_not_whole(#[case] answer: &str, #[case] whole: Option<&str>) {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let asked = async {
            let mut exchange = exchanges.send(address, get("1")).await.unwrap();
            exchange.whole(100).await.ok()
        };
        let (got, ()) = smol::future::zip(asked, answer_once(&listener, answer)).await;
        assert_eq!(got.as_deref(), whole.map(str::as_bytes));
    });
}

#[test]
fn bytes_that_are_no_answer_lose_the_request() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let asked = exchanges.send(address, get("1"));
        let (got, ()) = smol::future::zip(asked, answer_once(&listener, "garbage\r\n\r\n")).await;
        assert!(matches!(got, Err(SendError::Lost { .. })));
    });
}

#[test]
fn peer_that_is_not_there_has_been_sent_nothing() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        drop(listener);
        let got = exchanges.send(address, get("1")).await;
        assert!(matches!(got, Err(SendError::NotSent { .. })));
    });
}

#[test]
fn connection_is_used_again_after_a_whole_answer() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            for _ in 0..3 {
                read_head(&mut stream).await.unwrap();
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                stream.write_all(answer).await.unwrap();
            }
        };
        let asked = async {
            for id in ["1", "2", "3"] {
                let mut exchange = exchanges.send(address, get(id)).await.unwrap();
                assert_eq!(exchange.whole(10).await.unwrap(), "ok");
            }
        };
        smol::future::zip(serve, asked).await;
        assert_eq!(exchanges.opened(), 1);
    });
}

#[test]
fn connection_with_bytes_after_its_answer_is_not_used_again() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let serve = async {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_head(&mut stream).await.unwrap();
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok\
                    HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
                stream.write_all(answer.as_bytes()).await.unwrap();
                // Open until the client has looked at what follows.
                let _ = read_head(&mut stream).await;
            }
        };
        let asked = async {
            for id in ["1", "2"] {
                let mut exchange = exchanges.send(address, get(id)).await.unwrap();
                assert_eq!(exchange.whole(10).await.unwrap(), "ok");
                drop(exchange);
            }
        };
        serve
            .or(async {
                asked.await;
            })
            .await;
        assert_eq!(exchanges.opened(), 2);
    });
}

#[test]
fn idle_connection_that_the_peer_closed_costs_no_request() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let asked = async {
            let mut exchange = exchanges.send(address, get("1")).await.unwrap();
            exchange.whole(10).await.unwrap()
        };
        smol::future::zip(asked, answer_once(&listener, answer)).await;
        let asked = async {
            let mut exchange = exchanges.send(address, get("2")).await.unwrap();
            exchange.whole(10).await.unwrap()
        };
        let (got, ()) = smol::future::zip(asked, answer_once(&listener, answer)).await;
        assert_eq!(got, "ok");
    });
}

#[test]
fn dropping_an_exchange_closes_its_connection() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await.unwrap();
            let begun = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
            stream.write_all(begun.as_bytes()).await.unwrap();
            // Ends once the other side has closed.
            assert!(read_head(&mut stream).await.is_none());
        };
        let asked = async {
            let mut exchange = exchanges.send(address, get("1")).await.unwrap();
            assert_eq!(exchange.chunk().await.unwrap().unwrap(), "ok");
        };
        smol::future::zip(serve, asked).await;
    });
}

#[test]
fn answer_over_the_limit_is_given_up() {
    with_executor(async |exchanges| {
        let (listener, address) = listen().await;
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde";
        let asked = async {
            let mut exchange = exchanges.send(address, get("1")).await.unwrap();
            exchange.whole(4).await.is_err()
        };
        let (refused, ()) = smol::future::zip(asked, answer_once(&listener, answer)).await;
        assert!(refused);
    });
}
