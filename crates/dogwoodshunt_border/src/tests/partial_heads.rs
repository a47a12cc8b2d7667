//! Peers that stop in the middle of the head of a response.

use crate::http::Client;
use crate::http::ConnectionPool;
use crate::http::body;
use crate::http::client::HttpError;
use crate::http::connection_pool::SendError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use rustix::net::sockopt::set_socket_linger;
use smol::Executor;
use smol::Timer;
use smol::future;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A head with everything that a caller would need to take an empty response for a whole one.
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Call: q\r\n\
                    X-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";

/// As [`HEAD`], after an interim response.
const HEAD_AFTER_INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n\
                                  HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// As [`HEAD`], for a body that ends with its connection.
const HEAD_WITHOUT_LENGTH: &str =
    "HTTP/1.0 200 OK\r\nX-Call: q\r\nX-Signature: s\r\nContent-Type: text/plain\r\n\r\n";

/// A whole response to an earlier request of the same connection.
const EARLIER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier";

/// How a peer goes on after a part of a head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closes,
    Resets,
    FallsSilent,
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<()> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    Ok(())
}

/// Serves one connection: answers `earlier_requests` requests, and the next one with `part` only.
async fn serve(listener: TcpListener, earlier_requests: usize, part: &str, end: End) {
    let Ok((mut stream, _)) = listener.accept().await else {
        return;
    };
    for _ in 0..earlier_requests {
        if read_head(&mut stream).await.is_err()
            || stream.write_all(EARLIER.as_bytes()).await.is_err()
        {
            return;
        }
    }
    if read_head(&mut stream).await.is_err() || stream.write_all(part.as_bytes()).await.is_err() {
        return;
    }
    match end {
        End::Closes => {}
        End::Resets => {
            // The part is to arrive before the reset.
            Timer::after(Duration::from_millis(1)).await;
            let _ = set_socket_linger(&stream, Some(Duration::ZERO));
        }
        End::FallsSilent => future::pending().await,
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/")
        .header("host", "h")
        .body(Full::default())
        .expect("valid request")
}

/// Time for which a caller waits for a silent peer here.
const PATIENCE: Duration = Duration::from_millis(5);

/// Runs `client` beside a peer that sends a part of `head`, for each part that is not the whole.
fn with_each_part(
    head: &str,
    earlier_requests: usize,
    end: End,
    client: impl AsyncFn(Arc<Executor<'static>>, SocketAddr, &str),
) {
    for len in 0..head.len() {
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        let run = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
            let address = listener.local_addr().expect("address");
            let serve = async {
                serve(listener, earlier_requests, &head[..len], end).await;
                future::pending().await
            };
            client(executor.clone(), address, &head[..len])
                .or(serve)
                .await;
        };
        smol::block_on(executor.run(run));
    }
}

#[rstest]
fn part_of_a_head_is_a_lost_response_of_an_upstream(
    #[values(HEAD, HEAD_AFTER_INTERIM, HEAD_WITHOUT_LENGTH)] head: &str,
    #[values(0, 1)] earlier_requests: usize,
    #[values(End::Closes, End::Resets, End::FallsSilent)] end: End,
) {
    with_each_part(
        head,
        earlier_requests,
        end,
        async |executor, address, part| {
            let pool = Arc::new(ConnectionPool::new(executor, Duration::from_secs(5)));
            for _ in 0..earlier_requests {
                let mut earlier = pool.send(address, request()).await.expect("response");
                earlier.read_to_end(100).await.expect("body");
            }
            let sent = async { Some(pool.send(address, request()).await) };
            let patience = async {
                Timer::after(PATIENCE).await;
                None
            };
            let result = match end {
                End::FallsSilent => sent.or(patience).await,
                End::Closes | End::Resets => sent.await,
            };
            match result {
                None | Some(Err(SendError::Lost { .. })) => {}
                Some(Err(error @ SendError::NotSent { .. })) => {
                    // A request on a connection in use may find it closed before it is sent.
                    assert!(part.is_empty() && earlier_requests > 0, "{part:?}: {error}");
                }
                Some(Ok(exchange)) => panic!("{part:?}: {}", exchange.status),
            }
        },
    );
}

/// The client of the store and of our own engines.
#[rstest]
fn part_of_a_head_is_a_lost_response_of_the_store(
    #[values(HEAD, HEAD_AFTER_INTERIM, HEAD_WITHOUT_LENGTH)] head: &str,
    #[values(0, 1)] earlier_requests: usize,
    #[values(End::Closes, End::Resets, End::FallsSilent)] end: End,
) {
    with_each_part(
        head,
        earlier_requests,
        end,
        async |executor, address, part| {
            let client = Client::new(executor, Duration::from_secs(5));
            let peer = address.to_string();
            for _ in 0..earlier_requests {
                let earlier = client.send("test", &peer, request()).await;
                let earlier = earlier.expect("response").into_body();
                body::read(earlier, 100).await.expect("body");
            }
            let timeout = match end {
                End::FallsSilent => PATIENCE,
                End::Closes | End::Resets => Duration::from_secs(60),
            };
            let sent = client.send_with_timeout(timeout, "test", &peer, request());
            match sent.await {
                Err(HttpError::Lost { .. }) => {}
                Err(error @ HttpError::NotSent { .. }) => {
                    assert!(part.is_empty() && earlier_requests > 0, "{part:?}: {error}");
                }
                Ok(response) => panic!("{part:?}: {}", response.status()),
            }
        },
    );
}
