//! The replica: a node's catalogue, its freshness and its peers.

use crate::peer::Peer;
use crate::peer::PeerKey;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::snapshot;
use dogwoodshunt_catalogue::snapshot::SnapshotShard;
use dogwoodshunt_freshness::FreshnessTracker;
use dogwoodshunt_freshness::MergeOutcome;
use dogwoodshunt_freshness::tracker::WitnessId;
use dogwoodshunt_freshness::tracker::witness_id;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::PeerState;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// State of an entry process that was reported in an agent's heartbeat.
///
/// Entry processes have no connections to each other and learn of each other this way.
#[derive(Clone, Debug)]
pub(crate) struct IndirectPeer {
    pub(crate) identity: Identity,
    /// Newest revision that the entry process is known to hold.
    pub(crate) revision: Revision,
    /// Time at which a heartbeat last reported the entry process.
    pub(crate) last_heard_at: Instant,
}

/// A node's copy of the catalogue, with its freshness and its peers.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) identity: Identity,
    pub(crate) catalogue: Catalogue,
    pub(crate) freshness: FreshnessTracker,
    pub(crate) peers: SlotMap<PeerKey, Peer>,
    pub(crate) indirect_peers: HashMap<WitnessId, IndirectPeer>,
}

impl Replica {
    /// Creates the replica of a node that has just started.
    pub fn new(identity: Identity, freshness_limit: Duration) -> Self {
        let witness = witness_id(&identity.node, identity.boot);
        Self {
            identity,
            catalogue: Catalogue::new(),
            freshness: FreshnessTracker::new(witness, freshness_limit),
            peers: SlotMap::with_key(),
            indirect_peers: HashMap::new(),
        }
    }

