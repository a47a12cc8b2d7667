//! Keys and the head record of the log in the key-value service.

use dogwoodshunt_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Key of the head record.
pub const HEAD_KEY: &str = "dogwoodshunt/head";

/// Prefix of the keys of log entries.
pub const LOG_PREFIX: &str = "dogwoodshunt/log/";

/// Prefix of the keys of snapshot shards.
pub const SNAPSHOT_PREFIX: &str = "dogwoodshunt/snapshot/";

/// Entries that the log may hold beyond its snapshot before it is compacted.
pub const COMPACT_AFTER: Revision = 512;

/// Entries kept below the snapshot as the audit trail.
pub const AUDIT_ENTRIES: Revision = 4096;

/// Record that names the newest entry and the newest snapshot.
///
/// A compare-and-swap of this record is what accepts an entry into the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Revision of the newest entry.
    pub revision: Revision,
    /// Revision of the newest snapshot; 0 where there is none.
    pub snapshot: Revision,
    /// Shards of the newest snapshot.
    pub shards: u32,
}

impl Head {
    /// Returns whether the log has grown enough to be compacted.
    pub fn wants_compaction(&self) -> bool {
        self.revision - self.snapshot >= COMPACT_AFTER
    }
}

/// Returns the key of the entry at `revision`; keys sort by revision.
pub fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{revision:016}")
}

/// Returns the prefix of the shards of the snapshot at `revision`.
pub fn snapshot_prefix(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision:016}/")
}

/// Returns the key of shard `shard` of the snapshot at `revision`.
pub fn snapshot_key(revision: Revision, shard: u32) -> String {
    format!("{}{shard:04}", snapshot_prefix(revision))
}

/// Returns the first revision that stays in the log once `snapshot` stands.
pub fn first_kept(snapshot: Revision) -> Revision {
    snapshot.saturating_sub(AUDIT_ENTRIES) + 1
}
