//! State that an entry keeps for each agent.

use crate::reachability::Reachability;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::PrefixIndex;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Maximum time from sending an attempt until a load report reflects it: the report
/// interval plus a round trip between failure domains.
const MAX_REPORT_LAG: Duration = Duration::from_millis(110);

/// Maximum number of requests that one entry has in flight on an engine whose
/// agent is unreachable: a quarter of the batch of a current engine, divided
/// among four entries, since no entry sees the requests of the others.
const MAX_UNATTENDED_IN_FLIGHT: u32 = 8;

slotmap::new_key_type! {
    /// Identifies an agent within one [`Router`](crate::Router).
    pub struct AgentKey;
}

/// State of an adapter on an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The adapter is loaded and accepts requests.
    Ready,
    /// The adapter is being loaded, or this entry has requests for it in flight
    /// on the agent, which cause a load.
    Pending,
    /// The adapter was unloaded recently, and the host keeps a copy of it.
    HostCached,
    /// The adapter is neither loaded nor pending, and the host has no known copy of it.
    Absent,
}

/// State of one agent as known to an entry.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Name of the agent, or its address until the agent has connected.
    pub node: NodeId,
    /// Failure domain of the agent. Empty until the agent has connected.
    pub domain: FailureDomain,
    /// Whether the agent is connected and its copy of the catalogue is fresh.
    pub usable: bool,
    /// Whether the agent accepts no new requests, as announced by the agent itself
    /// or listed by the platform.
    pub leaving: bool,
    /// Service that the engine of the agent belongs to; `None` if it is not known.
    pub service: Option<ServiceName>,
    /// Version of the software of the engine of the agent; `None` if it is not known.
    pub software: Option<SoftwareVersion>,
    /// Whether requests of this entry reach the engine.
    pub reachability: Reachability,
    /// Time until which the engine of the agent wants no requests from this entry.
    pub paused_until: Option<Instant>,
    /// Whether the engine of the agent is reachable although the agent is not.
    /// Such an engine serves only the adapters that are already loaded, since only
    /// the agent can load another one.
    pub unattended: bool,
    /// Whether a response has named a limit on the requests of all entries to the engine. The
    /// agent keeps to the limit, so without the agent the engine gets no requests.
    pub rate_limited: bool,
    /// Latest load report and the time of its arrival.
    report: Option<(Instant, Report)>,
    /// Number of attempts that this entry has in flight on the agent.
    in_flight: u32,
    /// Attempts in flight on the agent by adapter.
    in_flight_by_adapter: HashMap<AdapterRef, u32>,
    /// Prompt prefixes that the KV cache of the engine is likely to hold.
    prefixes: PrefixIndex,
    /// Send time and number of uncached prompt tokens of recent attempts, oldest
    /// first, that the reports may not reflect yet.
    unreported: VecDeque<(Instant, u64)>,
    /// Unloaded adapters of which the host keeps a copy, oldest first.
    host_cached: VecDeque<AdapterRef>,
}

