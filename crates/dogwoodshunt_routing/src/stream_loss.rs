//! Expected loss by streams that become late, since a prefill delays an event past its gap limit.

use dogwoodshunt_residency::report::LearnedLoad;

/// Cost of a stream that becomes late, in seconds of wait. In the model of the calm load, 0.25 and
/// more made long prompts late more often than they were without this cost.
const LATE_STREAM_S: f64 = 0.1;

/// Share of the time that an engine is assumed to be in a transient slowdown.
const SLOW_SHARE: f64 = 0.15;

/// Longest wait by one transient slowdown, in seconds. It lasts some hundred milliseconds.
const SLOW_WAIT_S: f64 = 0.5;

/// Weight of the wait by a transient slowdown, which is often over before the prefill begins.
const SLOW_WAIT_WEIGHT: f64 = 0.5;

/// Prompt tokens that an engine could prefill in the time of one event without any prefill.
const EVENT_TOKENS: f64 = 1_200.0;

/// Time per prompt token of an engine whose speed is not known, in nanoseconds.
const INITIAL_NS_PER_TOKEN: f64 = 33_000.0;

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

/// Returns the time that a transient slowdown of the engine adds to the prefill of `tokens`, in
/// seconds.
pub fn slow_wait_s(load: &LearnedLoad, tokens: u64) -> f64 {
    let excess = f64::from(load.slowdown_percent.max(100)) / 100.0 - 1.0;
    let prefill_s = (tokens as f64 + EVENT_TOKENS) * s_per_token(load);
    SLOW_WAIT_WEIGHT * (prefill_s * excess).min(SLOW_WAIT_S)
}

/// Returns the expected loss of the streams on the engine by a prefill of `uncached` tokens, in
/// seconds of wait.
pub fn loss_s(load: &LearnedLoad, uncached: u64) -> f64 {
    LATE_STREAM_S * f64::from(load.streams) * gap_probability(load, uncached)
}

/// Returns the learned time per prompt token, in seconds.
fn s_per_token(load: &LearnedLoad) -> f64 {
    let ns_per_token = match load.ns_per_token {
        0 => INITIAL_NS_PER_TOKEN,
        known => f64::from(known),
    };
    ns_per_token / 1e9
}
