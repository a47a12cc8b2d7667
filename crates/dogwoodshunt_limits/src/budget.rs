//! Budget of a process: its connections and the bytes that are buffered for them.
//!
//! Bytes that are to be freed by closing a connection are free only once the connection has released
//! them, so the sum of all leases never exceeds the budget.

use crate::limits::CONNECTION_BYTES;
use crate::limits::Limits;
use slotmap::SlotMap;
use slotmap::new_key_type;
use std::time::Duration;
use std::time::Instant;

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
    /// Key of leased bytes.
    pub struct LeaseKey;
}

/// Age from which an unfinished body may be given up for a small one, and a large one for any.
/// A body of 4 MiB takes that long on the slowest links only.
const MIN_VICTIM_AGE: Duration = Duration::from_millis(250);

/// Time without progress from which a connection may be closed to make room for a large body or a
/// response.
const QUIET: Duration = Duration::from_secs(1);

/// Listener that accepted a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// Requests of callers.
    Callers,
    /// Links of entries.
    Links,
    /// Metrics.
    Metrics,
    /// Requests of operators.
    Operators,
    /// Readiness probes.
    Readiness,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No request, an unfinished head, or an unfinished body.
    Receiving,
    /// A request is executed, or its response is being sent.
    Running,
    /// Chosen to be closed.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    listener: Listener,
    phase: Phase,
    /// Time at which the current head or body began.
    began_at: Instant,
    /// Time of the latest progress.
    progress_at: Instant,
    /// Time from which nothing could be written as the peer does not read.
    blocked_at: Option<Instant>,
    /// Bytes received since `began_at`.
    received: usize,
    /// Bytes leased for the connection and its unfinished request.
    leased: usize,
    /// Whether a lease made the request a large one.
    is_large: bool,
}

impl Connection {
    fn quiet(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress_at)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began_at)
    }

    /// Returns the average rate in bytes/s; connections without a body have the rate 0.
    fn rate(&self, now: Instant) -> f64 {
        self.received as f64 / self.age(now).max(MIN_VICTIM_AGE).as_secs_f64()
    }

    /// Returns whether the connection may be closed to make room for a request.
    fn gives_way(&self, now: Instant, to_small: bool) -> bool {
        match self.phase {
            Phase::Closing => false,
            Phase::Receiving | Phase::Running if self.is_blocked(now) => true,
            Phase::Receiving if to_small && self.is_large => self.age(now) >= MIN_VICTIM_AGE,
            Phase::Receiving if to_small => self.quiet(now) >= MIN_VICTIM_AGE,
            Phase::Receiving => self.quiet(now) >= QUIET,
            Phase::Running => false,
        }
    }

    /// Returns whether nothing could be written to the peer for some time.
    fn is_blocked(&self, now: Instant) -> bool {
        let blocked = self.blocked_at;
        blocked.is_some_and(|at| now.saturating_duration_since(at) >= QUIET)
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    connection: Option<ConnectionKey>,
    bytes: usize,
    is_large: bool,
}

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The connection is admitted.
    Admitted(ConnectionKey),
    /// The connection must wait until the given one, which is to be closed now, has closed, or any
    /// other if none is given.
    Wait(Option<ConnectionKey>),
    /// No connection can be closed for this one.
    Refused,
}

/// Decision on bytes to be buffered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are leased.
    Granted,
    /// The bytes are not free yet. The given connections are to be closed now; the request may be
    /// made again until the caller's patience ends.
    Wait(Vec<ConnectionKey>),
    /// More bytes than will ever be free.
    TooLarge,
}

/// Connections and leases of a process.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    leases: SlotMap<LeaseKey, Lease>,
    used: usize,
    used_by_large: usize,
}

impl Budget {
    /// Returns a budget without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            leases: SlotMap::with_key(),
            used: 0,
            used_by_large: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the sum of all leases, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Decides on a new connection of `listener`.
    ///
    /// If a bound is reached, the connection of the same listener that has been quiet for longest is
    /// closed for it: one without a request, with an unfinished head or body, or whose peer does not
    /// read.
    pub fn open(&mut self, now: Instant, listener: Listener) -> Admission {
        let same = || self.connections.values().filter(|c| c.listener == listener);
        // The other listeners have places of their own, so that callers cannot take them.
        let bound = match listener {
            // An agent has one link to every entry and no callers.
            Listener::Callers | Listener::Links => self.limits.connections,
            Listener::Metrics | Listener::Operators | Listener::Readiness => {
                self.limits.other_connections
            }
        };
        let has_place = same().count() < bound;
        // The reserve for small bodies also serves the other listeners' connections.
        let has_bytes = self.used + CONNECTION_BYTES <= self.limits.budget;
        if has_place && has_bytes {
            let connection = Connection {
                listener,
                phase: Phase::Receiving,
                began_at: now,
                progress_at: now,
                blocked_at: None,
                received: 0,
                leased: CONNECTION_BYTES,
                is_large: false,
            };
            self.used += CONNECTION_BYTES;
            return Admission::Admitted(self.connections.insert(connection));
        }
        if same().any(|c| c.phase == Phase::Closing) {
            return Admission::Wait(None);
        }
        let victims = self.connections.iter().filter(|(_, c)| {
            let is_open =
                c.phase == Phase::Receiving || (c.phase == Phase::Running && c.is_blocked(now));
            is_open && (c.listener == listener || has_place)
        });
        let victim = victims
            .max_by_key(|(_, c)| c.quiet(now))
            .map(|(key, _)| key);
        match victim {
            Some(victim) => {
                self.begin_close(victim);
                Admission::Wait(Some(victim))
            }
            None => Admission::Refused,
        }
    }

