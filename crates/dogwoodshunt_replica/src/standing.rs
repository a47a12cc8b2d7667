//! How far an entry of the log has come through the fleet.

use crate::replica::Replica;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_freshness::electorate;
use dogwoodshunt_freshness::electorate::Candidate;
use dogwoodshunt_freshness::freshness::WitnessId;
use dogwoodshunt_freshness::freshness::witness_id;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::frame::Identity;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Age of its last word after which a node no longer counts as live.
const LIVE_LIMIT: Duration = Duration::from_secs(3);

/// How far an entry of the log has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Revision of the entry.
    pub revision: Revision,
    /// Whether more than half of the witnesses hold it.
    pub accepted: bool,
    /// Whether every live node holds it.
    pub in_force: bool,
    /// Live nodes that do not hold it.
    pub missing: Vec<NodeId>,
    /// Live nodes, this one included.
    pub live: usize,
}

impl Replica {
    /// Returns how far `revision` has come, as far as this node knows.
    pub fn standing(&self, now: Instant, revision: Revision) -> Standing {
        let held = self.catalogue.revision();
        let accepted = held >= revision && self.freshness.is_confirmed(revision, held);
        let live = self.live(now);
        let mut missing: Vec<NodeId> = live
            .values()
            .filter(|(_, found)| *found < revision)
            .map(|(identity, _)| identity.node.clone())
            .collect();
        missing.sort_unstable();
        Standing {
            revision,
            accepted,
            in_force: accepted && missing.is_empty(),
            missing,
            live: live.len(),
        }
    }

    /// Returns the change of witnesses that is due, if any.
    ///
    /// One change is settled before the next one is made, so that at most two
    /// sets of witnesses count at any time.
    pub fn wanted_witnesses(&self, now: Instant) -> Option<Change> {
        let current = self.catalogue.witnesses();
        let accepted = self.standing(now, self.catalogue.electorate()).accepted;
        if !self.catalogue.outgoing().is_empty() {
            return accepted.then_some(Change::SettleWitnesses);
        }
        let nodes = electorate::desired(current, &self.candidates(now));
        (accepted && nodes != current).then_some(Change::Witnesses { nodes })
    }

    /// Returns the entries that are live as this entry sees it, itself included.
    ///
    /// Entries hear of each other through the agents that they share.
    pub fn live_entries(&self, now: Instant) -> Vec<&Identity> {
        let recent = |at: Instant| now.saturating_duration_since(at) < LIVE_LIMIT;
        let live = self
            .distant
            .values()
            .filter(|distant| recent(distant.heard));
        let others = live.map(|distant| &distant.identity);
        std::iter::once(&self.me).chain(others).collect()
    }

    /// Returns the live nodes with the newest revision that each is known to hold.
    fn live(&self, now: Instant) -> HashMap<WitnessId, (&Identity, Revision)> {
        let recent = |at: Instant| now.saturating_duration_since(at) < LIVE_LIMIT;
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.heard.is_some_and(recent));
        let distant = self
            .distant
            .values()
            .filter(|distant| recent(distant.heard));
        let known = distant
            .map(|distant| (&distant.identity, distant.revision))
            .chain(peers.map(|peer| (&peer.identity, peer.revision)))
            .chain([(&self.me, self.catalogue.revision())]);
        known
            .map(|(identity, held)| {
                let witness = witness_id(&identity.node, identity.boot);
                (witness, (identity, held))
            })
            .collect()
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let live = self.live(now).into_iter();
        let mut candidates: Vec<Candidate> = live
            .map(|(witness, (identity, _))| Candidate {
                witness,
                domain: identity.domain.clone(),
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.witness.cmp(&b.witness));
        candidates
    }
}
