//! Load reports as frames carry them.

use crate::Frame;
use crate::codec;
use crate::frame::Heartbeat;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::report::EngineLoad;
use dogwoodshunt_residency::report::LearnedLoad;
use dogwoodshunt_residency::report::PendingLoad;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use proptest::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest encoded change of an engine's load, in bytes. A node may use 7 KB/s for
/// control; with fourteen entries, an agent sends 140 of these a second.
const MAX_LOAD_BYTES: usize = 50;

/// Largest encoded change of one adapter beyond that, in bytes.
const MAX_ADAPTER_BYTES: usize = 32;

fn adapter(number: u32) -> AdapterRef {
    AdapterRef::new(&format!("base-model-7b/a{number}"), "12")
}

/// Report of one engine with the given adapters, of which the value tells whether the
/// adapter is ready.
fn report(adapters: &BTreeMap<u32, bool>, running: u32, pending: &[u32]) -> Report {
    let with_state = |ready: bool| {
        let matching = adapters.iter().filter(|(_, is_ready)| **is_ready == ready);
        let mut matching: Vec<AdapterRef> = matching.map(|(n, _)| adapter(*n)).collect();
        matching.sort_unstable();
        matching
    };
    Report {
        upstreams: vec![UpstreamReport {
            name: "engine".into(),
            serves: Served::BaseModel("base-model-7b".into()),
            takes_work: running < 50,
            running,
            batch: 64,
            slots: 9,
            ready: with_state(true),
            loading: with_state(false),
            kv_tokens: 235_000,
            rate_limit: None,
            waits_for_rate: false,
            engine: Some(EngineLoad {
                pending_prefill: 9_200,
                reserved_kv: 120_000 + u64::from(running),
                prefill_tokens_per_second: 38_000,
                free_slots: 3,
                prefill_busy_percent: 50,
                learned: None,
            }),
        }],
        queued: running / 4,
        mean_run: Duration::from_millis(1_230),
        pending_loads: pending
            .iter()
            .map(|number| PendingLoad {
                adapter: adapter(*number),
                waiting: 2,
                oldest: Duration::from_millis(250),
                priority: Priority::Normal,
            })
            .collect(),
    }
}

fn load_frame_len(from: &Report, to: &Report) -> usize {
    let ReportUpdate::Load(load) = to.update_since(Some(from)) else {
        panic!("the update is a full report");
    };
    codec::encode(&Frame::Load(Box::new(load))).unwrap().len()
}

#[test]
fn change_of_the_load_is_small() {
    let adapters: BTreeMap<u32, bool> = (0..9).map(|n| (n * 100, true)).collect();
    let (before, after) = (report(&adapters, 3, &[]), report(&adapters, 4, &[]));
    let len = load_frame_len(&before, &after);
    assert!(len <= MAX_LOAD_BYTES, "{len} bytes");
    let mut evicted = adapters.clone();
    evicted.remove(&100);
    evicted.insert(12_345, false);
    let len = load_frame_len(&before, &report(&evicted, 3, &[]));
    assert!(len <= MAX_LOAD_BYTES + 2 * MAX_ADAPTER_BYTES, "{len} bytes");
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Guards against a load that releases without learned costs can't decode while no entry uses
/// them, and against one that such releases send and this one can't decode.
#[test]
fn a_load_without_learned_costs_is_encoded_as_before() {
    let before = encode(&(9_200_u64, 120_000_u64, 38_000_u64, 3_u32, 50_u8));
    let load: EngineLoad = ciborium::from_reader(&*before).unwrap();
    assert_eq!((load.free_slots, load.learned), (3, None));
    assert_eq!(encode(&load), before);
}

/// Guards against a learned load that is lost or grows beyond a few bytes.
#[test]
fn a_learned_load_takes_few_bytes() {
    let load = EngineLoad {
        learned: Some(LearnedLoad {
            streams: 12,
            tightest_gap: Duration::from_millis(500),
            ns_per_token: 26_000,
            margin_percent: 250,
            slowdown_percent: 100,
        }),
        ..EngineLoad::default()
    };
    let bytes = encode(&load);
    let decoded: EngineLoad = ciborium::from_reader(&*bytes).unwrap();
    assert_eq!(decoded, load);
    let without = encode(&EngineLoad::default()).len();
    assert!(bytes.len() <= without + 14, "{} bytes", bytes.len());
}

#[test]
fn heartbeat_without_news_is_small() {
    let heartbeat = Heartbeat {
        number: 100_000,
        echo: 99_999,
        fresh: true,
        ..Heartbeat::default()
    };
    let frame = Frame::Heartbeat(Box::new(heartbeat));
    let bytes = codec::encode(&frame).unwrap();
    assert!(bytes.len() <= 24, "{} bytes", bytes.len());
    assert_eq!(codec::decode(&bytes).unwrap(), frame);
}

proptest! {
    #[test]
    fn reports_arrive_as_sent_whatever_changes_between_them(
        states in prop::collection::vec(
            (
                prop::collection::btree_map(0..12_u32, any::<bool>(), 0..9),
                0..60_u32,
                prop::collection::vec(0..12_u32, 0..3),
            ),
            1..20,
        ),
    ) {
        let mut sent: Option<Report> = None;
        let mut received: Option<Report> = None;
        for (adapters, running, pending) in states {
            let current = report(&adapters, running, &pending);
            let heartbeat = Heartbeat {
                report: Some(current.update_since(sent.as_ref())),
                ..Heartbeat::default()
            };
            let bytes = codec::encode(&Frame::Heartbeat(Box::new(heartbeat))).unwrap();
            let Frame::Heartbeat(decoded) = codec::decode(&bytes).unwrap() else {
                panic!("the frame is no heartbeat");
            };
            received = Report::apply_update(received.as_ref(), decoded.report.unwrap());
            prop_assert_eq!(received.as_ref(), Some(&current));
            sent = Some(current);
        }
    }
}
