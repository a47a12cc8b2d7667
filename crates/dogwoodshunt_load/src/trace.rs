//! Requests of a workload, drawn from a seed.

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

/// Share of the requests that go to the newly popular adapter after a shift.
const SHIFTED_SHARE: f64 = 0.2;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An adapter, by its number.
    Adapter(usize),
    /// The plain service.
    Service,
}

/// One request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shot {
    /// When it is due, from the start of the trace.
    pub at: Duration,
    /// What it asks for.
    pub kind: Kind,
    /// Tokens of its answer.
    pub tokens: u32,
}

/// Returns the name of an adapter.
pub fn adapter_name(number: usize) -> String {
    format!("adapter-{number}")
}

/// Draws the requests of a workload, in order.
///
/// # Panics
///
/// Panics if the workload has not been checked.
pub fn draw(workload: &Workload, seed: u64) -> Vec<Shot> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names = shuffled(&mut rng, workload.adapters as usize);
    let law = Zipf::new(workload.adapters as f64, workload.zipf_exponent);
    #[expect(clippy::expect_used, reason = "the settings were checked")]
    let law = law.expect("checked settings");
    let length = Duration::from_secs(workload.warm_up_s + workload.measure_s);
    let shift_at = event_time(workload);
    let mut shots = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += gap(&mut rng, workload, at);
        if at >= length {
            return shots;
        }
        let shifted = workload.event == Event::Shift && at >= shift_at;
        let kind = if rng.random_bool(workload.service_share) {
            Kind::Service
        } else if shifted && rng.random_bool(SHIFTED_SHARE) {
            Kind::Adapter(names[names.len() - 1])
        } else {
            // The law counts from 1.
            let rank = law.sample(&mut rng) as usize;
            Kind::Adapter(names[rank.clamp(1, names.len()) - 1])
        };
        let tokens = rng.random_range(workload.tokens / 2..=workload.tokens * 3 / 2);
        let tokens = u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
        shots.push(Shot { at, kind, tokens });
    }
}

/// Returns when the workload's event happens, from the start of the trace.
pub fn event_time(workload: &Workload) -> Duration {
    Duration::from_secs(workload.warm_up_s + workload.measure_s / 3)
}

fn shuffled(rng: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
    let mut names: Vec<usize> = (0..count).collect();
    names.shuffle(rng);
    names
}

fn gap(rng: &mut ChaCha8Rng, workload: &Workload, at: Duration) -> Duration {
    let bursting = workload
        .burst
        .is_some_and(|burst| at.as_secs_f64() % burst.every_s < burst.length_s);
    let factor = match workload.burst {
        Some(burst) if bursting => burst.factor,
        Some(_) | None => 1.0,
    };
    let gaps = Exp::new(workload.rate * factor);
    let seconds = gaps.map_or(1.0, |gaps| gaps.sample(rng));
    Duration::from_secs_f64(seconds)
}
