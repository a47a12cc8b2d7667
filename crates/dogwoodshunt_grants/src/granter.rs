//! The granter: a token bucket that limits the loads from the weight store, and
//! grants them by descending cost of delay.

use bon::Builder;
use dogwoodshunt_residency::PendingLoad;
use dogwoodshunt_residency::Report;
use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

/// Capacity of the token bucket: number of loads that may start at once after
/// an idle period.
const BURST_LOADS: f64 = 2.0;

/// Limits on loads from the weight store.
#[derive(Builder, Clone, Debug)]
pub struct GranterSettings {
    /// Loads per second that the weight store sustains.
    #[builder(default = 4.0)]
    pub loads_per_second: f64,
    /// Maximum number of loads in flight in the fleet. More loads would slow down the
    /// weight store.
    #[builder(default = 8)]
    pub max_in_flight: usize,
    /// Time after the grant within which the load must start.
    #[builder(default = Duration::from_secs(1))]
    pub valid_for: Duration,
    /// Age at which the report of an agent expires.
    #[builder(default = Duration::from_secs(2))]
    pub max_report_age: Duration,
}

impl Default for GranterSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Permission for one agent to load one adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant<A> {
    /// Agent that may load the adapter.
    pub agent: A,
    /// Adapter to load.
    pub adapter: AdapterRef,
    /// Time after the grant within which the load must start.
    pub valid_for: Duration,
}

/// Load demand of one agent, taken from its latest report.
#[derive(Clone, Debug)]
struct AgentDemand {
    reported_at: Instant,
    pending_loads: Vec<PendingLoad>,
    /// Number of loads that the agent has in progress.
    loading: usize,
    /// Adapters that the agent has ready or is loading.
    held: HashSet<AdapterRef>,
}

