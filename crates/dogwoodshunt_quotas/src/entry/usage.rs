//! Recent use of tokens.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the moving average.
const USAGE_TIME: Duration = Duration::from_millis(500);

/// Exponential moving average of the tokens used per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    per_second: f64,
    at: Instant,
}

impl Usage {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    pub(crate) fn record(&mut self, now: Instant, tokens: u64) {
        self.per_second = self.per_second(now) + tokens as f64 / USAGE_TIME.as_secs_f64();
        self.at = now;
    }

    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / USAGE_TIME.as_secs_f64()).exp()
    }
}
