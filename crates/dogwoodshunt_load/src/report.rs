//! Results of an experiment as a Markdown table.

use crate::experiment::PolicyResult;
use std::fmt::Write;

/// Returns a Markdown table with one row for each policy.
///
/// Cells are medians over the seeds; the total wait also has its range over the seeds.
pub fn markdown_table(results: &[PolicyResult]) -> String {
    let mut text = String::from(
        "| policy | wait total s | p50 ms | p95 ms | p99 ms | stalled | loads/s | bound loads/s \
         | fullness | mixed | goodput/s | refused | failed |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for policy in policies(results) {
        let policy_results: Vec<&PolicyResult> = results
            .iter()
            .filter(|result| result.policy == policy)
            .collect();
        let _ = writeln!(text, "{}", table_row(policy, &policy_results));
    }
    text
}

fn policies(results: &[PolicyResult]) -> Vec<&'static str> {
    let mut policies = Vec::new();
    for result in results {
        if !policies.contains(&result.policy) {
            policies.push(result.policy);
        }
    }
    policies
}

fn table_row(policy: &str, results: &[&PolicyResult]) -> String {
    let sorted_values = |metric: fn(&PolicyResult) -> f64| {
        let mut values: Vec<f64> = results.iter().map(|result| metric(result)).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let total_waits = sorted_values(|result| result.summary.wait_total_s);
    let (min, max) = (total_waits.first(), total_waits.last());
    let range = min
        .zip(max)
        .map_or_else(String::new, |(min, max)| format!(" ({min:.1}-{max:.1})"));
    format!(
        "| {policy} | {:.1}{range} | {:.1} | {:.0} | {:.0} | {:.3} | {:.2} | {:.2} | {:.3} \
         | {:.2} | {:.2} | {:.0} | {:.0} |",
        median(&total_waits),
        median(&sorted_values(|result| result.summary.wait_p50_ms)),
        median(&sorted_values(|result| result.summary.wait_p95_ms)),
        median(&sorted_values(|result| result.summary.wait_p99_ms)),
        median(&sorted_values(|result| result.summary.stalled_share)),
        median(&sorted_values(|result| result.summary.loads_per_second)),
        median(&sorted_values(
            |result| result.min_loads as f64 / result.summary.wait_by_second_ms.len() as f64
        )),
        median(&sorted_values(|result| result.summary.batch_utilisation)),
        median(&sorted_values(|result| result
            .summary
            .mean_adapters_per_batch)),
        median(&sorted_values(|result| result.summary.goodput)),
        median(&sorted_values(|result| result.summary.refused as f64)),
        median(&sorted_values(|result| result.summary.failed as f64)),
    )
}

/// Returns the median of `sorted`, or 0 if empty.
///
/// For an even number of values this is the upper of the two middle values.
pub fn median(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
