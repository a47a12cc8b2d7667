//! What an entry knows of one agent.

use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::PrefixRecord;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Serves;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NodeId;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time after which a report shows an attempt: the interval of reports and a
/// round trip between failure domains.
const REPORT_LAG: Duration = Duration::from_millis(110);

/// Requests that one entry has in flight at an engine without its agent: a
/// fourth of a present engine's batch over four entries, since none of them
/// sees the others' requests.
const UNATTENDED_RUNS: u32 = 8;

slotmap::new_key_type! {
    /// Names an agent that the entry knows.
    pub struct AgentKey;
}

/// How near an adapter is to being ready on an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Nearness {
    /// The adapter takes requests.
    Ready,
    /// The adapter is being loaded, or this entry has just sent a request for it.
    Coming,
    /// The adapter was there lately, and its host keeps a copy.
    Copied,
    /// The adapter is not there.
    Absent,
}

/// What an entry knows of one agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Name of the agent; its address until it has connected.
    pub node: NodeId,
    /// Failure domain that it stands in; empty until it has connected.
    pub domain: FailureDomain,
    /// Whether it is connected and trusts its catalogue.
    pub usable: bool,
    /// Whether it takes no new work, by any source.
    pub leaving: bool,
    /// Whether it is out of reach while its engine is not: the engine runs what
    /// it holds, and nobody loads anything else.
    pub unattended: bool,
    report: Option<(Instant, Report)>,
    in_flight: u32,
    expected: HashMap<AdapterRef, u32>,
    prefixes: PrefixRecord,
    unseen: VecDeque<(Instant, u64)>,
    copies: VecDeque<AdapterRef>,
}

