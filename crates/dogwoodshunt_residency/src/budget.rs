//! Permission to load: grants from the granter, or this agent's own share.

use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Which loads this agent may start.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    share_per_second: f64,
    burst: f64,
    granter_timeout: Duration,
    granter_seen: Option<Instant>,
    grants: HashMap<AdapterRef, Instant>,
    tokens: f64,
    refilled: Option<Instant>,
}

impl LoadBudget {
    /// Creates a budget of `share_per_second` loads while no granter answers,
    /// and of up to `burst` at once.
    pub fn new(share_per_second: f64, burst: f64, granter_timeout: Duration) -> Self {
        Self {
            share_per_second,
            burst,
            granter_timeout,
            granter_seen: None,
            grants: HashMap::new(),
            tokens: burst,
            refilled: None,
        }
    }

    /// Records that the granter is alive.
    pub fn on_granter(&mut self, now: Instant) {
        self.granter_seen = Some(now);
    }

    /// Records a grant for `adapter` that lapses at `until`.
    pub fn on_grant(&mut self, now: Instant, adapter: AdapterRef, until: Instant) {
        self.on_granter(now);
        self.grants.insert(adapter, until);
    }

    /// Returns whether the granter has answered within its timeout.
    pub fn has_granter(&self, now: Instant) -> bool {
        self.granter_seen
            .is_some_and(|seen| now.saturating_duration_since(seen) < self.granter_timeout)
    }

    /// Returns whether [`LoadBudget::take`] would succeed.
    pub fn allows(&mut self, now: Instant, adapter: &AdapterRef) -> bool {
        let granted = self.grants.get(adapter).is_some_and(|until| *until > now);
        granted || (!self.has_granter(now) && self.refill(now) >= 1.0)
    }

    /// Takes the permission to load `adapter`, if there is one.
    pub fn take(&mut self, now: Instant, adapter: &AdapterRef) -> bool {
        self.grants.retain(|_, until| *until > now);
        if self.grants.remove(adapter).is_some() {
            return true;
        }
        if self.has_granter(now) || self.refill(now) < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) -> f64 {
        let since = self.refilled.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.refilled = Some(now);
        self.tokens = (self.tokens + elapsed * self.share_per_second).min(self.burst);
        self.tokens
    }
}
