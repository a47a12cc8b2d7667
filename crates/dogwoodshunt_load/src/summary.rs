//! Summary statistics of one replayed trace.

use crate::replay::RequestOutcome;
use crate::replay::RequestResult;
use crate::trace::RequestKind;
use dogwoodshunt_standins::engine::EngineStats;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Wait from which a request counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);

/// Upper bound of the wait histogram, in microseconds; longer waits are recorded as this value.
const MAX_WAIT_US: u64 = 120_000_000;

/// Summary of one policy on one trace, over the measurement window.
///
/// A request's wait is its time to first byte minus the time of one token, that is, minus the
/// time to first byte on an idle engine with the adapter loaded. Waits cover completed adapter
/// requests only.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Completed adapter requests; the number of waits below.
    #[serde(rename = "requests")]
    pub completed_adapter_requests: usize,
    /// Completed requests, to adapters and to the service.
    #[serde(rename = "answered")]
    pub completed: usize,
    /// Requests that an entry refused without execution, to adapters and to the service.
    pub refused: usize,
    /// Requests that failed otherwise, to adapters and to the service.
    pub failed: usize,
    /// Median wait, in milliseconds.
    pub wait_p50_ms: f64,
    /// 95th percentile of the wait, in milliseconds.
    pub wait_p95_ms: f64,
    /// 99th percentile of the wait, in milliseconds.
    pub wait_p99_ms: f64,
    /// Sum of the waits, in seconds.
    pub wait_total_s: f64,
    /// Share of the waits that are at least 50 ms long.
    pub stalled_share: f64,
    /// Completed requests per second, to adapters and to the service.
    pub goodput: f64,
    /// Mean number of running requests in a busy engine, as a share of its batch size.
    #[serde(rename = "fullness")]
    pub batch_utilisation: f64,
    /// Mean number of distinct adapters in the batch of a busy engine.
    #[serde(rename = "mixed")]
    pub mean_adapters_per_batch: f64,
    /// Adapters loaded per second.
    pub loads_per_second: f64,
    /// Number of adapters unloaded.
    pub evictions: u64,
    /// Mean wait of the requests scheduled in each second of the window, in milliseconds.
    pub wait_by_second_ms: Vec<f64>,
}

/// Measurement window of a trace, and the engine parameters that the statistics need.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementWindow {
    /// Start of the window, relative to the start of the trace.
    pub start: Duration,
    /// Length of the window.
    pub duration: Duration,
    /// Time in which an engine generates one token.
    pub time_per_token: Duration,
    /// Maximum number of requests that an engine runs at once.
    pub batch_size: f64,
}

/// Summarises the requests scheduled in the window.
///
/// `engine_stats` holds the totals of all engines over the window, see [`total_stats_delta`].
pub fn summarise(
    results: &[RequestResult],
    engine_stats: &EngineStats,
    window: &MeasurementWindow,
) -> Summary {
    let in_window: Vec<&RequestResult> = results
        .iter()
        .filter(|result| result.request.scheduled_at >= window.start)
        .collect();
    let count = |outcome| in_window.iter().filter(|r| r.outcome == outcome).count();
    let seconds = window.duration.as_secs_f64();
    let mut summary = Summary {
        completed: count(RequestOutcome::Completed),
        refused: count(RequestOutcome::Refused),
        failed: count(RequestOutcome::Failed),
        goodput: count(RequestOutcome::Completed) as f64 / seconds,
        batch_utilisation: ratio(
            engine_stats.request_seconds,
            engine_stats.busy_seconds * window.batch_size,
        ),
        mean_adapters_per_batch: ratio(engine_stats.adapter_seconds, engine_stats.busy_seconds),
        loads_per_second: engine_stats.loads as f64 / seconds,
        evictions: engine_stats.unloads,
        ..Summary::default()
    };
    add_wait_statistics(&mut summary, &in_window, window);
    summary
}

fn add_wait_statistics(
    summary: &mut Summary,
    in_window: &[&RequestResult],
    window: &MeasurementWindow,
) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3) else {
        return;
    };
    let seconds = window.duration.as_secs() as usize;
    let mut sums_and_counts = vec![(0.0, 0_u32); seconds];
    let completed = in_window.iter().filter(|result| {
        matches!(result.request.kind, RequestKind::Adapter(_))
            && result.outcome == RequestOutcome::Completed
    });
    let mut stalled = 0;
    for result in completed {
        let wait = result
            .time_to_first_byte
            .saturating_sub(window.time_per_token);
        let micros = u64::try_from(wait.as_micros()).unwrap_or(MAX_WAIT_US);
        histogram.saturating_record(micros.max(1));
        summary.completed_adapter_requests += 1;
        summary.wait_total_s += wait.as_secs_f64();
        stalled += usize::from(wait >= STALL_THRESHOLD);
        let second_index = (result.request.scheduled_at - window.start).as_secs() as usize;
        if let Some((sum, count)) = sums_and_counts.get_mut(second_index) {
            *sum += wait.as_secs_f64() * 1_000.0;
            *count += 1;
        }
    }
    let quantile_ms = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    summary.wait_p50_ms = quantile_ms(0.5);
    summary.wait_p95_ms = quantile_ms(0.95);
    summary.wait_p99_ms = quantile_ms(0.99);
    summary.stalled_share = ratio(
        f64::from(stalled as u32),
        summary.completed_adapter_requests as f64,
    );
    let sums_and_counts = sums_and_counts.into_iter();
    summary.wait_by_second_ms = sums_and_counts
        .map(|(sum, count)| ratio(sum, f64::from(count)))
        .collect();
}

fn ratio(numerator: f64, denominator: f64) -> f64 {
    if denominator > 0.0 {
        numerator / denominator
    } else {
        0.0
    }
}

/// Returns the increase of each counter from `before` to `after`, summed over all engines.
///
/// Both slices list the engines in the same order.
pub fn total_stats_delta(before: &[EngineStats], after: &[EngineStats]) -> EngineStats {
    let mut total = EngineStats::default();
    for (before, after) in before.iter().zip(after) {
        total.loads += after.loads - before.loads;
        total.unloads += after.unloads - before.unloads;
        total.unloaded_in_use += after.unloaded_in_use - before.unloaded_in_use;
        total.fenced += after.fenced - before.fenced;
        total.started += after.started - before.started;
        total.busy_seconds += after.busy_seconds - before.busy_seconds;
        total.request_seconds += after.request_seconds - before.request_seconds;
        total.adapter_seconds += after.adapter_seconds - before.adapter_seconds;
    }
    total
}
