//! Snapshots of the catalogue, cut into shards that fit the service's values.

use crate::catalogue::Adapter;
use crate::catalogue::Catalogue;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::rendezvous;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Adapters per shard; at 1 KiB each a shard stays below 512 KiB.
const ADAPTERS_PER_SHARD: usize = 500;

/// Part of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Number of this shard, from 0.
    pub index: u32,
    /// Number of shards in the snapshot.
    pub count: u32,
    /// Adapters whose names hash to this shard.
    pub adapters: BTreeMap<AdapterName, Adapter>,
    /// Planned stops; the same in every shard.
    pub stops: BTreeSet<Box<str>>,
    /// Witnesses; the same in every shard.
    pub witnesses: Vec<NodeId>,
    /// Witnesses that are being replaced; the same in every shard.
    pub outgoing: Vec<NodeId>,
    /// Revision of the entry that named the witnesses.
    pub electorate: Revision,
}

/// Why shards do not make up a snapshot.
#[derive(Debug, Snafu)]
pub enum AssembleError {
    /// Some shards are missing.
    #[snafu(display("snapshot {revision}: {found} of {count} shards found"))]
    Incomplete {
        /// Revision of the snapshot.
        revision: Revision,
        /// Shards found.
        found: usize,
        /// Shards expected.
        count: u32,
    },
    /// Shards of different snapshots were mixed.
    #[snafu(display("snapshot {revision}: a shard of snapshot {found} is among its shards"))]
    Mixed {
        /// Revision of the snapshot.
        revision: Revision,
        /// Revision of the stray shard.
        found: Revision,
    },
    /// There is no shard at all.
    #[snafu(display("the snapshot has no shard"))]
    Empty,
}

/// Cuts `catalogue` into shards, at least one.
pub fn split(catalogue: &Catalogue) -> Vec<Shard> {
    let needed = catalogue.adapters.len().div_ceil(ADAPTERS_PER_SHARD).max(1);
    let count = u32::try_from(needed).unwrap_or(u32::MAX);
    let mut shards: Vec<Shard> = (0..count)
        .map(|index| Shard {
            revision: catalogue.revision,
            index,
            count,
            adapters: BTreeMap::new(),
            stops: catalogue.stops.clone(),
            witnesses: catalogue.witnesses.clone(),
            outgoing: catalogue.outgoing.clone(),
            electorate: catalogue.electorate,
        })
        .collect();
    for (name, adapter) in &catalogue.adapters {
        let index = rendezvous::shard(name, count) as usize;
        shards[index].adapters.insert(name.clone(), adapter.clone());
    }
    shards
}

/// Puts the shards of one snapshot together again, in any order.
///
/// # Errors
///
/// Fails where a shard is missing or belongs to another snapshot.
pub fn assemble(shards: Vec<Shard>) -> Result<Catalogue, AssembleError> {
    let mut catalogue = Catalogue::new();
    let mut found = BTreeSet::new();
    let mut count = 0;
    for shard in shards {
        if found.is_empty() {
            catalogue.revision = shard.revision;
            catalogue.stops = shard.stops;
            catalogue.witnesses = shard.witnesses;
            catalogue.outgoing = shard.outgoing;
            catalogue.electorate = shard.electorate;
            count = shard.count;
        }
        ensure!(
            shard.revision == catalogue.revision && shard.count == count,
            MixedSnafu {
                revision: catalogue.revision,
                found: shard.revision,
            }
        );
        found.insert(shard.index);
        catalogue.adapters.extend(shard.adapters);
    }
    ensure!(!found.is_empty(), EmptySnafu);
    ensure!(
        found.len() == count as usize,
        IncompleteSnafu {
            revision: catalogue.revision,
            found: found.len(),
            count,
        }
    );
    Ok(catalogue)
}