    /// Removes a closed connection. Its leases stay until they are released.
    pub fn close(&mut self, key: ConnectionKey) {
        if self.connections.remove(key).is_some() {
            self.used -= CONNECTION_BYTES;
        }
    }

    /// Records that a connection's request begins to be received, with nothing received yet.
    pub fn on_receiving(&mut self, now: Instant, key: ConnectionKey) {
        if let Some(connection) = self.open_connection(key) {
            connection.phase = Phase::Receiving;
            connection.began_at = now;
            connection.progress_at = now;
            connection.received = 0;
            connection.is_large = false;
        }
    }

    /// Records that a connection's request is whole and is executed.
    pub fn on_running(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.open_connection(key) {
            connection.phase = Phase::Running;
        }
    }

    /// Records that nothing can be written on a connection since the peer does not read.
    pub fn on_blocked(&mut self, now: Instant, key: ConnectionKey) {
        if let Some(connection) = self.open_connection(key) {
            connection.blocked_at.get_or_insert(now);
        }
    }

    /// Records that the peer of a connection reads again.
    pub fn on_unblocked(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.open_connection(key) {
            connection.blocked_at = None;
        }
    }

    /// Records that `bytes` have been received on a connection.
    pub fn on_received(&mut self, now: Instant, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.progress_at = now;
            connection.received += bytes;
        }
    }

    /// Returns an empty lease, of the given connection or of none.
    pub fn lease(&mut self, connection: Option<ConnectionKey>) -> LeaseKey {
        self.leases.insert(Lease {
            connection,
            bytes: 0,
            is_large: false,
        })
    }

    /// Decides whether `bytes` are added to a lease, before they are buffered.
    pub fn reserve(&mut self, now: Instant, key: LeaseKey, bytes: usize) -> Reservation {
        let Some(lease) = self.leases.get(key).copied() else {
            return Reservation::TooLarge;
        };
        let total = lease.bytes + bytes;
        let is_large = total > self.limits.small_body;
        let large_limit = self.limits.budget - self.limits.small_reserve;
        let large_bytes = match (is_large, lease.is_large) {
            (true, true) => bytes,
            (true, false) => total,
            (false, _) => 0,
        };
        if is_large && total > large_limit {
            return Reservation::TooLarge;
        }
        let over_budget = (self.used + bytes).saturating_sub(self.limits.budget);
        let over_large = (self.used_by_large + large_bytes).saturating_sub(large_limit);
        if over_budget == 0 && over_large == 0 {
            self.grant(key, bytes, large_bytes);
            return Reservation::Granted;
        }
        let mut needed = over_budget.max(over_large);
        let closing = self.connections.values();
        let closing = closing.filter(|c| c.phase == Phase::Closing);
        needed = needed.saturating_sub(closing.map(|c| c.leased).sum());
        let victims = self.choose_victims(now, lease.connection, !is_large, needed);
        victims.iter().for_each(|victim| self.begin_close(*victim));
        Reservation::Wait(victims)
    }

    /// Returns the leased bytes to the budget. From then on the key is unknown.
    pub fn release(&mut self, key: LeaseKey) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.used -= lease.bytes;
        if lease.is_large {
            self.used_by_large -= lease.bytes;
        }
        let connection = lease
            .connection
            .and_then(|key| self.connections.get_mut(key));
        if let Some(connection) = connection {
            connection.leased = connection.leased.saturating_sub(lease.bytes);
        }
    }

    fn grant(&mut self, key: LeaseKey, bytes: usize, large_bytes: usize) {
        self.used += bytes;
        self.used_by_large += large_bytes;
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        lease.bytes += bytes;
        lease.is_large |= large_bytes > 0;
        let (is_large, connection) = (lease.is_large, lease.connection);
        if let Some(connection) = connection.and_then(|key| self.connections.get_mut(key)) {
            connection.leased += bytes;
            connection.is_large |= is_large;
        }
    }

    /// Returns connections that give way to a request and free `needed` bytes together, the slowest
    /// and oldest first; all that give way if they free less.
    ///
    /// The bytes of a response are leased apart from the connection that it is sent on, so of the
    /// connections whose peers do not read, one is closed at a time, and before all others.
    fn choose_victims(
        &self,
        now: Instant,
        requester: Option<ConnectionKey>,
        to_small: bool,
        needed: usize,
    ) -> Vec<ConnectionKey> {
        let others = self.connections.iter();
        let mut victims: Vec<(ConnectionKey, &Connection)> = others
            .filter(|(key, c)| Some(*key) != requester && c.gives_way(now, to_small))
            .collect();
        let blocked = victims.iter().filter(|(_, c)| c.is_blocked(now));
        if let Some((key, _)) = blocked.min_by_key(|(_, c)| c.blocked_at) {
            let is_closing = self.connections.values().any(|c| c.phase == Phase::Closing);
            return if is_closing { Vec::new() } else { vec![*key] };
        }
        if requester.is_none() {
            return Vec::new();
        }
        victims.sort_by(|(_, a), (_, b)| {
            let by_rate = a.rate(now).total_cmp(&b.rate(now));
            by_rate.then(a.began_at.cmp(&b.began_at))
        });
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (key, connection) in victims {
            // Idle connections free little; they give way to connections only.
            if connection.leased <= CONNECTION_BYTES {
                continue;
            }
            if freed >= needed {
                break;
            }
            freed += connection.leased;
            chosen.push(key);
        }
        chosen
    }

    fn begin_close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.phase = Phase::Closing;
        }
    }

    fn open_connection(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(key)?;
        (connection.phase != Phase::Closing).then_some(connection)
    }
}