/// Load demand of all agents, and the grants that no load has used yet.
#[derive(Clone, Debug)]
pub struct Granter<A> {
    settings: GranterSettings,
    demands: HashMap<A, AgentDemand>,
    /// Number of agents that have each adapter ready or are loading it.
    holders: HashMap<AdapterRef, usize>,
    /// Grants whose load does not appear in a report yet: agent, adapter and expiry.
    outstanding: Vec<(A, AdapterRef, Instant)>,
    /// Fill level of the token bucket, in loads.
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl<A: Copy + Eq + Hash + Ord> Granter<A> {
    /// Creates a granter without demand and with a full token bucket.
    pub fn new(settings: GranterSettings) -> Self {
        Self {
            settings,
            demands: HashMap::new(),
            holders: HashMap::new(),
            outstanding: Vec::new(),
            tokens: BURST_LOADS,
            refilled_at: None,
        }
    }

    /// Replaces the demand of `agent` with the demand in `report`.
    ///
    /// A grant for an adapter that the report lists as ready or loading has been used
    /// and is removed.
    pub fn on_report(&mut self, now: Instant, agent: A, report: &Report) {
        let upstreams = report.upstreams.iter();
        let held: HashSet<AdapterRef> = upstreams
            .clone()
            .flat_map(|upstream| upstream.ready.iter().chain(&upstream.loading))
            .cloned()
            .collect();
        let loading = upstreams.map(|upstream| upstream.loading.len()).sum();
        self.outstanding
            .retain(|(grantee, adapter, _)| *grantee != agent || !held.contains(adapter));
        for adapter in &held {
            *self.holders.entry(adapter.clone()).or_default() += 1;
        }
        let demand = AgentDemand {
            reported_at: now,
            pending_loads: report.pending_loads.clone(),
            loading,
            held,
        };
        let previous = self.demands.insert(agent, demand);
        self.decrement_holders(previous);
    }

    /// Removes the demand of `agent` and its unused grants.
    pub fn on_agent_down(&mut self, agent: A) {
        let previous = self.demands.remove(&agent);
        self.decrement_holders(previous);
        self.outstanding.retain(|(grantee, _, _)| *grantee != agent);
    }

    /// Grants the loads that may start now and returns the grants, in order of
    /// preference: adapters that no agent has before further copies of other adapters,
    /// then by descending cost of delay.
    pub fn next_grants(&mut self, now: Instant) -> Vec<Grant<A>> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Vec::new();
        }
        self.expire_reports(now);
        self.outstanding
            .retain(|(_, _, expires_at)| *expires_at > now);
        let mut grants = Vec::new();
        for (agent, adapter) in self.candidates() {
            if self.tokens < 1.0 || self.in_flight() >= self.settings.max_in_flight {
                break;
            }
            self.tokens -= 1.0;
            let expires_at = now + self.settings.valid_for;
            self.outstanding.push((agent, adapter.clone(), expires_at));
            grants.push(Grant {
                agent,
                adapter,
                valid_for: self.settings.valid_for,
            });
        }
        grants
    }

    /// Removes agents whose latest report has expired.
    fn expire_reports(&mut self, now: Instant) {
        let max_age = self.settings.max_report_age;
        let expired = self
            .demands
            .iter()
            .filter(|(_, demand)| now.saturating_duration_since(demand.reported_at) >= max_age);
        let expired: Vec<A> = expired.map(|(agent, _)| *agent).collect();
        for agent in expired {
            self.on_agent_down(agent);
        }
    }

    /// Decrements the holder counts of the adapters in a replaced or removed demand.
    fn decrement_holders(&mut self, demand: Option<AgentDemand>) {
        for adapter in demand.into_iter().flat_map(|demand| demand.held) {
            if let Some(holders) = self.holders.get_mut(&adapter) {
                *holders -= 1;
                if *holders == 0 {
                    self.holders.remove(&adapter);
                }
            }
        }
    }

    fn refill(&mut self, now: Instant) {
        let refilled_at = self.refilled_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(refilled_at).as_secs_f64();
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * self.settings.loads_per_second).min(BURST_LOADS);
    }

    /// Returns the number of loads in progress or granted.
    fn in_flight(&self) -> usize {
        let loading: usize = self.demands.values().map(|demand| demand.loading).sum();
        loading + self.outstanding.len()
    }

    /// Returns the next loads to grant, in order of preference.
    ///
    /// Adapters that no agent holds or has a grant for come before further copies of
    /// other adapters. Within each group, the order is by descending cost of delay.
    fn candidates(&self) -> Vec<(A, AdapterRef)> {
        let mut candidates: Vec<(bool, f64, A, &AdapterRef)> = Vec::new();
        for (agent, demand) in &self.demands {
            for load in &demand.pending_loads {
                if !self.is_granted(*agent, &load.adapter) {
                    let further_copy = self.is_held_or_granted(&load.adapter);
                    candidates.push((further_copy, load.delay_cost(), *agent, &load.adapter));
                }
            }
        }
        candidates.sort_unstable_by(|a, b| {
            let by_copy = a.0.cmp(&b.0);
            let by_cost = b.1.total_cmp(&a.1);
            by_copy.then(by_cost).then(a.2.cmp(&b.2)).then(a.3.cmp(b.3))
        });
        // The token bucket never holds more than `BURST_LOADS`.
        let next = candidates.into_iter().take(BURST_LOADS as usize);
        next.map(|(_, _, agent, adapter)| (agent, adapter.clone()))
            .collect()
    }

    fn is_granted(&self, agent: A, adapter: &AdapterRef) -> bool {
        let mut grants = self.outstanding.iter();
        grants.any(|(grantee, granted, _)| *grantee == agent && granted == adapter)
    }

    /// Returns whether any agent holds `adapter`, is loading it or has a grant for it.
    fn is_held_or_granted(&self, adapter: &AdapterRef) -> bool {
        let has_grant = self
            .outstanding
            .iter()
            .any(|(_, granted, _)| granted == adapter);
        has_grant || self.holders.contains_key(adapter)
    }
}
