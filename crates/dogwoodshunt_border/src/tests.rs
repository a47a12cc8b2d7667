//! Tests of the border.

mod exchange;

use crate::http::body;
use crate::http::body::BrokenOff;
use bytes::Bytes;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::time::Duration;

#[test]
fn body_that_stays_away_is_given_up() {
    let never = smol::stream::pending::<Result<Frame<Bytes>, BrokenOff>>();
    let read = body::read_within(StreamBody::new(never), 10, Duration::from_millis(1));
    assert!(smol::block_on(read).is_none());
    let whole = Full::new(Bytes::from_static(b"whole"));
    let read = body::read_within(whole, 10, Duration::from_secs(60));
    assert_eq!(smol::block_on(read).unwrap().unwrap(), "whole");
}
