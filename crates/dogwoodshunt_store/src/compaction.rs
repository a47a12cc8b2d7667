//! Compaction of the configuration log into a snapshot.
//!
//! A compaction first writes the shards of the snapshot, then publishes the snapshot by one
//! compare-and-swap of the head record, then deletes the log entries and the older
//! snapshot that the new one replaces. A crash between two steps leaves
//! unreferenced keys, which the next compaction deletes.

use crate::log::EncodeSnafu;
use crate::log::KvSnafu;
use crate::log::LogStore;
use crate::log::StoreError;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::head;
use dogwoodshunt_catalogue::head::HEAD_KEY;
use dogwoodshunt_catalogue::head::LogHead;
use dogwoodshunt_catalogue::snapshot;
use dogwoodshunt_types::Revision;
use snafu::ResultExt;

/// Step of a compaction; tests stop a compaction after any of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CompactionStep {
    /// The shards of the snapshot are written.
    ShardsWritten,
    /// The head record refers to the snapshot.
    HeadPublished,
    /// The replaced log entries and older snapshots are deleted.
    ReplacedDeleted,
}

impl<K: Kv> LogStore<K> {
    /// Replaces the log up to the head by a snapshot; stops after step `last`.
    ///
    /// Returns the revision of the current snapshot, which may be an earlier one if the log has no
    /// later entry. Returns `None` if the snapshot was not published
    /// because another writer changed the head meanwhile or `last` precedes that step. The log
    /// stays complete in either case.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not respond or holds malformed records; the log stays
    /// complete.
    pub async fn compact(&self, last: CompactionStep) -> Result<Option<Revision>, StoreError> {
        let mut catalogue = Catalogue::new();
        let current = self.update_to_head(&mut catalogue).await?;
        let revision = catalogue.revision();
        if revision == current.head.snapshot_revision {
            return Ok(Some(revision));
        }
        let shards = snapshot::split(&catalogue);
        for shard in &shards {
            let key = head::snapshot_key(revision, shard.index);
            let value = serde_json::to_vec(shard).context(EncodeSnafu { key: key.as_str() })?;
            let ops = vec![Op::put(key, value)];
            let written = self.kv().txn("write snapshot", Vec::new(), ops).await;
            written.context(KvSnafu)?;
        }
        if last == CompactionStep::ShardsWritten {
            return Ok(None);
        }
        let new_head = LogHead {
            revision: current.head.revision,
            snapshot_revision: revision,
            snapshot_shards: u32::try_from(shards.len()).unwrap_or(u32::MAX),
        };
        if !self.publish(current.mod_revision, &new_head).await? {
            return Ok(None);
        }
        if last >= CompactionStep::ReplacedDeleted {
            self.delete_replaced(revision).await?;
        }
        Ok(Some(revision))
    }

    async fn publish(&self, mod_revision: i64, new_head: &LogHead) -> Result<bool, StoreError> {
        let precondition = Precondition {
            key: HEAD_KEY.into(),
            mod_revision,
        };
        let value = serde_json::to_vec(new_head).context(EncodeSnafu { key: HEAD_KEY })?;
        let ops = vec![Op::put(HEAD_KEY, value)];
        let swapped = self
            .kv()
            .txn("publish snapshot", vec![precondition], ops)
            .await;
        swapped.context(KvSnafu)
    }

    async fn delete_replaced(&self, snapshot_revision: Revision) -> Result<(), StoreError> {
        let ops = vec![
            Op::DeleteRange {
                start: head::SNAPSHOT_PREFIX.into(),
                end: head::snapshot_prefix(snapshot_revision).into(),
            },
            Op::DeleteRange {
                start: head::LOG_PREFIX.into(),
                end: head::log_key(head::first_retained_revision(snapshot_revision)).into(),
            },
        ];
        let deleted = self
            .kv()
            .txn("delete entries replaced by snapshot", Vec::new(), ops)
            .await;
        deleted.context(KvSnafu)?;
        Ok(())
    }
}
