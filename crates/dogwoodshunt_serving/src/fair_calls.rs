//! Bound on the calls in flight of one workspace to the upstreams of a plain service.
//!
//! The upstreams have few slots, queue nothing, and refuse calls while all slots are in use. An
//! entry learns from these refusals how many calls of its own they take. While they refuse, a
//! workspace with its equal part of these calls in flight gets one more only if that leaves a place
//! to the other workspaces that call.
//!
//! Calls without a workspace are never bounded, nor is a workspace that is alone.

use dogwoodshunt_types::WorkspaceName;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time after a refusal of an upstream for which its service counts as short of slots.
const SHORTAGE: Duration = Duration::from_secs(1);

/// Time after its last call for which a workspace is counted among those that share the slots.
const ACTIVE: Duration = Duration::from_secs(2);

/// Age from which a call is no longer counted as in flight, although its end was not reported.
const MAX_CALL: Duration = Duration::from_secs(30);

/// Maximum number of workspaces that are counted; calls of others are not bounded.
const MAX_WORKSPACES: usize = 256;

/// Weight of the newest refusal in the moving average of the calls that the upstreams take.
const SMOOTHING: f64 = 0.3;

/// Calls of one workspace.
#[derive(Clone, Debug)]
struct Calls {
    /// Start times of the calls in flight.
    started: VecDeque<Instant>,
    last_asked_at: Instant,
}

/// The calls of this entry to a plain service, by workspace.
#[derive(Clone, Debug, Default)]
pub struct FairCalls {
    by_workspace: BTreeMap<WorkspaceName, Calls>,
    short_until: Option<Instant>,
    /// Calls of this entry that the upstreams take at a time.
    capacity: Option<f64>,
}

impl FairCalls {
    /// Counts a call of `workspace` as in flight.
    ///
    /// # Errors
    ///
    /// Returns the time for which the service stays short of slots, unless upstreams refuse
    /// further calls, if the workspace has its part of the slots in use and the other workspaces
    /// that call need the rest.
    pub fn begin(&mut self, now: Instant, workspace: &WorkspaceName) -> Result<(), Duration> {
        self.forget_ended(now);
        let is_full = self.by_workspace.len() >= MAX_WORKSPACES;
        if is_full && !self.by_workspace.contains_key(workspace) {
            return Ok(());
        }
        let calls = self.by_workspace.entry(workspace.clone());
        let calls = calls.or_insert_with(|| Calls {
            started: VecDeque::new(),
            last_asked_at: now,
        });
        calls.last_asked_at = now;
        let own = calls.started.len();
        let total: usize = self.by_workspace.values().map(|c| c.started.len()).sum();
        let active = self.by_workspace.len();
        let shortage = self.short_until.filter(|until| *until > now);
        if let (Some(until), Some(capacity), true) = (shortage, self.capacity, active > 1) {
            let part = (capacity / active as f64).max(1.0);
            let is_beyond_part = own as f64 >= part;
            if is_beyond_part && total as f64 + 1.0 > capacity - 1.0 {
                return Err(until.saturating_duration_since(now));
            }
        }
        if let Some(calls) = self.by_workspace.get_mut(workspace) {
            calls.started.push_back(now);
        }
        Ok(())
    }

    /// Records the end of a call that [`FairCalls::begin`] has counted. `is_refused` tells whether
    /// the upstream refused it since its slots were in use.
    pub fn on_ended(&mut self, now: Instant, workspace: &WorkspaceName, is_refused: bool) {
        let total: usize = self.by_workspace.values().map(|c| c.started.len()).sum();
        if let Some(calls) = self.by_workspace.get_mut(workspace) {
            calls.started.pop_front();
        }
        if is_refused {
            let taken = total.saturating_sub(1).max(1) as f64;
            let known = self.short_until.filter(|until| *until > now);
            let known = known.and(self.capacity).unwrap_or(taken);
            self.capacity = Some(known + SMOOTHING * (taken - known));
            self.short_until = Some(now + SHORTAGE);
        }
    }

    /// Returns the number of calls of `workspace` in flight.
    pub fn in_flight(&self, workspace: &str) -> usize {
        self.by_workspace
            .get(workspace)
            .map_or(0, |calls| calls.started.len())
    }

    fn forget_ended(&mut self, now: Instant) {
        let is_old = |at: &Instant, age| now.saturating_duration_since(*at) >= age;
        self.by_workspace.retain(|_, calls| {
            while calls.started.front().is_some_and(|at| is_old(at, MAX_CALL)) {
                calls.started.pop_front();
            }
            !calls.started.is_empty() || !is_old(&calls.last_asked_at, ACTIVE)
        });
    }
}
