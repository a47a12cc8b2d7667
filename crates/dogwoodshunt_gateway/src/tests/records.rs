//! Tests of the record that counts a request and writes its last line.

use crate::call::record::RequestRecord;
use crate::metrics::Metrics;
use crate::metrics::RouteOutcomeLabels;
use dogwoodshunt_runtime::telemetry;
use prometheus_client::registry::Registry;
use std::thread;
use std::time::Instant;

#[test]
fn request_whose_task_panics_is_recorded_once() {
    let metrics = Metrics::new(&mut Registry::default());
    let record = RequestRecord::new(&metrics, &telemetry::discard_logger(), "a", Instant::now());
    let task = thread::spawn(move || {
        let _record = record;
        // PANIC: The test is about a task that panics.
        panic!("a task of the test");
    });
    assert!(task.join().is_err());
    let count = |outcome| {
        let route = String::new();
        let labels = RouteOutcomeLabels { route, outcome };
        metrics.requests.get_or_create(&labels).get()
    };
    assert_eq!((count("panicked"), count("caller-left")), (1, 0));
}
