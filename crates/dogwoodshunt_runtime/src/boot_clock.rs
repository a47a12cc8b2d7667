//! The clock by which the age of a proof is measured.

use dogwoodshunt_types::BootTime;
use rustix::time::ClockId;
use std::time::Duration;

/// `CLOCK_BOOTTIME`, which no step of the wall clock changes and which, unlike the monotonic clock,
/// counts the time for which the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the present time.
    pub fn now(self) -> BootTime {
        let now = rustix::time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
        BootTime::new(Duration::from_secs(seconds) + Duration::from_nanos(nanos))
    }
}
