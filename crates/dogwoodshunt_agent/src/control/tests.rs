//! Tests of the control state: replies to resumed requests, and orders after a pause.

use crate::control::Control;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::control::LinkKey;
use crate::settings::AgentSettings;
use async_channel::Receiver;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use smol::Executor;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const SETTINGS: &str = r#"{
    "node": {"name": "host-1", "failure_domain": "domain-1"}, "listen": "127.0.0.1:0",
    "shared_key": "0123456789abcdef", "key_value_service": "127.0.0.1:1",
    "upstreams": [{"name": "r", "address": "127.0.0.1:1",
        "serves": {"service": {"name": "s", "concurrency": 1}}}]
}"#;

fn identity(node: &str, boot: u64) -> Identity {
    Identity {
        node: node.into(),
        boot,
        domain: "domain-1".into(),
    }
}

fn control(now: Instant) -> Control {
    let settings: AgentSettings = settings::parse("test", SETTINGS).unwrap();
    let traffic = Arc::new(Executor::new());
    let client = Client::new(traffic.clone(), Duration::from_secs(1));
    let context = ControlContext {
        traffic,
        client: Arc::new(client),
        events_tx: async_channel::unbounded().0,
        verify_ownership_tx: async_channel::bounded(1).0,
        log: telemetry::discard_logger(),
    };
    Control::new(identity("host-1", 1), &settings, context, now)
}

fn connect(control: &mut Control, now: Instant, boot: u64) -> (LinkKey, Receiver<Frame>) {
    let (tx, sent_frames) = async_channel::unbounded();
    let link = Link {
        peer: identity("entry-1", boot),
        tx,
        rx: async_channel::unbounded().1,
    };
    control.handle(now, ControlEvent::EntryConnected { link });
    (control.links.keys().last().unwrap(), sent_frames)
}

fn resume(control: &mut Control, now: Instant, link: LinkKey, request: RequestId) {
    let frame = Frame::Resume {
        request,
        next: 0,
        has_head: false,
    };
    control.handle(now, ControlEvent::Frame { link, frame });
}

fn last_frame(sent_frames: &Receiver<Frame>) -> Frame {
    std::iter::from_fn(|| sent_frames.try_recv().ok())
        .last()
        .unwrap()
}

const REQUEST: RequestId = RequestId {
    entry_boot: 7,
    number: 1,
};

#[test]
fn resuming_an_ended_request_is_never_answered_with_not_run() {
    let now = Instant::now();
    let mut control = control(now);
    let (link, sent_frames) = connect(&mut control, now, 7);
    control.ended_requests.insert(REQUEST, now);
    resume(&mut control, now, link, REQUEST);
    let reply = last_frame(&sent_frames);
    assert!(
        matches!(
            reply,
            Frame::Failed {
                outcome: RequestOutcome::Unknown,
                ..
            }
        ),
        "{reply:?}"
    );
}

#[test]
fn resuming_an_unknown_request_is_answered_with_not_run_and_recorded_as_ended() {
    let now = Instant::now();
    let mut control = control(now);
    let (earlier_link, _) = connect(&mut control, now, 7);
    let (link, sent_frames) = connect(&mut control, now, 7);
    resume(&mut control, now, link, REQUEST);
    assert!(matches!(last_frame(&sent_frames), Frame::NotRun { .. }));
    assert!(control.ended_requests.contains_key(&REQUEST));
    // Frames that still arrive on the earlier connection are ignored.
    assert!(!control.links.contains_key(earlier_link));
}

#[test]
fn orders_are_suspended_after_a_pause_until_ownership_is_confirmed() {
    let start = Instant::now();
    let mut control = control(start);
    control.replica.on_service_read(start, 0);
    control.handle(
        start,
        ControlEvent::Ownership(Ownership::Owned { epoch: 1, era: 0 }),
    );
    control.tick(start);
    let all_owned = |control: &Control| control.scheduler.upstreams().all(|(_, u)| u.owned);
    assert!(all_owned(&control));
    // A read of the key-value service makes the catalogue fresh before the first tick
    // after the pause, so the pause alone must suspend orders.
    let resumed_at = start + Duration::from_secs(4);
    control.replica.on_service_read(resumed_at, 0);
    control.tick(resumed_at);
    assert!(!all_owned(&control));
    control.handle(
        resumed_at,
        ControlEvent::Ownership(Ownership::Owned { epoch: 1, era: 0 }),
    );
    assert!(all_owned(&control));
}
