//! The store that adapters come from, shared by all engines.

use std::time::Duration;

/// Loads that go at full speed together; more share the same speed.
const FULL_SPEED: f64 = 8.0;

/// Time of one load at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Time of a load from the host's own copy.
pub const RELOAD_TIME: Duration = Duration::from_millis(25);

/// One load that is on its way.
#[derive(Clone, Debug)]
struct Loading<T> {
    what: T,
    left: f64,
}

/// The store's loads.
#[derive(Clone, Debug)]
pub struct Weights<T> {
    loading: Vec<Loading<T>>,
    /// Loads that were begun.
    pub begun: u64,
}

impl<T: Clone> Default for Weights<T> {
    fn default() -> Self {
        Self {
            loading: Vec::new(),
            begun: 0,
        }
    }
}

impl<T: Clone> Weights<T> {
    /// Begins a load.
    pub fn begin(&mut self, what: T) {
        self.begun += 1;
        let left = LOAD_TIME.as_secs_f64();
        self.loading.push(Loading { what, left });
    }

    /// Lets `time` pass and returns the loads that are over.
    pub fn advance(&mut self, time: Duration) -> Vec<T> {
        let count = self.loading.len() as f64;
        let speed = (FULL_SPEED / count.max(1.0)).min(1.0);
        let done = time.as_secs_f64() * speed;
        for loading in &mut self.loading {
            loading.left -= done;
        }
        let over = self.loading.iter().filter(|loading| loading.left <= 0.0);
        let over = over.map(|loading| loading.what.clone()).collect();
        self.loading.retain(|loading| loading.left > 0.0);
        over
    }
}
