//! How many loads an engine has in flight.

use crate::load_window::LoadWindow;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const USUAL: Duration = Duration::from_millis(250);
const SLOW: f64 = 1.6;
const MOST: usize = 4;

fn opened(now: Instant, loads: usize) -> LoadWindow {
    let mut window = LoadWindow::default();
    window.reset(now, loads);
    window
}

#[test]
fn engine_that_has_just_started_loads_one_at_a_time() {
    let now = Instant::now();
    assert_eq!(opened(now, 1).size(now, MOST), 1);
}

#[rstest]
#[case::at_full_speed(250, 3)]
#[case::reported_late(390, 3)]
#[case::in_a_crowd(400, 1)]
#[case::in_a_large_crowd(2_000, 1)]
#[case::from_the_hosts_own_copy(25, 2)]
fn length_of_a_load_tells_how_crowded_the_store_is(#[case] took_ms: u64, #[case] size: usize) {
    let now = Instant::now();
    let mut window = opened(now, 2);
    window.on_loaded(now, Duration::from_millis(took_ms), USUAL, SLOW);
    assert_eq!(window.size(now, MOST), size);
}

#[test]
fn crowd_that_has_passed_is_forgotten() {
    let now = Instant::now();
    let window = opened(now, 1);
    assert_eq!(window.size(now + Duration::from_millis(900), MOST), 1);
    assert_eq!(window.size(now + Duration::from_secs(2), MOST), 3);
    assert_eq!(window.size(now + Duration::from_secs(60), MOST), MOST);
}

#[test]
fn engine_that_takes_no_more_than_one_gets_one() {
    let now = Instant::now();
    assert_eq!(opened(now, 4).size(now, 1), 1);
    assert_eq!(LoadWindow::default().size(now, 0), 1);
}
