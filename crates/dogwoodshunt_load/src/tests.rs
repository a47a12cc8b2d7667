//! Tests of the load tool.

use crate::lower_bound;
use crate::scaling::linear_fit::Slope;
use crate::trace;
use crate::trace::Kind;
use crate::trace::Shot;
use crate::workload::Workload;
use dogwoodshunt_runtime::settings;
use std::path::Path;
use std::time::Duration;

fn shots(adapters: &[usize]) -> Vec<Shot> {
    let shots = adapters.iter().enumerate().map(|(index, adapter)| Shot {
        at: Duration::from_secs(index as u64),
        kind: Kind::Adapter(*adapter),
        tokens: 1,
    });
    shots.collect()
}

#[test]
fn bound_evicts_the_adapter_needed_last() {
    // With two slots: 1, 2, 3 (evicts 2, needed after 1), 1, 2.
    let trace = shots(&[1, 2, 3, 1, 2]);
    assert_eq!(lower_bound::fewest_loads(&trace, 2, Duration::ZERO), 4);
    assert_eq!(lower_bound::fewest_loads(&trace, 3, Duration::ZERO), 3);
    assert_eq!(
        lower_bound::fewest_loads(&trace, 2, Duration::from_secs(3)),
        1
    );
}

#[test]
fn line_is_fitted_through_points() {
    let slope = Slope::fit("x", "y", vec![(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]);
    assert!((slope.slope - 2.0).abs() < 1e-9);
    assert!((slope.intercept - 1.0).abs() < 1e-9);
    assert!((slope.r2 - 1.0).abs() < 1e-9);
}

#[test]
fn every_example_workload_is_good_and_repeatable() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/workloads");
    let mut seen = 0;
    for file in std::fs::read_dir(dir).unwrap() {
        let workload: Workload = settings::read(&file.unwrap().path()).unwrap();
        assert_eq!(trace::draw(&workload, 1), trace::draw(&workload, 1));
        assert_ne!(trace::draw(&workload, 1), trace::draw(&workload, 2));
        seen += 1;
    }
    assert!(seen > 0);
}
