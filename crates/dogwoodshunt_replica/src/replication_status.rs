//! Replication status of log entries, and the replacement of witnesses.

use crate::replica::Replica;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_freshness::tracker::WitnessId;
use dogwoodshunt_freshness::tracker::witness_id;
use dogwoodshunt_freshness::witness_selection;
use dogwoodshunt_freshness::witness_selection::WitnessCandidate;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::frame::Identity;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Time without a heartbeat from a node, or a report of it in an agent's heartbeat, after
/// which the node no longer counts as live.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Replication status of one log entry, as known to one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicationStatus {
    /// Revision of the log entry.
    pub revision: Revision,
    /// Whether the log entry is accepted: the witnesses that may not hold it are no
    /// majority, and this node holds it.
    pub accepted: bool,
    /// Whether the log entry is in force: it is accepted, and every live node holds it.
    pub in_force: bool,
    /// Live nodes that do not hold the log entry yet.
    #[serde(rename = "missing")]
    pub lagging_nodes: Vec<NodeId>,
    /// Number of live nodes, including the reporting node.
    #[serde(rename = "live")]
    pub live_nodes: usize,
}

impl Replica {
    /// Returns the replication status of the log entry at `revision`, as known to this node.
    pub fn replication_status(&self, now: Instant, revision: Revision) -> ReplicationStatus {
        let local_revision = self.catalogue.revision();
        let accepted =
            local_revision >= revision && self.freshness.is_accepted(revision, local_revision);
        let live = self.live_nodes(now);
        let mut lagging_nodes: Vec<NodeId> = live
            .values()
            .filter(|(_, newest)| *newest < revision)
            .map(|(identity, _)| identity.node.clone())
            .collect();
        lagging_nodes.sort_unstable();
        ReplicationStatus {
            revision,
            accepted,
            in_force: accepted && lagging_nodes.is_empty(),
            lagging_nodes,
            live_nodes: live.len(),
        }
    }

    /// Returns the next change of the witnesses to append to the log, or `None` if none is due.
    ///
    /// A replacement is completed before the next one starts, so that at most two sets of
    /// witnesses count at any time.
    pub fn next_witness_change(&self, now: Instant) -> Option<Change> {
        let current = self.catalogue.witnesses();
        let accepted = self
            .replication_status(now, self.catalogue.witness_set_revision())
            .accepted;
        if !self.catalogue.outgoing_witnesses().is_empty() {
            return accepted.then_some(Change::SettleWitnesses);
        }
        let nodes = witness_selection::select(current, &self.witness_candidates(now));
        (accepted && nodes != current).then_some(Change::Witnesses { nodes })
    }

    /// Returns the entry processes that this entry process considers live, including itself.
    ///
    /// Entry processes have no connections to each other; they learn of each other from the
    /// heartbeats of the agents that both are connected to.
    pub fn live_entry_processes(&self, now: Instant) -> Vec<&Identity> {
        let is_live = |at: Instant| now.saturating_duration_since(at) < LIVENESS_TIMEOUT;
        let live = self
            .indirect_peers
            .values()
            .filter(|indirect| is_live(indirect.last_heard_at));
        let others = live.map(|indirect| &indirect.identity);
        std::iter::once(&self.identity).chain(others).collect()
    }

    /// Returns the live nodes by witness id, each with the newest revision that it is known
    /// to hold.
    fn live_nodes(&self, now: Instant) -> HashMap<WitnessId, (&Identity, Revision)> {
        let is_live = |at: Instant| now.saturating_duration_since(at) < LIVENESS_TIMEOUT;
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.last_heard_at.is_some_and(is_live));
        let indirect = self
            .indirect_peers
            .values()
            .filter(|indirect| is_live(indirect.last_heard_at));
        let known = indirect
            .map(|peer| (&peer.identity, peer.revision))
            .chain(peers.map(|peer| (&peer.identity, peer.revision)))
            .chain([(&self.identity, self.catalogue.revision())]);
        // Directly connected peers come after relayed reports and replace them in the map.
        known
            .map(|(identity, revision)| {
                let witness = witness_id(&identity.node, identity.boot);
                (witness, (identity, revision))
            })
            .collect()
    }

    /// Returns the live nodes as witness candidates, sorted by witness id.
    fn witness_candidates(&self, now: Instant) -> Vec<WitnessCandidate> {
        let live = self.live_nodes(now).into_iter();
        let mut candidates: Vec<WitnessCandidate> = live
            .map(|(witness_id, (identity, _))| WitnessCandidate {
                witness_id,
                failure_domain: identity.domain.clone(),
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.witness_id.cmp(&b.witness_id));
        candidates
    }
}
