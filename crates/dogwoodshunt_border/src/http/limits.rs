//! The budget of a process, shared by its listeners and their connections.
//!
//! Decisions are those of [`dogwoodshunt_limits`]; this module closes the connections that they name,
//! and returns leased bytes when the buffers that hold them are dropped.

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_limits::Budget;
use dogwoodshunt_limits::ConnectionKey;
use dogwoodshunt_limits::LeaseKey;
use dogwoodshunt_limits::Limits;
use dogwoodshunt_limits::Listener;
use dogwoodshunt_limits::budget::Admission;
use dogwoodshunt_limits::budget::Reservation;
use smol::Timer;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time for which bytes are waited for before a request or response is given up.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two tries to get room.
const ROOM_POLL: Duration = Duration::from_millis(5);

/// Smallest capacity of a buffer whose final size is not known, in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// Limit that a client has reached.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LimitEvent {
    /// A body had more bytes than allowed.
    BodyTooLarge,
    /// A body made no progress, or was too slow.
    BodyTooSlow,
    /// A connection was closed to make room for others.
    Evicted,
    /// A connection was closed right after it was accepted, as none could give way to it.
    ConnectionRefused,
    /// A request or response was given up since its bytes do not fit into the budget.
    NoRoom,
    /// A connection was closed to whose peer nothing could be written.
    WriteStalled,
}

impl LimitEvent {
    /// Returns the name of the limit in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::Evicted => "evicted",
            Self::ConnectionRefused => "connection-refused",
            Self::NoRoom => "no-room",
            Self::WriteStalled => "write-stalled",
        }
    }
}

/// Observer of limits that clients reach; it counts and logs them.
pub type LimitObserver = Box<dyn Fn(LimitEvent) + Send + Sync>;

/// No more room in the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

struct State {
    budget: Budget,
    /// Senders whose end tells a connection that it is to close.
    closers: HashMap<ConnectionKey, Sender<()>>,
}

/// The budget of a process.
pub struct ProcessLimits {
    state: Mutex<State>,
    observer: LimitObserver,
}

impl fmt::Debug for ProcessLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProcessLimits").finish_non_exhaustive()
    }
}

impl ProcessLimits {
    /// Creates the budget of a process.
    pub fn new(limits: Limits, observer: LimitObserver) -> Arc<Self> {
        let state = State {
            budget: Budget::new(limits),
            closers: HashMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            observer,
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        *self.state().budget.limits()
    }

    /// Returns the leased bytes and the number of open connections.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.state();
        (state.budget.used(), state.budget.open_connections())
    }

    /// Counts and logs that a client reached a limit.
    pub fn observe(&self, event: LimitEvent) {
        (self.observer)(event);
    }

    /// Waits until a connection of `listener` is admitted; `None` if it must be refused.
    pub async fn admit(self: &Arc<Self>, listener: Listener) -> Option<ConnectionAccount> {
        loop {
            let admission = self.state().budget.open(Instant::now(), listener);
            match admission {
                Admission::Admitted(key) => {
                    let (closer, closed) = async_channel::bounded(1);
                    self.state().closers.insert(key, closer);
                    return Some(ConnectionAccount {
                        limits: self.clone(),
                        key,
                        closed,
                    });
                }
                Admission::Wait(victim) => {
                    self.evict(victim);
                    Timer::after(ROOM_POLL).await;
                }
                Admission::Refused => {
                    self.observe(LimitEvent::ConnectionRefused);
                    return None;
                }
            }
        }
    }

    /// Returns an empty buffer, of a connection's request or of a response.
    pub fn buffer(self: &Arc<Self>, account: Option<&ConnectionAccount>) -> LeasedBuffer {
        let key = self
            .state()
            .budget
            .lease(account.map(|account| account.key));
        LeasedBuffer {
            bytes: Vec::new(),
            leased: 0,
            lease: Some((self.clone(), key)),
        }
    }

