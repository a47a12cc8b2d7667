//! Claims of idempotency keys, which ensure that a request runs at most once per key.

use crate::log::KvSnafu;
use crate::log::StoreError;
use crate::log::decode;
use crate::log::encode;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::LeaseId;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_types::RequestId;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

/// Prefix of the keys of claim records in the key-value service.
const CLAIM_PREFIX: &str = "dogwoodshunt/claim/";

/// Maximum size of a response body that is stored with a claim, in bytes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;

/// Progress of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The key is claimed; the request may be running, or its owner may have terminated.
    Claimed,
    /// The request ran, but its response is not stored because it was too large or streamed.
    #[serde(rename = "ran_unkept")]
    RanNotStored,
    /// The request ran with this response.
    Ran(StoredResponse),
}

/// Response stored for repetitions of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the response body.
    pub content_type: Option<Box<str>>,
    /// Adapter or service that ran: `NAME@VERSION` or `services/NAME`.
    pub ran: Box<str>,
    /// Response body, base64-encoded in the stored record.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
}

/// Stored record of one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Attempt that claimed the key.
    pub owner: RequestId,
    /// Digest of the request, which tells a repetition from a different request under the same
    /// key.
    pub fingerprint: Box<str>,
    /// Progress of the request.
    pub state: ClaimState,
}

/// Result of claiming a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This attempt holds the key and may send the request.
    Acquired {
        /// Revision of the claim record, which [`store_outcome`] and [`release`] expect.
        mod_revision: i64,
    },
    /// Another attempt holds the key, with this record.
    Taken(Claim),
}

/// Claims `key` for `owner` by creating the claim record, which `lease` deletes on expiry.
///
/// The record is read back after the write, so a lost response to the write does not lose the
/// claim.
///
/// # Errors
///
/// Fails if the key-value service does not respond, holds a malformed record or holds no record
/// after the write; the request must then not be sent.
pub async fn claim<K: Kv>(
    kv: &K,
    key: &str,
    owner: RequestId,
    fingerprint: &str,
    lease: Option<LeaseId>,
) -> Result<ClaimOutcome, StoreError> {
    let key = format!("{CLAIM_PREFIX}{key}");
    let claim = Claim {
        owner,
        fingerprint: fingerprint.into(),
        state: ClaimState::Claimed,
    };
    let precondition = Precondition {
        key: key.as_str().into(),
        mod_revision: 0,
    };
    let ops = vec![Op::Put {
        key: key.as_str().into(),
        value: encode(&key, &claim)?,
        lease,
    }];
    match kv.txn("claim key", vec![precondition], ops).await {
        Ok(_) | Err(KvError::OutcomeUnknown { .. }) => {}
        Err(source) => return Err(StoreError::Kv { source }),
    }
    let record = kv.get("read claim", &key).await.context(KvSnafu)?;
    match record {
        Some(record) => claim_outcome(&record, owner),
        // The write has not taken effect but still may, so nobody is known to hold the key.
        None => Err(StoreError::Contended),
    }
}

fn claim_outcome(record: &Record, owner: RequestId) -> Result<ClaimOutcome, StoreError> {
    let existing: Claim = decode(record)?;
    if existing.owner == owner {
        return Ok(ClaimOutcome::Acquired {
            mod_revision: record.mod_revision,
        });
    }
    Ok(ClaimOutcome::Taken(existing))
}

/// Stores the outcome of a claimed request in its claim record, unless the record has changed since
/// `mod_revision`.
///
/// # Errors
///
/// Fails if the key-value service does not respond; repetitions of the request may then still find
/// the state [`ClaimState::Claimed`].
pub async fn store_outcome<K: Kv>(
    kv: &K,
    key: &str,
    claim: &Claim,
    mod_revision: i64,
    lease: Option<LeaseId>,
) -> Result<(), StoreError> {
    let key = format!("{CLAIM_PREFIX}{key}");
    let precondition = Precondition {
        key: key.as_str().into(),
        mod_revision,
    };
    let ops = vec![Op::Put {
        key: key.as_str().into(),
        value: encode(&key, claim)?,
        lease,
    }];
    let stored = kv
        .txn("store outcome of claim", vec![precondition], ops)
        .await;
    stored.context(KvSnafu)?;
    Ok(())
}

/// Deletes the claim of a request that definitely did not run, unless the record has changed since
/// `mod_revision`.
///
/// # Errors
///
/// Fails if the key-value service does not respond; the key may then stay claimed.
pub async fn release<K: Kv>(kv: &K, key: &str, mod_revision: i64) -> Result<(), StoreError> {
    let key = format!("{CLAIM_PREFIX}{key}");
    let precondition = Precondition {
        key: key.as_str().into(),
        mod_revision,
    };
    let ops = vec![Op::DeleteRange {
        end: format!("{key}\0").into(),
        start: key.into(),
    }];
    let deleted = kv.txn("delete claim", vec![precondition], ops).await;
    deleted.context(KvSnafu)?;
    Ok(())
}
