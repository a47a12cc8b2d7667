//! Ownership of a host's upstreams by one agent process, with a fencing token that each takeover
//! raises.
//!
//! The token is the position of the ownership record: the era of the key-value service in the high
//! bits and the revision of the record in the low 40 bits. Within an era the service assigns each
//! revision once, so no two takeovers share a token and a later one has a higher token. A restore of
//! the service may discard a takeover and assign its revision again; the higher era keeps the new
//! tokens above all earlier ones.

use crate::log::KvSnafu;
use crate::log::StoreError;
use crate::log::decode;
use crate::log::encode;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::StoreEra;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

/// Prefix of the keys of ownership records in the key-value service.
const OWNER_PREFIX: &str = "dogwoodshunt/owner/";

/// Maximum number of compare-and-swaps per takeover.
const MAX_CAS_ATTEMPTS: u32 = 8;

/// Maximum number of predecessors that an ownership record names: more than the number of times
/// that a process restarts within the age of a copy that the service is restored from.
const MAX_PREDECESSORS: usize = 16;

/// Number of low bits of a fencing token that hold the revision: enough for 11 years of 3,200
/// changes a second, and for 8,000 eras below the integers that JSON numbers hold exactly.
const REVISION_BITS: u32 = 40;

/// Stored record of the process that may send orders to a host's upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Boot id of the process.
    pub boot: BootId,
    /// Boot ids of earlier owners, the latest first.
    #[serde(default)]
    pub predecessors: Vec<BootId>,
}

/// Ownership of the upstreams of a host by one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ownership {
    /// Record of the process.
    pub owner: Owner,
    /// Fencing token of the orders of the process.
    pub epoch: Epoch,
    /// Era of the service in which the ownership was last confirmed.
    pub era: StoreEra,
}

/// Makes the process `boot` the owner of the upstreams of `node`.
///
/// A process that already owns the upstreams keeps its token, so the call may be repeated after a
/// lost response.
///
/// # Errors
///
/// Fails if the key-value service does not respond or other processes win every compare-and-swap
/// ([`StoreError::Contended`]).
pub async fn take_over<K: Kv>(
    kv: &K,
    node: &NodeId,
    boot: BootId,
) -> Result<Ownership, StoreError> {
    let key = owner_key(node);
    for _ in 0..MAX_CAS_ATTEMPTS {
        let record = read_owner(kv, "read owner", &key).await?;
        if let Some(ownership) = held_by(record.as_ref(), boot) {
            return Ok(ownership);
        }
        write_owner(kv, &key, record, boot).await?;
    }
    Err(StoreError::Contended)
}

/// Verifies that the process that holds `held` still owns the upstreams of `node`. Returns the
/// confirmed ownership, or `None` if another process has taken over.
///
/// After a restore of the service, the record may be gone or be that of a predecessor. Then the
/// process takes over again, with a higher token. Any other process that the record names has taken
/// over after the restore.
///
/// # Errors
///
/// Fails as [`take_over`] does, or if the record is malformed.
pub async fn verify<K: Kv>(
    kv: &K,
    node: &NodeId,
    held: &Ownership,
) -> Result<Option<Ownership>, StoreError> {
    let key = owner_key(node);
    let boot = held.owner.boot;
    for _ in 0..MAX_CAS_ATTEMPTS {
        let record = read_owner(kv, "verify owner", &key).await?;
        if let Some(confirmed) = held_by(record.as_ref(), boot) {
            return Ok(Some(confirmed));
        }
        if let Some((record, owner)) = &record {
            let is_restored = record.era > held.era;
            if !(is_restored && held.owner.predecessors.contains(&owner.boot)) {
                return Ok(None);
            }
        }
        write_owner(kv, &key, record, boot).await?;
    }
    Err(StoreError::Contended)
}

fn owner_key(node: &NodeId) -> String {
    format!("{OWNER_PREFIX}{node}")
}

async fn read_owner<K: Kv>(
    kv: &K,
    step: &'static str,
    key: &str,
) -> Result<Option<(Record, Owner)>, StoreError> {
    let record = kv.get(step, key).await.context(KvSnafu)?;
    let Some(record) = record else {
        return Ok(None);
    };
    let owner = decode(&record)?;
    Ok(Some((record, owner)))
}

/// Returns the ownership that a record proves for the process `boot`.
fn held_by(record: Option<&(Record, Owner)>, boot: BootId) -> Option<Ownership> {
    let (record, owner) = record.filter(|(_, owner)| owner.boot == boot)?;
    Some(Ownership {
        owner: owner.clone(),
        epoch: fencing_token(record),
        era: record.era,
    })
}

/// Returns the fencing token of the owner that `record` names.
fn fencing_token(record: &Record) -> Epoch {
    let revision = record.mod_revision.unsigned_abs();
    Epoch::from(record.era) << REVISION_BITS | revision & ((1 << REVISION_BITS) - 1)
}

/// Replaces `record`, as read, by one of the process `boot`. Whether that succeeded is shown by
/// reading the record again.
async fn write_owner<K: Kv>(
    kv: &K,
    key: &str,
    record: Option<(Record, Owner)>,
    boot: BootId,
) -> Result<(), StoreError> {
    let mod_revision = record.as_ref().map_or(0, |(record, _)| record.mod_revision);
    let mut predecessors = Vec::new();
    if let Some((_, owner)) = record {
        predecessors.push(owner.boot);
        predecessors.extend(owner.predecessors);
        predecessors.retain(|predecessor| *predecessor != boot);
        predecessors.truncate(MAX_PREDECESSORS);
    }
    let precondition = Precondition {
        key: key.into(),
        mod_revision,
    };
    let owner = Owner { boot, predecessors };
    let ops = vec![Op::put(key, encode(key, &owner)?)];
    match kv.txn("take over upstreams", vec![precondition], ops).await {
        Ok(_) | Err(KvError::OutcomeUnknown { .. }) => Ok(()),
        Err(source) => Err(StoreError::Kv { source }),
    }
}
