//! Estimated cost of sending a request to an agent, in seconds of waiting time.

use crate::agent::Agent;
use crate::agent::Presence;
use crate::agent::serves;
use crate::settings::RouterSettings;
use crate::stream_loss;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::EngineLoad;
use dogwoodshunt_residency::report::UpstreamReport;
use std::time::Instant;

/// Prompt length, in tokens, at which attention takes as long as the rest of the
/// prefill.
const ATTENTION_PARITY_TOKENS: f64 = 10_000.0;

/// Cost, in seconds of wait, added for an engine whose load is unknown because its
/// agent is unreachable: the time to prefill one long prompt.
const UNATTENDED_COST_S: f64 = 0.25;

/// Number of requests and batch size of an agent's upstreams that can serve a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentLoad {
    /// Number of running and queued requests.
    pub requests: f64,
    /// Number of requests that can run concurrently.
    pub batch_size: f64,
    /// Mean run time of a request, in seconds.
    pub mean_run_s: f64,
}

impl AgentLoad {
    /// Returns the load of `agent` for `target`, or `None` if the agent has no
    /// current report.
    ///
    /// Reports lag behind, so if this entry has more attempts in flight on the agent
    /// than the report counts requests, the number of attempts is used.
    pub fn estimate(
        now: Instant,
        agent: &Agent,
        target: &Target,
        settings: &RouterSettings,
    ) -> Option<Self> {
        let report = agent.report(now, settings.max_report_age)?;
        let batch_size = total_batch_size(report, target);
        let requests = total_running(report, target) + f64::from(report.queued);
        Some(Self {
            requests: requests.max(f64::from(agent.in_flight())),
            batch_size: batch_size.max(1.0),
            mean_run_s: report.mean_run.as_secs_f64(),
        })
    }

    /// Returns the expected wait for a free place in the batch, in seconds.
    ///
    /// In a full batch of `b` requests that run for `r` seconds each, one request
    /// ends every `r / b` seconds.
    pub fn batch_wait_s(&self) -> f64 {
        let requests_ahead = (self.requests + 1.0 - self.batch_size).max(0.0);
        requests_ahead * self.mean_run_s / self.batch_size
    }

    /// Returns the fraction of the batch that is in use, from 0 to 1.
    pub fn batch_utilization(&self) -> f64 {
        (self.requests / self.batch_size).min(1.0)
    }
}

/// Returns the expected wait until an adapter is ready on an agent, in seconds,
/// given its `presence` there.
///
/// All agents share the weight store, so a load queues behind the pending loads of
/// all agents, `pending_load_count` in total, which the store serves at
/// [`RouterSettings::loads_per_second`]. A load that is already pending is half done on
/// average.
pub fn load_wait_s(presence: Presence, pending_load_count: f64, settings: &RouterSettings) -> f64 {
    let uncached_load_s =
        settings.load_time.as_secs_f64() + pending_load_count / settings.loads_per_second;
    match presence {
        Presence::Ready => 0.0,
        Presence::Pending => uncached_load_s / 2.0,
        Presence::HostCached => settings.cached_load_time.as_secs_f64(),
        Presence::Absent => uncached_load_s,
    }
}

/// Returns the expected wait until the rate limit of an upstream allows the request, in seconds;
/// zero without a limit or a current report.
///
/// The agent dispatches its queue at the rate of the limit. If the limit allows no dispatch yet,
/// half an interval passes before the first one on average.
fn rate_wait_s(now: Instant, agent: &Agent, target: &Target, settings: &RouterSettings) -> f64 {
    let Some(report) = agent.report(now, settings.max_report_age) else {
        return 0.0;
    };
    let can_serve = |upstream: &&UpstreamReport| upstream.takes_work && serves(upstream, target);
    let Some(upstream) = report.upstreams.iter().find(can_serve) else {
        return 0.0;
    };
    let requests_ahead = f64::from(report.queued) + agent.unreported_attempts(now) as f64;
    let first_wait = if upstream.waits_for_rate { 0.5 } else { 0.0 };
    upstream.rate_limit.map_or(0.0, |limit| {
        (requests_ahead + first_wait) * limit.interval().as_secs_f64()
    })
}

