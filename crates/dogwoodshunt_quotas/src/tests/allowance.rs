//! Tests of the limits that ledgers are told.

use crate::messages::QuotaAllowance;
use crate::messages::QuotaLimits;
use rstest::rstest;

fn limits(rate: u64, burst: u64) -> QuotaLimits {
    QuotaLimits {
        rate,
        burst,
        revision: 7,
    }
}

/// Guards against a bucket that grants more in a window than the quota and the slack, and against one
/// that refuses lasting demand which the quota allows.
#[rstest]
#[case::large(378_850, 378_850)]
#[case::small(29_000, 29_000)]
#[case::no_burst(1_000, 0)]
#[case::odd(1_001, 17)]
fn bucket_grants_in_a_window_what_the_quota_allows(#[case] rate: u64, #[case] burst: u64) {
    let allowance = QuotaAllowance {
        slack: 55_000,
        window_s: 8,
    };
    let applied = allowance.apply(limits(rate, burst));
    let in_a_window = applied.rate * 8 + applied.burst;
    assert!(in_a_window <= rate * 8 + burst + 55_000);
    assert!(in_a_window + 8 >= rate * 8 + burst + 55_000);
    assert!(applied.rate * 8 + 8 >= rate * 8 + burst / 2);
    assert_eq!(applied.revision, 7);
}

/// Guards against deployments without a window whose limits change.
#[test]
fn limits_are_those_of_the_quota_without_an_allowance() {
    let applied = QuotaAllowance::default().apply(limits(1_000, 500));
    assert_eq!(applied, limits(1_000, 500));
}
