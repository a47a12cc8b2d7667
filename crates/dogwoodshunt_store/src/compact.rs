//! Compaction of the log into a snapshot.
//!
//! The shards are written first, then one compare-and-swap of the head makes
//! them the snapshot, then what they replace is deleted. A crash between any
//! two steps leaves keys that nothing refers to, which the next compaction
//! deletes.

use crate::log::EncodeSnafu;
use crate::log::KvSnafu;
use crate::log::LogStore;
use crate::log::StoreError;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Unchanged;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::head;
use dogwoodshunt_catalogue::head::HEAD_KEY;
use dogwoodshunt_catalogue::head::LogHead;
use dogwoodshunt_catalogue::snapshot;
use dogwoodshunt_types::Revision;
use snafu::ResultExt;

/// Steps of a compaction, for tests that break off after one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// The shards were written.
    Written,
    /// The head refers to them.
    Referred,
    /// What they replace was deleted.
    Deleted,
}

impl<K: Kv> LogStore<K> {
    /// Replaces the log up to the head by a snapshot, up to and including step `last`.
    ///
    /// Returns the revision of the snapshot, or `None` if another writer has
    /// changed the head meanwhile; nothing is lost then.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer; the log is whole all the same.
    pub async fn compact(&self, last: Step) -> Result<Option<Revision>, StoreError> {
        let mut catalogue = Catalogue::new();
        let read = self.catch_up(&mut catalogue).await?;
        let revision = catalogue.revision();
        if revision == read.head.snapshot_revision {
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
        if last == Step::Written {
            return Ok(None);
        }
        let new = LogHead {
            revision: read.head.revision,
            snapshot_revision: revision,
            snapshot_shards: u32::try_from(shards.len()).unwrap_or(u32::MAX),
        };
        if !self.refer(read.mod_revision, &new).await? {
            return Ok(None);
        }
        if last >= Step::Deleted {
            self.delete_replaced(revision).await?;
        }
        Ok(Some(revision))
    }

    async fn refer(&self, mod_revision: i64, new: &LogHead) -> Result<bool, StoreError> {
        let unchanged = Unchanged {
            key: HEAD_KEY.into(),
            mod_revision,
        };
        let value = serde_json::to_vec(new).context(EncodeSnafu { key: HEAD_KEY })?;
        let ops = vec![Op::put(HEAD_KEY, value)];
        let swapped = self
            .kv()
            .txn("refer to snapshot", vec![unchanged], ops)
            .await;
        swapped.context(KvSnafu)
    }

    async fn delete_replaced(&self, snapshot: Revision) -> Result<(), StoreError> {
        let ops = vec![
            Op::DeleteRange {
                start: head::SNAPSHOT_PREFIX.into(),
                end: head::snapshot_prefix(snapshot).into(),
            },
            Op::DeleteRange {
                start: head::LOG_PREFIX.into(),
                end: head::log_key(head::first_retained_revision(snapshot)).into(),
            },
        ];
        let deleted = self.kv().txn("delete replaced", Vec::new(), ops).await;
        deleted.context(KvSnafu)?;
        Ok(())
    }
}
