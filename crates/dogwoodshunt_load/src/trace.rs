//! Request traces: the requests of a workload, generated from a seed.
//!
//! The same workload and seed always give the same trace.

use crate::workload::Event;
use crate::workload::Workload;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::Zipf;
use std::time::Duration;

/// Share of the adapter requests that go to the newly popular adapter after [`Event::Shift`].
const SHIFTED_ADAPTER_SHARE: f64 = 0.2;

/// Target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Completion by the adapter with this number, streamed to the caller.
    Adapter(usize),
    /// Call of the application service, which has no adapter.
    Service,
}

/// One request of a trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceRequest {
    /// Scheduled send time, relative to the start of the trace.
    pub scheduled_at: Duration,
    /// Target of the request.
    pub kind: RequestKind,
    /// Number of tokens to generate.
    pub max_tokens: u32,
}

/// Returns the catalogue name of the adapter with this number.
pub fn adapter_name(number: usize) -> String {
    format!("adapter-{number}")
}

/// Generates the requests of a workload, ordered by scheduled time.
///
/// Arrivals form a Poisson process, adapter popularity follows a Zipf distribution.
///
/// # Panics
///
/// Panics if the Zipf parameters are out of range, which [`Workload`]'s settings check excludes.
pub fn generate(workload: &Workload, seed: u64) -> Vec<TraceRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let adapters_by_popularity = shuffled_adapter_numbers(&mut rng, workload.adapters as usize);
    let popularity = Zipf::new(workload.adapters as f64, workload.zipf_exponent);
    #[expect(
        clippy::expect_used,
        reason = "the settings check limits the parameters"
    )]
    let popularity = popularity.expect("adapter count and Zipf exponent in range");
    let duration = Duration::from_secs(workload.warm_up_s + workload.measure_s);
    let shift_time = event_time(workload);
    let mut requests = Vec::new();
    let mut scheduled_at = Duration::ZERO;
    loop {
        scheduled_at += draw_interarrival_time(&mut rng, workload, scheduled_at);
        if scheduled_at >= duration {
            return requests;
        }
        let is_after_shift = workload.event == Event::Shift && scheduled_at >= shift_time;
        let kind = if rng.random_bool(workload.service_share) {
            RequestKind::Service
        } else if is_after_shift && rng.random_bool(SHIFTED_ADAPTER_SHARE) {
            RequestKind::Adapter(adapters_by_popularity[adapters_by_popularity.len() - 1])
        } else {
            // Zipf ranks start at 1.
            let rank = popularity.sample(&mut rng) as usize;
            RequestKind::Adapter(
                adapters_by_popularity[rank.clamp(1, adapters_by_popularity.len()) - 1],
            )
        };
        let max_tokens =
            rng.random_range(workload.mean_output_tokens / 2..=workload.mean_output_tokens * 3 / 2);
        let max_tokens = u32::try_from(max_tokens.max(1)).unwrap_or(u32::MAX);
        requests.push(TraceRequest {
            scheduled_at,
            kind,
            max_tokens,
        });
    }
}

/// Returns the time of the workload's event, relative to the start of the trace.
///
/// The event occurs after one third of the measured time.
pub fn event_time(workload: &Workload) -> Duration {
    Duration::from_secs(workload.warm_up_s + workload.measure_s / 3)
}

fn shuffled_adapter_numbers(rng: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..count).collect();
    numbers.shuffle(rng);
    numbers
}

fn draw_interarrival_time(
    rng: &mut ChaCha8Rng,
    workload: &Workload,
    scheduled_at: Duration,
) -> Duration {
    let in_burst = workload
        .burst
        .is_some_and(|burst| scheduled_at.as_secs_f64() % burst.period_s < burst.duration_s);
    let rate_factor = match workload.burst {
        Some(burst) if in_burst => burst.rate_factor,
        Some(_) | None => 1.0,
    };
    let distribution = Exp::new(workload.requests_per_second * rate_factor);
    let seconds = distribution.map_or(1.0, |distribution| distribution.sample(rng));
    Duration::from_secs_f64(seconds)
}