    /// Returns the identity of this node.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns this node's copy of the catalogue.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns whether the catalogue is fresh at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.freshness.is_fresh(now)
    }

    /// Returns the latest time as of which the catalogue is known to contain every accepted
    /// log entry; `None` if it never was confirmed.
    pub fn fresh_as_of(&self, now: Instant) -> Option<Instant> {
        self.freshness.fresh_as_of(now)
    }

    /// Adds the peer of a newly opened connection.
    pub fn add_peer(&mut self, identity: Identity) -> PeerKey {
        self.freshness.record_boot(&identity.node, identity.boot);
        self.peers.insert(Peer::new(identity))
    }

    /// Removes the peer of a closed connection.
    pub fn remove_peer(&mut self, key: PeerKey) {
        self.peers.remove(key);
    }

    /// Returns the peer with key `key`, if its connection is open.
    pub fn peer(&self, key: PeerKey) -> Option<&Peer> {
        self.peers.get(key)
    }

    /// Returns the peers on all open connections.
    pub fn peers(&self) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.peers.iter()
    }

    /// Returns the identity and newest known revision of each peer, which this node reports to
    /// its other peers in heartbeats.
    pub fn peer_states(&self) -> Vec<PeerState> {
        let peers = self.peers.values();
        peers
            .map(|peer| PeerState {
                entry: peer.identity.clone(),
                revision: peer.revision,
            })
            .collect()
    }

    /// Returns the next heartbeat for the peer with key `key`, or `None` if there is no such
    /// peer.
    ///
    /// The fields that do not concern the catalogue are left at their defaults for the
    /// caller to fill in.
    pub fn next_heartbeat(&mut self, now: Instant, key: PeerKey) -> Option<Heartbeat> {
        let summary = self.freshness.summary(now, self.catalogue.revision());
        let fresh = self.is_fresh(now);
        let peer = self.peers.get_mut(key)?;
        Some(Heartbeat {
            number: peer.record_sent_heartbeat(now),
            echo: peer.last_received_number,
            summary,
            fresh,
            ..Heartbeat::default()
        })
    }

    /// Processes a peer's heartbeat and returns the message to send back, if any.
    ///
    /// A heartbeat confirms freshness only if it echoes a heartbeat whose send time is still
    /// known: ages count from that time, so a heartbeat that waited in a socket buffer does not
    /// make the node fresh.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        key: PeerKey,
        heartbeat: &Heartbeat,
    ) -> Option<Frame> {
        let local_revision = self.catalogue.revision();
        self.record_relayed_peers(now, &heartbeat.peers);
        let peer = self.peers.get_mut(key)?;
        peer.last_received_number = peer.last_received_number.max(heartbeat.number);
        peer.last_heard_at = Some(now);
        peer.revision = peer.revision.max(heartbeat.summary.revision);
        if heartbeat.summary.revision > local_revision {
            return peer.start_pull(now).then_some(Frame::Pull {
                after: local_revision,
            });
        }
        let sent_at = peer.sent_at(heartbeat.echo)?;
        let witness = witness_id(&peer.identity.node, peer.identity.boot);
        let outcome =
            self.freshness
                .merge_summary(sent_at, &witness, &heartbeat.summary, local_revision);
        debug_assert_eq!(outcome, MergeOutcome::Merged);
        None
    }

    /// Returns the frames that respond to a peer's pull of the log entries after revision
    /// `after`.
    ///
    /// The frames hold those entries, or all shards of a snapshot if some of the entries are
    /// no longer in memory.
    pub fn on_pull(&self, after: Revision) -> Vec<Frame> {
        if let Some(entries) = self.catalogue.entries_after(after) {
            return vec![Frame::Entries { entries }];
        }
        snapshot::split(&self.catalogue)
            .into_iter()
            .map(|shard| Frame::Snapshot {
                shard: Box::new(shard),
            })
            .collect()
    }

    /// Applies log entries to the catalogue and returns whether its revision changed.
    ///
    /// Entries that the catalogue contains already and entries after a gap are ignored.
    /// `from` is the peer that sent the entries, if any.
    pub fn on_entries(&mut self, from: Option<PeerKey>, entries: &[LogEntry]) -> bool {
        let previous_revision = self.catalogue.revision();
        for entry in entries {
            if entry.revision == self.catalogue.revision() + 1 {
                let applied = self.catalogue.apply(entry);
                debug_assert!(applied.is_ok());
            }
        }
        if let Some(peer) = from.and_then(|key| self.peers.get_mut(key)) {
            peer.record_pull_response();
            let newest = entries.last().map_or(0, |entry| entry.revision);
            peer.revision = peer.revision.max(newest);
        }
        self.finish_update(previous_revision)
    }

    /// Stores a snapshot shard that a peer sent, and replaces the catalogue once the snapshot
    /// is complete and newer.
    ///
    /// Returns whether the revision of the catalogue changed.
    pub fn on_snapshot_shard(&mut self, key: PeerKey, shard: SnapshotShard) -> bool {
        let Some(peer) = self.peers.get_mut(key) else {
            return false;
        };
        peer.received_shards
            .retain(|received| received.revision == shard.revision);
        let count = shard.count as usize;
        peer.received_shards.push(shard);
        if peer.received_shards.len() < count {
            return false;
        }
        let shards = std::mem::take(&mut peer.received_shards);
        peer.record_pull_response();
        let Ok(snapshot) = snapshot::assemble(shards) else {
            return false;
        };
        self.replace_if_newer(snapshot)
    }

    /// Replaces the catalogue with `newer` if `newer` has a higher revision, and returns
    /// whether it was replaced.
    pub fn replace_if_newer(&mut self, newer: Catalogue) -> bool {
        let previous_revision = self.catalogue.revision();
        self.catalogue.replace_if_newer(newer);
        self.finish_update(previous_revision)
    }

    /// Records that a read of the key-value service, started at `started_at`, returned
    /// `head_revision` as the newest revision of the log.
    pub fn on_service_read(&mut self, started_at: Instant, head_revision: Revision) {
        let local_revision = self.catalogue.revision();
        self.freshness
            .record_service_read(started_at, head_revision, local_revision);
    }

    /// Returns, for each peer that is behind this node, a frame with the log entries that the
    /// peer lacks.
    ///
    /// Peers that need a snapshot are left out; they pull one after the next heartbeat.
    pub fn updates_for_lagging_peers(&self) -> Vec<(PeerKey, Frame)> {
        let local_revision = self.catalogue.revision();
        let behind = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.revision < local_revision);
        let updates = behind.filter_map(|(key, peer)| {
            let entries = self.catalogue.entries_after(peer.revision)?;
            Some((key, Frame::Entries { entries }))
        });
        updates.collect()
    }

    fn record_relayed_peers(&mut self, now: Instant, states: &[PeerState]) {
        for state in states {
            if state.entry.boot == self.identity.boot {
                continue;
            }
            self.freshness
                .record_boot(&state.entry.node, state.entry.boot);
            let witness = witness_id(&state.entry.node, state.entry.boot);
            let indirect = self
                .indirect_peers
                .entry(witness)
                .or_insert_with(|| IndirectPeer {
                    identity: state.entry.clone(),
                    revision: 0,
                    last_heard_at: now,
                });
            indirect.revision = indirect.revision.max(state.revision);
            indirect.last_heard_at = now;
        }
    }

    /// Passes the catalogue's witnesses to the freshness tracker, and returns whether the
    /// catalogue's revision is higher than `previous_revision`.
    fn finish_update(&mut self, previous_revision: Revision) -> bool {
        self.freshness.set_witnesses(
            self.catalogue.witness_set_revision(),
            self.catalogue.witnesses(),
            self.catalogue.outgoing_witnesses(),
        );
        self.catalogue.revision() > previous_revision
    }
}
