//! Whether a request is worth its place, or is better refused at once.
//!
//! The load it answers: more prompts than the engines can read in time. What
//! can no longer be useful takes a place from what still can, so it is refused
//! before it waits, and told when to come back.

use crate::config::Route;
use crate::config::RouteKind;
use std::time::Duration;

/// Times the objective after which a caller leaves a stream without an event.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Times the longest pause after which a caller leaves a silent stream.
const PATIENCE_PAUSES: u32 = 8;

/// Shortest time after which a caller leaves a silent stream.
const PATIENCE_LEAST: Duration = Duration::from_secs(2);

/// Share of a caller's patience within which the first byte is expected, so
/// that an estimate that is somewhat short still holds.
const USEFUL_SHARE: f64 = 0.8;

/// Shortest and longest pause that a refused caller is told.
const RETRY_LEAST: Duration = Duration::from_millis(200);
const RETRY_MOST: Duration = Duration::from_secs(2);

/// Returns how long the caller of `route` waits for the first byte, of the
/// `left` that it waits in all.
pub fn patience(route: &Route, left: Duration) -> Duration {
    let left = left.min(route.timeout);
    match route.kind {
        RouteKind::Stream { longest_pause, .. } => {
            let silent = (route.objective * PATIENCE_OBJECTIVES)
                .max(longest_pause * PATIENCE_PAUSES)
                .max(PATIENCE_LEAST);
            silent.min(left)
        }
        RouteKind::Idempotent | RouteKind::AtMostOnce => left,
    }
}

/// Returns how long a request may wait for its first byte and still be worth
/// its place: a few `objectives`, within its caller's patience.
///
/// A late answer takes as much of an engine as one on time and is worth less to
/// its caller. Engines that are short of time so serve those that can still be
/// on time, and refuse the others at once.
pub fn useful_wait(route: &Route, left: Duration, objectives: f64) -> Duration {
    let patience = patience(route, left).mul_f64(USEFUL_SHARE);
    match route.kind {
        RouteKind::Stream { .. } => patience.min(route.objective.mul_f64(objectives)),
        RouteKind::Idempotent | RouteKind::AtMostOnce => patience,
    }
}

/// Returns the pause that a refused caller is told: until the expected wait
/// has shrunk to what is useful, spread by `draw` from 0 to 1 over half as
/// much again, so that callers do not come back together.
pub fn retry_after(expected: Duration, useful: Duration, draw: f64) -> Duration {
    let over = expected.saturating_sub(useful);
    let pause = over.clamp(RETRY_LEAST, RETRY_MOST);
    pause.mul_f64(1.0 + draw.clamp(0.0, 1.0) / 2.0)
}
