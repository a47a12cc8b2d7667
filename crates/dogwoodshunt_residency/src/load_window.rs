//! How many adapters an engine loads at once.
//!
//! All engines share the weight store. Once more than a few loads run over all
//! of them, each takes longer in proportion, and loading several at once only
//! holds up the adapter that most requests wait for. Nobody counts the loads of
//! all engines, but each agent sees how long its own take: it loads one at a
//! time where they are slow, and more where they are not.

use std::time::Duration;
use std::time::Instant;

/// Time without a slow load after which one more may run: a few loads long, so
/// that a crowd that has passed is forgotten and one that lasts is not.
const RECOVERY: Duration = Duration::from_secs(1);

/// Part of the usual time below which a load came from the host's own copy and
/// tells nothing of the store; such loads take a tenth.
const OWN_COPY: f64 = 0.5;

/// Loads that an engine may have in flight.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadWindow {
    open: usize,
    closed: Option<Instant>,
}

impl LoadWindow {
    /// Opens it to `first` loads, as for an engine that has just started: the
    /// others may have started with it.
    pub fn reset(&mut self, now: Instant, first: usize) {
        self.open = first;
        self.closed = Some(now);
    }

    /// Returns how many loads may be in flight, of `most` that the engine takes.
    pub fn size(&self, now: Instant, most: usize) -> usize {
        let calm = self.closed.map_or(Duration::ZERO, |closed| {
            now.saturating_duration_since(closed)
        });
        let recovered = calm.as_secs_f64() / RECOVERY.as_secs_f64();
        (self.open + recovered as usize).clamp(1, most.max(1))
    }

    /// Takes in that a load took `took`, where one takes `usual` while nothing
    /// else is loaded, and that `slow` times as long means a crowd.
    pub fn on_loaded(&mut self, now: Instant, took: Duration, usual: Duration, slow: f64) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        if ratio >= slow {
            self.reset(now, 1);
        } else if ratio >= OWN_COPY {
            self.open += 1;
        }
    }
}