/// Returns the expected time to the first byte of the response, in seconds.
///
/// Returns `None` if the agent has no current report, if none of its upstreams
/// can serve `target`, or if the load of the engine in tokens is unknown.
///
/// The engine prefills `p` tokens per second, so the prefill of the prompts ahead
/// and of the uncached part of this prompt takes `(pending_prefill + uncached) / p`
/// seconds. A request that does not fit into the KV cache waits for tokens that
/// running requests free: `reserved_kv / r` tokens per second, where `r` is their
/// mean run time in seconds.
pub fn time_to_first_byte_s(
    now: Instant,
    agent: &Agent,
    target: &Target,
    demand: &Demand,
    pending_load_count: f64,
    settings: &RouterSettings,
) -> Option<f64> {
    let report = agent.report(now, settings.max_report_age)?;
    let can_serve = |upstream: &&UpstreamReport| upstream.takes_work && serves(upstream, target);
    let upstream = report.upstreams.iter().find(can_serve)?;
    let engine = upstream.engine?;
    let prefill_rate = (engine.prefill_tokens_per_second as f64).max(1.0);
    let uncached = agent.uncached_tokens(target, demand);
    // The last report of an unattended engine does not show its present load.
    let reported_prefill = if agent.unattended {
        0
    } else {
        engine.pending_prefill
    };
    let prefill_ahead = reported_prefill + agent.unreported_tokens(now);
    let prefill_s = (prefill_ahead + uncached) as f64 / prefill_rate;
    let kv_demand = engine.reserved_kv + demand.max_kv_tokens();
    let kv_excess = kv_demand.saturating_sub(upstream.kv_tokens) as f64;
    let kv_freed_per_second =
        (engine.reserved_kv as f64 / report.mean_run.as_secs_f64().max(0.1)).max(1.0);
    let load_wait = target.adapter().map_or(0.0, |adapter| {
        let presence = agent.presence(adapter);
        let slot_wait = match presence {
            Presence::Absent | Presence::HostCached => slot_wait_s(report, upstream, engine),
            Presence::Pending | Presence::Ready => 0.0,
        };
        slot_wait + load_wait_s(presence, pending_load_count, settings)
    });
    let start_wait = load_wait.max(rate_wait_s(now, agent, target, settings));
    // The engine prefills the prompts ahead while the adapter is being loaded.
    Some(
        start_wait.max(prefill_ahead as f64 / prefill_rate) + prefill_s
            - prefill_ahead as f64 / prefill_rate
            + kv_excess / kv_freed_per_second,
    )
}

/// Returns the expected wait for a free adapter slot, in seconds.
///
/// An adapter in use occupies its slot until its requests end. With `n` slots and
/// a mean run time of `r` seconds, one slot becomes free every `r / n` seconds. The
/// pending loads of the agent take free slots first.
fn slot_wait_s(report: &Report, upstream: &UpstreamReport, engine: EngineLoad) -> f64 {
    let needed_slots = report.pending_loads.len() as f64 + 1.0;
    let missing_slots = (needed_slots - f64::from(engine.free_slots)).max(0.0);
    missing_slots * report.mean_run.as_secs_f64() / f64::from(upstream.slots.max(1))
}

