//! Tests of the choice of an upstream by learned call times.

use super::pool;
use crate::pool::CallEnd;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

/// Guards against calls that go to an upstream that takes longer although another one is free, and
/// against a changed choice without learned costs.
#[rstest]
#[case::learned(true, "u1")]
#[case::not_learned(false, "u0")]
fn a_slow_upstream_gets_fewer_calls(#[case] learned_costs: bool, #[case] expected: &str) {
    let mut pool = pool(&["a", "a"]);
    pool.set_learned_costs(learned_costs);
    let mut now = Instant::now();
    for _ in 0..20 {
        for (excluded, took_ms) in [("u1", 40), ("u0", 15)] {
            let (name, _) = pool.pick(now, "a", &[excluded.into()], None).unwrap();
            now += Duration::from_millis(took_ms);
            pool.on_call_ended(now, &name, CallEnd::Answered);
        }
    }
    assert_eq!(&*pool.pick(now, "a", &[], None).unwrap().0, expected);
}
