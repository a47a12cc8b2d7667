//! Soft partition of the engines of a service between long prompts and long streams.
//!
//! The prefill of one long prompt delays the events of every stream on its engine. Pacing cannot
//! shorten a gap that a single prompt makes, so long prompts and long streams are kept on
//! different engines where capacity allows: a part of the engines, in proportion to the work of
//! the long streams, is preferred for these, and the others for long prompts. An engine of the other
//! part is still chosen if it is cheaper by more than the cost that is added here.
//!
//! The partition applies only while the engines have learned transient slowdowns that make gaps too
//! long. Every entry learns the proportion from its own requests. Entries agree on the order of the
//! engines, so a different proportion concerns only the engines near the boundary.

use crate::agent::Agent;
use crate::agent::AgentKey;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_types::rendezvous;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Cost of a long prompt on an engine that is preferred for long streams, in seconds of wait.
const PROMPT_COST_S: f64 = 0.15;

/// Cost of a long stream on an engine that is preferred for long prompts, in seconds of wait.
const STREAM_COST_S: f64 = 0.3;

/// Mean of the learned transient slowdowns from which the engines are partitioned, which costs
/// adapter loads. Engines without transient slowdowns learn 1.4 on average, since the tokens of
/// longer prompts take longer; with slowdowns of 2.5 for 15% of the time it is 1.7.
const MIN_SLOWDOWN: f64 = 1.6;

/// Share of the engines whose learned slowdowns are allowed for. Many engines have few samples, or
/// only some that were slow for a part of their prompt.
const SLOWDOWN_QUANTILE: f64 = 0.9;

/// Prefill rate by which the length of a gap is estimated, in tokens per second.
const PREFILL_TOKENS_PER_S: f64 = 33_000.0;

/// Prompt tokens that an engine could prefill in the time of one event without any prefill.
const EVENT_TOKENS: f64 = 1_200.0;

/// Output length from which a stream is long, in tokens: it then runs for a second or more, in
/// which an engine that prefills long prompts usually begins one.
const LONG_STREAM_TOKENS: u32 = 150;

/// Share of its time that an engine may spend on the short prompts of long streams.
const STREAM_PREFILL_SHARE: f64 = 0.15;

/// Share of its time that an engine may spend on long prompts, so that they begin in time.
const PROMPT_PREFILL_SHARE: f64 = 0.6;

/// Time per output token of a stream, in seconds, and number of streams that share it.
const OUTPUT_TOKEN_S: f64 = 0.007 / 16.0;

/// Time constant of the learned work.
const WORK_WINDOW: Duration = Duration::from_secs(10);

/// Lowest part of the work of either kind with which the engines are partitioned.
const MIN_PART: f64 = 0.1;

/// Minimum number of engines that are partitioned.
const MIN_ENGINES: usize = 8;

/// Time for which the order of the engines is kept. Engines that join or leave meanwhile have no
/// place in it.
const ORDER_LIFETIME: Duration = Duration::from_secs(1);

/// What a request is to the streams on its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestClass {
    /// Its prefill can make a gap that exceeds the limit.
    LongPrompt,
    /// Its stream is likely to meet the prefill of a long prompt.
    LongStream,
    /// Neither.
    Neutral,
}

/// Learned proportion of the work, and places of the engines in the common order.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    prompt_work: f64,
    stream_work: f64,
    updated_at: Option<Instant>,
    /// Place of each engine among those of its service, from 0 to 1.
    places: HashMap<AgentKey, f64>,
    ordered_at: Option<Instant>,
    /// Transient slowdown to allow for; `None` if the engines are steady or have learned none.
    slowdown: Option<f64>,
}

impl Partition {
    /// Classifies a request of which an engine would prefill `uncached` tokens. `max_event_gap` is
    /// the gap limit of its stream; `None` if the response is not a stream.
    pub fn classify(
        &self,
        demand: &Demand,
        uncached: u64,
        max_event_gap: Option<Duration>,
    ) -> RequestClass {
        let Some(max_event_gap) = max_event_gap else {
            return RequestClass::Neutral;
        };
        let gap_s = (uncached as f64 + EVENT_TOKENS) / PREFILL_TOKENS_PER_S;
        let Some(slowdown) = self.slowdown else {
            return RequestClass::Neutral;
        };
        if gap_s * slowdown > max_event_gap.as_secs_f64() {
            RequestClass::LongPrompt
        } else if demand.output_tokens >= LONG_STREAM_TOKENS {
            RequestClass::LongStream
        } else {
            RequestClass::Neutral
        }
    }

