//! Rate at which an engine reads prompts, learned from its answers.

use std::time::Duration;
use std::time::Instant;

/// Rate assumed before the first reading, in tokens per millisecond: somewhat
/// below what a present engine reads, so that a first guess refuses nobody.
const FIRST_RATE: f64 = 30.0;

/// Weight of the newest reading in the mean rate.
const SMOOTHING: f64 = 0.3;

/// Tokens of one reading: an engine reads several prompts in one step and
/// answers them together, so that a few prompts alone tell nothing.
const READING_TOKENS: u64 = 10_000;

/// Time over which the share of reading is taken.
const SHARE_TIME: Duration = Duration::from_secs(1);

/// Slowest and fastest rate believed, in tokens per millisecond.
const LEAST_RATE: f64 = 2.0;
const MOST_RATE: f64 = 400.0;

/// Rate at which an engine reads prompts.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: f64,
    busy_since: Option<Instant>,
    busy: Duration,
    read: u64,
    share: f64,
    share_at: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            rate: FIRST_RATE,
            busy_since: None,
            busy: Duration::ZERO,
            read: 0,
            share: 0.0,
            share_at: None,
        }
    }
}

impl Pace {
    /// Records that a prompt was handed to the engine.
    pub fn on_start(&mut self, now: Instant) {
        self.share = self.share(now);
        self.share_at = Some(now);
        self.busy_since.get_or_insert(now);
    }

    /// Returns the share of the last second or so in which prompts were read.
    pub fn share(&self, now: Instant) -> f64 {
        let Some(at) = self.share_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let kept = (-age / SHARE_TIME.as_secs_f64()).exp();
        let present = if self.busy_since.is_some() { 1.0 } else { 0.0 };
        self.share * kept + present * (1.0 - kept)
    }

    /// Records that a prompt of `tokens` was read; `left` tokens wait.
    pub fn on_read(&mut self, now: Instant, tokens: u64, left: u64) {
        self.share = self.share(now);
        self.share_at = Some(now);
        self.read += tokens;
        if let Some(since) = self.busy_since {
            self.busy += now.saturating_duration_since(since);
        }
        self.busy_since = (left > 0).then_some(now);
        if self.read >= READING_TOKENS && !self.busy.is_zero() {
            let seen = self.read as f64 / (self.busy.as_secs_f64() * 1e3);
            let seen = seen.clamp(LEAST_RATE, MOST_RATE);
            self.rate += SMOOTHING * (seen - self.rate);
            self.busy = Duration::ZERO;
            self.read = 0;
        }
    }

    /// Returns the rate, in tokens per millisecond.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns how long reading `tokens` takes.
    pub fn time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate / 1e3)
    }
}
