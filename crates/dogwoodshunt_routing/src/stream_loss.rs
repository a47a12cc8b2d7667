//! Expected loss by streams that become late, since a prefill delays an event past its gap limit.

use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::report::LearnedLoad;

/// Cost of a stream that becomes late, in seconds of wait. In the model of the calm load, 0.25 and
/// more made long prompts later than they were without this cost.
const LATE_STREAM_S: f64 = 0.1;

/// Share of the time that an engine is assumed to be in a transient slowdown.
const SLOW_SHARE: f64 = 0.15;

/// Prompt tokens that an engine could prefill in the time of one event without any prefill.
const EVENT_TOKENS: f64 = 1_200.0;

/// Time per prompt token of an engine whose speed is not known, in nanoseconds.
const INITIAL_NS_PER_TOKEN: f64 = 33_000.0;

/// Response length at which the whole of its stream is exposed to later prompts, in tokens.
const EXPOSED_TOKENS: f64 = 300.0;

/// Probability that the prefill work of an engine that does nothing but prefill makes a long
/// stream late.
const SATURATED_RISK: f64 = 0.9;

/// Returns the probability that a gap of expected length `ratio`, as a share of its limit, exceeds
/// the limit. The estimate of its length is off by up to a fifth.
fn exceeds(ratio: f64) -> f64 {
    ((ratio - 0.8) / 0.4).clamp(0.0, 1.0)
}

/// Returns the probability that the prefill of `uncached` tokens makes a gap too long in a stream
/// on the engine.
pub fn gap_probability(load: &LearnedLoad, uncached: u64) -> f64 {
    if load.streams == 0 || load.tightest_gap.is_zero() {
        return 0.0;
    }
    let gap_s = (uncached as f64 + EVENT_TOKENS) * s_per_token(load);
    let ratio = gap_s / load.tightest_gap.as_secs_f64();
    let now = exceeds(ratio * f64::from(load.slowdown_percent) / 100.0);
    let if_slow = exceeds(ratio * f64::from(load.margin_percent) / 100.0);
    now.max(SLOW_SHARE * if_slow)
}

/// Returns the expected loss of running a request on the engine, in seconds of wait: that of the
/// streams that run there, and that of the request's own stream by prompts that follow.
pub fn loss_s(load: &LearnedLoad, busy_percent: u8, uncached: u64, demand: &Demand) -> f64 {
    let others = f64::from(load.streams) * gap_probability(load, uncached);
    let exposure = (f64::from(demand.output_tokens) / EXPOSED_TOKENS).min(1.0);
    let own = SATURATED_RISK * f64::from(busy_percent) / 100.0 * exposure;
    LATE_STREAM_S * (others + own)
}

/// Returns the learned time per prompt token, in seconds.
fn s_per_token(load: &LearnedLoad) -> f64 {
    let ns_per_token = match load.ns_per_token {
        0 => INITIAL_NS_PER_TOKEN,
        known => f64::from(known),
    };
    ns_per_token / 1e9
}
