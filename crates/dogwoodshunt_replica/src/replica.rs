//! A node's catalogue with its freshness and its peers.

use crate::peer::Peer;
use crate::peer::PeerKey;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::snapshot;
use dogwoodshunt_catalogue::snapshot::Shard;
use dogwoodshunt_freshness::Freshness;
use dogwoodshunt_freshness::Merge;
use dogwoodshunt_freshness::freshness::WitnessId;
use dogwoodshunt_freshness::freshness::witness_id;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Beat;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::PeerState;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// What a node knows of an entry that it hears of through agents.
#[derive(Clone, Debug)]
pub(crate) struct Distant {
    pub(crate) identity: Identity,
    pub(crate) revision: Revision,
    pub(crate) heard: Instant,
}

/// A node's catalogue with its freshness and its peers.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) me: Identity,
    pub(crate) catalogue: Catalogue,
    pub(crate) freshness: Freshness,
    pub(crate) peers: SlotMap<PeerKey, Peer>,
    pub(crate) distant: HashMap<WitnessId, Distant>,
}

impl Replica {
    /// Creates the replica of a node that has just started.
    pub fn new(me: Identity, freshness_limit: Duration) -> Self {
        let witness = witness_id(&me.node, me.boot);
        Self {
            me,
            catalogue: Catalogue::new(),
            freshness: Freshness::new(witness, freshness_limit),
            peers: SlotMap::with_key(),
            distant: HashMap::new(),
        }
    }

    /// Returns who this node is.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the catalogue.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns whether the catalogue may be trusted at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.freshness.is_fresh(now)
    }

    /// Returns the moment up to which this node has heard of everything accepted.
    pub fn fresh_as_of(&self, now: Instant) -> Option<Instant> {
        self.freshness.fresh_as_of(now)
    }

    /// Adds a peer whose connection has opened.
    pub fn add_peer(&mut self, identity: Identity) -> PeerKey {
        self.freshness.on_boot(&identity.node, identity.boot);
        self.peers.insert(Peer::new(identity))
    }

    /// Removes a peer whose connection has ended.
    pub fn remove_peer(&mut self, key: PeerKey) {
        self.peers.remove(key);
    }

    /// Returns one peer.
    pub fn peer(&self, key: PeerKey) -> Option<&Peer> {
        self.peers.get(key)
    }

    /// Returns all peers.
    pub fn peers(&self) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.peers.iter()
    }

    /// Returns the states of directly connected peers, to relay to others.
    pub fn peer_states(&self) -> Vec<PeerState> {
        let peers = self.peers.values();
        peers
            .map(|peer| PeerState {
                entry: peer.identity.clone(),
                revision: peer.revision,
            })
            .collect()
    }

    /// Returns the next heartbeat for a peer; the caller adds its own fields.
    pub fn beat(&mut self, now: Instant, key: PeerKey) -> Option<Beat> {
        let summary = self.freshness.summary(now, self.catalogue.revision());
        let fresh = self.is_fresh(now);
        let peer = self.peers.get_mut(key)?;
        Some(Beat {
            number: peer.number_beat(now),
            echo: peer.received,
            summary,
            fresh,
            ..Beat::default()
        })
    }

    /// Takes in a peer's heartbeat and returns what to send back.
    pub fn on_beat(&mut self, now: Instant, key: PeerKey, beat: &Beat) -> Option<Frame> {
        let held = self.catalogue.revision();
        self.note_distant(now, &beat.peers);
        let peer = self.peers.get_mut(key)?;
        peer.received = peer.received.max(beat.number);
        peer.heard = Some(now);
        peer.revision = peer.revision.max(beat.summary.revision);
        if beat.summary.revision > held {
            return peer.wants_pull(now).then_some(Frame::Pull { after: held });
        }
        let asked = peer.sent_at(beat.echo)?;
        let witness = witness_id(&peer.identity.node, peer.identity.boot);
        let merge = self.freshness.on_peer(asked, &witness, &beat.summary, held);
        debug_assert_eq!(merge, Merge::Merged);
        None
    }

    /// Answers a pull with entries, or with a snapshot for a peer far behind.
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

    /// Takes in entries; returns whether the catalogue has moved.
    ///
    /// Entries that it holds already, or that leave a gap, are passed over.
    pub fn on_entries(&mut self, from: Option<PeerKey>, entries: &[LogEntry]) -> bool {
        let held = self.catalogue.revision();
        for entry in entries {
            if entry.revision == self.catalogue.revision() + 1 {
                let applied = self.catalogue.apply(entry);
                debug_assert!(applied.is_ok());
            }
        }
        if let Some(peer) = from.and_then(|key| self.peers.get_mut(key)) {
            peer.pull_answered();
            let newest = entries.last().map_or(0, |entry| entry.revision);
            peer.revision = peer.revision.max(newest);
        }
        self.after_change(held)
    }

    /// Takes in a part of a snapshot; returns whether the catalogue has moved.
    pub fn on_shard(&mut self, key: PeerKey, shard: Shard) -> bool {
        let Some(peer) = self.peers.get_mut(key) else {
            return false;
        };
        peer.shards.retain(|held| held.revision == shard.revision);
        let count = shard.count as usize;
        peer.shards.push(shard);
        if peer.shards.len() < count {
            return false;
        }
        let shards = std::mem::take(&mut peer.shards);
        peer.pull_answered();
        let Ok(snapshot) = snapshot::assemble(shards) else {
            return false;
        };
        self.advance_to(snapshot)
    }

    /// Replaces the catalogue by a newer one; returns whether it has moved.
    pub fn advance_to(&mut self, newer: Catalogue) -> bool {
        let held = self.catalogue.revision();
        self.catalogue.advance_to(newer);
        self.after_change(held)
    }

    /// Records that a read of the service, begun at `begun`, found `head`.
    pub fn on_service(&mut self, begun: Instant, head: Revision) {
        let held = self.catalogue.revision();
        self.freshness.on_service(begun, head, held);
    }

    /// Returns the entries that each peer that is behind lacks.
    pub fn spread(&self) -> Vec<(PeerKey, Frame)> {
        let held = self.catalogue.revision();
        let behind = self.peers.iter().filter(|(_, peer)| peer.revision < held);
        let lacking = behind.filter_map(|(key, peer)| {
            let entries = self.catalogue.entries_after(peer.revision)?;
            Some((key, Frame::Entries { entries }))
        });
        lacking.collect()
    }

    fn note_distant(&mut self, now: Instant, states: &[PeerState]) {
        for state in states {
            if state.entry.boot == self.me.boot {
                continue;
            }
            self.freshness.on_boot(&state.entry.node, state.entry.boot);
            let witness = witness_id(&state.entry.node, state.entry.boot);
            let distant = self.distant.entry(witness).or_insert_with(|| Distant {
                identity: state.entry.clone(),
                revision: 0,
                heard: now,
            });
            distant.revision = distant.revision.max(state.revision);
            distant.heard = now;
        }
    }

    fn after_change(&mut self, before: Revision) -> bool {
        self.freshness.set_witnesses(
            self.catalogue.electorate(),
            self.catalogue.witnesses(),
            self.catalogue.outgoing(),
        );
        self.catalogue.revision() > before
    }
}
