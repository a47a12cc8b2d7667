//! Load reports of an agent to entries: their contents, and the changes between two of them.

use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::Version;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Load of an engine, in tokens. Encoded without field names, as it is sent to every
/// entry several times a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "EngineLoadFields", into = "EngineLoadFields")]
pub struct EngineLoad {
    /// Prompt tokens that the engine has yet to process, of running requests and of
    /// queued ones that the engine can serve.
    pub pending_prefill: u64,
    /// KV cache tokens that running requests occupy when their completions have
    /// their maximum length.
    pub reserved_kv: u64,
    /// Estimated prefill rate, in tokens per second.
    pub prefill_tokens_per_second: u64,
    /// Adapter slots that are empty or hold an adapter that no running or queued
    /// request uses.
    pub free_slots: u32,
    /// Percentage of recent time, about the last second, that the engine spent on
    /// prefill.
    pub prefill_busy_percent: u8,
    /// Learned speed and begun streams; `None` if no entry has asked the agent to pace prompts.
    pub learned: Option<LearnedLoad>,
}

/// Learned speed of an engine and the streams on it. Its fields are integers in coarse steps, so
/// that reports do not change at every moment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LearnedLoadFields", into = "LearnedLoadFields")]
pub struct LearnedLoad {
    /// Number of streams with a gap limit that have begun.
    pub streams: u32,
    /// Shortest of their gap limits; zero if there are none.
    pub tightest_gap: Duration,
    /// Persistent time per prompt token, in nanoseconds; 0 if it is not known.
    pub ns_per_token: u32,
    /// Transient slowdown to allow for, in percent.
    pub margin_percent: u16,
    /// Transient slowdown now, in percent; 100 if there is none.
    pub slowdown_percent: u16,
}

/// Encoded form of [`LearnedLoad`]: its fields in their order, with the gap in milliseconds.
type LearnedLoadFields = (u32, u32, u32, u16, u16);

impl From<LearnedLoadFields> for LearnedLoad {
    fn from(fields: LearnedLoadFields) -> Self {
        let (streams, gap_ms, ns_per_token, margin_percent, slowdown_percent) = fields;
        Self {
            streams,
            tightest_gap: Duration::from_millis(gap_ms.into()),
            ns_per_token,
            margin_percent,
            slowdown_percent,
        }
    }
}

impl From<LearnedLoad> for LearnedLoadFields {
    fn from(load: LearnedLoad) -> Self {
        (
            load.streams,
            u32::try_from(load.tightest_gap.as_millis()).unwrap_or(u32::MAX),
            load.ns_per_token,
            load.margin_percent,
            load.slowdown_percent,
        )
    }
}

/// Encoded form of [`EngineLoad`]: its fields in their order. An agent without learned costs sends
/// the first five only, as releases without them do.
#[derive(Deserialize, Serialize)]
struct EngineLoadFields(
    u64,
    u64,
    u64,
    u32,
    u8,
    #[serde(default, skip_serializing_if = "Option::is_none")] Option<LearnedLoad>,
);

impl From<EngineLoadFields> for EngineLoad {
    fn from(fields: EngineLoadFields) -> Self {
        Self {
            pending_prefill: fields.0,
            reserved_kv: fields.1,
            prefill_tokens_per_second: fields.2,
            free_slots: fields.3,
            prefill_busy_percent: fields.4,
            learned: fields.5,
        }
    }
}

impl From<EngineLoad> for EngineLoadFields {
    fn from(load: EngineLoad) -> Self {
        Self(
            load.pending_prefill,
            load.reserved_kv,
            load.prefill_tokens_per_second,
            load.free_slots,
            load.prefill_busy_percent,
            load.learned,
        )
    }
}

/// Load of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// Configured name.
    pub name: UpstreamName,
    /// Targets that the upstream serves.
    pub serves: Served,
    /// Whether the upstream accepts new requests.
    pub takes_work: bool,
    /// Number of running requests.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub batch: u32,
    /// Maximum number of resident adapters.
    pub slots: u32,
    /// Adapters that accept requests.
    pub ready: Vec<AdapterRef>,
    /// Adapters whose load is in flight.
    pub loading: Vec<AdapterRef>,
    /// Capacity of the KV cache, in tokens; 0 if unknown.
    pub kv_tokens: u64,
    /// Load in tokens; `None` if the capacity of the KV cache is unknown.
    pub engine: Option<EngineLoad>,
    /// Limit that the upstream names for the requests of all senders together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<RateLimit>,
    /// Whether the rate limit allows no dispatch yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub waits_for_rate: bool,
}

/// Kind of the targets that an upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Served {
    /// One base model and adapters of it.
    BaseModel(Box<str>),
    /// Plain service, which has neither a model nor adapters.
    Service(ServiceName),
}

/// Adapter that is needed but neither resident nor loading. Encoded without field names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PendingLoadFields", into = "PendingLoadFields")]
pub struct PendingLoad {
    /// Adapter and version to load.
    pub adapter: AdapterRef,
    /// Number of queued requests for the adapter, or of expected ones for a preload.
    pub waiting: u32,
    /// Age of the oldest of the queued requests; zero for a preload.
    pub oldest: Duration,
    /// Highest priority among the queued requests; normal for a preload.
    pub priority: Priority,
}

