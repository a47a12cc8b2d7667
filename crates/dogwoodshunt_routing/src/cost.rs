//! Estimated cost of sending a request to an agent, in seconds of waiting.

use crate::agent::Agent;
use crate::agent::Nearness;
use crate::agent::serves;
use crate::settings::Settings;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::EngineLoad;
use dogwoodshunt_residency::report::UpstreamReport;
use std::time::Instant;

/// Length of a prompt, in tokens, at which attention takes as long again as
/// the rest of reading it.
const LONG_PROMPT_TOKENS: f64 = 10_000.0;

/// Cost of an engine whose load nobody tells, in seconds of wait: the reading
/// of one long prompt.
const UNATTENDED_COST: f64 = 0.25;

/// Load of the upstreams of an agent that can serve a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run or wait.
    pub busy: f64,
    /// Requests that run at once.
    pub batch: f64,
    /// Mean time that a request runs, in seconds.
    pub mean_run: f64,
}

impl Load {
    /// Returns the load that counts for `target`, or `None` where it is unknown.
    ///
    /// The report lags, so this entry's own attempts in flight count where
    /// they exceed what the report shows.
    pub fn of(now: Instant, agent: &Agent, target: &Target, settings: &Settings) -> Option<Self> {
        let report = agent.report(now, settings.report_limit)?;
        let batch = batch_of(report, target);
        let running = running_of(report, target) + f64::from(report.queued);
        Some(Self {
            busy: running.max(f64::from(agent.in_flight())),
            batch: batch.max(1.0),
            mean_run: report.mean_run.as_secs_f64(),
        })
    }

    /// Returns the expected wait for room in the batch, in seconds.
    ///
    /// With a full batch of `b` requests that run `r` seconds each, one ends
    /// every `r / b` seconds.
    pub fn wait(&self) -> f64 {
        let ahead = (self.busy + 1.0 - self.batch).max(0.0);
        ahead * self.mean_run / self.batch
    }

    /// Returns how full the batch is, from 0 to 1.
    pub fn fullness(&self) -> f64 {
        (self.busy / self.batch).min(1.0)
    }
}

/// Returns the expected load stall for an adapter at `nearness`, in seconds.
///
/// All agents share the weight store, so a load waits for those that are
/// wanted anywhere: `wanted` loads at the store's rate. A load that was asked
/// for before is on average half way through.
pub fn stall(nearness: Nearness, wanted: f64, settings: &Settings) -> f64 {
    let whole = settings.load_time.as_secs_f64() + wanted / settings.loads_per_second;
    match nearness {
        Nearness::Ready => 0.0,
        Nearness::Coming => whole / 2.0,
        Nearness::Copied => settings.reload_time.as_secs_f64(),
        Nearness::Absent => whole,
    }
}

/// Returns the expected time from now to the first byte of an answer, in seconds.
///
/// `None` where no engine of the agent tells its load in tokens. The prompts
/// before this one and what is fresh of its own are read at the engine's rate
/// `p`, so it takes `(unread + fresh) / p`. A KV cache that is too full frees
/// `held / r` tokens a second where requests run `r` seconds.
pub fn first_byte(
    now: Instant,
    agent: &Agent,
    target: &Target,
    demand: &Demand,
    wanted: f64,
    settings: &Settings,
) -> Option<f64> {
    let report = agent.report(now, settings.report_limit)?;
    let able = |upstream: &&UpstreamReport| upstream.takes_work && serves(upstream, target);
    let upstream = report.upstreams.iter().find(able)?;
    let engine = upstream.engine?;
    let rate = (engine.tokens_per_second as f64).max(1.0);
    let fresh = agent.fresh_tokens(target, demand);
    // An engine without its agent has a load that nobody tells.
    let told = if agent.unattended { 0 } else { engine.unread };
    let ahead = told + agent.unseen_tokens(now);
    let reading = (ahead + fresh) as f64 / rate;
    let held = engine.held + demand.held_tokens();
    let excess = held.saturating_sub(upstream.kv_tokens) as f64;
    let freed = (engine.held as f64 / report.mean_run.as_secs_f64().max(0.1)).max(1.0);
    let stalled = target.adapter().map_or(0.0, |adapter| {
        let nearness = agent.nearness(adapter);
        let place = match nearness {
            Nearness::Absent | Nearness::Copied => place_wait(report, upstream, engine),
            Nearness::Coming | Nearness::Ready => 0.0,
        };
        place + stall(nearness, wanted, settings)
    });
    // Reading goes on for others while an adapter is loaded.
    Some(stalled.max(ahead as f64 / rate) + reading - ahead as f64 / rate + excess / freed)
}

