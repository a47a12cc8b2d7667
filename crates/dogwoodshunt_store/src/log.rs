//! Ordered log of configuration changes in the key-value service.

use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::prefix_end;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::admission;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::admission::ReleaseRefusal;
use dogwoodshunt_catalogue::catalogue::ApplyError;
use dogwoodshunt_catalogue::head::HEAD_KEY;
use dogwoodshunt_catalogue::head::LogHead;
use dogwoodshunt_catalogue::head::log_key;
use dogwoodshunt_catalogue::head::snapshot_prefix;
use dogwoodshunt_catalogue::snapshot;
use dogwoodshunt_catalogue::snapshot::AssembleError;
use dogwoodshunt_catalogue::snapshot::SnapshotShard;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::UnixMillis;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use std::sync::Arc;

/// Maximum number of compare-and-swaps per change before the change is refused for contention.
const MAX_CAS_ATTEMPTS: u32 = 16;

/// Error from reading or writing records of the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A log entry does not apply to the catalogue at the preceding revision.
    #[snafu(display("read log: {source}"))]
    Apply {
        /// Error of the catalogue.
        source: ApplyError,
    },
    /// A snapshot is incomplete.
    #[snafu(display("read snapshot: {source}"))]
    Assemble {
        /// Error from assembling the shards.
        source: AssembleError,
    },
    /// Other writers won every compare-and-swap.
    #[snafu(display(
        "append to log: other writers won {MAX_CAS_ATTEMPTS} times; submit the change again"
    ))]
    Contended,
    /// A record in the key-value service is malformed.
    #[snafu(display("read {key}: {source}"))]
    Decode {
        /// Key of the record.
        key: Box<str>,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A record cannot be encoded.
    #[snafu(display("write {key}: {source}"))]
    Encode {
        /// Key of the record.
        key: Box<str>,
        /// Error of the JSON encoder.
        source: serde_json::Error,
    },
    /// A call to the key-value service failed.
    #[snafu(display("{source}"))]
    Kv {
        /// Error of the call.
        source: KvError,
    },
    /// The change conflicts with the catalogue and is refused.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Reason of the refusal.
        refusal: ReleaseRefusal,
    },
}

impl StoreError {
    /// Returns whether the write may have taken effect despite the error.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::Kv {
                source: KvError::OutcomeUnknown { .. }
            }
        )
    }
}

/// Change that an operator submits to the log.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Id chosen by the author; a change with the same id is appended only once.
    pub id: Box<str>,
    /// Operator or process that submits the change.
    pub author: Box<str>,
    /// Change to append.
    pub change: Change,
    /// Whether a release note may be rebased onto a later revision.
    pub rebase: Rebase,
}

/// Head record together with its revision in the key-value service.
#[derive(Clone, Debug, Default)]
pub struct VersionedHead {
    /// Head record.
    pub head: LogHead,
    /// Revision of the head key for a later compare-and-swap; 0 if the key does not exist.
    pub mod_revision: i64,
}

/// Client of the configuration log in the key-value service.
#[derive(Debug)]
pub struct LogStore<K> {
    kv: Arc<K>,
}

impl<K> Clone for LogStore<K> {
    fn clone(&self) -> Self {
        Self {
            kv: self.kv.clone(),
        }
    }
}

impl<K: Kv> LogStore<K> {
    /// Creates a client of the log in `kv`.
    pub fn new(kv: Arc<K>) -> Self {
        Self { kv }
    }

    /// Returns the client of the key-value service.
    pub fn kv(&self) -> &K {
        &self.kv
    }

    /// Reads the head record, in one call to the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not respond or the record is malformed.
    pub async fn head(&self) -> Result<VersionedHead, StoreError> {
        let record = self.kv.get("read head", HEAD_KEY).await.context(KvSnafu)?;
        let Some(record) = record else {
            return Ok(VersionedHead::default());
        };
        Ok(VersionedHead {
            head: decode(&record)?,
            mod_revision: record.mod_revision,
        })
    }

    /// Updates `catalogue` to the revision of the head and returns the head.
    ///
    /// A catalogue older than the snapshot is first replaced by the snapshot; the remaining entries
    /// are read from the log.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not respond or holds malformed records; the catalogue
    /// may then be at any revision between its previous one and the head.
    pub async fn update_to_head(
        &self,
        catalogue: &mut Catalogue,
    ) -> Result<VersionedHead, StoreError> {
        let current = self.head().await?;
        if catalogue.revision() < current.head.snapshot_revision {
            let snapshot = self.snapshot(current.head.snapshot_revision).await?;
            catalogue.replace_if_newer(snapshot);
        }
        if catalogue.revision() < current.head.revision {
            let entries = self.entries(catalogue.revision() + 1, current.head.revision);
            for entry in entries.await? {
                catalogue.apply(&entry).context(ApplySnafu)?;
            }
        }
        Ok(current)
    }