/// Returns the cost of running the request beyond its time to first byte, in
/// seconds of wait, or `None` where [`time_to_first_byte_s`] returns `None`.
///
/// The prefill of the prompt delays each of the running requests, and an engine
/// that spends most of its time on prefill generates output tokens slowly.
fn interference_and_output_cost_s(
    now: Instant,
    agent: &Agent,
    target: &Target,
    demand: &Demand,
    settings: &RouterSettings,
) -> Option<f64> {
    let report = agent.report(now, settings.max_report_age)?;
    let can_serve = |upstream: &&UpstreamReport| upstream.takes_work && serves(upstream, target);
    let upstream = report.upstreams.iter().find(can_serve)?;
    let engine = upstream.engine?;
    let prefill_rate = (engine.prefill_tokens_per_second as f64).max(1.0);
    let prefill_s = agent.uncached_tokens(target, demand) as f64 / prefill_rate;
    // The cost of attention grows with the square of the prompt length, so the
    // last chunks of a long prompt delay the other requests the most.
    let relative_length = f64::from(demand.prompt_tokens) / ATTENTION_PARITY_TOKENS;
    let running_delay_s =
        prefill_s * (1.0 + relative_length * relative_length) * f64::from(upstream.running);
    let delay_per_token_s =
        f64::from(engine.prefill_busy_percent) / 100.0 * settings.prefill_step.as_secs_f64();
    let output_delay_s = f64::from(demand.output_tokens) * delay_per_token_s;
    let learned = engine.learned.filter(|_| settings.learned_costs);
    let loss_s = learned.map_or(0.0, |learned| {
        let uncached = agent.uncached_tokens(target, demand);
        let prefill_ahead = engine.pending_prefill + agent.unreported_tokens(now);
        let slow_s = stream_loss::slow_wait_s(&learned, prefill_ahead + uncached);
        slow_s + stream_loss::loss_s(&learned, uncached)
    });
    Some(
        settings.interference_weight * running_delay_s
            + settings.output_weight * output_delay_s
            + loss_s,
    )
}

/// Returns the cost of sending a request for `target` to `agent`, in seconds of
/// wait, or `None` if the agent has no current report.
///
/// `pending_load_count` is the number of pending adapter loads of all agents.
/// `popularity` is the decayed number of recent requests for the adapter, which
/// predicts the number of requests that will share a load.
///
/// If the time to first byte is unknown, the estimate uses the number of requests
/// and the batch size instead.
pub fn estimate(
    now: Instant,
    agent: &Agent,
    target: &Target,
    demand: &Demand,
    pending_load_count: f64,
    popularity: f64,
    settings: &RouterSettings,
) -> Option<f64> {
    if let Some(first_byte_s) =
        time_to_first_byte_s(now, agent, target, demand, pending_load_count, settings)
    {
        let load_cost = match target.adapter().map(|adapter| agent.presence(adapter)) {
            Some(Presence::Absent) => {
                settings.load_weight * settings.load_time.as_secs_f64() / (1.0 + popularity)
            }
            Some(Presence::Pending | Presence::HostCached | Presence::Ready) | None => 0.0,
        };
        let run_cost = interference_and_output_cost_s(now, agent, target, demand, settings);
        let domain_cost = if agent.domain == settings.domain {
            0.0
        } else {
            settings.domain_step.as_secs_f64()
        };
        let unattended_cost = if agent.unattended {
            UNATTENDED_COST_S
        } else {
            0.0
        };
        return Some(
            first_byte_s + load_cost + run_cost.unwrap_or(0.0) + domain_cost + unattended_cost,
        );
    }
    let load = AgentLoad::estimate(now, agent, target, settings)?;
    let load_wait = target.adapter().map_or(0.0, |adapter| {
        load_wait_s(agent.presence(adapter), pending_load_count, settings)
    });
    let unused_batch_share = 1.0 - load.batch_utilization();
    Some(
        load.batch_wait_s()
            + rate_wait_s(now, agent, target, settings)
            + settings.stall_weight * load_wait
            + settings.batch_weight * unused_batch_share,
    )
}

/// Returns the total batch size of the upstreams that can serve `target`.
fn total_batch_size(report: &Report, target: &Target) -> f64 {
    let serving = report
        .upstreams
        .iter()
        .filter(|u| u.takes_work && serves(u, target));
    serving.map(|upstream| f64::from(upstream.batch)).sum()
}

/// Returns the number of running requests on the upstreams of the agent that can
/// serve `target`.
fn total_running(report: &Report, target: &Target) -> f64 {
    let serving = report
        .upstreams
        .iter()
        .filter(|u| u.takes_work && serves(u, target));
    serving.map(|upstream| f64::from(upstream.running)).sum()
}
