//! The ordered log of configuration changes.

use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::Unchanged;
use dogwoodshunt_border::kv::prefix_end;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::admission;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::admission::Refusal;
use dogwoodshunt_catalogue::catalogue::ApplyError;
use dogwoodshunt_catalogue::head::HEAD_KEY;
use dogwoodshunt_catalogue::head::LogHead;
use dogwoodshunt_catalogue::head::log_key;
use dogwoodshunt_catalogue::head::snapshot_prefix;
use dogwoodshunt_catalogue::snapshot;
use dogwoodshunt_catalogue::snapshot::AssembleError;
use dogwoodshunt_catalogue::snapshot::Shard;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::UnixMillis;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use std::sync::Arc;

/// Compare-and-swaps tried before a change is refused for contention.
const MAX_SWAPS: u32 = 16;

/// Why the log could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// An entry does not follow the one before it.
    #[snafu(display("read log: {source}"))]
    Apply {
        /// What is wrong.
        source: ApplyError,
    },
    /// A snapshot is incomplete.
    #[snafu(display("read snapshot: {source}"))]
    Assemble {
        /// What is missing.
        source: AssembleError,
    },
    /// Other writers won every time.
    #[snafu(display("append to log: other writers won {MAX_SWAPS} times; submit again"))]
    Contended,
    /// A value in the service cannot be understood.
    #[snafu(display("read {key}: {source}"))]
    Decode {
        /// Key of the value.
        key: Box<str>,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A value cannot be encoded.
    #[snafu(display("write {key}: {source}"))]
    Encode {
        /// Key of the value.
        key: Box<str>,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The key-value service did not answer.
    #[snafu(display("{source}"))]
    Kv {
        /// What happened.
        source: KvError,
    },
    /// The change is refused.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Why.
        refusal: Refusal,
    },
}

impl StoreError {
    /// Returns whether a change may have taken effect in spite of the error.
    pub fn is_unsure(&self) -> bool {
        matches!(
            self,
            Self::Kv {
                source: KvError::Unsure { .. }
            }
        )
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Chosen by the author; the same id is accepted once.
    pub id: Box<str>,
    /// Who asks.
    pub author: Box<str>,
    /// What to change.
    pub change: Change,
    /// Whether a release note may be moved onto a later revision.
    pub rebase: Rebase,
}

/// Head record as it was read.
#[derive(Clone, Debug, Default)]
pub struct ReadHead {
    /// The record.
    pub head: LogHead,
    /// Revision of its key, for a compare-and-swap.
    pub mod_revision: i64,
}

/// The log in the key-value service.
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
    /// Creates a store in `kv`.
    pub fn new(kv: Arc<K>) -> Self {
        Self { kv }
    }

    /// Returns the key-value service.
    pub fn kv(&self) -> &K {
        &self.kv
    }

    /// Reads the head record; one call.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    pub async fn head(&self) -> Result<ReadHead, StoreError> {
        let record = self.kv.get("read head", HEAD_KEY).await.context(KvSnafu)?;
        let Some(record) = record else {
            return Ok(ReadHead::default());
        };
        Ok(ReadHead {
            head: decode(&record)?,
            mod_revision: record.mod_revision,
        })
    }

    /// Brings `catalogue` up to the head and returns the head.
    ///
    /// Reads the entries that are missing; a catalogue that is behind the
    /// snapshot is replaced by the snapshot first.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or holds values that make no
    /// sense; the catalogue then stands at some revision in between.
    pub async fn catch_up(&self, catalogue: &mut Catalogue) -> Result<ReadHead, StoreError> {
        let read = self.head().await?;
        if catalogue.revision() < read.head.snapshot_revision {
            let snapshot = self.snapshot(read.head.snapshot_revision).await?;
            catalogue.replace_if_newer(snapshot);
        }
        if catalogue.revision() < read.head.revision {
            let entries = self.entries(catalogue.revision() + 1, read.head.revision);
            for entry in entries.await? {
                catalogue.apply(&entry).context(ApplySnafu)?;
            }
        }
        Ok(read)
    }

    /// Reads the entries from `first` to `last`; one call.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
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
    /// The id makes it idempotent: an entry that already stands under the id
    /// is returned as it is. `catalogue` is brought up to date on the way.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused or the service does not answer;
    /// [`StoreError::is_unsure`] tells whether it may stand in the log.
    pub async fn append(
        &self,
        catalogue: &mut Catalogue,
        proposal: &Proposal,
        written_at: UnixMillis,
    ) -> Result<LogEntry, StoreError> {
        let mut unsure = None;
        for _ in 0..MAX_SWAPS {
            let read = match self.catch_up(catalogue).await {
                Ok(read) => read,
                Err(error) => return Err(unsure.unwrap_or(error)),
            };
            if let Some(entry) = catalogue.find_recent_entry(&proposal.id) {
                return Ok(entry.clone());
            }
            admit(catalogue, proposal)?;
            let entry = entry_of(proposal, read.head.revision + 1, written_at);
            match self.swap(&read, &entry).await {
                Ok(true) => {
                    catalogue.apply(&entry).context(ApplySnafu)?;
                    return Ok(entry);
                }
                Ok(false) => {}
                Err(error) if error.is_unsure() => unsure = Some(error),
                Err(error) => return Err(unsure.unwrap_or(error)),
            }
        }
        Err(unsure.unwrap_or(StoreError::Contended))
    }

    async fn swap(&self, read: &ReadHead, entry: &LogEntry) -> Result<bool, StoreError> {
        let head = LogHead {
            revision: entry.revision,
            ..read.head.clone()
        };
        let unchanged = Unchanged {
            key: HEAD_KEY.into(),
            mod_revision: read.mod_revision,
        };
        let key = log_key(entry.revision);
        let ops = vec![
            Op::put(key.clone(), encode(&key, entry)?),
            Op::put(HEAD_KEY, encode(HEAD_KEY, &head)?),
        ];
        let swapped = self.kv.txn("append to log", vec![unchanged], ops).await;
        swapped.context(KvSnafu)
    }

    /// Reads the snapshot at `revision`; one call.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or a shard is missing.
    pub async fn snapshot(&self, revision: Revision) -> Result<Catalogue, StoreError> {
        let start = snapshot_prefix(revision);
        let end = prefix_end(&start);
        let records = self.kv.range("read snapshot", &start, &end).await;
        let records = records.context(KvSnafu)?;
        let shards: Result<Vec<Shard>, StoreError> = records.iter().map(decode).collect();
        snapshot::assemble(shards?).context(AssembleSnafu)
    }
}

fn admit(catalogue: &Catalogue, proposal: &Proposal) -> Result<(), StoreError> {
    let Change::Release(note) = &proposal.change else {
        return Ok(());
    };
    let admitted = admission::check(catalogue, note, proposal.rebase);
    admitted.map_err(|refusal| StoreError::Refused { refusal })
}

fn entry_of(proposal: &Proposal, revision: Revision, written_at: UnixMillis) -> LogEntry {
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
