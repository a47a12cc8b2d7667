//! What an agent tells entries about its load.

use crate::job::AnyJob;
use crate::job::Target;
use crate::residency::Residency;
use crate::upstream::Base;
use crate::upstream::Kind;
use crate::upstream::Residence;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Most wants that one report carries.
const MAX_WANTS: usize = 16;

/// Step to which a percentage is rounded.
const PERCENT_STEP: f64 = 10.0;

/// Step to which a rate is rounded, in tokens a second.
const RATE_STEP: u64 = 1_000;

/// Load of an engine in tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Prompt tokens to read before a new request, running and waiting.
    #[serde(rename = "u")]
    pub unread: u64,
    /// KV cache tokens that running requests hold once complete.
    #[serde(rename = "h")]
    pub held: u64,
    /// Prompt tokens read in a second.
    #[serde(rename = "p")]
    pub tokens_per_second: u64,
    /// Places for adapters that are empty, or held by one that nothing uses.
    #[serde(rename = "f")]
    pub free_places: u32,
    /// Percentage of the last second in which prompts were read.
    #[serde(rename = "b")]
    pub reading_percent: u8,
}

/// Load of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// What it serves.
    pub serves: Serves,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Requests running on it.
    pub running: u32,
    /// Requests that run on it at once.
    pub batch: u32,
    /// Adapters that fit at once.
    pub slots: u32,
    /// Adapters that take requests.
    pub ready: Vec<AdapterRef>,
    /// Adapters that are being loaded.
    pub loading: Vec<AdapterRef>,
    /// Tokens that its KV cache holds; 0 where that is not known.
    pub kv_tokens: u64,
    /// Its load in tokens, where that is known.
    pub engine: Option<EngineLoad>,
}

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Serves {
    /// Adapters of one base model.
    BaseModel(Box<str>),
    /// A plain service.
    Service(ServiceName),
}

/// An adapter that waits for permission to be loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadWant {
    /// Adapter to load.
    pub adapter: AdapterRef,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Age of the oldest of them.
    pub oldest: Duration,
    /// Highest class among them.
    pub priority: Priority,
}

/// Load of one agent at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Load of each upstream.
    pub upstreams: Vec<UpstreamReport>,
    /// Requests that wait in the agent's queue.
    pub queued: u32,
    /// Mean time that a request runs.
    pub mean_run: Duration,
    /// Adapters that wait to be loaded, the costliest first.
    pub wants: Vec<LoadWant>,
}

/// The part of a report that changes with every request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportLoad {
    /// Requests running on each upstream, in the order of the report.
    #[serde(rename = "r")]
    pub running: Vec<u32>,
    /// Load in tokens of each upstream, in the order of the report.
    #[serde(rename = "e")]
    pub engines: Vec<Option<EngineLoad>>,
    /// Requests that wait in the agent's queue.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Mean time that a request runs.
    #[serde(rename = "m")]
    pub mean_run: Duration,
    /// Adapters that wait to be loaded, the costliest first.
    #[serde(rename = "w")]
    pub wants: Vec<LoadWant>,
}

/// A report, or what has changed since the last one on the same connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportUpdate {
    /// Everything.
    Full(Report),
    /// The load only; the upstreams and their adapters are as before.
    Load(ReportLoad),
}

impl Report {
    /// Returns what to send after `before` has been sent.
    pub fn update_after(&self, before: Option<&Self>) -> ReportUpdate {
        match before {
            Some(before) if self.differs_in_load_only(before) => ReportUpdate::Load(self.load()),
            Some(_) | None => ReportUpdate::Full(self.clone()),
        }
    }

