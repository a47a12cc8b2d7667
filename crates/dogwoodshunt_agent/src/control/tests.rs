//! Tests of what the agent says of requests whose connection was lost.

use crate::control::Control;
use crate::control::Event;
use crate::control::LinkKey;
use crate::control::Surroundings;
use crate::settings::AgentSettings;
use async_channel::Receiver;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use smol::Executor;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const SETTINGS: &str = r#"{
    "node": {"name": "host-1", "failure_domain": "banha"}, "listen": "127.0.0.1:0",
    "shared_key": "0123456789abcdef", "key_value_service": "127.0.0.1:1",
    "upstreams": [{"name": "r", "address": "127.0.0.1:1",
        "serves": {"service": {"name": "s", "concurrency": 1}}}]
}"#;

fn identity(node: &str, boot: u64) -> Identity {
    Identity {
        node: node.into(),
        boot,
        domain: "banha".into(),
    }
}

fn control(now: Instant) -> Control {
    let settings: AgentSettings = settings::parse("test", SETTINGS).unwrap();
    let traffic = Arc::new(Executor::new());
    let client = Client::new(traffic.clone(), Duration::from_secs(1));
    let around = Surroundings {
        traffic,
        client: Arc::new(client),
        events: async_channel::unbounded().0,
        doubts: async_channel::bounded(1).0,
        log: telemetry::discard_logger(),
    };
    Control::new(identity("host-1", 1), &settings, around, now)
}

fn connect(control: &mut Control, now: Instant, boot: u64) -> (LinkKey, Receiver<Frame>) {
    let (tx, sent) = async_channel::unbounded();
    let link = Link {
        peer: identity("entry-1", boot),
        tx,
        rx: async_channel::unbounded().1,
    };
    control.handle(now, Event::LinkUp { link });
    (control.links.keys().last().unwrap(), sent)
}

fn resume(control: &mut Control, now: Instant, link: LinkKey, request: RequestId) {
    let frame = Frame::Resume {
        request,
        next: 0,
        has_head: false,
    };
    control.handle(now, Event::Frame { link, frame });
}

fn last(sent: &Receiver<Frame>) -> Frame {
    std::iter::from_fn(|| sent.try_recv().ok()).last().unwrap()
}

const REQUEST: RequestId = RequestId {
    entry_boot: 7,
    number: 1,
};

#[test]
fn request_that_has_ended_is_never_called_not_run() {
    let now = Instant::now();
    let mut control = control(now);
    let (link, sent) = connect(&mut control, now, 7);
    control.ended.insert(REQUEST, now);
    resume(&mut control, now, link, REQUEST);
    let answer = last(&sent);
    assert!(
        matches!(
            answer,
            Frame::Failed {
                outcome: Outcome::Unknown,
                ..
            }
        ),
        "{answer:?}"
    );
}

#[test]
fn request_that_never_came_is_called_not_run_and_stays_so() {
    let now = Instant::now();
    let mut control = control(now);
    let (old, _) = connect(&mut control, now, 7);
    let (link, sent) = connect(&mut control, now, 7);
    resume(&mut control, now, link, REQUEST);
    assert!(matches!(last(&sent), Frame::NotRun { .. }));
    assert!(control.ended.contains_key(&REQUEST));
    // What still arrives on the older connection is ignored.
    assert!(!control.links.contains_key(old));
}

#[test]
fn agent_that_was_paused_orders_nothing_until_its_ownership_is_confirmed() {
    let start = Instant::now();
    let mut control = control(start);
    control.replica.on_service_read(start, 0);
    control.handle(start, Event::Ownership(Ownership::Owned { epoch: 1 }));
    control.tick(start);
    let owned = |control: &Control| control.scheduler.upstreams().all(|(_, u)| u.owned);
    assert!(owned(&control));
    // It wakes fresh, since a peer's word came in before its first tick.
    let woken = start + Duration::from_secs(4);
    control.replica.on_service_read(woken, 0);
    control.tick(woken);
    assert!(!owned(&control));
    control.handle(woken, Event::Ownership(Ownership::Owned { epoch: 1 }));
    assert!(owned(&control));
}
