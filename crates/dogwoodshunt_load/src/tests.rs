//! Tests of trace generation, the lower bound on loads and the linear fit.

use crate::lower_bound;
use crate::scaling::linear_fit::LinearFit;
use crate::trace;
use crate::trace::RequestKind;
use crate::trace::TraceRequest;
use crate::workload::Workload;
use dogwoodshunt_runtime::settings;
use std::path::Path;
use std::time::Duration;

fn requests_for(adapters: &[usize]) -> Vec<TraceRequest> {
    let requests = adapters
        .iter()
        .enumerate()
        .map(|(index, adapter)| TraceRequest {
            scheduled_at: Duration::from_secs(index as u64),
            kind: RequestKind::Adapter(*adapter),
            max_tokens: 1,
        });
    requests.collect()
}

#[test]
fn min_loads_evicts_the_adapter_with_the_farthest_next_use() {
    // With two slots, request 3 evicts adapter 2, whose next use comes after that of adapter
    // 1: loads of 1, 2, 3 and again 2.
    let trace = requests_for(&[1, 2, 3, 1, 2]);
    assert_eq!(lower_bound::min_loads(&trace, 2, Duration::ZERO), 4);
    assert_eq!(lower_bound::min_loads(&trace, 3, Duration::ZERO), 3);
    assert_eq!(lower_bound::min_loads(&trace, 2, Duration::from_secs(3)), 1);
}

#[test]
fn linear_fit_of_collinear_points_is_exact() {
    let fit = LinearFit::from_points("x", "y", vec![(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 1.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
}

#[test]
fn example_workloads_are_valid_and_the_seed_determines_the_trace() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/workloads");
    let mut workload_count = 0;
    for file in std::fs::read_dir(dir).unwrap() {
        let workload: Workload = settings::read(&file.unwrap().path()).unwrap();
        assert_eq!(trace::generate(&workload, 1), trace::generate(&workload, 1));
        assert_ne!(trace::generate(&workload, 1), trace::generate(&workload, 2));
        workload_count += 1;
    }
    assert!(workload_count > 0);
}
