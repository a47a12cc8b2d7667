//! Decisions of the granter.

use bon::Builder;
use dogwoodshunt_residency::LoadWant;
use dogwoodshunt_residency::Report;
use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

/// Loads that may start at once after a quiet time.
const BURST: f64 = 2.0;

/// Limits of the weight store.
#[derive(Builder, Clone, Debug)]
pub struct Settings {
    /// Loads per second that the store allows.
    #[builder(default = 4.0)]
    pub loads_per_second: f64,
    /// Loads in flight up to which the store is not slowed down.
    #[builder(default = 8)]
    pub most_in_flight: usize,
    /// How long a grant may be used.
    #[builder(default = Duration::from_secs(1))]
    pub valid_for: Duration,
    /// Age at which an agent's report no longer counts.
    #[builder(default = Duration::from_secs(2))]
    pub report_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Permission for one load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant<A> {
    /// Agent that may load.
    pub agent: A,
    /// Adapter that it may load.
    pub adapter: AdapterRef,
    /// How long it may start to.
    pub valid_for: Duration,
}

#[derive(Clone, Debug)]
struct Demand {
    at: Instant,
    wants: Vec<LoadWant>,
    loading: usize,
    present: HashSet<AdapterRef>,
}

/// Demand of all agents, and the grants that are out.
#[derive(Clone, Debug)]
pub struct Granter<A> {
    settings: Settings,
    demands: HashMap<A, Demand>,
    copies: HashMap<AdapterRef, usize>,
    granted: Vec<(A, AdapterRef, Instant)>,
    tokens: f64,
    refilled: Option<Instant>,
}

impl<A: Copy + Eq + Hash + Ord> Granter<A> {
    /// Creates a granter that knows no demand.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            demands: HashMap::new(),
            copies: HashMap::new(),
            granted: Vec::new(),
            tokens: BURST,
            refilled: None,
        }
    }

    /// Takes in an agent's report.
    pub fn on_report(&mut self, now: Instant, agent: A, report: &Report) {
        let upstreams = report.upstreams.iter();
        let present: HashSet<AdapterRef> = upstreams
            .clone()
            .flat_map(|upstream| upstream.ready.iter().chain(&upstream.loading))
            .cloned()
            .collect();
        let loading = upstreams.map(|upstream| upstream.loading.len()).sum();
        self.granted
            .retain(|(held, adapter, _)| *held != agent || !present.contains(adapter));
        for adapter in &present {
            *self.copies.entry(adapter.clone()).or_default() += 1;
        }
        let demand = Demand {
            at: now,
            wants: report.wants.clone(),
            loading,
            present,
        };
        let before = self.demands.insert(agent, demand);
        self.forget_copies(before);
    }

    /// Forgets an agent.
    pub fn on_agent_down(&mut self, agent: A) {
        let before = self.demands.remove(&agent);
        self.forget_copies(before);
        self.granted.retain(|(held, _, _)| *held != agent);
    }

    /// Returns the loads that may start now, the costliest wait first.
    pub fn decide(&mut self, now: Instant) -> Vec<Grant<A>> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Vec::new();
        }
        self.forget_silent(now);
        self.granted.retain(|(_, _, until)| *until > now);
        let mut grants = Vec::new();
        for (agent, adapter) in self.by_cost() {
            if self.tokens < 1.0 || self.in_flight() >= self.settings.most_in_flight {
                break;
            }
            self.tokens -= 1.0;
            let until = now + self.settings.valid_for;
            self.granted.push((agent, adapter.clone(), until));
            grants.push(Grant {
                agent,
                adapter,
                valid_for: self.settings.valid_for,
            });
        }
        grants
    }

    fn forget_silent(&mut self, now: Instant) {
        let limit = self.settings.report_limit;
        let silent = self
            .demands
            .iter()
            .filter(|(_, demand)| now.saturating_duration_since(demand.at) >= limit);
        let silent: Vec<A> = silent.map(|(agent, _)| *agent).collect();
        for agent in silent {
            self.on_agent_down(agent);
        }
    }

    fn forget_copies(&mut self, demand: Option<Demand>) {
        for adapter in demand.into_iter().flat_map(|demand| demand.present) {
            if let Some(copies) = self.copies.get_mut(&adapter) {
                *copies -= 1;
                if *copies == 0 {
                    self.copies.remove(&adapter);
                }
            }
        }
    }

    fn refill(&mut self, now: Instant) {
        let since = self.refilled.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.refilled = Some(now);
        self.tokens = (self.tokens + elapsed * self.settings.loads_per_second).min(BURST);
    }

    fn in_flight(&self) -> usize {
        let loading: usize = self.demands.values().map(|demand| demand.loading).sum();
        loading + self.granted.len()
    }

    /// Returns the loads that are wanted and not granted, the costliest first.
    ///
    /// A second copy waits until no first copy is wanted.
    fn by_cost(&self) -> Vec<(A, AdapterRef)> {
        let mut wanted: Vec<(bool, f64, A, &AdapterRef)> = Vec::new();
        for (agent, demand) in &self.demands {
            for want in &demand.wants {
                if !self.is_granted(*agent, &want.adapter) {
                    let copy = self.is_copied(&want.adapter);
                    wanted.push((copy, want.cost(), *agent, &want.adapter));
                }
            }
        }
        wanted.sort_unstable_by(|a, b| {
            let by_copy = a.0.cmp(&b.0);
            let by_cost = b.1.total_cmp(&a.1);
            by_copy.then(by_cost).then(a.2.cmp(&b.2)).then(a.3.cmp(b.3))
        });
        // No more than the burst can be granted at once.
        let loads = wanted.into_iter().take(BURST as usize);
        loads
            .map(|(_, _, agent, adapter)| (agent, adapter.clone()))
            .collect()
    }

    fn is_granted(&self, agent: A, adapter: &AdapterRef) -> bool {
        let mut granted = self.granted.iter();
        granted.any(|(held, granted, _)| *held == agent && granted == adapter)
    }

    /// Returns whether another agent holds the adapter or may load it.
    fn is_copied(&self, adapter: &AdapterRef) -> bool {
        let granted = self.granted.iter().any(|(_, held, _)| held == adapter);
        granted || self.copies.contains_key(adapter)
    }
}
