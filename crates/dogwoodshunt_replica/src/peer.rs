//! State that a node keeps for each open connection to a peer.

use dogwoodshunt_catalogue::snapshot::SnapshotShard;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::frame::Identity;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of sent heartbeats whose send time is kept, to look up when a peer echoes one.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Time after which a pull without a response is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

slotmap::new_key_type! {
    /// Key of a peer, valid while its connection is open.
    pub struct PeerKey;
}

/// State of one peer, kept while its connection is open.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Node name, boot and failure domain of the peer.
    pub identity: Identity,
    /// Newest revision that the peer is known to hold.
    pub revision: Revision,
    /// Time at which the peer's last heartbeat was received.
    pub last_heard_at: Option<Instant>,
    /// Highest heartbeat number received from the peer, echoed in the next heartbeat to the
    /// peer.
    pub last_received_number: u64,
    /// Shards received so far of a snapshot that the peer is sending.
    pub received_shards: Vec<SnapshotShard>,
    /// Number and send time of the last [`MAX_SENT_HEARTBEATS`] heartbeats sent, oldest first.
    sent_heartbeats: VecDeque<(u64, Instant)>,
    last_sent_number: u64,
    /// Send time of the last pull, until the peer responds.
    pull_sent_at: Option<Instant>,
}

impl Peer {
    /// Creates the state of a peer that has not sent a heartbeat yet.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            revision: 0,
            last_heard_at: None,
            last_received_number: 0,
            received_shards: Vec::new(),
            sent_heartbeats: VecDeque::new(),
            last_sent_number: 0,
            pull_sent_at: None,
        }
    }

    /// Records that a heartbeat is sent at `now` and returns its number.
    pub fn record_sent_heartbeat(&mut self, now: Instant) -> u64 {
        self.last_sent_number += 1;
        self.sent_heartbeats.push_back((self.last_sent_number, now));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.last_sent_number
    }

    /// Returns the send time of heartbeat `number`, or `None` if it is no longer kept.
    pub fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut heartbeats = self.sent_heartbeats.iter();
        heartbeats
            .find(|(sent_number, _)| *sent_number == number)
            .map(|(_, at)| *at)
    }

    /// Returns whether to send a pull at `now`, and if so records `now` as the send time.
    ///
    /// A pull is not repeated while an earlier one has had no response for less
    /// than `PULL_TIMEOUT`.
    pub fn start_pull(&mut self, now: Instant) -> bool {
        let pull_pending = self
            .pull_sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < PULL_TIMEOUT);
        if !pull_pending {
            self.pull_sent_at = Some(now);
        }
        !pull_pending
    }

    /// Records that the peer responded to the last pull.
    pub fn record_pull_response(&mut self) {
        self.pull_sent_at = None;
    }
}
