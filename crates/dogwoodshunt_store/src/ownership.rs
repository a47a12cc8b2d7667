//! Which process may order a host's upstreams, by a fencing number.

use crate::log::KvSnafu;
use crate::log::StoreError;
use crate::log::decode;
use crate::log::encode;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Unchanged;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

/// Prefix of the keys of ownership records.
const OWNER_PREFIX: &str = "dogwoodshunt/owner/";

/// Compare-and-swaps tried before taking over is put off.
const MAX_SWAPS: u32 = 8;

/// Record of the process that may order a host's upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Boot of the process.
    pub boot: BootId,
    /// Fencing number of its orders.
    pub epoch: Epoch,
}

/// Takes over the upstreams of `node` for `boot` and returns the fencing number.
///
/// A boot that already owns them keeps its number, so the call may be repeated
/// after a lost answer.
///
/// # Errors
///
/// Fails if the service does not answer or other boots keep winning.
pub async fn take_over<K: Kv>(kv: &K, node: &NodeId, boot: BootId) -> Result<Epoch, StoreError> {
    let key = format!("{OWNER_PREFIX}{node}");
    for _ in 0..MAX_SWAPS {
        let record = kv.get("read owner", &key).await.context(KvSnafu)?;
        let held: Option<Owner> = record.as_ref().map(decode).transpose()?;
        if let Some(owner) = held.as_ref().filter(|owner| owner.boot == boot) {
            return Ok(owner.epoch);
        }
        let owner = Owner {
            boot,
            epoch: held.map_or(0, |owner| owner.epoch) + 1,
        };
        let unchanged = Unchanged {
            key: key.as_str().into(),
            mod_revision: record.map_or(0, |record| record.mod_revision),
        };
        let ops = vec![Op::put(key.as_str(), encode(&key, &owner)?)];
        match kv.txn("take over upstreams", vec![unchanged], ops).await {
            Ok(true) => return Ok(owner.epoch),
            Ok(false) | Err(KvError::Unsure { .. }) => {}
            Err(source) => return Err(StoreError::Kv { source }),
        }
    }
    Err(StoreError::Contended)
}

/// Returns whether `boot` still owns the upstreams of `node`; one call.
///
/// # Errors
///
/// Fails if the service does not answer.
pub async fn is_owner<K: Kv>(kv: &K, node: &NodeId, boot: BootId) -> Result<bool, StoreError> {
    let key = format!("{OWNER_PREFIX}{node}");
    let record = kv.get("verify owner", &key).await.context(KvSnafu)?;
    let held: Option<Owner> = record.as_ref().map(decode).transpose()?;
    Ok(held.is_some_and(|owner| owner.boot == boot))
}
