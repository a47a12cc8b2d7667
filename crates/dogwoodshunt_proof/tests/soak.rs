//! A short soak test; the program `dogwoodshunt-soak` runs longer ones.

use dogwoodshunt_proof::soak;
use dogwoodshunt_proof::soak::SoakConfig;
use std::time::Duration;

#[test]
fn short_soak_finds_no_violation_and_recovers() {
    let config = SoakConfig {
        duration: Duration::from_secs(15),
        seed: 1,
        request_interval: Duration::from_millis(10),
    };
    let report = smol::block_on(soak::run(&config)).unwrap();
    println!("{report}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.recovered);
}
