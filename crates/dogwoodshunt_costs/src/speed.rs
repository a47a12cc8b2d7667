//! Speed of an engine, learned from the first bytes of prompts that it prefilled alone.
//!
//! A prompt that is alone from its dispatch to its first byte takes a time that depends on the
//! engine and not on its load. The median of these times per token is the persistent speed; the
//! ratio of a single time to the median is a transient slowdown.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Prompt tokens that an engine could prefill in the time that the first event takes after the
/// prefill: 5 steps of about 6 ms at 38.7 tokens/ms.
const FIRST_EVENT_TOKENS: f64 = 1_200.0;

/// Rate assumed before enough samples, in tokens per millisecond; somewhat below the usual one.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;

/// Number of samples that are kept. If an engine is slow for 15% of the time, fewer than 1 in
/// 30,000 sets of this size contain no slow sample.
const MAX_SAMPLES: usize = 64;

/// Number of samples from which the median is used.
const MIN_SAMPLES: usize = 5;

/// Number of samples from which the slowdown to allow for is taken from them. One in four sets of
/// this size contains no slow sample of an engine that is slow for 15% of the time, but entries
/// use the mean over all engines.
const MIN_MARGIN_SAMPLES: usize = 8;

/// Lowest slowdown to allow for: steps with long contexts take somewhat longer.
const MIN_MARGIN: f64 = 1.25;

/// Highest slowdown to allow for. A longer delay is a fault, not a transient slowdown.
const MAX_MARGIN: f64 = 4.0;

/// Time after which a transient slowdown that no further sample confirms counts half.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);

/// Learned speed of one engine process.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeed {
    /// Milliseconds per token, oldest first.
    samples: VecDeque<f64>,
    /// Ratio of the newest sample to the median before it, and its time.
    newest_ratio: Option<(Instant, f64)>,
}

impl EngineSpeed {
    /// Records that a prompt of `tokens` uncached tokens, with no other prompt on the engine, had
    /// its first byte at `now`, `took` after its dispatch.
    pub fn record(&mut self, now: Instant, tokens: u64, took: Duration) {
        let sample = took.as_secs_f64() * 1e3 / (tokens as f64 + FIRST_EVENT_TOKENS);
        if self.is_known() {
            self.newest_ratio = Some((now, sample / self.ms_per_token()));
        }
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns whether there are enough samples to tell the speed.
    pub fn is_known(&self) -> bool {
        self.samples.len() >= MIN_SAMPLES
    }

    /// Returns the persistent time per prompt token, in milliseconds.
    pub fn ms_per_token(&self) -> f64 {
        if self.is_known() {
            self.quantile(0.5)
        } else {
            1.0 / INITIAL_TOKENS_PER_MS
        }
    }

    /// Returns the time from the dispatch of `tokens` uncached tokens to the first event after
    /// them, without a transient slowdown.
    ///
    /// This is also the gap that the prompts make in a stream on the engine.
    pub fn event_time(&self, tokens: u64) -> Duration {
        let ms = (tokens as f64 + FIRST_EVENT_TOKENS) * self.ms_per_token();
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Returns the time by which `tokens` more uncached tokens prolong a prefill, without a transient
    /// slowdown.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.ms_per_token() / 1e3)
    }

    /// Returns the present transient slowdown: 1 if there is none.
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.newest_ratio.map_or(1.0, |(at, ratio)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let weight = (-age / SLOWDOWN_HALF_LIFE.as_secs_f64()).exp2();
            1.0 + (ratio - 1.0).max(0.0) * weight
        })
    }

    /// Returns the slowdown to allow for in what is started now: that of the slowest of the recent
    /// samples, without single outliers. Until there are enough samples, no transient slowdown is
    /// assumed.
    pub fn margin(&self) -> f64 {
        if self.samples.len() < MIN_MARGIN_SAMPLES {
            return MIN_MARGIN;
        }
        (self.quantile(0.97) / self.ms_per_token()).clamp(MIN_MARGIN, MAX_MARGIN)
    }

    fn quantile(&self, share: f64) -> f64 {
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let index = (share * (sorted.len() - 1) as f64).round() as usize;
        sorted[index]
    }
}
