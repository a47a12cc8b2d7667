//! Sums over the answers of a run.

use crate::drive::End;
use crate::drive::Sample;
use crate::trace::Kind;
use dogwoodshunt_standins::engine::EngineStats;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Wait above which a request counts as stalled.
const STALLED: Duration = Duration::from_millis(50);

/// Largest wait that the histogram tells apart, in microseconds.
const MOST_WAIT_US: u64 = 120_000_000;

/// Results of one policy on one trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests for adapters in the measured time.
    pub requests: usize,
    /// Of all requests, those answered.
    pub answered: usize,
    /// Of all requests, those refused as not run.
    pub refused: usize,
    /// Of all requests, those that failed otherwise.
    pub failed: usize,
    /// Median wait for the first token beyond an unhindered run, in milliseconds.
    pub wait_p50_ms: f64,
    /// 95th percentile of the wait, in milliseconds.
    pub wait_p95_ms: f64,
    /// 99th percentile of the wait, in milliseconds.
    pub wait_p99_ms: f64,
    /// Sum of the waits, in seconds.
    pub wait_total_s: f64,
    /// Share of the requests that waited noticeably.
    pub stalled_share: f64,
    /// Answered requests per second.
    pub goodput: f64,
    /// Running requests in a busy engine, as a share of its batch.
    pub fullness: f64,
    /// Distinct adapters in a busy engine's batch.
    pub mixed: f64,
    /// Adapters loaded per second.
    pub loads_per_second: f64,
    /// Adapters unloaded.
    pub evictions: u64,
    /// Mean wait in each second of the measured time, in milliseconds.
    pub wait_by_second_ms: Vec<f64>,
}

/// The measured part of a run.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start, from the start of the trace.
    pub from: Duration,
    /// Length.
    pub length: Duration,
    /// Time of one token.
    pub token_time: Duration,
    /// Requests that run in an engine at once.
    pub batch: f64,
}

/// Sums up the samples of the window, with what the engines did in it.
pub fn summarise(samples: &[Sample], engines: &EngineStats, window: &Window) -> Summary {
    let measured: Vec<&Sample> = samples
        .iter()
        .filter(|s| s.shot.at >= window.from)
        .collect();
    let count = |end| measured.iter().filter(|sample| sample.end == end).count();
    let seconds = window.length.as_secs_f64();
    let mut summary = Summary {
        answered: count(End::Answered),
        refused: count(End::Refused),
        failed: count(End::Failed),
        goodput: count(End::Answered) as f64 / seconds,
        fullness: ratio(engines.request_seconds, engines.busy_seconds * window.batch),
        mixed: ratio(engines.adapter_seconds, engines.busy_seconds),
        loads_per_second: engines.loads as f64 / seconds,
        evictions: engines.unloads,
        ..Summary::default()
    };
    add_waits(&mut summary, &measured, window);
    summary
}

fn add_waits(summary: &mut Summary, measured: &[&Sample], window: &Window) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MOST_WAIT_US, 3) else {
        return;
    };
    let seconds = window.length.as_secs() as usize;
    let mut by_second = vec![(0.0, 0_u32); seconds];
    let waited = measured.iter().filter(|sample| {
        matches!(sample.shot.kind, Kind::Adapter(_)) && sample.end == End::Answered
    });
    let mut stalled = 0;
    for sample in waited {
        let wait = sample.first_byte.saturating_sub(window.token_time);
        let micros = u64::try_from(wait.as_micros()).unwrap_or(MOST_WAIT_US);
        histogram.saturating_record(micros.max(1));
        summary.requests += 1;
        summary.wait_total_s += wait.as_secs_f64();
        stalled += usize::from(wait >= STALLED);
        let second = (sample.shot.at - window.from).as_secs() as usize;
        if let Some((sum, count)) = by_second.get_mut(second) {
            *sum += wait.as_secs_f64() * 1_000.0;
            *count += 1;
        }
    }
    let quantile = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    summary.wait_p50_ms = quantile(0.5);
    summary.wait_p95_ms = quantile(0.95);
    summary.wait_p99_ms = quantile(0.99);
    summary.stalled_share = ratio(f64::from(stalled as u32), summary.requests as f64);
    let means = by_second.into_iter();
    summary.wait_by_second_ms = means.map(|(sum, n)| ratio(sum, f64::from(n))).collect();
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Returns what engines did between two looks at them, summed up.
pub fn stats_between(before: &[EngineStats], after: &[EngineStats]) -> EngineStats {
    let mut sum = EngineStats::default();
    for (before, after) in before.iter().zip(after) {
        sum.loads += after.loads - before.loads;
        sum.unloads += after.unloads - before.unloads;
        sum.unloaded_in_use += after.unloaded_in_use - before.unloaded_in_use;
        sum.fenced += after.fenced - before.fenced;
        sum.started += after.started - before.started;
        sum.busy_seconds += after.busy_seconds - before.busy_seconds;
        sum.request_seconds += after.request_seconds - before.request_seconds;
        sum.adapter_seconds += after.adapter_seconds - before.adapter_seconds;
    }
    sum
}
