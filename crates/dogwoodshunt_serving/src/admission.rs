//! Admission limits: how long a request may wait for its first byte and still be
//! admitted, and when a refused caller should retry.
//!
//! The limits are designed for overload, when more prompts arrive than the engines
//! can process in time. A request that can no longer get its first byte in time takes
//! capacity from requests that still can, so it is refused before it queues.

use crate::config::Route;
use crate::config::RouteKind;
use std::time::Duration;

/// Number of latency objectives for which a caller at least waits for the first event
/// of a stream before it disconnects.
const STREAM_WAIT_OBJECTIVES: u32 = 4;

/// Number of maximum event gaps of the route for which a caller at least waits for the
/// first event of a stream before it disconnects.
const STREAM_WAIT_EVENT_GAPS: u32 = 8;

/// Time for which a caller at least waits for the first event of a stream before it
/// disconnects.
const MIN_STREAM_WAIT: Duration = Duration::from_secs(2);

/// Share of a caller's maximum wait that the estimated wait may use, so that the
/// response is still in time if the estimate is slightly too short.
const USEFUL_WAIT_SHARE: f64 = 0.8;

/// Minimum retry delay sent to a refused caller, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum retry delay sent to a refused caller, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time over which the callers that return after a pause are spread.
const MAX_PAUSE_SPREAD: Duration = Duration::from_secs(1);

/// Returns how long a caller of `route` waits for the first byte, given the
/// `time_left` until the deadline of the request.
///
/// On a stream route, this is the longest of 4 latency objectives, 8 maximum event
/// gaps and 2 s, but never more than `time_left` and the timeout of the route.
pub fn max_first_byte_wait(route: &Route, time_left: Duration) -> Duration {
    let time_left = time_left.min(route.timeout);
    match route.kind {
        RouteKind::Stream { max_event_gap, .. } => {
            let stream_wait = (route.latency_objective * STREAM_WAIT_OBJECTIVES)
                .max(max_event_gap * STREAM_WAIT_EVENT_GAPS)
                .max(MIN_STREAM_WAIT);
            stream_wait.min(time_left)
        }
        RouteKind::Idempotent | RouteKind::AtMostOnce => time_left,
    }
}

/// Returns how long a request may wait for its first byte and still be worth
/// admitting.
///
/// The result is at most 0.8 of [`max_first_byte_wait`] and, on a stream route, at
/// most `objectives` times the latency objective of the route.
///
/// A late response uses as much engine time as one that is on time, and is worth less
/// to its caller. Under overload, engine time therefore goes to requests that can
/// still be on time, and others are refused at once.
pub fn useful_wait(route: &Route, time_left: Duration, objectives: f64) -> Duration {
    let reliable_wait = max_first_byte_wait(route, time_left).mul_f64(USEFUL_WAIT_SHARE);
    match route.kind {
        RouteKind::Stream { .. } => reliable_wait.min(route.latency_objective.mul_f64(objectives)),
        RouteKind::Idempotent | RouteKind::AtMostOnce => reliable_wait,
    }
}

/// Returns the retry delay for a caller who was refused because all upstreams have asked for a
/// pause: the time until the first pause ends, spread by `jitter`, a random number from 0 to 1,
/// over the next half of that time or 1 s, whichever is shorter.
pub fn retry_after_pause(pause_left: Duration, jitter: f64) -> Duration {
    let pause_left = pause_left.max(MIN_RETRY_AFTER);
    let spread = (pause_left / 2).min(MAX_PAUSE_SPREAD);
    pause_left + spread.mul_f64(jitter.clamp(0.0, 1.0))
}

/// Returns the retry delay for a refused caller: the time until the `expected_wait`
/// has shrunk to the `useful_wait`, within fixed bounds.
///
/// `jitter`, a random number from 0 to 1, lengthens the delay by up to half, so that
/// refused callers do not all retry at the same time.
pub fn retry_after(expected_wait: Duration, useful_wait: Duration, jitter: f64) -> Duration {
    let excess = expected_wait.saturating_sub(useful_wait);
    let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    retry_after.mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0)
}
