//! Snapshots of the catalogue, split into shards that fit into single values of the
//! key-value service.

use crate::catalogue::AdapterVersions;
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

/// Average number of adapters per shard; at 1 KiB per adapter a shard stays below
/// 512 KiB.
const ADAPTERS_PER_SHARD: usize = 500;

/// One part of a snapshot of the catalogue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotShard {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Index of the shard within the snapshot, from 0.
    pub index: u32,
    /// Number of shards in the snapshot.
    pub count: u32,
    /// Adapters whose names hash to the shard.
    pub adapters: BTreeMap<AdapterName, AdapterVersions>,
    /// Hosts and upstreams with a planned stop; identical in all shards.
    #[serde(rename = "stops")]
    pub planned_stops: BTreeSet<Box<str>>,
    /// Current witnesses; identical in all shards.
    pub witnesses: Vec<NodeId>,
    /// Former witnesses whose replacement is not complete; identical in all shards.
    #[serde(rename = "outgoing")]
    pub outgoing_witnesses: Vec<NodeId>,
    /// Revision of the log entry that set the witnesses; identical in all shards.
    #[serde(rename = "electorate")]
    pub witness_set_revision: Revision,
}

/// Reason why shards cannot be assembled into a snapshot.
#[derive(Debug, Snafu)]
pub enum AssembleError {
    /// Some shards are missing.
    #[snafu(display("assemble snapshot {revision}: only {found} of {count} shards are present"))]
    Incomplete {
        /// Revision of the snapshot.
        revision: Revision,
        /// Number of distinct shards passed in.
        found: usize,
        /// Number of shards in the snapshot.
        count: u32,
    },
    /// Two shards differ in the revision or the shard count of their snapshot.
    #[snafu(display(
        "assemble snapshot {revision}: a shard belongs to snapshot {found} or to another shard count"
    ))]
    Mixed {
        /// Revision of the first shard.
        revision: Revision,
        /// Revision of the shard that differs from the first one.
        found: Revision,
    },
    /// No shards were passed in.
    #[snafu(display("assemble snapshot: no shards"))]
    Empty,
}

/// Splits `catalogue` into one or more shards.
pub fn split(catalogue: &Catalogue) -> Vec<SnapshotShard> {
    let shard_count = catalogue.adapters.len().div_ceil(ADAPTERS_PER_SHARD).max(1);
    let count = u32::try_from(shard_count).unwrap_or(u32::MAX);
    let mut shards: Vec<SnapshotShard> = (0..count)
        .map(|index| SnapshotShard {
            revision: catalogue.revision,
            index,
            count,
            adapters: BTreeMap::new(),
            planned_stops: catalogue.planned_stops.clone(),
            witnesses: catalogue.witnesses.clone(),
            outgoing_witnesses: catalogue.outgoing_witnesses.clone(),
            witness_set_revision: catalogue.witness_set_revision,
        })
        .collect();
    for (name, adapter) in &catalogue.adapters {
        let index = rendezvous::shard_index(name, count) as usize;
        shards[index].adapters.insert(name.clone(), adapter.clone());
    }
    shards
}

/// Assembles a catalogue from all shards of one snapshot, given in any order.
///
/// # Errors
///
/// Fails if there are no shards, if a shard is missing, or if the shards differ in
/// the revision or the shard count of their snapshot.
pub fn assemble(shards: Vec<SnapshotShard>) -> Result<Catalogue, AssembleError> {
    let mut catalogue = Catalogue::new();
    let mut seen_indexes = BTreeSet::new();
    let mut count = 0;
    for shard in shards {
        if seen_indexes.is_empty() {
            catalogue.revision = shard.revision;
            catalogue.planned_stops = shard.planned_stops;
            catalogue.witnesses = shard.witnesses;
            catalogue.outgoing_witnesses = shard.outgoing_witnesses;
            catalogue.witness_set_revision = shard.witness_set_revision;
            count = shard.count;
        }
        ensure!(
            shard.revision == catalogue.revision && shard.count == count,
            MixedSnafu {
                revision: catalogue.revision,
                found: shard.revision,
            }
        );
        seen_indexes.insert(shard.index);
        catalogue.adapters.extend(shard.adapters);
    }
    ensure!(!seen_indexes.is_empty(), EmptySnafu);
    ensure!(
        seen_indexes.len() == count as usize,
        IncompleteSnafu {
            revision: catalogue.revision,
            found: seen_indexes.len(),
            count,
        }
    );
    Ok(catalogue)
}
