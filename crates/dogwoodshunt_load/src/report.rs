//! Results as a table.

use crate::experiment::Outcome;
use std::fmt::Write;

/// Returns the results as a Markdown table, with medians over the seeds.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = String::from(
        "| policy | wait total s | p50 ms | p95 ms | p99 ms | stalled | loads/s | bound loads/s \
         | fullness | mixed | goodput/s | refused | failed |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for policy in policies(outcomes) {
        let of_policy: Vec<&Outcome> = outcomes.iter().filter(|o| o.policy == policy).collect();
        let _ = writeln!(text, "{}", row(policy, &of_policy));
    }
    text
}

fn policies(outcomes: &[Outcome]) -> Vec<&'static str> {
    let mut policies = Vec::new();
    for outcome in outcomes {
        if !policies.contains(&outcome.policy) {
            policies.push(outcome.policy);
        }
    }
    policies
}

fn row(policy: &str, outcomes: &[&Outcome]) -> String {
    let of = |value: fn(&Outcome) -> f64| {
        let mut values: Vec<f64> = outcomes.iter().map(|outcome| value(outcome)).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let total = of(|o| o.summary.wait_total_s);
    let (least, most) = (total.first(), total.last());
    let range = least
        .zip(most)
        .map_or_else(String::new, |(a, b)| format!(" ({a:.1}-{b:.1})"));
    format!(
        "| {policy} | {:.1}{range} | {:.1} | {:.0} | {:.0} | {:.3} | {:.2} | {:.2} | {:.3} \
         | {:.2} | {:.2} | {:.0} | {:.0} |",
        median(&total),
        median(&of(|o| o.summary.wait_p50_ms)),
        median(&of(|o| o.summary.wait_p95_ms)),
        median(&of(|o| o.summary.wait_p99_ms)),
        median(&of(|o| o.summary.stalled_share)),
        median(&of(|o| o.summary.loads_per_second)),
        median(&of(
            |o| o.bound_loads as f64 / o.summary.wait_by_second_ms.len() as f64
        )),
        median(&of(|o| o.summary.fullness)),
        median(&of(|o| o.summary.mixed)),
        median(&of(|o| o.summary.goodput)),
        median(&of(|o| o.summary.refused as f64)),
        median(&of(|o| o.summary.failed as f64)),
    )
}

/// Returns the middle of sorted values; of an even number, the upper middle.
pub fn median(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