    /// Reads the entries from `first` to `last`, both inclusive, in one call to the key-value
    /// service.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not respond or an entry is malformed.
    pub async fn entries(
        &self,
        first: Revision,
        last: Revision,
    ) -> Result<Vec<LogEntry>, StoreError> {
        let (start, end) = (log_key(first), log_key(last + 1));
        let records = self.kv.range("read log", &start, &end).await;
        records.context(KvSnafu)?.iter().map(decode).collect()
    }

    /// Appends a change to the log and returns its entry.
    ///
    /// The append is idempotent: if the log already has an entry with the id of the proposal, the
    /// existing entry is returned. `catalogue` is updated to the head of the log.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused or the key-value service does not respond;
    /// [`StoreError::is_outcome_unknown`] tells whether the log may contain the change.
    pub async fn append(
        &self,
        catalogue: &mut Catalogue,
        proposal: &Proposal,
        written_at: UnixMillis,
    ) -> Result<LogEntry, StoreError> {
        let mut lost_response = None;
        for _ in 0..MAX_CAS_ATTEMPTS {
            let current = match self.update_to_head(catalogue).await {
                Ok(current) => current,
                Err(error) => return Err(lost_response.unwrap_or(error)),
            };
            if let Some(entry) = catalogue.find_recent_entry(&proposal.id) {
                return Ok(entry.clone());
            }
            check_conflicts(catalogue, proposal)?;
            let entry = log_entry(proposal, current.head.revision + 1, written_at);
            match self.try_append(&current, &entry).await {
                Ok(true) => {
                    catalogue.apply(&entry).context(ApplySnafu)?;
                    return Ok(entry);
                }
                Ok(false) => {}
                Err(error) if error.is_outcome_unknown() => lost_response = Some(error),
                Err(error) => return Err(lost_response.unwrap_or(error)),
            }
        }
        Err(lost_response.unwrap_or(StoreError::Contended))
    }

    async fn try_append(
        &self,
        current: &VersionedHead,
        entry: &LogEntry,
    ) -> Result<bool, StoreError> {
        let head = LogHead {
            revision: entry.revision,
            ..current.head.clone()
        };
        let precondition = Precondition {
            key: HEAD_KEY.into(),
            mod_revision: current.mod_revision,
        };
        let key = log_key(entry.revision);
        let ops = vec![
            Op::put(key.clone(), encode(&key, entry)?),
            Op::put(HEAD_KEY, encode(HEAD_KEY, &head)?),
        ];
        let swapped = self.kv.txn("append to log", vec![precondition], ops).await;
        swapped.context(KvSnafu)
    }

    /// Reads the snapshot at `revision`, in one call to the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not respond, or a shard is missing or malformed.
    pub async fn snapshot(&self, revision: Revision) -> Result<Catalogue, StoreError> {
        let start = snapshot_prefix(revision);
        let end = prefix_end(&start);
        let records = self.kv.range("read snapshot", &start, &end).await;
        let records = records.context(KvSnafu)?;
        let shards: Result<Vec<SnapshotShard>, StoreError> = records.iter().map(decode).collect();
        snapshot::assemble(shards?).context(AssembleSnafu)
    }
}

fn check_conflicts(catalogue: &Catalogue, proposal: &Proposal) -> Result<(), StoreError> {
    let Change::Release(note) = &proposal.change else {
        return Ok(());
    };
    let admitted = admission::check(catalogue, note, proposal.rebase);
    admitted.map_err(|refusal| StoreError::Refused { refusal })
}

fn log_entry(proposal: &Proposal, revision: Revision, written_at: UnixMillis) -> LogEntry {
    LogEntry {
        revision,
        id: proposal.id.clone(),
        author: proposal.author.clone(),
        written_at,
        change: proposal.change.clone(),
    }
}

pub(crate) fn decode<T: DeserializeOwned>(record: &Record) -> Result<T, StoreError> {
    serde_json::from_slice(&record.value).context(DecodeSnafu {
        key: record.key.clone(),
    })
}

pub(crate) fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value).context(EncodeSnafu { key })
}
