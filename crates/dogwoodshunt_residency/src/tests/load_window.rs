//! Tests of the adaptive limit on concurrent loads.

use crate::load_window::LoadWindow;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(250);
const SLOW_RATIO: f64 = 1.6;
const MAX_CONCURRENT_LOADS: usize = 4;

fn window_of(now: Instant, loads: usize) -> LoadWindow {
    let mut window = LoadWindow::default();
    window.reset(now, loads);
    window
}

#[test]
fn reset_sets_window_to_initial_size() {
    let now = Instant::now();
    assert_eq!(window_of(now, 1).size(now, MAX_CONCURRENT_LOADS), 1);
}

#[rstest]
#[case::uncontended(250, 3)]
#[case::reported_late(390, 3)]
#[case::contended(400, 1)]
#[case::heavily_contended(2_000, 1)]
#[case::from_local_copy(25, 2)]
fn load_duration_adjusts_window(#[case] duration_ms: u64, #[case] size: usize) {
    let now = Instant::now();
    let mut window = window_of(now, 2);
    window.on_loaded(
        now,
        Duration::from_millis(duration_ms),
        EXPECTED_LOAD_TIME,
        SLOW_RATIO,
    );
    assert_eq!(window.size(now, MAX_CONCURRENT_LOADS), size);
}

#[test]
fn window_recovers_over_time_up_to_engine_limit() {
    let now = Instant::now();
    let window = window_of(now, 1);
    assert_eq!(
        window.size(now + Duration::from_millis(900), MAX_CONCURRENT_LOADS),
        1
    );
    assert_eq!(
        window.size(now + Duration::from_secs(2), MAX_CONCURRENT_LOADS),
        3
    );
    assert_eq!(
        window.size(now + Duration::from_secs(60), MAX_CONCURRENT_LOADS),
        MAX_CONCURRENT_LOADS
    );
}

#[test]
fn window_is_at_least_one_and_at_most_the_engine_limit() {
    let now = Instant::now();
    assert_eq!(window_of(now, 4).size(now, 1), 1);
    assert_eq!(LoadWindow::default().size(now, 0), 1);
}
