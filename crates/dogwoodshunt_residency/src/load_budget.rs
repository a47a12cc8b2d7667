//! Permission to start loads: grants of the granter or, while the granter is
//! unreachable, a local token bucket.

use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Permissions of this agent to start loads.
///
/// Grants apply whether or not the granter is reachable; the token bucket applies
/// only while the granter is unreachable.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    loads_per_second: f64,
    burst: f64,
    granter_timeout: Duration,
    last_granter_message: Option<Instant>,
    /// Unused grants, with their expiry.
    grants: HashMap<AdapterRef, Instant>,
    /// Loads that may start now without a grant.
    bucket_tokens: f64,
    last_refill: Option<Instant>,
}

impl LoadBudget {
    /// Creates a budget without grants.
    ///
    /// The token bucket that applies while the granter is unreachable refills at
    /// `loads_per_second` and holds up to `burst` loads.
    pub fn new(loads_per_second: f64, burst: f64, granter_timeout: Duration) -> Self {
        Self {
            loads_per_second,
            burst,
            granter_timeout,
            last_granter_message: None,
            grants: HashMap::new(),
            bucket_tokens: burst,
            last_refill: None,
        }
    }

    /// Records that the granter sent a message and is therefore reachable.
    pub fn on_granter_message(&mut self, now: Instant) {
        self.last_granter_message = Some(now);
    }

    /// Records a grant to load `adapter` until `expires_at`.
    pub fn on_grant(&mut self, now: Instant, adapter: AdapterRef, expires_at: Instant) {
        self.on_granter_message(now);
        self.grants.insert(adapter, expires_at);
    }

    /// Returns whether the granter has sent a message within its timeout.
    pub fn has_granter(&self, now: Instant) -> bool {
        self.last_granter_message
            .is_some_and(|at| now.saturating_duration_since(at) < self.granter_timeout)
    }

    /// Returns whether [`LoadBudget::try_take`] would succeed.
    pub fn allows(&mut self, now: Instant, adapter: &AdapterRef) -> bool {
        let granted = self
            .grants
            .get(adapter)
            .is_some_and(|expires_at| *expires_at > now);
        granted || (!self.has_granter(now) && self.refill(now) >= 1.0)
    }

    /// Uses up a permission to load `adapter` and returns whether there was one.
    pub fn try_take(&mut self, now: Instant, adapter: &AdapterRef) -> bool {
        self.grants.retain(|_, expires_at| *expires_at > now);
        if self.grants.remove(adapter).is_some() {
            return true;
        }
        if self.has_granter(now) || self.refill(now) < 1.0 {
            return false;
        }
        self.bucket_tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) -> f64 {
        let last_refill = self.last_refill.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last_refill).as_secs_f64();
        self.last_refill = Some(now);
        self.bucket_tokens = (self.bucket_tokens + elapsed * self.loads_per_second).min(self.burst);
        self.bucket_tokens
    }
}
