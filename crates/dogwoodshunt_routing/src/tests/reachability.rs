//! Engines that cannot be reached.

use super::report;
use super::route;
use super::router;
use crate::reachability::Reachability;
use crate::reachability::UnreachedCause;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_types::NotRunReason;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const MS: Duration = Duration::from_millis(1);

#[test]
fn engine_that_refused_a_connection_is_left_out_until_one_request_tries_it() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    assert!(reachability.on_unreached(now, UnreachedCause::Refused));
    assert!(reachability.is_left_out(now + 499 * MS));
    let trial = now + 500 * MS;
    assert!(!reachability.is_left_out(trial));
    reachability.on_send(trial);
    assert!(reachability.is_left_out(trial + MS));
    assert!(!reachability.on_unreached(trial + MS, UnreachedCause::Refused));
    assert!(reachability.is_left_out(trial + 999 * MS));
    reachability.on_send(trial + 1_000 * MS);
    assert!(reachability.on_reached());
    assert!(!reachability.is_left_out(trial + 1_000 * MS));
    assert!(!reachability.on_reached());
}

#[rstest]
#[case::connection_limit(UnreachedCause::Closed)]
#[case::lossy_link(UnreachedCause::TimedOut)]
fn sound_engine_that_loses_a_connection_now_and_then_is_never_left_out(
    #[case] cause: UnreachedCause,
) {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    for _ in 0..100 {
        for _ in 0..2 {
            assert!(!reachability.on_unreached(now, cause));
        }
        assert!(!reachability.is_left_out(now));
        assert!(!reachability.on_reached());
    }
}

#[rstest]
#[case::reset(UnreachedCause::Closed)]
#[case::cut_off(UnreachedCause::TimedOut)]
fn engine_that_loses_connection_after_connection_is_left_out(#[case] cause: UnreachedCause) {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    assert!(!reachability.on_unreached(now, cause));
    assert!(!reachability.on_unreached(now, cause));
    assert!(reachability.on_unreached(now, cause));
    assert!(reachability.is_left_out(now));
}

#[test]
fn trials_become_rare_but_never_end() {
    let mut now = Instant::now();
    let mut reachability = Reachability::default();
    let mut pauses = Vec::new();
    for _ in 0..6 {
        reachability.on_unreached(now, UnreachedCause::Refused);
        let trial = reachability.next_trial_at().unwrap();
        pauses.push((trial - now).as_millis());
        now = trial;
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 4_000, 4_000]);
}

#[test]
fn requests_on_their_way_to_a_crashed_engine_do_not_lengthen_its_pause() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    for _ in 0..50 {
        reachability.on_unreached(now, UnreachedCause::Refused);
    }
    assert_eq!(reachability.next_trial_at(), Some(now + 500 * MS));
}

#[test]
fn requests_avoid_an_engine_that_cannot_be_reached_and_its_successor_gets_them() {
    let now = Instant::now();
    let (mut router, keys) = router(now, &[report(0, &["a"]), report(5, &["a"])]);
    assert_eq!(route(&mut router, now, "a").unwrap(), keys[0]);
    router.on_unreached(now, keys[0], UnreachedCause::Refused);
    for _ in 0..10 {
        assert_eq!(route(&mut router, now, "a").unwrap(), keys[1]);
    }
    router.on_unreached(now, keys[1], UnreachedCause::Refused);
    let not_run = route(&mut router, now + 100 * MS, "a").unwrap_err();
    assert_eq!(not_run.reason, NotRunReason::Unreachable);
    assert_eq!(not_run.retry_after, 400 * MS);
    router.forget_unreached(keys[0]);
    assert_eq!(route(&mut router, now, "a").unwrap(), keys[0]);
}

#[test]
fn one_request_tries_an_engine_again() {
    let now = Instant::now();
    let (mut router, keys) = router(now, &[report(0, &["a"]), report(5, &["a"])]);
    router.on_unreached(now, keys[0], UnreachedCause::Refused);
    let trial = now + 500 * MS;
    for (key, running) in keys.iter().zip([0, 5]) {
        let update = ReportUpdate::Full(report(running, &["a"]));
        router.on_report(trial, *key, update);
    }
    assert_eq!(route(&mut router, trial, "a").unwrap(), keys[0]);
    assert_eq!(route(&mut router, trial, "a").unwrap(), keys[1]);
    assert!(router.on_reached(keys[0]));
    assert_eq!(route(&mut router, trial, "a").unwrap(), keys[0]);
}
