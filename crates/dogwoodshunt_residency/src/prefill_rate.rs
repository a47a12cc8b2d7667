//! Prefill rate of an engine, estimated from the times of its first bytes.

use std::time::Duration;
use std::time::Instant;

/// Rate assumed before the first sample, in tokens per millisecond. The value is
/// somewhat below the rate of current engines, so that no request is refused because
/// of the first estimate.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;

/// Weight of the newest sample in the moving average of the rate.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Minimum number of tokens in one sample of the rate. An engine processes several
/// prompts in one step and sends their first bytes together, so a few prompts alone
/// give no valid rate.
const SAMPLE_TOKENS: u64 = 10_000;

/// Time constant of the moving average of the share of time spent on prefill.
const BUSY_SHARE_WINDOW: Duration = Duration::from_secs(1);

/// Lower bound to which a sample is clamped, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 2.0;

/// Upper bound to which a sample is clamped, in tokens per millisecond.
const MAX_TOKENS_PER_MS: f64 = 400.0;

/// Estimate of the prefill rate of an engine and of its time spent on prefill.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    /// Start of the prefill time that `busy_time` does not include yet; `None` while no
    /// prompt is pending.
    busy_since: Option<Instant>,
    /// Time spent on prefill in the current sample.
    busy_time: Duration,
    /// Tokens processed in the current sample.
    sample_tokens: u64,
    /// Share of time spent on prefill, from 0 to 1, as of `busy_share_at`.
    busy_share: f64,
    busy_share_at: Option<Instant>,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            busy_since: None,
            busy_time: Duration::ZERO,
            sample_tokens: 0,
            busy_share: 0.0,
            busy_share_at: None,
        }
    }
}

impl PrefillRate {
    /// Records that a prompt was sent to the engine.
    pub fn on_prefill_start(&mut self, now: Instant) {
        self.busy_share = self.busy_share(now);
        self.busy_share_at = Some(now);
        self.busy_since.get_or_insert(now);
    }

    /// Returns the share of recent time in which the engine had prompts to process,
    /// from 0 to 1, as a moving average with a time constant of one second.
    pub fn busy_share(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.busy_share_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        let decay = (-age / BUSY_SHARE_WINDOW.as_secs_f64()).exp();
        let current = if self.busy_since.is_some() { 1.0 } else { 0.0 };
        self.busy_share * decay + current * (1.0 - decay)
    }

    /// Records that the engine has processed `tokens` of a prompt and has
    /// `remaining` tokens of other prompts pending.
    pub fn on_prefill_end(&mut self, now: Instant, tokens: u64, remaining: u64) {
        self.busy_share = self.busy_share(now);
        self.busy_share_at = Some(now);
        self.sample_tokens += tokens;
        if let Some(since) = self.busy_since {
            self.busy_time += now.saturating_duration_since(since);
        }
        self.busy_since = (remaining > 0).then_some(now);
        if self.sample_tokens >= SAMPLE_TOKENS && !self.busy_time.is_zero() {
            let measured = self.sample_tokens as f64 / (self.busy_time.as_secs_f64() * 1e3);
            let measured = measured.clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
            self.tokens_per_ms += SMOOTHING_FACTOR * (measured - self.tokens_per_ms);
            self.busy_time = Duration::ZERO;
            self.sample_tokens = 0;
        }
    }

    /// Returns the estimated rate, in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns the estimated time to process `tokens` of prompts.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1e3)
    }
}
