//! Ownership of a host's upstreams by one agent process, with a fencing token that each takeover
//! raises by one.

use crate::log::KvSnafu;
use crate::log::StoreError;
use crate::log::decode;
use crate::log::encode;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

/// Prefix of the keys of ownership records in the key-value service.
const OWNER_PREFIX: &str = "dogwoodshunt/owner/";

/// Maximum number of compare-and-swaps per takeover.
const MAX_CAS_ATTEMPTS: u32 = 8;

/// Stored record of the process that may send orders to a host's upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Boot id of the process.
    pub boot: BootId,
    /// Fencing token of the orders of the process.
    pub epoch: Epoch,
}

/// Makes the process `boot` the owner of the upstreams of `node` and returns its fencing token.
///
/// A process that already owns the upstreams keeps its token, so the call may be repeated after a
/// lost response.
///
/// # Errors
///
/// Fails if the key-value service does not respond or other processes win every compare-and-swap
/// ([`StoreError::Contended`]).
pub async fn take_over<K: Kv>(kv: &K, node: &NodeId, boot: BootId) -> Result<Epoch, StoreError> {
    let key = format!("{OWNER_PREFIX}{node}");
    for _ in 0..MAX_CAS_ATTEMPTS {
        let record = kv.get("read owner", &key).await.context(KvSnafu)?;
        let current: Option<Owner> = record.as_ref().map(decode).transpose()?;
        if let Some(owner) = current.as_ref().filter(|owner| owner.boot == boot) {
            return Ok(owner.epoch);
        }
        let owner = Owner {
            boot,
            epoch: current.map_or(0, |owner| owner.epoch) + 1,
        };
        let precondition = Precondition {
            key: key.as_str().into(),
            mod_revision: record.map_or(0, |record| record.mod_revision),
        };
        let ops = vec![Op::put(key.as_str(), encode(&key, &owner)?)];
        match kv.txn("take over upstreams", vec![precondition], ops).await {
            Ok(true) => return Ok(owner.epoch),
            Ok(false) | Err(KvError::OutcomeUnknown { .. }) => {}
            Err(source) => return Err(StoreError::Kv { source }),
        }
    }
    Err(StoreError::Contended)
}

/// Returns whether the process `boot` still owns the upstreams of `node`, in one call to the
/// key-value service.
///
/// # Errors
///
/// Fails if the key-value service does not respond or the record is malformed.
pub async fn is_owner<K: Kv>(kv: &K, node: &NodeId, boot: BootId) -> Result<bool, StoreError> {
    let key = format!("{OWNER_PREFIX}{node}");
    let record = kv.get("verify owner", &key).await.context(KvSnafu)?;
    let current: Option<Owner> = record.as_ref().map(decode).transpose()?;
    Ok(current.is_some_and(|owner| owner.boot == boot))
}
