//! Interface of the platform's key-value service.
//!
//! [`Kv`] has reads and transactions that are compare-and-swaps; [`WatchKv`] adds
//! watches of a prefix. [`Etcd`] implements [`Kv`] over the JSON gateway of etcd
//! v3, and [`memory::MemoryKv`] implements it in memory for tests.

mod etcd;
pub mod memory;

use dogwoodshunt_types::StoreEra;
use snafu::Snafu;
use std::future::Future;
use std::time::Duration;

pub use crate::kv::etcd::Etcd;

/// State of the service after a change. Positions are ordered by era, then by revision.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// Era in which the revision was assigned.
    pub era: StoreEra,
    /// Revision of the service.
    pub revision: i64,
}

/// Key with its value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change of the key.
    pub mod_revision: i64,
    /// Era of the service when the record was read.
    pub era: StoreEra,
}

/// Write operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Deletes the keys from `start` (inclusive) to `end` (exclusive).
    DeleteRange {
        /// First key of the range.
        start: Box<str>,
        /// Key after the last one of the range.
        end: Box<str>,
    },
    /// Writes one key.
    Put {
        /// The key.
        key: Box<str>,
        /// The value.
        value: Vec<u8>,
        /// Lease whose expiry deletes the key; `None` for a key without expiry.
        lease: Option<LeaseId>,
    },
}

impl Op {
    /// Returns the operation that writes `value` to `key` without a lease.
    pub fn put(key: impl Into<Box<str>>, value: Vec<u8>) -> Self {
        Self::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }
}

/// Precondition of a transaction: the key was last changed at `mod_revision`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Precondition {
    /// The key.
    pub key: Box<str>,
    /// Expected revision of the last change of the key; 0 if the key must not exist.
    pub mod_revision: i64,
}

/// Id of a lease of the key-value service.
pub type LeaseId = i64;

/// Error of a call to the key-value service.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum KvError {
    /// The call may have reached the service, but its result is unknown; a write may have taken
    /// effect.
    #[snafu(display("{step}: response of the key-value service lost: {message}"))]
    OutcomeUnknown {
        /// Operation that failed, such as `read head`.
        step: &'static str,
        /// Cause of the failure.
        message: Box<str>,
    },
    /// The call did not reach the service or was rejected; no write took effect.
    #[snafu(display("{step}: key-value service unavailable: {message}"))]
    Unavailable {
        /// Operation that failed, such as `read head`.
        step: &'static str,
        /// Cause of the failure.
        message: Box<str>,
    },
    /// The response of the service cannot be decoded.
    #[snafu(display("{step}: malformed response of the key-value service: {message}"))]
    Malformed {
        /// Operation that failed, such as `read head`.
        step: &'static str,
        /// Defect of the response.
        message: Box<str>,
    },
}

/// Client of the key-value service.
///
/// `step` names the operation in errors. Each method fails with a [`KvError`], which tells whether
/// a write may have taken effect.
pub trait Kv: Send + Sync + 'static {
    /// Reads the keys from `start` (inclusive) to `end` (exclusive), in ascending order.
    fn range(
        &self,
        step: &'static str,
        start: &str,
        end: &str,
    ) -> impl Future<Output = Result<Vec<Record>, KvError>> + Send;

    /// Applies `ops` atomically if all conditions in `preconditions` hold; returns whether they held.
    fn txn(
        &self,
        step: &'static str,
        preconditions: Vec<Precondition>,
        ops: Vec<Op>,
    ) -> impl Future<Output = Result<bool, KvError>> + Send;

    /// Creates a lease that expires after `seconds`; the lease cannot be renewed.
    fn lease(
        &self,
        step: &'static str,
        seconds: u64,
    ) -> impl Future<Output = Result<LeaseId, KvError>> + Send;

    /// Reads one key.
    fn get(
        &self,
        step: &'static str,
        key: &str,
    ) -> impl Future<Output = Result<Option<Record>, KvError>> + Send {
        let end = format!("{key}\0");
        async move { Ok(self.range(step, key, &end).await?.pop()) }
    }
}

/// Consistent read of all records under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Records in ascending order of their keys.
    pub records: Vec<Record>,
    /// Position of the service up to which `records` contains all changes; a watch after this
    /// position misses none.
    pub position: StorePosition,
}

/// Change of a key under a watched prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyChange {
    /// A key was written.
    Put(Record),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: Box<str>,
        /// Revision of the deletion.
        revision: i64,
    },
}

impl KeyChange {
    /// Returns the revision of the change.
    pub fn revision(&self) -> i64 {
        match self {
            Self::Put(record) => record.mod_revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchOutcome {
    /// Changes in ascending order of revision; empty if the wait elapsed without any.
    Changes(Vec<KeyChange>),
    /// The service no longer holds the history after the requested revision.
    Compacted,
    /// The service was restored from an older copy after the requested position, so its revisions
    /// are no longer comparable with the requested one.
    Restored {
        /// Present era of the service.
        era: StoreEra,
    },
}

/// Client of a key-value service that supports watches.
pub trait WatchKv: Kv {
    /// Reads all records under `prefix`.
    fn list(
        &self,
        step: &'static str,
        prefix: &str,
    ) -> impl Future<Output = Result<Listing, KvError>> + Send;

    /// Waits up to `wait` for changes under `prefix` after the position `after`.
    fn watch(
        &self,
        step: &'static str,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome, KvError>> + Send;
}

/// Returns the exclusive end of the range of ASCII keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> String {
    format!("{prefix}\x7f")
}
