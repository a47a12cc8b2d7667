//! What the watch of the operators' records and the extra requests prove.

use super::record;
use super::watch_only::WatchOnly;
use super::watch_only::Watched;
use super::watch_only::not_answered;
use crate::control::ControlEvent;
use crate::control::shared_state::SharedState;
use crate::currency_gate::CurrencyGate;
use crate::metrics::Metrics;
use crate::proof_requests::ProofRequester;
use crate::proof_requests::WatchProofs;
use crate::watch::PrefixWatcher;
use crate::watch::Topic;
use async_channel::Receiver;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_border::kv::WatchOutcome;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::BootTime;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that the store takes for each answer, in milliseconds.
const ANSWER_MS: u64 = 1_000;

/// Store that answers from a script while a clock that the test plays goes on.
struct SlowStore {
    millis: Arc<AtomicU64>,
    watch_outcomes: Mutex<Vec<WatchOutcome>>,
}

impl SlowStore {
    fn pass(&self) {
        self.millis.fetch_add(ANSWER_MS, Ordering::Relaxed);
    }
}

impl Watched for SlowStore {
    fn list(&self) -> Result<Listing, KvError> {
        self.pass();
        Ok(Listing {
            records: vec![record("op/config", "config 1", 1)],
            position: StorePosition {
                era: 1,
                revision: 1,
            },
        })
    }

    fn watch(&self, _: StorePosition) -> Result<WatchOutcome, KvError> {
        self.pass();
        let outcome = self.watch_outcomes.lock().unwrap().pop();
        outcome.ok_or_else(not_answered)
    }
}

/// Returns the store, the proofs of its watch, and the time that both share.
fn store(outcomes: Vec<WatchOutcome>) -> (Arc<WatchOnly<SlowStore>>, Arc<WatchProofs>) {
    let millis = Arc::new(AtomicU64::new(0));
    let clock = millis.clone();
    let time_source = move || BootTime::new(Duration::from_millis(clock.load(Ordering::Relaxed)));
    let gate = CurrencyGate::new(None, Arc::new(time_source));
    let proofs = Arc::new(WatchProofs::new(Arc::new(SharedState::new(gate))));
    let watch_outcomes = Mutex::new(outcomes);
    let store = SlowStore {
        millis,
        watch_outcomes,
    };
    (Arc::new(WatchOnly(store)), proofs)
}

/// Returns a text for each event that matters here: `listed`, `changed`, or `proven` with the time.
fn text(event: &ControlEvent) -> Option<String> {
    match event {
        ControlEvent::StoreListed { .. } => Some("listed".into()),
        ControlEvent::StoreChanged { .. } => Some("changed".into()),
        ControlEvent::ConfigProven { sent_at, .. } => {
            let at = sent_at.saturating_duration_since(BootTime::default());
            Some(format!("proven {}", at.as_millis()))
        }
        _ => None,
    }
}

fn change() -> WatchOutcome {
    WatchOutcome::Changes(vec![KeyChange::Put(record("op/config", "config 2", 2))])
}

async fn events_until_the_store_is_lost(event_rx: &Receiver<ControlEvent>) -> Vec<String> {
    let mut texts = Vec::new();
    while let Ok(event) = event_rx.recv().await {
        if matches!(event, ControlEvent::StoreUnreachable(_)) {
            break;
        }
        texts.extend(text(&event));
    }
    texts
}

/// Guards against proofs as of the arrival of an answer, before its changes are in force, and by
/// an answer that says nothing of the newest configuration.
#[test]
fn watch_proves_as_of_the_sending_and_after_the_changes() {
    let outcomes = vec![
        WatchOutcome::Compacted,
        WatchOutcome::Changes(Vec::new()),
        change(),
    ];
    let (kv, proofs) = store(outcomes);
    let (events, event_rx) = async_channel::unbounded();
    let watcher = PrefixWatcher {
        kv,
        topic: Topic::Operator,
        prefix: "op/",
        watch_timeout: Duration::ZERO,
        watch_delay: Duration::ZERO,
        proofs: Some(proofs),
        events,
        log: telemetry::discard_logger(),
    };
    let watch = async {
        watcher.run().await;
        Vec::new()
    };
    let events = events_until_the_store_is_lost(&event_rx);
    let texts = smol::block_on(smol::future::or(events, watch));
    assert_eq!(
        texts,
        [
            "listed",
            "proven 0",
            "changed",
            "proven 1000",
            // The watch without changes.
            "proven 2000",
            // The watch from 3000 on found its revision compacted.
            "listed",
            "proven 4000",
        ]
    );
}

/// Returns the events that one extra request sends, before which the watch has a position or not.
fn extra_request(outcome: WatchOutcome, position: Option<StorePosition>) -> Vec<String> {
    let (kv, proofs) = store(vec![outcome]);
    proofs.set_position(position);
    let sent_at = proofs.now();
    let (events, event_rx) = async_channel::unbounded();
    let requester = ProofRequester {
        kv,
        prefix: "op/",
        proofs,
        events,
        traffic: TrafficExecutor::default(),
        metrics: Metrics::new(&mut metrics::registry()),
    };
    smol::block_on(requester.send_one(sent_at));
    drop(requester);
    std::iter::from_fn(|| event_rx.try_recv().ok())
        .filter_map(|event| text(&event))
        .collect()
}

/// Guards against an extra request whose proof counts too early or too late, or that takes a
/// compacted or restored store for a proof.
#[test]
fn extra_request_proves_as_of_its_sending() {
    let position = Some(StorePosition {
        era: 1,
        revision: 1,
    });
    let unchanged = WatchOutcome::Changes(Vec::new());
    assert_eq!(extra_request(unchanged.clone(), position), ["proven 0"]);
    assert_eq!(extra_request(change(), position), ["changed", "proven 0"]);
    let listed = ["listed", "proven 0"];
    assert_eq!(extra_request(WatchOutcome::Compacted, position), listed);
    let restored = WatchOutcome::Restored { era: 2 };
    assert_eq!(extra_request(restored, position), listed);
    assert_eq!(extra_request(unchanged, None), listed);
}
