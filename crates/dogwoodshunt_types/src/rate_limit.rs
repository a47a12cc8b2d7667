//! Rate limits that upstreams name for the requests of all senders together.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Longest time between two requests. A request now and then is needed to learn that an
/// upstream has raised or ended its limit.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Rate of requests that an upstream takes from all senders together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateLimit {
    interval: Duration,
}

impl RateLimit {
    /// Creates a limit of `rate` requests a second. Limits below one request in 10 s, zero
    /// included, become one request in 10 s.
    ///
    /// Returns `None` if `rate` is negative or not a number.
    pub fn per_second(rate: f64) -> Option<Self> {
        if rate.is_nan() || rate < 0.0 {
            return None;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_INTERVAL);
        Some(Self {
            interval: interval.min(MAX_INTERVAL),
        })
    }

    /// Returns the time between two requests at this rate.
    pub fn interval(self) -> Duration {
        self.interval
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/s", 1.0 / self.interval.as_secs_f64())
    }
}
