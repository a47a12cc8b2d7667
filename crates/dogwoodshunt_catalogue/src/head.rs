//! Keys of the log in the key-value service, and the log's head record.

use dogwoodshunt_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Key of the head record.
pub const HEAD_KEY: &str = "dogwoodshunt/head";

/// Prefix of the keys under which log entries are stored.
pub const LOG_PREFIX: &str = "dogwoodshunt/log/";

/// Prefix of the keys under which snapshot shards are stored.
pub const SNAPSHOT_PREFIX: &str = "dogwoodshunt/snapshot/";

/// Number of log entries after the newest snapshot that makes the log due for compaction.
pub const COMPACTION_THRESHOLD_ENTRIES: Revision = 512;

/// Number of log entries that compaction keeps as the audit trail, counted back from the
/// revision of the newest snapshot.
pub const AUDIT_TRAIL_ENTRIES: Revision = 4096;

/// Record that points to the newest log entry and the newest snapshot.
///
/// A log entry becomes part of the log by a compare-and-swap of this record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogHead {
    /// Revision of the newest log entry.
    pub revision: Revision,
    /// Revision of the newest snapshot; 0 if there is none.
    #[serde(rename = "snapshot")]
    pub snapshot_revision: Revision,
    /// Number of shards of the newest snapshot.
    #[serde(rename = "shards")]
    pub snapshot_shards: u32,
}

impl LogHead {
    /// Returns whether the log is due for compaction.
    pub fn needs_compaction(&self) -> bool {
        self.revision - self.snapshot_revision >= COMPACTION_THRESHOLD_ENTRIES
    }
}

/// Returns the key of the log entry at `revision`.
///
/// The revision is padded with zeros, so that keys sort by revision.
pub fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{revision:016}")
}

/// Returns the key prefix of all shards of the snapshot at `revision`.
pub fn snapshot_prefix(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision:016}/")
}

/// Returns the key of shard number `shard` of the snapshot at `revision`.
pub fn snapshot_key(revision: Revision, shard: u32) -> String {
    format!("{}{shard:04}", snapshot_prefix(revision))
}

/// Returns the lowest revision that compaction keeps in the log, where the newest snapshot
/// is at revision `snapshot_revision`.
pub fn first_retained_revision(snapshot_revision: Revision) -> Revision {
    snapshot_revision.saturating_sub(AUDIT_TRAIL_ENTRIES) + 1
}
