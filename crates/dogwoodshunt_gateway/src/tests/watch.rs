//! What an entry believes of a store that is written to between the pages of a listing.

use super::watch_only::WatchOnly;
use super::watch_only::Watched;
use crate::control::ControlEvent;
use crate::watch::PrefixWatcher;
use crate::watch::Topic;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_border::kv::WatchOutcome;
use dogwoodshunt_runtime::telemetry;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use smol::future;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// Items of one page.
const PAGE_SIZE: usize = 4;

/// Largest number of writes between two answers.
const MAX_WRITES: usize = 3;

struct StoreState {
    revision: i64,
    records: BTreeMap<Box<str>, Record>,
    history: Vec<KeyChange>,
    /// Oldest revision after which a watch may begin.
    compacted: i64,
    rng: SmallRng,
    writes_left: usize,
}

impl StoreState {
    /// Writes, or removes and writes again, up to [`MAX_WRITES`] random keys.
    fn write_at_random(&mut self) {
        for _ in 0..self.rng.random_range(0..=MAX_WRITES.min(self.writes_left)) {
            self.writes_left -= 1;
            let keys = self.records.len() + 2;
            let key: Box<str> = format!("op/{:03}", self.rng.random_range(0..keys)).into();
            let removes = self.records.contains_key(&key) && self.rng.random_bool(0.4);
            if removes {
                self.remove(key.clone());
            }
            if !removes || self.rng.random_bool(0.5) {
                self.put(key);
            }
        }
    }

    fn put(&mut self, key: Box<str>) {
        self.revision += 1;
        let record = Record {
            key: key.clone(),
            value: self.revision.to_string().into_bytes(),
            mod_revision: self.revision,
            era: 0,
        };
        self.records.insert(key, record.clone());
        self.history.push(KeyChange::Put(record));
    }

    fn remove(&mut self, key: Box<str>) {
        self.revision += 1;
        let revision = self.revision;
        self.records.remove(&key);
        self.history.push(KeyChange::Deleted { key, revision });
    }
}

/// Store with pages that are no snapshot, which others write to between all answers.
struct PagedStore(Mutex<StoreState>);

impl PagedStore {
    fn new(seed: u64, records: usize, writes: usize) -> Self {
        let mut state = StoreState {
            revision: 1,
            records: BTreeMap::new(),
            history: Vec::new(),
            compacted: 0,
            rng: SmallRng::seed_from_u64(seed),
            writes_left: writes,
        };
        (0..records).for_each(|number| state.put(format!("op/{number:03}").into()));
        Self(Mutex::new(state))
    }

    /// Returns the values in the store once no more writes follow.
    fn values(&self) -> BTreeMap<Box<str>, Vec<u8>> {
        let state = self.0.lock().unwrap();
        assert_eq!(state.writes_left, 0, "writes are left");
        let records = state.records.iter();
        records
            .map(|(key, record)| (key.clone(), record.value.clone()))
            .collect()
    }
}

impl Watched for PagedStore {
    fn list(&self) -> Result<Listing, KvError> {
        let mut state = self.0.lock().unwrap();
        let mut listing = Listing::default();
        listing.position.revision = state.revision;
        let mut after: Option<Box<str>> = None;
        loop {
            let records = state.records.values();
            let is_next = |r: &&Record| after.as_ref().is_none_or(|after| r.key > *after);
            let page: Vec<Record> = records.filter(is_next).take(PAGE_SIZE).cloned().collect();
            let Some(last) = page.last() else {
                return Ok(listing);
            };
            after = Some(last.key.clone());
            listing.records.extend(page);
            state.write_at_random();
        }
    }

    fn watch(&self, after: StorePosition) -> Result<WatchOutcome, KvError> {
        let mut state = self.0.lock().unwrap();
        state.write_at_random();
        if after.revision < state.compacted {
            return Ok(WatchOutcome::Compacted);
        }
        if state.rng.random_bool(0.1) {
            state.compacted = state.revision;
        }
        let changes = state.history.iter();
        let changes = changes.filter(|change| change.revision() > after.revision);
        Ok(WatchOutcome::Changes(changes.cloned().collect()))
    }
}

/// Reads `events` until the store has nothing new, and returns the values that they show.
async fn believed(
    kv: &PagedStore,
    event_rx: &async_channel::Receiver<ControlEvent>,
) -> BTreeMap<Box<str>, Vec<u8>> {
    let mut believed = BTreeMap::new();
    // Each call of the store is reported; a few without an event in between show the end.
    let mut calls_without_news = 0;
    while calls_without_news < 4 {
        match event_rx.recv().await.expect("an event") {
            ControlEvent::StoreListed { listing, .. } => {
                let records = listing.records.into_iter();
                believed = records.map(|record| (record.key, record.value)).collect();
                calls_without_news = 0;
            }
            ControlEvent::StoreChanged { changes, .. } => {
                for change in changes {
                    match change {
                        KeyChange::Put(record) => believed.insert(record.key, record.value),
                        KeyChange::Deleted { key, .. } => believed.remove(&key),
                    };
                }
                calls_without_news = 0;
            }
            ControlEvent::StoreReachable(_) => {
                let writes_left = kv.0.lock().unwrap().writes_left;
                calls_without_news += u32::from(writes_left == 0);
            }
            _ => {}
        }
    }
    believed
}

/// Guards against changes between two pages of a listing that no later watch reports.
#[rstest]
fn entry_learns_all_that_is_written_between_the_pages_of_a_listing(
    #[values(1, 2, 3, 4, 5, 6)] pages: usize,
) {
    for seed in 0..100 {
        let kv = Arc::new(WatchOnly(PagedStore::new(seed, pages * PAGE_SIZE, 24)));
        let (events, event_rx) = async_channel::bounded(1);
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
        let watch = async {
            watcher.run().await;
            future::pending().await
        };
        let believed = smol::block_on(future::or(believed(&kv.0, &event_rx), watch));
        assert_eq!(believed, kv.0.values(), "seed {seed}");
    }
}
