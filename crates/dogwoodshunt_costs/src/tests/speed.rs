//! Tests of the learned speed of an engine.

use crate::EngineSpeed;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

/// Records `count` samples of an engine that takes `factor` times as long as the usual one, with
/// every `slow_every`th sample 2.5 times slower; returns the time of the last sample.
fn observe(
    speed: &mut EngineSpeed,
    start: Instant,
    count: u32,
    factor: f64,
    slow_every: u32,
) -> Instant {
    let mut now = start;
    for number in 1..=count {
        let is_slow = slow_every > 0 && number % slow_every == 0;
        let tokens = 600 + u64::from(number % 7) * 900;
        let ms = (tokens as f64 + 1_200.0) / 38.7 * factor * if is_slow { 2.5 } else { 1.0 };
        now += Duration::from_secs(1);
        speed.record(now, tokens, Duration::from_secs_f64(ms / 1e3));
    }
    now
}

/// Guards against a persistent speed that follows transient slowdowns.
#[rstest]
#[case::usual(1.0)]
#[case::slower(1.3)]
fn the_persistent_speed_ignores_slow_moments(#[case] factor: f64) {
    let mut speed = EngineSpeed::default();
    observe(&mut speed, Instant::now(), 100, factor, 6);
    let relative = speed.ms_per_token() * 38.7 / factor;
    assert!((0.98..1.02).contains(&relative), "{relative}");
}

/// Guards against a margin that stays at its first value, or that rare slow moments don't reach.
#[rstest]
#[case::few_samples(7, 2, 1.25)]
#[case::enough_samples(20, 0, 1.25)]
#[case::no_slow_moments(100, 0, 1.25)]
#[case::slow_moments(100, 7, 2.5)]
fn the_margin_is_learned(#[case] count: u32, #[case] slow_every: u32, #[case] expected: f64) {
    let mut speed = EngineSpeed::default();
    observe(&mut speed, Instant::now(), count, 1.3, slow_every);
    assert!(
        (speed.margin() - expected).abs() < 0.05,
        "{}",
        speed.margin()
    );
}

/// Guards against a slow moment that is noticed too late, or that outlives its end.
#[test]
fn a_transient_slowdown_shows_at_once_and_fades() {
    let mut speed = EngineSpeed::default();
    let now = observe(&mut speed, Instant::now(), 20, 1.0, 0);
    assert!(speed.slowdown(now) < 1.05);
    let tokens = 2_890;
    speed.record(now, tokens, speed.event_time(tokens).mul_f64(2.5));
    assert!(speed.slowdown(now) > 2.4);
    assert!(speed.slowdown(now + Duration::from_secs(2)) < 1.05);
}
