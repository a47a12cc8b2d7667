//! Tests of reading bodies, of the connection pool and of event streams.

mod connection_pool;
mod host_list;
mod limits;
mod partial_heads;
mod server;
mod sse;
mod stream_end;

use crate::http::body;
use crate::http::body::BodyError;
use bytes::Bytes;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::time::Duration;

#[test]
fn read_with_timeout_returns_none_after_the_timeout() {
    let pending_body = smol::stream::pending::<Result<Frame<Bytes>, BodyError>>();
    let read = body::read_with_timeout(StreamBody::new(pending_body), 10, Duration::from_millis(1));
    assert!(smol::block_on(read).is_none());
    let complete = Full::new(Bytes::from_static(b"complete"));
    let read = body::read_with_timeout(complete, 10, Duration::from_secs(60));
    assert_eq!(smol::block_on(read).unwrap().unwrap(), "complete");
}