    fn evict(&self, victims: impl IntoIterator<Item = ConnectionKey>) {
        for victim in victims {
            self.observe(LimitEvent::Evicted);
            if let Some(closer) = self.state().closers.remove(&victim) {
                closer.close();
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Account of one connection; dropping it returns the connection's place.
#[derive(Debug)]
pub struct ConnectionAccount {
    limits: Arc<ProcessLimits>,
    key: ConnectionKey,
    closed: Receiver<()>,
}

impl ConnectionAccount {
    /// Returns the budget of the process.
    pub fn limits(&self) -> &Arc<ProcessLimits> {
        &self.limits
    }

    /// Waits until the connection is to be closed for others.
    pub async fn evicted(&self) {
        let _ = self.closed.recv().await;
    }

    /// Returns an empty buffer for the connection's request.
    pub fn buffer(&self) -> LeasedBuffer {
        self.limits.buffer(Some(self))
    }

    /// Records that a request begins to be received.
    pub fn on_receiving(&self) {
        let now = Instant::now();
        self.limits.state().budget.on_receiving(now, self.key);
    }

    /// Records that a request is whole and is executed.
    pub fn on_running(&self) {
        self.limits.state().budget.on_running(self.key);
    }

    /// Records that `bytes` were received.
    pub fn on_received(&self, bytes: usize) {
        let now = Instant::now();
        self.limits.state().budget.on_received(now, self.key, bytes);
    }

    /// Records whether the peer keeps the connection from being written to.
    pub fn set_blocked(&self, is_blocked: bool) {
        let now = Instant::now();
        let budget = &mut self.limits.state().budget;
        if is_blocked {
            budget.on_blocked(now, self.key);
        } else {
            budget.on_unblocked(self.key);
        }
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        let mut state = self.limits.state();
        state.closers.remove(&self.key);
        state.budget.close(self.key);
    }
}

/// Buffer whose capacity is leased from the budget before it is allocated.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    leased: usize,
    /// `None` without a budget.
    lease: Option<(Arc<ProcessLimits>, LeaseKey)>,
}

impl LeasedBuffer {
    /// Returns an empty buffer that is not counted.
    pub fn unlimited() -> Self {
        Self {
            bytes: Vec::new(),
            leased: 0,
            lease: None,
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Leases room for `bytes` in total, and waits a short time for it if necessary.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not fit into the budget.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let deadline = Instant::now() + ROOM_TIMEOUT;
        while !self.try_reserve(bytes)? {
            if Instant::now() >= deadline {
                return Err(self.no_room());
            }
            Timer::after(ROOM_POLL).await;
        }
        Ok(())
    }

    /// Leases room for `bytes` in total; returns `false` if there is none now.
    ///
    /// # Errors
    ///
    /// Fails if the bytes will never fit into the budget.
    pub fn try_reserve(&mut self, bytes: usize) -> Result<bool, NoRoom> {
        let missing = bytes.saturating_sub(self.leased);
        let Some((limits, key)) = self.lease.as_ref().filter(|_| missing > 0) else {
            return Ok(true);
        };
        let decided = limits.state().budget.reserve(Instant::now(), *key, missing);
        match decided {
            Reservation::Granted => {
                self.leased = bytes;
                Ok(true)
            }
            Reservation::Wait(victims) => {
                limits.evict(victims);
                Ok(false)
            }
            Reservation::TooLarge => Err(self.no_room()),
        }
    }

    /// Appends `chunk`, for which room is leased first. The bytes are copied, so that a tiny chunk
    /// does not keep the buffer alive that it was received in.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not fit into the budget.
    pub async fn append(&mut self, chunk: &[u8], limit: usize) -> Result<(), NoRoom> {
        let needed = self.bytes.len() + chunk.len();
        if needed > self.leased {
            // Grows by half, so that the bytes are moved few times and little stays unused.
            let grown = (self.leased + self.leased / 2).max(MIN_CAPACITY);
            self.reserve(grown.min(limit).max(needed)).await?;
        }
        if needed > self.bytes.capacity() {
            self.bytes
                .reserve_exact(self.leased.max(needed) - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the bytes; the lease ends when the last clone of them is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }

    fn no_room(&self) -> NoRoom {
        if let Some((limits, _)) = &self.lease {
            limits.observe(LimitEvent::NoRoom);
        }
        NoRoom
    }
}

impl AsRef<[u8]> for LeasedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for LeasedBuffer {
    fn drop(&mut self) {
        // The memory is returned before the lease, so that it is never counted less than it is.
        self.bytes = Vec::new();
        if let Some((limits, key)) = &self.lease {
            limits.state().budget.release(*key);
        }
    }
}
