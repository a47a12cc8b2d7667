//! Mean time of the calls to an upstream, learned from the calls in flight and their ends.
//!
//! By Little's law, the time that calls spend in flight divided by the number of their ends is the
//! mean time of a call. A call that does not end counts from its start, so an upstream that has
//! stopped answering shows before its calls fail.

use std::time::Duration;
use std::time::Instant;

/// Half-life of the observations: a few calls of one entry to one upstream at about 0.5 calls/s,
/// and short enough that a slow moment is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Number of calls of the mean time of the pool that count in addition to the observed ones, so
/// that a single call does not decide.
const PRIOR_CALLS: f64 = 4.0;

/// Learned call time of one upstream process.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTime {
    in_flight: u32,
    /// Decayed time that calls have spent in flight, in seconds, as of `at`.
    busy_s: f64,
    /// Decayed number of calls that have ended, as of `at`.
    ends: f64,
    at: Option<Instant>,
}

impl CallTime {
    /// Records the start of a call.
    pub fn on_start(&mut self, now: Instant) {
        self.advance(now);
        self.in_flight += 1;
    }

    /// Records the end of a call; `ran` tells whether it took the time of a call.
    pub fn on_end(&mut self, now: Instant, ran: bool) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if ran {
            self.ends += 1.0;
        }
    }

    /// Forgets what is known, since another process has taken the place of the upstream.
    pub fn forget(&mut self) {
        (self.busy_s, self.ends) = (0.0, 0.0);
    }

    /// Returns the decayed time in flight, in seconds, and the decayed number of ends.
    pub fn totals(&self, now: Instant) -> (f64, f64) {
        let mut advanced = *self;
        advanced.advance(now);
        (advanced.busy_s, advanced.ends)
    }

    /// Returns the mean call time as a multiple of `pool_mean_s`, the mean of the pool in seconds;
    /// 1 without observations.
    pub fn relative(&self, now: Instant, pool_mean_s: f64) -> f64 {
        if pool_mean_s <= 0.0 {
            return 1.0;
        }
        let (busy_s, ends) = self.totals(now);
        (busy_s / pool_mean_s + PRIOR_CALLS) / (ends + PRIOR_CALLS)
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.busy_s = self.busy_s * decay + f64::from(self.in_flight) * elapsed.as_secs_f64();
        self.ends *= decay;
        self.at = Some(now);
    }
}
