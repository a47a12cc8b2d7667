//! Whether an engine can be reached, as far as the sends of this entry show.
//!
//! Answers the crash of many engines under load: until their agents or the platform report it, each
//! request would find out by itself. Evidence of one send counts for the requests after it, as much
//! as it tells: a refused connection shows that no process listens, while a connection that is
//! closed or opens too late may be one beyond the limit of a sound engine, or a lossy link.

use std::time::Duration;
use std::time::Instant;

/// Number of connections in a row that were closed or opened too late, with no response between,
/// after which an engine is left out.
const MAX_WEAK_FAILURES: u32 = 3;

/// Time for which an engine is left out at first; doubled by each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which an engine is left out between two trials.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Why a request has not reached an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnreachedCause {
    /// The connection was closed before the request was sent.
    Closed,
    /// The connection was refused.
    Refused,
    /// The connection was not opened in time.
    TimedOut,
}

impl UnreachedCause {
    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Refused => "refused",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Evidence on the reachability of one engine process.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Failures that say little, since the last response.
    weak_failures: u32,
    /// Time for which the engine is left out after the next failure or trial.
    pause: Option<Duration>,
    left_out_until: Option<Instant>,
}

impl Reachability {
    /// Records a request that has not reached the engine. Returns whether the engine is left out
    /// from now on and was not before.
    pub fn on_unreached(&mut self, now: Instant, cause: UnreachedCause) -> bool {
        match cause {
            UnreachedCause::Refused => {}
            UnreachedCause::Closed | UnreachedCause::TimedOut => self.weak_failures += 1,
        }
        let was_left_out = self.pause.is_some();
        let is_strong = cause == UnreachedCause::Refused;
        if !is_strong && !was_left_out && self.weak_failures < MAX_WEAK_FAILURES {
            return false;
        }
        // Requests that were on their way when the engine was left out show nothing more.
        if !self.is_left_out(now) {
            self.begin_pause(now);
        }
        !was_left_out
    }

    /// Records a response of the engine. Returns whether the engine was left out.
    pub fn on_reached(&mut self) -> bool {
        let was_left_out = self.pause.is_some();
        *self = Self::default();
        was_left_out
    }

    /// Records that a request is sent to the engine. If the engine was left out, it is again for
    /// other requests, until this one has shown whether the engine can be reached.
    pub fn on_send(&mut self, now: Instant) {
        if self.pause.is_some() && !self.is_left_out(now) {
            self.begin_pause(now);
        }
    }

    /// Returns whether the engine gets no requests.
    pub fn is_left_out(&self, now: Instant) -> bool {
        self.left_out_until.is_some_and(|until| until > now)
    }

    /// Returns when a request may try the engine again, if it is left out.
    pub fn next_trial_at(&self) -> Option<Instant> {
        self.left_out_until
    }

    fn begin_pause(&mut self, now: Instant) {
        let pause = self.pause.unwrap_or(FIRST_PAUSE);
        self.left_out_until = Some(now + pause);
        self.pause = Some((pause * 2).min(MAX_PAUSE));
    }
}