impl Agent {
    /// Creates the state of an agent of which only the name is known.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            domain: FailureDomain::default(),
            usable: false,
            leaving: false,
            service: None,
            software: None,
            reachability: Reachability::default(),
            paused_until: None,
            unattended: false,
            rate_limited: false,
            report: None,
            in_flight: 0,
            in_flight_by_adapter: HashMap::new(),
            prefixes: PrefixIndex::new(0),
            unreported: VecDeque::new(),
            host_cached: VecDeque::new(),
        }
    }

    /// Applies a full load report or a load update.
    ///
    /// The host is assumed to keep copies of the `host_cache_capacity` adapters that were
    /// unloaded last.
    pub fn on_report(&mut self, now: Instant, update: ReportUpdate, host_cache_capacity: usize) {
        let changes_adapters = update.changes_adapters();
        let previous: Vec<AdapterRef> = if changes_adapters {
            self.reported_adapters().cloned().collect()
        } else {
            Vec::new()
        };
        let report = Report::apply_update(self.last_report(), update);
        self.report = report.map(|report| (now, report)).or(self.report.take());
        let upstreams = self.report.iter().flat_map(|(_, report)| &report.upstreams);
        let kv_tokens = upstreams.map(|upstream| upstream.kv_tokens).sum();
        self.prefixes.set_capacity(kv_tokens);
        if changes_adapters {
            self.update_host_cached(previous, host_cache_capacity);
        }
    }

    /// Records the adapters of the `previous` report that have been unloaded, and
    /// drops the oldest host copies above `host_cache_capacity`.
    fn update_host_cached(&mut self, previous: Vec<AdapterRef>, host_cache_capacity: usize) {
        let reported: Vec<AdapterRef> = self.reported_adapters().cloned().collect();
        self.host_cached
            .retain(|adapter| !reported.contains(adapter));
        let unloaded = previous
            .into_iter()
            .filter(|adapter| !reported.contains(adapter));
        self.host_cached.extend(unloaded);
        let excess = self.host_cached.len().saturating_sub(host_cache_capacity);
        self.host_cached.drain(..excess);
    }

    /// Returns the number of prompt tokens that the engine of this agent would
    /// have to prefill, since the KV cache of the engine does not hold them.
    pub fn uncached_tokens(&self, target: &Target, demand: &Demand) -> u64 {
        let cached = self
            .prefixes
            .cached_tokens(&target.to_string(), &demand.parts);
        u64::from(demand.prompt_tokens).saturating_sub(cached)
    }

    /// Returns the number of uncached prompt tokens that were sent too recently for
    /// a load report to reflect them.
    pub fn unreported_tokens(&self, now: Instant) -> u64 {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_REPORT_LAG;
        let recent = self.unreported.iter().filter(|(at, _)| is_recent(at));
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// Returns the number of attempts that were sent too recently for a load report to reflect
    /// them.
    pub fn unreported_attempts(&self, now: Instant) -> usize {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_REPORT_LAG;
        self.unreported
            .iter()
            .filter(|(at, _)| is_recent(at))
            .count()
    }

    /// Records the prompt of an attempt that is sent to the agent: its prefix as
    /// cached by the engine, and its uncached tokens as not reported yet.
    pub fn record_prompt(&mut self, now: Instant, target: &Target, demand: &Demand) {
        let uncached = self.uncached_tokens(target, demand);
        self.prefixes.record(&target.to_string(), &demand.parts);
        let is_reported = |at: Instant| now.saturating_duration_since(at) >= MAX_REPORT_LAG;
        while self
            .unreported
            .front()
            .is_some_and(|(at, _)| is_reported(*at))
        {
            self.unreported.pop_front();
        }
        self.unreported.push_back((now, uncached));
    }

    /// Returns the number of adapters that wait to be loaded on the agent, by its
    /// latest report.
    pub fn pending_load_count(&self) -> usize {
        self.last_report()
            .map_or(0, |report| report.pending_loads.len())
    }

    /// Returns the adapters that the latest report lists as ready or loading.
    pub fn reported_adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        let upstreams = self
            .last_report()
            .into_iter()
            .flat_map(|report| &report.upstreams);
        upstreams.flat_map(|upstream| upstream.ready.iter().chain(&upstream.loading))
    }

    /// Returns the latest load report if the report is younger than `max_age`.
    ///
    /// The report of an unattended engine does not expire, since the agent cannot
    /// send another one.
    pub fn report(&self, now: Instant, max_age: Duration) -> Option<&Report> {
        let (at, report) = self.report.as_ref()?;
        if self.unattended {
            return Some(report);
        }
        (now.saturating_duration_since(*at) < max_age).then_some(report)
    }

    /// Returns the latest load report regardless of its age.
    pub fn last_report(&self) -> Option<&Report> {
        self.report.as_ref().map(|(_, report)| report)
    }

    /// Returns whether an upstream of the agent that accepts requests can serve `target`.
    ///
    /// Returns `false` until the agent has sent its first report.
    pub fn serves(&self, target: &Target) -> bool {
        let upstreams = self.report.iter().flat_map(|(_, report)| &report.upstreams);
        let mut accepting = upstreams.filter(|upstream| upstream.takes_work);
        accepting.any(|upstream| serves(upstream, target))
    }

    /// Returns whether an unattended engine may get a request for `target`.
    ///
    /// Without the agent there is no admission control, so each entry limits its
    /// own requests in flight to 8. An adapter must be loaded already, since only
    /// the agent can load one. An engine that limits the requests of all entries gets none.
    pub fn accepts_unattended(&self, target: &Target) -> bool {
        if self.is_rate_limited() {
            return false;
        }
        let is_ready = target
            .adapter()
            .is_none_or(|adapter| self.presence(adapter) == Presence::Ready);
        is_ready && self.in_flight < MAX_UNATTENDED_IN_FLIGHT
    }

    /// Returns whether the engine limits the requests of all entries, as far as known.
    pub fn is_rate_limited(&self) -> bool {
        let mut upstreams = self.report.iter().flat_map(|(_, report)| &report.upstreams);
        self.rate_limited || upstreams.any(|upstream| upstream.rate_limit.is_some())
    }

    /// Removes `adapter` from the ready adapters of the latest report, since the
    /// engine does not have it.
    pub fn mark_adapter_missing(&mut self, adapter: &AdapterRef) {
        if let Some((_, report)) = &mut self.report {
            for upstream in &mut report.upstreams {
                upstream.ready.retain(|ready| ready != adapter);
            }
        }
    }

    /// Returns whether new requests may be sent to the agent or, if the agent is
    /// unattended, to its engine.
    pub fn accepts_requests(&self) -> bool {
        (self.usable || self.unattended) && !self.leaving
    }

    /// Returns whether the engine belongs to the given service; `None` stands for any.
    pub fn is_of_service(&self, service: Option<&str>) -> bool {
        service.is_none_or(|service| self.service.as_deref() == Some(service))
    }

    /// Returns whether the engine runs the given version of its software; `None` stands for any.
    pub fn runs_software(&self, software: Option<&str>) -> bool {
        software.is_none_or(|software| self.software.as_deref() == Some(software))
    }

    /// Returns whether the engine has asked for a pause that has not ended.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Records an attempt that is sent to the agent.
    pub fn begin_attempt(&mut self, target: &Target) {
        self.in_flight += 1;
        if let Some(adapter) = target.adapter() {
            *self
                .in_flight_by_adapter
                .entry(adapter.clone())
                .or_default() += 1;
        }
    }

    /// Records the end of an attempt that was sent to the agent.
    pub fn end_attempt(&mut self, target: &Target) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(adapter) = target.adapter() else {
            return;
        };
        if let Some(count) = self.in_flight_by_adapter.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                self.in_flight_by_adapter.remove(adapter);
            }
        }
    }

    /// Returns the number of attempts that this entry has in flight on the agent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the state of `adapter` on this agent.
    pub fn presence(&self, adapter: &AdapterRef) -> Presence {
        let upstreams = || self.report.iter().flat_map(|(_, report)| &report.upstreams);
        if upstreams().any(|upstream| upstream.takes_work && upstream.ready.contains(adapter)) {
            return Presence::Ready;
        }
        let loading = upstreams().any(|upstream| upstream.loading.contains(adapter));
        if loading || self.in_flight_by_adapter.contains_key(adapter) {
            return Presence::Pending;
        }
        if self.host_cached.contains(adapter) {
            return Presence::HostCached;
        }
        Presence::Absent
    }
}

/// Returns whether `upstream` serves the base model or the service of `target`.
pub fn serves(upstream: &UpstreamReport, target: &Target) -> bool {
    match (&upstream.serves, target) {
        (Served::BaseModel(served), Target::Adapter { base_model, .. }) => served == base_model,
        (Served::BaseModel(served), Target::BaseModel(name)) => served == name,
        (Served::Service(served), Target::Service(name)) => served == name,
        (Served::BaseModel(_), Target::Service(_))
        | (Served::Service(_), Target::Adapter { .. } | Target::BaseModel(_)) => false,
    }
}
