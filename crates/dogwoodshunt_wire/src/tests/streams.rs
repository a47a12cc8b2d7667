//! Notices about streams in heartbeats.

use crate::codec;
use crate::frame::Frame;
use crate::frame::Heartbeat;
use crate::frame::StreamOrigin;

fn notice() -> Heartbeat {
    Heartbeat {
        number: 1_000,
        echo: 1_000,
        fresh: true,
        stream_origins: vec![StreamOrigin {
            stream: u64::MAX,
            service: "roast-brain".into(),
            software: "v1.1".into(),
        }],
        ..Heartbeat::default()
    }
}

#[test]
fn notice_of_a_stream_takes_at_most_100_bytes() {
    let bytes = codec::encode(&Frame::Heartbeat(Box::new(notice()))).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() <= 100, "{} bytes", bytes.len());
}

#[test]
fn heartbeat_without_notices_has_no_field_for_them() {
    let heartbeat = Heartbeat {
        stream_origins: Vec::new(),
        ..notice()
    };
    let bytes = codec::encode(&Frame::Heartbeat(Box::new(heartbeat))).unwrap();
    let value: ciborium::Value = ciborium::from_reader(&bytes[..]).unwrap();
    let text = format!("{value:?}");
    for name in ["\"a\"", "\"b\"", "\"u\""] {
        assert!(!text.contains(name), "{text}");
    }
}
