//! Claims of idempotency keys: one key, one run.

use crate::log::KvSnafu;
use crate::log::StoreError;
use crate::log::decode;
use crate::log::encode;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::LeaseId;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::Unchanged;
use dogwoodshunt_types::RequestId;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

/// Prefix of the keys of claims.
const CLAIM_PREFIX: &str = "dogwoodshunt/claim/";

/// Largest answer kept with a claim, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// How far a claimed request has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It was claimed; it may be running, or its owner may be gone.
    Claimed,
    /// It ran; the answer was too large to keep.
    RanUnkept,
    /// It ran, and this was the answer.
    Ran(KeptAnswer),
}

/// An answer kept for a repeated request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<Box<str>>,
    /// What ran.
    pub ran: Box<str>,
    /// Body of the answer; base64 in the service's value.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
}

/// Record of one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Attempt that made the claim.
    pub owner: RequestId,
    /// Digest of the request, to tell a repetition from another request.
    pub fingerprint: Box<str>,
    /// How far the request has come.
    pub state: State,
}

/// What became of an attempt to claim a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed {
    /// The key is this attempt's; the request may be sent.
    Mine {
        /// Revision of the claim, for a later change.
        mod_revision: i64,
    },
    /// Another attempt holds the key.
    Taken(Claim),
}

/// Claims `key` for `owner`, by creating its record.
///
/// # Errors
///
/// Fails if the service does not answer, even on reading back; the request
/// must then not be sent.
pub async fn claim<K: Kv>(
    kv: &K,
    key: &str,
    owner: RequestId,
    fingerprint: &str,
    lease: Option<LeaseId>,
) -> Result<Claimed, StoreError> {
    let key = format!("{CLAIM_PREFIX}{key}");
    let claim = Claim {
        owner,
        fingerprint: fingerprint.into(),
        state: State::Claimed,
    };
    let unchanged = Unchanged {
        key: key.as_str().into(),
        mod_revision: 0,
    };
    let ops = vec![Op::Put {
        key: key.as_str().into(),
        value: encode(&key, &claim)?,
        lease,
    }];
    match kv.txn("claim key", vec![unchanged], ops).await {
        Ok(_) | Err(KvError::Unsure { .. }) => {}
        Err(source) => return Err(StoreError::Kv { source }),
    }
    let record = kv.get("read claim", &key).await.context(KvSnafu)?;
    match record {
        Some(record) => whose(&record, owner),
        // The write did not take effect; it may yet, so the key is not ours.
        None => Err(StoreError::Contended),
    }
}

fn whose(record: &Record, owner: RequestId) -> Result<Claimed, StoreError> {
    let held: Claim = decode(record)?;
    if held.owner == owner {
        return Ok(Claimed::Mine {
            mod_revision: record.mod_revision,
        });
    }
    Ok(Claimed::Taken(held))
}

/// Records the outcome of a claimed request.
///
/// # Errors
///
/// Fails if the service does not answer; repetitions then see it as claimed.
pub async fn settle<K: Kv>(
    kv: &K,
    key: &str,
    claim: &Claim,
    mod_revision: i64,
    lease: Option<LeaseId>,
) -> Result<(), StoreError> {
    let key = format!("{CLAIM_PREFIX}{key}");
    let unchanged = Unchanged {
        key: key.as_str().into(),
        mod_revision,
    };
    let ops = vec![Op::Put {
        key: key.as_str().into(),
        value: encode(&key, claim)?,
        lease,
    }];
    let settled = kv.txn("settle claim", vec![unchanged], ops).await;
    settled.context(KvSnafu)?;
    Ok(())
}

/// Gives a claim up for a request that was definitely not run.
///
/// # Errors
///
/// Fails if the service does not answer; the key then stays claimed.
pub async fn give_up<K: Kv>(kv: &K, key: &str, mod_revision: i64) -> Result<(), StoreError> {
    let key = format!("{CLAIM_PREFIX}{key}");
    let unchanged = Unchanged {
        key: key.as_str().into(),
        mod_revision,
    };
    let ops = vec![Op::DeleteRange {
        end: format!("{key}\0").into(),
        start: key.into(),
    }];
    let deleted = kv.txn("give up claim", vec![unchanged], ops).await;
    deleted.context(KvSnafu)?;
    Ok(())
}
