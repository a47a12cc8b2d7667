//! State that the control thread shares with the traffic threads.

use crate::currency_gate::CurrencyGate;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_serving::config::RouteTable;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Weight of the newest stream in the moving average of its route's stream
/// durations.
const STREAM_MEAN_WEIGHT: f64 = 0.1;

/// Multiple of the mean duration within which most streams of a route end.
const STREAM_DURATION_MARGIN: f64 = 1.5;

/// Time after SIGTERM during which new connections are still accepted: the
/// platform probes readiness once a second and removes an entry after two
/// probes in a row that find it not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Maximum time before the end of the grace period at which the process exits even if
/// requests are running, since its threads may have to wait for a CPU.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Part of a short grace period that is kept as the margin, so that requests run for most of it.
const EXIT_MARGIN_DIVISOR: u32 = 8;

/// Routes in force, readiness, and the statistics by which an entry that is
/// shutting down decides whether to accept a request.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Whether the configuration in force is known to be recent enough.
    pub currency: CurrencyGate,
    routes: Mutex<Option<Arc<RouteTable>>>,
    upstreams_known: AtomicBool,
    /// Set when the process begins to shut down.
    shutdown: Mutex<Option<Shutdown>>,
    /// Ends the requests in flight.
    exit: ExitSignal,
    /// Moving average of the duration of complete streams, by route.
    mean_stream_durations: Mutex<HashMap<Box<str>, Duration>>,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Time until which connections are accepted, and with them requests that may last longer than
    /// the process.
    pub drains_until: Instant,
    /// When the process exits.
    pub exits_at: Instant,
}

impl Shutdown {
    /// Plans the shutdown of a process that is told to stop at `stopped_at` and killed after
    /// `grace_period`.
    pub fn new(stopped_at: Instant, grace_period: Duration) -> Self {
        let exit_margin = MAX_EXIT_MARGIN.min(grace_period / EXIT_MARGIN_DIVISOR);
        let exits_at = stopped_at + grace_period.saturating_sub(exit_margin);
        Self {
            drains_until: exits_at.min(stopped_at + DRAIN_DELAY),
            exits_at,
        }
    }
}

/// Channel that is closed when the requests in flight have to end.
#[derive(Debug)]
struct ExitSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for ExitSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl SharedState {
    /// Creates the state of an entry that has just started.
    pub fn new(currency: CurrencyGate) -> Self {
        Self {
            currency,
            ..Self::default()
        }
    }

    /// Returns the routes in force, or `None` until a configuration has been
    /// read.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Replaces the routes in force.
    pub fn set_routes(&self, route_table: RouteTable) {
        *lock(&self.routes) = Some(Arc::new(route_table));
    }

    /// Records that the list of upstreams has been read.
    pub fn set_upstreams_known(&self) {
        self.upstreams_known.store(true, Ordering::Relaxed);
    }

    /// Records that the process is shutting down.
    pub fn set_shutting_down(&self, shutdown: Shutdown) {
        *lock(&self.shutdown) = Some(shutdown);
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        lock(&self.shutdown).is_some()
    }

    /// Ends the requests in flight, since the process is about to exit.
    pub fn end_requests(&self) {
        self.exit.sender.close();
    }

    /// Waits until the requests in flight have to end.
    pub async fn requests_end(&self) {
        let _ = self.exit.receiver.recv().await;
    }

    /// Records the duration of a complete stream of `route`.
    pub fn record_stream_duration(&self, route: &str, duration: Duration) {
        let mut means = lock(&self.mean_stream_durations);
        let mean = means.entry(route.into()).or_insert(duration);
        *mean = mean.mul_f64(1.0 - STREAM_MEAN_WEIGHT) + duration.mul_f64(STREAM_MEAN_WEIGHT);
    }

    /// Returns whether a request that has been read whole is accepted.
    ///
    /// A request that is refused at once can be sent to another entry; a response that is cut off
    /// cannot. While the process shuts down, a request is therefore accepted if it ends by its
    /// `deadline` in any case. Until callers have been sent elsewhere, one that is likely to end in
    /// time is accepted too.
    pub fn accepts_request(&self, now: Instant, route: &str, deadline: Instant) -> bool {
        let Some(Shutdown {
            drains_until,
            exits_at,
        }) = *lock(&self.shutdown)
        else {
            return true;
        };
        deadline <= exits_at || (now < drains_until && self.is_likely_to_end(now, route, exits_at))
    }

    /// Returns whether a run that begins at `now` ends before the process exits: because of its
    /// `deadline`, or in all likelihood.
    pub fn has_time_for_run(&self, now: Instant, route: &str, deadline: Instant) -> bool {
        let shutdown = *lock(&self.shutdown);
        shutdown.is_none_or(|Shutdown { exits_at, .. }| {
            deadline <= exits_at || self.is_likely_to_end(now, route, exits_at)
        })
    }

    /// Returns whether most streams of `route` that begin at `now` end by `end`.
    fn is_likely_to_end(&self, now: Instant, route: &str, end: Instant) -> bool {
        let mean = lock(&self.mean_stream_durations).get(route).copied();
        now + mean.unwrap_or_default().mul_f64(STREAM_DURATION_MARGIN) < end
    }

    /// Returns whether this entry accepts requests: routes and upstreams are
    /// known and the process is not shutting down.
    pub fn is_ready(&self) -> bool {
        let known = self.upstreams_known.load(Ordering::Relaxed);
        known && !self.is_shutting_down() && self.routes().is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