impl Agent {
    /// Creates an agent of which nothing is known but its name.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            domain: FailureDomain::default(),
            usable: false,
            leaving: false,
            unattended: false,
            report: None,
            in_flight: 0,
            expected: HashMap::new(),
            prefixes: PrefixRecord::new(0),
            unseen: VecDeque::new(),
            copies: VecDeque::new(),
        }
    }

    /// Takes in a load report, or what of it has changed.
    ///
    /// The host keeps copies of the last `host_copies` adapters that have left.
    pub fn on_report(&mut self, now: Instant, update: ReportUpdate, host_copies: usize) {
        let before: Vec<AdapterRef> = match &update {
            ReportUpdate::Full(_) => self.reported().cloned().collect(),
            ReportUpdate::Load(_) => Vec::new(),
        };
        let report = Report::updated(self.last_report(), update);
        self.report = report.map(|report| (now, report)).or(self.report.take());
        let reports = self.report.iter().flat_map(|(_, report)| &report.upstreams);
        let kv_tokens = reports.map(|upstream| upstream.kv_tokens).sum();
        self.prefixes.set_capacity(kv_tokens);
        self.note_copies(before, host_copies);
    }

    /// Notes which adapters have left the engines since `before`.
    fn note_copies(&mut self, before: Vec<AdapterRef>, host_copies: usize) {
        let present: Vec<AdapterRef> = self.reported().cloned().collect();
        self.copies.retain(|copy| !present.contains(copy));
        let left = before.into_iter().filter(|held| !present.contains(held));
        self.copies.extend(left);
        let excess = self.copies.len().saturating_sub(host_copies);
        self.copies.drain(..excess);
    }

    /// Returns how many tokens of a prompt an engine here would have to read.
    pub fn fresh_tokens(&self, target: &Target, demand: &Demand) -> u64 {
        let kept = self
            .prefixes
            .kept_tokens(&target.to_string(), &demand.parts);
        u64::from(demand.prompt_tokens).saturating_sub(kept)
    }

    /// Returns the prompt tokens sent so lately that no report shows them.
    pub fn unseen_tokens(&self, now: Instant) -> u64 {
        let young = |at: &Instant| now.saturating_duration_since(*at) < REPORT_LAG;
        let sent = self.unseen.iter().filter(|(at, _)| young(at));
        sent.map(|(_, tokens)| tokens).sum()
    }

    /// Records the prompt of an attempt that was sent to the agent.
    pub fn reserve_tokens(&mut self, now: Instant, target: &Target, demand: &Demand) {
        let fresh = self.fresh_tokens(target, demand);
        self.prefixes.record(&target.to_string(), &demand.parts);
        let old = |at: Instant| now.saturating_duration_since(at) >= REPORT_LAG;
        while self.unseen.front().is_some_and(|(at, _)| old(*at)) {
            self.unseen.pop_front();
        }
        self.unseen.push_back((now, fresh));
    }

    /// Returns how many loads the agent waits for.
    pub fn wanted(&self) -> usize {
        self.last_report().map_or(0, |report| report.wants.len())
    }

    /// Returns the adapters that the last report shows ready or loading.
    pub fn reported(&self) -> impl Iterator<Item = &AdapterRef> {
        let upstreams = self
            .last_report()
            .into_iter()
            .flat_map(|report| &report.upstreams);
        upstreams.flat_map(|upstream| upstream.ready.iter().chain(&upstream.loading))
    }

    /// Returns the load report if it is younger than `limit`.
    pub fn report(&self, now: Instant, limit: Duration) -> Option<&Report> {
        let (at, report) = self.report.as_ref()?;
        if self.unattended {
            return Some(report);
        }
        (now.saturating_duration_since(*at) < limit).then_some(report)
    }

    /// Returns the last load report, however old.
    pub fn last_report(&self) -> Option<&Report> {
        self.report.as_ref().map(|(_, report)| report)
    }

    /// Returns whether any upstream of the agent can serve `target`.
    ///
    /// An agent that has not reported yet serves nothing that is known.
    pub fn serves(&self, target: &Target) -> bool {
        let upstreams = self.report.iter().flat_map(|(_, report)| &report.upstreams);
        let mut able = upstreams.filter(|upstream| upstream.takes_work);
        able.any(|upstream| serves(upstream, target))
    }

    /// Returns whether an engine without its agent may get a request for `target`.
    ///
    /// No one admits it there, so each entry sends a few at a time only.
    pub fn runs_unattended(&self, target: &Target) -> bool {
        let is_there = target
            .adapter()
            .is_none_or(|adapter| self.nearness(adapter) == Nearness::Ready);
        is_there && self.in_flight < UNATTENDED_RUNS
    }

    /// Takes over that an adapter is not there, though the last report has it.
    pub fn forget_adapter(&mut self, adapter: &AdapterRef) {
        if let Some((_, report)) = &mut self.report {
            for upstream in &mut report.upstreams {
                upstream.ready.retain(|held| held != adapter);
            }
        }
    }

    /// Returns whether new work may be sent to the agent.
    pub fn takes_work(&self) -> bool {
        (self.usable || self.unattended) && !self.leaving
    }

    /// Records an attempt that was sent to the agent.
    pub fn reserve(&mut self, target: &Target) {
        self.in_flight += 1;
        if let Some(adapter) = target.adapter() {
            *self.expected.entry(adapter.clone()).or_default() += 1;
        }
    }

    /// Records that an attempt has ended.
    pub fn release(&mut self, target: &Target) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(adapter) = target.adapter() else {
            return;
        };
        if let Some(count) = self.expected.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                self.expected.remove(adapter);
            }
        }
    }

    /// Returns this entry's attempts in flight on the agent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how near `adapter` is to being ready.
    pub fn nearness(&self, adapter: &AdapterRef) -> Nearness {
        let reports = || self.report.iter().flat_map(|(_, report)| &report.upstreams);
        if reports().any(|upstream| upstream.takes_work && upstream.ready.contains(adapter)) {
            return Nearness::Ready;
        }
        let loading = reports().any(|upstream| upstream.loading.contains(adapter));
        if loading || self.expected.contains_key(adapter) {
            return Nearness::Coming;
        }
        if self.copies.contains(adapter) {
            return Nearness::Copied;
        }
        Nearness::Absent
    }
}

/// Returns whether `upstream` can serve `target`.
pub fn serves(upstream: &UpstreamReport, target: &Target) -> bool {
    match (&upstream.serves, target) {
        (Serves::BaseModel(held), Target::Adapter { base_model, .. }) => held == base_model,
        (Serves::BaseModel(held), Target::BaseModel(name)) => held == name,
        (Serves::Service(held), Target::Service(name)) => held == name,
        (Serves::BaseModel(_), Target::Service(_))
        | (Serves::Service(_), Target::Adapter { .. } | Target::BaseModel(_)) => false,
    }
}