/// Encoded form of [`PendingLoad`]: name and version of the adapter, waiting requests,
/// age in milliseconds, priority.
type PendingLoadFields = (AdapterName, Version, u32, u32, Priority);

impl From<PendingLoadFields> for PendingLoad {
    fn from((name, version, waiting, oldest_ms, priority): PendingLoadFields) -> Self {
        Self {
            adapter: AdapterRef { name, version },
            waiting,
            oldest: Duration::from_millis(oldest_ms.into()),
            priority,
        }
    }
}

impl From<PendingLoad> for PendingLoadFields {
    fn from(pending: PendingLoad) -> Self {
        let AdapterRef { name, version } = pending.adapter;
        let oldest_ms = u32::try_from(pending.oldest.as_millis()).unwrap_or(u32::MAX);
        (name, version, pending.waiting, oldest_ms, pending.priority)
    }
}

/// Load of one agent at a point in time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Load of each upstream.
    pub upstreams: Vec<UpstreamReport>,
    /// Number of requests in the agent's queue.
    pub queued: u32,
    /// Moving average of run times.
    pub mean_run: Duration,
    /// Adapters that wait to be loaded, by descending cost of delay.
    #[serde(rename = "wants")]
    pub pending_loads: Vec<PendingLoad>,
}

/// State of an adapter on an upstream after a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdapterState {
    /// The adapter is neither ready nor being loaded.
    #[serde(rename = "a")]
    Absent,
    /// The load of the adapter is in flight.
    #[serde(rename = "l")]
    Loading,
    /// The adapter accepts requests.
    #[serde(rename = "r")]
    Ready,
}

/// Change of one adapter since the previous report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "AdapterChangeFields", into = "AdapterChangeFields")]
pub struct AdapterChange {
    /// Index of the upstream in the full report.
    pub upstream: u32,
    /// Adapter that has changed.
    pub adapter: AdapterRef,
    /// State of the adapter now.
    pub state: AdapterState,
}

/// Encoded form of [`AdapterChange`]: upstream, state, name and version of the adapter.
type AdapterChangeFields = (u32, AdapterState, AdapterName, Version);

impl From<AdapterChangeFields> for AdapterChange {
    fn from((upstream, state, name, version): AdapterChangeFields) -> Self {
        Self {
            upstream,
            adapter: AdapterRef { name, version },
            state,
        }
    }
}

impl From<AdapterChange> for AdapterChangeFields {
    fn from(change: AdapterChange) -> Self {
        let AdapterRef { name, version } = change.adapter;
        (change.upstream, change.state, name, version)
    }
}

/// Fields of a report that change with every request, and the adapters that have
/// changed since the previous report. Encoded without field names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "ReportLoadFields", into = "ReportLoadFields")]
pub struct ReportLoad {
    /// Number of running requests of each upstream, in the order of the full report.
    pub running: Vec<u32>,
    /// Load of each upstream in tokens, in the order of the full report.
    pub engines: Vec<Option<EngineLoad>>,
    /// Number of requests in the agent's queue.
    pub queued: u32,
    /// Moving average of run times, in whole milliseconds.
    pub mean_run: Duration,
    /// Adapters that wait to be loaded, by descending cost of delay.
    pub pending_loads: Vec<PendingLoad>,
    /// Adapters that have changed since the previous report.
    pub adapter_changes: Vec<AdapterChange>,
}

/// Encoded form of [`ReportLoad`]: its fields in their order, with the average of run
/// times in milliseconds.
type ReportLoadFields = (
    Vec<u32>,
    Vec<Option<EngineLoad>>,
    u32,
    u32,
    Vec<PendingLoad>,
    Vec<AdapterChange>,
);

impl From<ReportLoadFields> for ReportLoad {
    fn from(fields: ReportLoadFields) -> Self {
        let (running, engines, queued, mean_run_ms, pending_loads, adapter_changes) = fields;
        Self {
            running,
            engines,
            queued,
            mean_run: Duration::from_millis(mean_run_ms.into()),
            pending_loads,
            adapter_changes,
        }
    }
}

impl From<ReportLoad> for ReportLoadFields {
    fn from(load: ReportLoad) -> Self {
        (
            load.running,
            load.engines,
            load.queued,
            u32::try_from(load.mean_run.as_millis()).unwrap_or(u32::MAX),
            load.pending_loads,
            load.adapter_changes,
        )
    }
}

/// Full report, or the changes since the previous one on the same connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportUpdate {
    /// Full report.
    Full(Report),
    /// Current load and changed adapters; all else is as in the previous report.
    Load(ReportLoad),
}

impl ReportUpdate {
    /// Returns whether the adapters of an upstream may differ from the previous report.
    pub fn changes_adapters(&self) -> bool {
        match self {
            Self::Full(_) => true,
            Self::Load(load) => !load.adapter_changes.is_empty(),
        }
    }
}

