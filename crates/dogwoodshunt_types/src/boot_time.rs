//! Times of a clock that also counts while the machine is suspended.

use std::ops::Add;
use std::time::Duration;

/// Time since the machine was started, suspension included.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates the time at which the machine has run for `since_boot`.
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time that has passed since `earlier`; zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}
