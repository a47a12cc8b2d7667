//! What a node knows of one peer on an open connection.

use dogwoodshunt_catalogue::snapshot::Shard;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::frame::Identity;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Heartbeats sent whose echo may still come.
const SENT_REMEMBERED: usize = 64;

/// How long a pull may go unanswered before it is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

slotmap::new_key_type! {
    /// Names a peer for as long as its connection is open.
    pub struct PeerKey;
}

/// What a node knows of one peer on an open connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who the peer is.
    pub identity: Identity,
    /// Newest revision that the peer is known to hold.
    pub revision: Revision,
    /// When the peer's last heartbeat came.
    pub heard: Option<Instant>,
    /// Number of the peer's last heartbeat.
    pub received: u64,
    /// Shards of a snapshot that is coming in.
    pub shards: Vec<Shard>,
    sent: VecDeque<(u64, Instant)>,
    last_sent: u64,
    pulled: Option<Instant>,
}

impl Peer {
    /// Creates a peer that has not been heard.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            revision: 0,
            heard: None,
            received: 0,
            shards: Vec::new(),
            sent: VecDeque::new(),
            last_sent: 0,
            pulled: None,
        }
    }

    /// Records a heartbeat that is about to be sent and returns its number.
    pub fn number_beat(&mut self, now: Instant) -> u64 {
        self.last_sent += 1;
        self.sent.push_back((self.last_sent, now));
        if self.sent.len() > SENT_REMEMBERED {
            self.sent.pop_front();
        }
        self.last_sent
    }

    /// Returns when heartbeat `number` was sent, if it is still remembered.
    pub fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut sent = self.sent.iter();
        sent.find(|(held, _)| *held == number).map(|(_, at)| *at)
    }

    /// Returns whether to pull now, and records that it is done.
    pub fn wants_pull(&mut self, now: Instant) -> bool {
        let waiting = self
            .pulled
            .is_some_and(|at| now.saturating_duration_since(at) < PULL_TIMEOUT);
        if !waiting {
            self.pulled = Some(now);
        }
        !waiting
    }

    /// Records that a pull was answered.
    pub fn pull_answered(&mut self) {
        self.pulled = None;
    }
}
