//! Simulated weight store, from which all engines load adapters.

use std::time::Duration;

/// Duration of one load at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Duration of a load from the host cache, which bypasses the store.
pub const HOST_CACHE_LOAD_TIME: Duration = Duration::from_millis(25);

/// A load in progress.
#[derive(Clone, Debug)]
struct PendingLoad<T> {
    key: T,
    /// Remaining duration at full speed, in seconds.
    remaining_s: f64,
}

/// Weight store with a shared bandwidth; `T` identifies a load.
#[derive(Clone, Debug)]
pub struct WeightStore<T> {
    pending: Vec<PendingLoad<T>>,
    /// Number of concurrent loads that each get full speed; more loads than this
    /// share the same total bandwidth.
    full_speed_loads: f64,
    /// Number of loads started since the store was created.
    pub started_loads: u64,
}

impl<T: Clone> WeightStore<T> {
    /// Creates a store that serves up to `full_speed_loads` loads at full speed.
    pub fn new(full_speed_loads: f64) -> Self {
        Self {
            pending: Vec::new(),
            full_speed_loads,
            started_loads: 0,
        }
    }

    /// Starts a load.
    pub fn start_load(&mut self, key: T) {
        self.started_loads += 1;
        let remaining_s = LOAD_TIME.as_secs_f64();
        self.pending.push(PendingLoad { key, remaining_s });
    }

    /// Advances the store by `elapsed` and returns the loads that have finished.
    pub fn advance(&mut self, elapsed: Duration) -> Vec<T> {
        let count = self.pending.len() as f64;
        let speed = (self.full_speed_loads / count.max(1.0)).min(1.0);
        let progress_s = elapsed.as_secs_f64() * speed;
        for load in &mut self.pending {
            load.remaining_s -= progress_s;
        }
        let finished = self.pending.iter().filter(|load| load.remaining_s <= 0.0);
        let finished = finished.map(|load| load.key.clone()).collect();
        self.pending.retain(|load| load.remaining_s > 0.0);
        finished
    }
}
