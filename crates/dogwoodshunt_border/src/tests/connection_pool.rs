//! Exchanges with peers that close connections early or violate the protocol.

use crate::http::ConnectionPool;
use crate::http::connection_pool::SendError;
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

/// Runs `test` on an executor that also runs the connections of its pool.
fn with_pool<T>(test: impl AsyncFnOnce(Arc<ConnectionPool>) -> T) -> T {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let connection_pool = Arc::new(ConnectionPool::new(
        executor.clone(),
        Duration::from_secs(5),
    ));
    smol::block_on(executor.run(test(connection_pool)))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads the head of one request; returns `None` if the client closes the connection.
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

/// Accepts a connection, responds to its first request with `response` and closes it.
async fn respond_once(listener: &TcpListener, response: &str) {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_head(&mut stream).await.unwrap();
    stream.write_all(response.as_bytes()).await.unwrap();
    stream.close().await.unwrap();
}

#[rstest]
#[case::content_length("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", Some("abc"))]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\nabc", Some("abc"))]
#[case::short_content("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", None)]
#[case::truncated_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc", None)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    None
)]
fn response_that_ends_early_is_an_error(
    #[case] response: &str,
    #[case] expected_body: Option<&str>,
) {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let client = async {
            let mut exchange = connection_pool.send(address, get("1")).await.unwrap();
            exchange.read_to_end(100).await.ok()
        };
        let (result, ()) = smol::future::zip(client, respond_once(&listener, response)).await;
        assert_eq!(result.as_deref(), expected_body.map(str::as_bytes));
    });
}

#[test]
fn malformed_response_counts_as_lost() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let client = connection_pool.send(address, get("1"));
        let (result, ()) =
            smol::future::zip(client, respond_once(&listener, "garbage\r\n\r\n")).await;
        assert!(matches!(result, Err(SendError::Lost { .. })));
    });
}

#[test]
fn refused_connection_counts_as_not_sent() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        drop(listener);
        let result = connection_pool.send(address, get("1")).await;
        assert!(matches!(result, Err(SendError::NotSent { .. })));
    });
}

#[test]
fn connection_is_reused_after_a_complete_response() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            for _ in 0..3 {
                read_head(&mut stream).await.unwrap();
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                stream.write_all(response).await.unwrap();
            }
        };
        let client = async {
            for id in ["1", "2", "3"] {
                let mut exchange = connection_pool.send(address, get(id)).await.unwrap();
                assert_eq!(exchange.read_to_end(10).await.unwrap(), "ok");
            }
        };
        smol::future::zip(server, client).await;
        assert_eq!(connection_pool.opened_connections(), 1);
    });
}

#[test]
fn connection_with_bytes_after_its_response_is_not_reused() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let server = async {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_head(&mut stream).await.unwrap();
                let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok\
                    HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
                stream.write_all(response.as_bytes()).await.unwrap();
                // Keeps the connection open until the client has detected the extra bytes.
                let _ = read_head(&mut stream).await;
            }
        };
        let client = async {
            for id in ["1", "2"] {
                let mut exchange = connection_pool.send(address, get(id)).await.unwrap();
                assert_eq!(exchange.read_to_end(10).await.unwrap(), "ok");
                drop(exchange);
            }
        };
        server
            .or(async {
                client.await;
            })
            .await;
        assert_eq!(connection_pool.opened_connections(), 2);
    });
}

#[test]
fn idle_connection_closed_by_the_peer_does_not_fail_a_request() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let client = async {
            let mut exchange = connection_pool.send(address, get("1")).await.unwrap();
            exchange.read_to_end(10).await.unwrap()
        };
        smol::future::zip(client, respond_once(&listener, response)).await;
        let client = async {
            let mut exchange = connection_pool.send(address, get("2")).await.unwrap();
            exchange.read_to_end(10).await.unwrap()
        };
        let (result, ()) = smol::future::zip(client, respond_once(&listener, response)).await;
        assert_eq!(result, "ok");
    });
}

#[test]
fn dropping_an_exchange_closes_its_connection() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await.unwrap();
            let partial_response =
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
            stream.write_all(partial_response.as_bytes()).await.unwrap();
            // Returns `None` once the client has closed the connection.
            assert!(read_head(&mut stream).await.is_none());
        };
        let client = async {
            let mut exchange = connection_pool.send(address, get("1")).await.unwrap();
            assert_eq!(exchange.next_chunk().await.unwrap().unwrap(), "ok");
        };
        smol::future::zip(server, client).await;
    });
}

#[test]
fn response_over_the_limit_is_an_error() {
    with_pool(async |connection_pool| {
        let (listener, address) = listen().await;
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde";
        let client = async {
            let mut exchange = connection_pool.send(address, get("1")).await.unwrap();
            exchange.read_to_end(4).await.is_err()
        };
        let (failed, ()) = smol::future::zip(client, respond_once(&listener, response)).await;
        assert!(failed);
    });
}
