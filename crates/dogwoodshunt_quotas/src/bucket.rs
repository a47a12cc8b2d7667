//! Token bucket whose rate and capacity may change.

use crate::messages::QuotaLimits;
use std::time::Duration;

/// Time of refill that a bucket holds at least, so that a workspace with a small burst or none can
/// pay requests: the time for which a request waits.
const MIN_CAPACITY_TIME: Duration = crate::MAX_WAIT;

/// Returns the part `share` of the capacity of a bucket with the given limits.
pub(crate) fn capacity(limits: &QuotaLimits, share: f64) -> f64 {
    let floor = limits.rate as f64 * MIN_CAPACITY_TIME.as_secs_f64();
    (limits.burst as f64).max(floor) * share
}

/// Tokens of a bucket; below 0 after a grant larger than the capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// Returns the tokens in the bucket.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds tokens.
    pub(crate) fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Drops the tokens above the capacity.
    pub(crate) fn clip(&mut self, capacity: f64) {
        self.tokens = self.tokens.min(capacity);
    }

    /// Takes tokens; see [`required_level`] for when it may be done.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

/// Returns the level at which a bucket of the given capacity grants `amount`.
///
/// A bucket never holds more than its capacity, so a larger amount is granted from a full bucket.
/// The bucket owes the difference, and grants nothing until that is refilled.
pub(crate) fn required_level(amount: f64, capacity: f64) -> f64 {
    amount.min(capacity)
}

/// Returns the time in which `missing` tokens arrive at `rate` tokens per second, rounded up to
/// whole milliseconds.
pub(crate) fn refill_time(missing: f64, rate: f64) -> Duration {
    if missing <= 0.0 {
        return Duration::ZERO;
    }
    let millis = (missing / rate * 1e3).ceil().max(1.0);
    Duration::from_millis(millis as u64)
}
