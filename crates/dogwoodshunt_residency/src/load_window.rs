//! Limit on concurrent adapter loads of an engine, adapted to their duration.
//!
//! All engines share the weight store. Once more than a few loads are in flight
//! over all engines, each load takes proportionally longer, and concurrent loads
//! on one engine only delay the adapter that most requests wait for. No process
//! counts the loads of all engines, but each agent measures the duration of its
//! own: a slow load reduces the limit to one, a load of the expected duration and
//! time without a slow load raise it.

use std::time::Duration;
use std::time::Instant;

/// Time after which the limit rises by one if no load was slow. The period spans a
/// few load durations: long enough that the limit stays low while the weight store is
/// contended, short enough that the limit recovers soon after.
const RECOVERY_PERIOD: Duration = Duration::from_secs(1);

/// Ratio to the expected duration below which a load is taken to have read the
/// host's local copy instead of the weight store, and leaves the limit unchanged.
/// Such loads take about a tenth of the expected duration.
const LOCAL_COPY_RATIO: f64 = 0.5;

/// Limit on the loads that an engine may have in flight.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadWindow {
    /// Limit without the recovery since the last reset.
    base_size: usize,
    last_reset: Option<Instant>,
}

impl LoadWindow {
    /// Sets the limit to `initial` loads.
    ///
    /// The limit is reset when the engine has started, since other engines may have
    /// started at the same time and may be loading from the weight store as well.
    pub fn reset(&mut self, now: Instant, initial: usize) {
        self.base_size = initial;
        self.last_reset = Some(now);
    }

    /// Returns how many loads may be in flight: at least one, and at most
    /// `max_concurrent_loads`, the number that the engine accepts.
    pub fn size(&self, now: Instant, max_concurrent_loads: usize) -> usize {
        let since_reset = self.last_reset.map_or(Duration::ZERO, |last_reset| {
            now.saturating_duration_since(last_reset)
        });
        let recovered = since_reset.as_secs_f64() / RECOVERY_PERIOD.as_secs_f64();
        (self.base_size + recovered as usize).clamp(1, max_concurrent_loads.max(1))
    }

    /// Updates the limit from the duration of a completed load.
    ///
    /// `expected` is the duration while the weight store is not contended. A load
    /// that takes at least `slow_ratio` times as long shows contention.
    pub fn on_loaded(
        &mut self,
        now: Instant,
        duration: Duration,
        expected: Duration,
        slow_ratio: f64,
    ) {
        let ratio = duration.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
        if ratio >= slow_ratio {
            self.reset(now, 1);
        } else if ratio >= LOCAL_COPY_RATIO {
            self.base_size += 1;
        }
    }
}
