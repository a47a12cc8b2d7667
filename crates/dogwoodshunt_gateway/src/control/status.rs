//! What traffic threads read of the control state.

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

/// Weight of the newest stream in the mean time of its route.
const STREAM_SMOOTHING: f64 = 0.1;

/// Times the mean within which most streams of a route end.
const STREAM_MARGIN: f64 = 1.5;

/// What traffic threads read of the control state.
#[derive(Debug, Default)]
pub struct Status {
    routes: Mutex<Option<Arc<RouteTable>>>,
    upstreams_known: AtomicBool,
    /// When the process ends, once it is leaving.
    ends_at: Mutex<Option<Instant>>,
    /// Mean time that streams take, by route.
    stream_times: Mutex<HashMap<Box<str>, Duration>>,
}

impl Status {
    /// Returns the routes in force, once any are known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        locked(&self.routes).clone()
    }

    /// Puts routes in force.
    pub fn set_routes(&self, table: RouteTable) {
        *locked(&self.routes) = Some(Arc::new(table));
    }

    /// Records that the list of upstreams has been read.
    pub fn set_upstreams_known(&self) {
        self.upstreams_known.store(true, Ordering::Relaxed);
    }

    /// Records that the process takes no new connections and ends at `ends_at`.
    pub fn set_leaving(&self, ends_at: Instant) {
        *locked(&self.ends_at) = Some(ends_at);
    }

    /// Returns whether the process takes no new connections.
    pub fn is_leaving(&self) -> bool {
        locked(&self.ends_at).is_some()
    }

    /// Records how long a whole stream of `route` took.
    pub fn note_stream(&self, route: &str, took: Duration) {
        let mut times = locked(&self.stream_times);
        let mean = times.entry(route.into()).or_insert(took);
        *mean = mean.mul_f64(1.0 - STREAM_SMOOTHING) + took.mul_f64(STREAM_SMOOTHING);
    }

    /// Returns whether a new stream of `route` is likely to end before the
    /// process does; a request that is refused at once can go elsewhere, one
    /// that is cut cannot.
    pub fn has_time_for(&self, now: Instant, route: &str) -> bool {
        let Some(ends_at) = *locked(&self.ends_at) else {
            return true;
        };
        let mean = locked(&self.stream_times).get(route).copied();
        now + mean.unwrap_or_default().mul_f64(STREAM_MARGIN) < ends_at
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.upstreams_known.load(Ordering::Relaxed);
        known && !self.is_leaving() && self.routes().is_some()
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