/// Returns the expected wait for a place for one more adapter, in seconds.
///
/// Adapters in use hold their places until their runs end, and of `n` places
/// with runs of `r` seconds one falls free every `r / n` seconds.
fn place_wait(report: &Report, upstream: &UpstreamReport, engine: EngineLoad) -> f64 {
    let wanted = report.wants.len() as f64 + 1.0;
    let short = (wanted - f64::from(engine.free_places)).max(0.0);
    short * report.mean_run.as_secs_f64() / f64::from(upstream.slots.max(1))
}

/// Returns the cost of what follows the first byte, in seconds of wait.
///
/// Reading the prompt holds up each of the running requests, and an engine that
/// reads prompts most of the time produces tokens slowly.
fn after_first_byte(
    now: Instant,
    agent: &Agent,
    target: &Target,
    demand: &Demand,
    settings: &Settings,
) -> Option<f64> {
    let report = agent.report(now, settings.report_limit)?;
    let able = |upstream: &&UpstreamReport| upstream.takes_work && serves(upstream, target);
    let upstream = report.upstreams.iter().find(able)?;
    let engine = upstream.engine?;
    let rate = (engine.tokens_per_second as f64).max(1.0);
    let reading = agent.fresh_tokens(target, demand) as f64 / rate;
    // Attention over a long prompt grows with its square, so it is its last
    // pieces that stretch the pauses of other answers.
    let length = f64::from(demand.prompt_tokens) / LONG_PROMPT_TOKENS;
    let held_up = reading * (1.0 + length * length) * f64::from(upstream.running);
    let slowed = f64::from(engine.reading_percent) / 100.0 * settings.reading_step.as_secs_f64();
    let output = f64::from(demand.output_tokens) * slowed;
    Some(settings.interference_weight * held_up + settings.output_weight * output)
}

/// Returns the cost of sending a request for `target` to `agent`.
///
/// `wanted` counts the loads that agents wait for, `popularity` the lately
/// seen requests for the adapter, which stand for those to come.
pub fn estimate(
    now: Instant,
    agent: &Agent,
    target: &Target,
    demand: &Demand,
    wanted: f64,
    popularity: f64,
    settings: &Settings,
) -> Option<f64> {
    if let Some(first_byte) = first_byte(now, agent, target, demand, wanted, settings) {
        let load = match target.adapter().map(|adapter| agent.nearness(adapter)) {
            Some(Nearness::Absent) => {
                settings.load_weight * settings.load_time.as_secs_f64() / (1.0 + popularity)
            }
            Some(Nearness::Coming | Nearness::Copied | Nearness::Ready) | None => 0.0,
        };
        let after = after_first_byte(now, agent, target, demand, settings);
        let away = if agent.domain == settings.domain {
            0.0
        } else {
            settings.domain_step.as_secs_f64()
        };
        let unsure = if agent.unattended {
            UNATTENDED_COST
        } else {
            0.0
        };
        return Some(first_byte + load + after.unwrap_or(0.0) + away + unsure);
    }
    let load = Load::of(now, agent, target, settings)?;
    let stalled = target.adapter().map_or(0.0, |adapter| {
        stall(agent.nearness(adapter), wanted, settings)
    });
    let emptiness = 1.0 - load.fullness();
    Some(load.wait() + settings.stall_weight * stalled + settings.batch_weight * emptiness)
}

fn batch_of(report: &Report, target: &Target) -> f64 {
    let able = report
        .upstreams
        .iter()
        .filter(|u| u.takes_work && serves(u, target));
    able.map(|upstream| f64::from(upstream.batch)).sum()
}

fn running_of(report: &Report, target: &Target) -> f64 {
    let able = report
        .upstreams
        .iter()
        .filter(|u| u.takes_work && serves(u, target));
    able.map(|upstream| f64::from(upstream.running)).sum()
}
