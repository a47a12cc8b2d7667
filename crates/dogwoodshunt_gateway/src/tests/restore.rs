//! Restores of the platform's store from an older copy.

use super::TestEntry;
use super::record;
use super::watch_only::WatchOnly;
use super::watch_only::Watched;
use super::watch_only::not_answered;
use crate::control::ControlEvent;
use crate::watch::PrefixWatcher;
use crate::watch::Topic;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_border::kv::WatchOutcome;
use dogwoodshunt_residency::Target;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_wire::Frame;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

impl TestEntry {
    fn receive_listing(&mut self, topic: Topic, era: StoreEra, records: &[(&str, &str)]) {
        let records = records.iter();
        let records = records.map(|(key, value)| Record {
            era,
            ..record(key, value, 1)
        });
        let listing = Listing {
            records: records.collect(),
            position: StorePosition { era, revision: 1 },
        };
        self.handle(ControlEvent::StoreListed { topic, listing });
    }
}

#[test]
fn configuration_and_versions_of_an_older_copy_replace_no_newer_ones() {
    let mut entry = TestEntry::new();
    let revision = |entry: &TestEntry| entry.shared_state.routes().unwrap().config().revision;
    entry.put_record(Topic::Operator, "op/config", "config 5");
    entry.put_record(Topic::Operator, "op/version/a", "version a@7");
    let copy = [("op/config", "config 4"), ("op/version/a", "version a@6")];
    entry.receive_listing(Topic::Operator, 1, &copy);
    assert_eq!(revision(&entry), 5);
    let (_, _grant_rx) = entry.place("a");
    let (_, admit) = entry.expect_admit();
    let Target::Adapter { adapter, .. } = admit.target else {
        panic!("the target of the Admit frame is a base model");
    };
    assert_eq!(adapter.to_string(), "a@7");
    // What operators write again has a revision of the store that was in use before.
    entry.receive_listing(Topic::Operator, 1, &[("op/config", "config 6")]);
    assert_eq!(revision(&entry), 6);
}

#[test]
fn agents_learn_of_a_restore_once() {
    let mut entry = TestEntry::new();
    let announced_eras = |entry: &TestEntry| -> Vec<StoreEra> {
        let frame_rx = &entry.agents[0].1;
        let frames = std::iter::from_fn(|| frame_rx.try_recv().ok());
        let configs = frames.filter_map(|frame| match frame {
            Frame::UpstreamConfig(config) => Some(config.store_era),
            _ => None,
        });
        configs.collect()
    };
    announced_eras(&entry);
    let listed = [
        ("up/engine-1", "upstream models 1 ready"),
        ("up/engine-2", "upstream models 2 ready"),
    ];
    entry.receive_listing(Topic::Upstreams, 3, &listed);
    entry.receive_listing(Topic::Operator, 3, &[]);
    entry.receive_listing(Topic::Upstreams, 3, &listed);
    assert_eq!(announced_eras(&entry), [3]);
}

/// Store that answers from a script.
struct ScriptedStore {
    listings: Mutex<Vec<Listing>>,
    watch_outcomes: Mutex<Vec<WatchOutcome>>,
    watched_after: Mutex<Vec<StorePosition>>,
}

impl Watched for ScriptedStore {
    fn list(&self) -> Result<Listing, KvError> {
        let listing = self.listings.lock().unwrap().pop();
        listing.ok_or_else(not_answered)
    }

    fn watch(&self, after: StorePosition) -> Result<WatchOutcome, KvError> {
        self.watched_after.lock().unwrap().push(after);
        let outcome = self.watch_outcomes.lock().unwrap().pop();
        outcome.ok_or_else(not_answered)
    }
}

#[test]
fn watcher_lists_again_after_a_restore_and_continues_from_the_new_revisions() {
    let listing = |era, revision| Listing {
        records: Vec::new(),
        position: StorePosition { era, revision },
    };
    let kv = Arc::new(WatchOnly(ScriptedStore {
        listings: Mutex::new(vec![listing(2, 40), listing(1, 50)]),
        watch_outcomes: Mutex::new(vec![
            WatchOutcome::Restored { era: 2 },
            WatchOutcome::Changes(vec![KeyChange::Put(record("op/config", "config 2", 60))]),
        ]),
        watched_after: Mutex::default(),
    }));
    let (events, event_rx) = async_channel::unbounded();
    let watcher = PrefixWatcher {
        kv: kv.clone(),
        topic: Topic::Operator,
        prefix: "op/",
        watch_timeout: Duration::ZERO,
        watch_delay: Duration::ZERO,
        proofs: None,
        events,
        log: telemetry::discard_logger(),
    };
    let listed_eras = async {
        let mut eras = Vec::new();
        while let Ok(event) = event_rx.recv().await {
            match event {
                ControlEvent::StoreListed { listing, .. } => eras.push(listing.position.era),
                ControlEvent::StoreUnreachable(_) => break,
                _ => {}
            }
        }
        eras
    };
    let watch = async {
        watcher.run().await;
        Vec::new()
    };
    assert_eq!(smol::block_on(smol::future::or(listed_eras, watch)), [1, 2]);
    let position = |era, revision| StorePosition { era, revision };
    assert_eq!(
        kv.0.watched_after.lock().unwrap()[..],
        [position(1, 50), position(1, 60), position(2, 40)]
    );
}

/// A restore may discard a configuration, whose revision operators then use again.
#[test]
fn configuration_under_a_discarded_revision_replaces_it_only_after_a_restore() {
    let mut entry = TestEntry::new();
    let routes = |entry: &TestEntry| entry.shared_state.routes().unwrap();
    entry.put_record(Topic::Operator, "op/config", "config 5");
    let discarded = routes(&entry);
    entry.receive_listing(Topic::Operator, 0, &[("op/config", "config 5 other")]);
    assert_eq!(routes(&entry).config(), discarded.config());
    entry.receive_listing(Topic::Operator, 1, &[("op/config", "config 5 other")]);
    assert_ne!(routes(&entry).config(), discarded.config());
    assert_eq!(routes(&entry).config().revision, 5);
}
