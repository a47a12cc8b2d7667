//! Progress of one body that is being received.

use crate::limits::Limits;
use std::time::Duration;
use std::time::Instant;

/// Progress of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    started_at: Instant,
    last_at: Instant,
    received: usize,
}

impl BodyProgress {
    /// Returns the progress of a body whose head arrived at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            last_at: now,
            received: 0,
        }
    }

    /// Records that `bytes` of the body have arrived.
    pub fn on_bytes(&mut self, now: Instant, bytes: usize) {
        if bytes > 0 {
            self.received += bytes;
            self.last_at = now;
        }
    }

    /// Returns whether the body has stalled: nothing arrived for `body_stall`, or its average rate
    /// is below `body_rate`.
    pub fn is_stalled(&self, now: Instant, limits: &Limits) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        let quiet = now.saturating_duration_since(self.last_at);
        quiet >= limits.body_stall
            || (age >= limits.body_stall && self.rate(age) < limits.body_rate as f64)
    }

    fn rate(&self, age: Duration) -> f64 {
        self.received as f64 / age.as_secs_f64()
    }
}
