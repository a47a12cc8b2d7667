//! Tests of the learned call time of an upstream.

use crate::CallTime;
use std::time::Duration;
use std::time::Instant;

fn call(time: &mut CallTime, now: &mut Instant, took: Duration) {
    time.on_start(*now);
    *now += took;
    time.on_end(*now, true);
    *now += Duration::from_millis(100);
}

/// Guards against a slow upstream that looks like the others, and against one that stays slow in
/// memory after its process was replaced.
#[test]
fn a_slow_upstream_shows_until_it_is_replaced() {
    let (mut time, mut now) = (CallTime::default(), Instant::now());
    assert_eq!(time.relative(now, 0.015), 1.0);
    for _ in 0..50 {
        call(&mut time, &mut now, Duration::from_millis(37));
    }
    let relative = time.relative(now, 0.015);
    assert!((2.0..2.6).contains(&relative), "{relative}");
    time.forget();
    assert_eq!(time.relative(now, 0.015), 1.0);
}

/// Guards against an upstream that gets calls although none of its calls end.
#[test]
fn a_call_that_does_not_end_shows() {
    let (mut time, mut now) = (CallTime::default(), Instant::now());
    call(&mut time, &mut now, Duration::from_millis(15));
    time.on_start(now);
    assert!(time.relative(now + Duration::from_secs(1), 0.015) > 5.0);
}