impl Report {
    /// Returns the update to send to a receiver whose previous report is `last`.
    pub fn update_since(&self, last: Option<&Self>) -> ReportUpdate {
        match last {
            Some(last) if self.has_same_upstreams(last) => ReportUpdate::Load(ReportLoad {
                adapter_changes: self.adapter_changes(last),
                ..self.load()
            }),
            Some(_) | None => ReportUpdate::Full(self.clone()),
        }
    }

    /// Returns the report that results from applying `update` to `last`.
    ///
    /// Returns `None` for an update of the load without a previous report.
    pub fn apply_update(last: Option<&Self>, update: ReportUpdate) -> Option<Self> {
        match update {
            ReportUpdate::Full(report) => Some(report),
            ReportUpdate::Load(load) => last.map(|last| last.with_load(load)),
        }
    }

    fn load(&self) -> ReportLoad {
        ReportLoad {
            running: self
                .upstreams
                .iter()
                .map(|upstream| upstream.running)
                .collect(),
            engines: self
                .upstreams
                .iter()
                .map(|upstream| upstream.engine)
                .collect(),
            queued: self.queued,
            mean_run: self.mean_run,
            pending_loads: self.pending_loads.clone(),
            adapter_changes: Vec::new(),
        }
    }

    fn with_load(&self, load: ReportLoad) -> Self {
        let mut upstreams = self.upstreams.clone();
        for (upstream, running) in upstreams.iter_mut().zip(load.running) {
            upstream.running = running;
        }
        for (upstream, engine) in upstreams.iter_mut().zip(load.engines) {
            upstream.engine = engine;
        }
        for change in load.adapter_changes {
            let index = usize::try_from(change.upstream).unwrap_or(usize::MAX);
            if let Some(upstream) = upstreams.get_mut(index) {
                upstream.apply(change);
            }
        }
        Self {
            upstreams,
            queued: load.queued,
            mean_run: load.mean_run,
            pending_loads: load.pending_loads,
        }
    }

    /// Returns whether the upstreams of both reports differ at most in their load and
    /// adapters.
    fn has_same_upstreams(&self, last: &Self) -> bool {
        let is_same = |(a, b): (&UpstreamReport, &UpstreamReport)| {
            a.takes_work == b.takes_work
                && a.name == b.name
                && a.serves == b.serves
                && (a.batch, a.slots, a.kv_tokens) == (b.batch, b.slots, b.kv_tokens)
                && (a.rate_limit, a.waits_for_rate) == (b.rate_limit, b.waits_for_rate)
        };
        let mut pairs = self.upstreams.iter().zip(&last.upstreams);
        self.upstreams.len() == last.upstreams.len() && pairs.all(is_same)
    }

    /// Returns the adapters whose state differs from that in `last`, which has the same
    /// upstreams.
    fn adapter_changes(&self, last: &Self) -> Vec<AdapterChange> {
        let pairs = self.upstreams.iter().zip(&last.upstreams).zip(0..);
        let changes = pairs.flat_map(|((current, last), upstream)| {
            let is_known = |adapter: &&AdapterRef| {
                current.ready.contains(adapter) || current.loading.contains(adapter)
            };
            let gone = last.ready.iter().chain(&last.loading);
            let gone = gone.filter(move |adapter| !is_known(adapter));
            let gone = gone.map(|adapter| (adapter, AdapterState::Absent));
            let loading = current.loading.iter();
            let loading = loading.filter(|adapter| !last.loading.contains(adapter));
            let loading = loading.map(|adapter| (adapter, AdapterState::Loading));
            let ready = current.ready.iter();
            let ready = ready.filter(|adapter| !last.ready.contains(adapter));
            let ready = ready.map(|adapter| (adapter, AdapterState::Ready));
            let changed = gone.chain(loading).chain(ready);
            changed.map(move |(adapter, state)| AdapterChange {
                upstream,
                adapter: adapter.clone(),
                state,
            })
        });
        changes.collect()
    }
}

impl UpstreamReport {
    fn apply(&mut self, change: AdapterChange) {
        self.ready.retain(|adapter| *adapter != change.adapter);
        self.loading.retain(|adapter| *adapter != change.adapter);
        let adapters = match change.state {
            AdapterState::Absent => return,
            AdapterState::Loading => &mut self.loading,
            AdapterState::Ready => &mut self.ready,
        };
        adapters.push(change.adapter);
        // As in a full report, so that equal sets compare equal.
        adapters.sort_unstable();
    }
}

impl PendingLoad {
    /// Returns the cost of delaying the load, in request-seconds weighted by
    /// priority.
    ///
    /// The age has an offset of 0.1 s, so that loads without an age, such as preloads,
    /// are ranked by the number of requests.
    pub fn delay_cost(&self) -> f64 {
        let weight = match self.priority {
            Priority::Low => 0.5,
            Priority::Normal => 1.0,
            Priority::High => 2.0,
        };
        weight * f64::from(self.waiting) * (0.1 + self.oldest.as_secs_f64())
    }
}