    /// Records a request that is sent to an engine, which prefills `uncached` tokens of it.
    pub fn record(&mut self, now: Instant, class: RequestClass, demand: &Demand, uncached: u64) {
        self.decay(now);
        let prefill_s = uncached as f64 / PREFILL_TOKENS_PER_S;
        let output_s = f64::from(demand.output_tokens) * OUTPUT_TOKEN_S;
        match class {
            RequestClass::LongPrompt => {
                self.prompt_work += prefill_s / PROMPT_PREFILL_SHARE + output_s;
            }
            RequestClass::LongStream => {
                self.stream_work += (prefill_s / STREAM_PREFILL_SHARE).max(output_s);
            }
            RequestClass::Neutral => {}
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.as_secs_f64() / WORK_WINDOW.as_secs_f64()).exp();
        self.prompt_work *= factor;
        self.stream_work *= factor;
        self.updated_at = Some(now);
    }

    /// Returns the part of the engines that is preferred for long streams; `None` if nearly all
    /// work is of one kind.
    pub fn stream_part(&self) -> Option<f64> {
        let part = self.stream_work / (self.stream_work + self.prompt_work);
        (MIN_PART..=1.0 - MIN_PART).contains(&part).then_some(part)
    }

    /// Orders the engines anew if their order is older than a second.
    pub fn update_order<'a>(
        &mut self,
        now: Instant,
        agents: impl Iterator<Item = (AgentKey, &'a Agent)>,
    ) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ORDER_LIFETIME;
        if self.ordered_at.is_some_and(is_recent) {
            return;
        }
        self.ordered_at = Some(now);
        self.places.clear();
        let mut slowdowns = Vec::new();
        let mut ordered: Vec<_> = agents
            .map(|(key, agent)| {
                slowdowns.extend(learned_slowdown(agent));
                let hash = rendezvous::hash(agent.node.as_bytes(), 0);
                (agent.service.as_deref(), hash, key)
            })
            .collect();
        self.set_slowdowns(slowdowns);
        ordered.sort_unstable();
        for of_service in ordered.chunk_by(|a, b| a.0 == b.0) {
            if of_service.len() < MIN_ENGINES {
                continue;
            }
            let count = of_service.len() as f64;
            let places = of_service.iter().enumerate();
            let places = places.map(|(place, (.., key))| (*key, place as f64 / count));
            self.places.extend(places);
        }
    }

    /// Sets the transient slowdowns that the engines have learned.
    pub(crate) fn set_slowdowns(&mut self, mut learned: Vec<f64>) {
        learned.sort_by(f64::total_cmp);
        let mean = learned.iter().sum::<f64>() / learned.len().max(1) as f64;
        let index = (SLOWDOWN_QUANTILE * learned.len() as f64) as usize;
        let allowed_for = learned.get(index).copied();
        self.slowdown = allowed_for.filter(|_| mean >= MIN_SLOWDOWN);
    }

    /// Returns whether the engine is in the part that is preferred for `class`; `None` if there is
    /// no preference.
    pub fn is_preferred(&self, class: RequestClass, key: AgentKey) -> Option<bool> {
        let is_stream_engine = *self.places.get(&key)? < self.stream_part()?;
        match class {
            RequestClass::LongPrompt => Some(!is_stream_engine),
            RequestClass::LongStream => Some(is_stream_engine),
            RequestClass::Neutral => None,
        }
    }

    /// Returns the cost of sending a request of `class` to the engine, in seconds of wait.
    pub fn cost_s(&self, class: RequestClass, key: AgentKey) -> f64 {
        match self.is_preferred(class, key) {
            Some(false) if class == RequestClass::LongPrompt => PROMPT_COST_S,
            Some(false) => STREAM_COST_S,
            Some(true) | None => 0.0,
        }
    }
}

/// Returns the transient slowdown that the engine of `agent` has learned to allow for.
fn learned_slowdown(agent: &Agent) -> Option<f64> {
    let upstreams = &agent.last_report()?.upstreams;
    let learned = upstreams
        .iter()
        .find_map(|upstream| upstream.engine?.learned)?;
    Some(f64::from(learned.margin_percent) / 100.0)
}
