//! A short soak; `dogwoodshunt-soak` makes long ones.

use dogwoodshunt_proof::soak;
use dogwoodshunt_proof::soak::Plan;
use std::time::Duration;

#[test]
fn short_soak_finds_no_contradiction() {
    let plan = Plan {
        length: Duration::from_secs(15),
        seed: 1,
        period: Duration::from_millis(10),
    };
    let outcome = smol::block_on(soak::run(&plan)).unwrap();
    println!("{outcome}");
    assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
    assert!(outcome.recovered);
}
