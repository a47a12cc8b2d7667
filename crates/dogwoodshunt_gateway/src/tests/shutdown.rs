//! Requests that an entry which is shutting down accepts.

use crate::control::shared_state::SharedState;
use crate::control::shared_state::Shutdown;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

/// Grace period of the entry, which exits 250 ms before its end.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Returns the state of an entry that was told to stop at the returned time. Streams of the route
/// `short` have lasted 0.5 s, those of `long` 6 s, and none of `unknown` has ended.
fn stopping_entry() -> (SharedState, Instant) {
    let (shared_state, now) = (SharedState::default(), Instant::now());
    for _ in 0..50 {
        shared_state.record_stream_duration("short", Duration::from_millis(500));
        shared_state.record_stream_duration("long", Duration::from_secs(6));
    }
    assert!(shared_state.accepts_request(now, "long", now + Duration::from_secs(15)));
    shared_state.set_shutting_down(Shutdown::new(now, GRACE_PERIOD));
    (shared_state, now)
}

#[test]
fn entry_shutting_down_accepts_only_streams_expected_to_finish() {
    let (shared_state, now) = stopping_entry();
    let accepts = |after_ms, route| {
        let now = now + Duration::from_millis(after_ms);
        shared_state.accepts_request(now, route, now + Duration::from_secs(15))
    };
    assert!(accepts(0, "short"));
    assert!(!accepts(0, "long"));
    assert!(accepts(0, "unknown"));
    assert!(!accepts(8_000, "short"));
}

/// Once callers have been sent elsewhere, a mean is no reason to accept a request: a stream that
/// lasts longer would be cut off, while a refused one is served by another entry.
#[rstest]
#[case::of_a_known_route("short")]
#[case::of_a_route_without_a_whole_stream("unknown")]
fn request_read_late_is_accepted_only_if_it_ends_in_any_case(#[case] route: &str) {
    let (shared_state, now) = stopping_entry();
    for (read_after_ms, lasts_ms, expected) in [
        (2_400, 15_000, true),
        (3_300, 15_000, false),
        (3_300, 4_400, true),
        (3_300, 4_500, false),
        (7_700, 40, true),
    ] {
        let now = now + Duration::from_millis(read_after_ms);
        let deadline = now + Duration::from_millis(lasts_ms);
        let accepted = shared_state.accepts_request(now, route, deadline);
        assert_eq!(accepted, expected, "{read_after_ms} ms, {lasts_ms} ms");
    }
}

/// A request that is granted after SIGTERM has not run yet, so another entry can serve it.
#[test]
fn run_begins_only_if_it_is_expected_to_finish() {
    let (shared_state, now) = stopping_entry();
    let has_time = |after_ms, route, lasts_ms| {
        let now = now + Duration::from_millis(after_ms);
        shared_state.has_time_for_run(now, route, now + Duration::from_millis(lasts_ms))
    };
    assert!(has_time(5_000, "short", 15_000));
    assert!(!has_time(5_000, "long", 15_000));
    assert!(has_time(5_000, "long", 2_700));
    assert!(!has_time(7_300, "short", 15_000));
}

/// The exit lies within the last sixth of each grace period that the settings allow, and no
/// connection is accepted after it.
#[rstest]
fn shutdown_fits_into_the_grace_period(#[values(1_000, 2_000, 8_000, 600_000)] grace_ms: u64) {
    let (now, grace_period) = (Instant::now(), Duration::from_millis(grace_ms));
    let shutdown = Shutdown::new(now, grace_period);
    assert!(shutdown.exits_at >= now + grace_period * 5 / 6);
    assert!(shutdown.exits_at < now + grace_period);
    assert!(shutdown.drains_until <= shutdown.exits_at);
    assert!(shutdown.drains_until <= now + Duration::from_millis(2_500));
}