    /// Takes in an update; a load without a report before it is passed over.
    pub fn updated(before: Option<&Self>, update: ReportUpdate) -> Option<Self> {
        match update {
            ReportUpdate::Full(report) => Some(report),
            ReportUpdate::Load(load) => before.map(|before| before.with_load(load)),
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
            wants: self.wants.clone(),
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
        Self {
            upstreams,
            queued: load.queued,
            mean_run: load.mean_run,
            wants: load.wants,
        }
    }

    fn differs_in_load_only(&self, before: &Self) -> bool {
        let same = |(a, b): (&UpstreamReport, &UpstreamReport)| {
            a.takes_work == b.takes_work && a.ready == b.ready && a.loading == b.loading
        };
        let pairs = self.upstreams.iter().zip(&before.upstreams);
        self.upstreams.len() == before.upstreams.len() && pairs.into_iter().all(same)
    }
}

impl Residency {
    /// Returns the present load.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            upstreams: self.upstream_reports(now),
            queued: to_u32(self.queued_len()),
            mean_run: self.mean_run(),
            wants: self.wants(now),
        }
    }

    fn upstream_reports(&self, now: Instant) -> Vec<UpstreamReport> {
        let with_state = |wanted: fn(&Residence) -> bool, key| -> Vec<AdapterRef> {
            let residents = self.upstream(key).into_iter().flat_map(|u| &u.residents);
            let chosen = residents.filter(|(_, resident)| wanted(&resident.state));
            let mut chosen: Vec<AdapterRef> = chosen.map(|(adapter, _)| adapter.clone()).collect();
            // In order, so that reports can be compared.
            chosen.sort_unstable();
            chosen
        };
        self.upstreams()
            .map(|(key, upstream)| UpstreamReport {
                name: upstream.name.clone(),
                serves: match &upstream.kind {
                    Kind::Engine { base_model } => Serves::BaseModel(base_model.clone()),
                    Kind::Service(name) => Serves::Service(name.clone()),
                },
                takes_work: upstream.takes_work()
                    && upstream.base == Base::Ready
                    && !self.is_leaving(),
                running: to_u32(upstream.running),
                batch: to_u32(upstream.room.batch),
                slots: to_u32(upstream.room.slots),
                kv_tokens: match upstream.room.kv_tokens {
                    u64::MAX => 0,
                    known => known,
                },
                engine: self.engine_load(now, key),
                ready: with_state(|s| *s == Residence::Ready, key),
                loading: with_state(|s| matches!(s, Residence::Loading { .. }), key),
            })
            .collect()
    }

    /// Returns the load of an engine whose KV cache is known.
    fn engine_load(&self, now: Instant, key: UpstreamKey) -> Option<EngineLoad> {
        let upstream = self.upstream(key)?;
        if upstream.room.kv_tokens == u64::MAX {
            return None;
        }
        let waiting = self.queue.iter().map(|job| match &self.jobs[*job] {
            AnyJob::Queued(job) if upstream.fits(&job.target) => {
                upstream.fresh_tokens(&job.target, &job.demand)
            }
            AnyJob::Queued(_) | AnyJob::Running(_) => 0,
        });
        let per_second = (upstream.tokens.pace.rate() * 1e3) as u64;
        let reading = upstream.tokens.pace.share(now) * 100.0 / PERCENT_STEP;
        Some(EngineLoad {
            unread: upstream.tokens.unread + waiting.sum::<u64>(),
            held: upstream.tokens.held,
            // Rounded, so that a report doesn't change with every answer.
            tokens_per_second: per_second / RATE_STEP * RATE_STEP,
            free_places: to_u32(self.free_places(upstream)),
            reading_percent: (reading.round() * PERCENT_STEP) as u8,
        })
    }

    fn free_places(&self, upstream: &Upstream) -> usize {
        let idle = upstream.residents.iter().filter(|(adapter, resident)| {
            let unused = resident.state == Residence::Ready && resident.pins == 0;
            unused && !self.is_waited_for(adapter)
        });
        let empty = upstream.room.slots.saturating_sub(upstream.residents.len());
        empty + idle.count()
    }

    /// Returns the adapters that wait to be loaded, the costliest first.
    pub fn wants(&self, now: Instant) -> Vec<LoadWant> {
        let mut wants: HashMap<&AdapterRef, LoadWant> = HashMap::new();
        for job in self.jobs() {
            let AnyJob::Queued(job) = job else { continue };
            let Target::Adapter { adapter, .. } = &job.target else {
                continue;
            };
            if self.is_resident_anywhere(adapter) {
                continue;
            }
            let age = now.saturating_duration_since(job.arrived);
            let want = wants.entry(adapter).or_insert_with(|| LoadWant {
                adapter: adapter.clone(),
                waiting: 0,
                oldest: Duration::ZERO,
                priority: Priority::Low,
            });
            want.waiting += 1;
            want.oldest = want.oldest.max(age);
            want.priority = want.priority.max(job.priority);
        }
        let mut wants: Vec<LoadWant> = wants.into_values().collect();
        wants.extend(self.preload_wants(now));
        wants.sort_by(|a, b| {
            let costs = b.cost().total_cmp(&a.cost());
            costs.then_with(|| a.adapter.cmp(&b.adapter))
        });
        wants.truncate(MAX_WANTS);
        wants
    }
}

impl Residency {
    /// Returns preloads as wants of as many requests as are expected soon.
    fn preload_wants(&self, now: Instant) -> impl Iterator<Item = LoadWant> {
        let preloads = self.preloads.keys();
        let missing = preloads
            .filter(|adapter| !self.is_resident_anywhere(adapter) && !self.is_waited_for(adapter));
        missing.map(move |adapter| LoadWant {
            adapter: adapter.clone(),
            waiting: to_u32(self.expected_requests(now, &adapter.name)),
            oldest: Duration::ZERO,
            priority: Priority::Normal,
        })
    }
}

impl LoadWant {
    /// Returns the cost of waiting longer, in requests times seconds.
    pub fn cost(&self) -> f64 {
        let class = match self.priority {
            Priority::Low => 0.5,
            Priority::Normal => 1.0,
            Priority::High => 2.0,
        };
        class * f64::from(self.waiting) * (0.1 + self.oldest.as_secs_f64())
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
