//! Rate at which an engine reads prompts, learned from its answers.

use std::time::Duration;
use std::time::Instant;

/// Rate assumed before the first answer, in tokens per millisecond; half of
/// what a present engine reads, so that a first guess refuses nobody.
const FIRST_RATE: f64 = 20.0;

/// Weight of the newest reading in the mean rate.
const SMOOTHING: f64 = 0.2;

/// Fewest tokens of a reading that tells the rate; shorter ones tell the
/// fixed cost of a step.
const LEAST_TOKENS: u64 = 1_000;

/// Rate at which an engine reads prompts.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: f64,
    busy_since: Option<Instant>,
    read: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            rate: FIRST_RATE,
            busy_since: None,
            read: 0,
        }
    }
}

impl Pace {
    /// Records that a prompt was handed to the engine.
    pub fn on_start(&mut self, now: Instant) {
        self.busy_since.get_or_insert(now);
    }

    /// Records that a prompt of `tokens` was read; `left` tokens wait.
    pub fn on_read(&mut self, now: Instant, tokens: u64, left: u64) {
        self.read += tokens;
        let Some(since) = self.busy_since else {
            return;
        };
        if self.read >= LEAST_TOKENS {
            let took = now.saturating_duration_since(since).as_secs_f64() * 1e3;
            let seen = self.read as f64 / took.max(1.0);
            self.rate += SMOOTHING * (seen - self.rate);
            self.busy_since = Some(now);
            self.read = 0;
        }
        if left == 0 {
            self.busy_since = None;
            self.read = 0;
        }
    }

    /// Returns the rate, in tokens per millisecond.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns how long reading `tokens` takes.
    pub fn time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate.max(0.1) / 1e3)
    }
}
