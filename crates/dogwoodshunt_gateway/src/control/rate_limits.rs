//! Limits that upstreams name in their responses for the requests of all entries together.
//!
//! The agent of an engine keeps to the limit, since it grants the runs of all entries. Entries
//! tell it what they see. The limit of an upstream of a plain service is divided among the
//! entries.
//!
//! A limit holds for one process of an upstream, until a response without a limit arrives to
//! a request that was sent under it.

use crate::control::Control;
use crate::control::agents::Notices;
use crate::platform::RecordDecoder;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use slog::info;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Time for which the end of a limit is remembered.
const END_MEMORY: Duration = Duration::from_secs(60);

/// Time for which a limit is remembered that no response has confirmed: longer than an
/// upstream stays out of the list and returns as the same process.
const LIMIT_MEMORY: Duration = Duration::from_secs(600);

/// What the last response that told about a limit has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Observation {
    /// Arrival of the response.
    pub(super) at: Instant,
    /// Limit that it named; `None` if it ended the limit.
    pub(super) limit: Option<RateLimit>,
}

/// Last observation of each upstream process that has named a limit.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    observations: HashMap<(UpstreamName, UnixMillis), Observation>,
}

impl RateLimits {
    /// Records what a response has shown. Returns whether the limit has changed.
    fn observe(
        &mut self,
        now: Instant,
        upstream: &str,
        started: UnixMillis,
        limit: Option<RateLimit>,
    ) -> bool {
        self.observations.retain(|_, seen| {
            let memory = if seen.limit.is_some() {
                LIMIT_MEMORY
            } else {
                END_MEMORY
            };
            now.saturating_duration_since(seen.at) < memory
        });
        let process = (upstream.into(), started);
        let previous = self
            .observations
            .insert(process, Observation { at: now, limit });
        previous.is_none_or(|previous| previous.limit != limit)
    }

    /// Returns the last observation of an upstream process.
    pub(super) fn get(&self, upstream: &str, started: UnixMillis) -> Option<Observation> {
        self.observations.get(&(upstream.into(), started)).copied()
    }

    /// Returns the limit of an upstream process.
    pub(super) fn limit(&self, upstream: &str, started: UnixMillis) -> Option<RateLimit> {
        self.get(upstream, started)?.limit
    }
}

impl<D: RecordDecoder> Control<D> {
    /// Records the limit that a response has named, or that a response has named none although
    /// the request was sent under a limit.
    pub(super) fn on_rate_limit(
        &mut self,
        now: Instant,
        service: &str,
        upstream: &str,
        started: UnixMillis,
        limit: Option<RateLimit>,
    ) {
        if !self.rate_limits.observe(now, upstream, started, limit) {
            return;
        }
        info!(self.context.log, "upstream limits requests"; "upstream" => upstream,
            "started" => started, "limit" => limit_text(limit));
        if let Some(pool) = self.pools.get_mut(service) {
            pool.set_rate_limit(upstream, started, limit);
        }
        if let Some(agent) = self.agent_of_engine(upstream, started) {
            self.router.set_rate_limited(agent, limit.is_some());
            self.send_heartbeat(now, agent, Notices::default());
        }
    }
}

/// Returns a limit as text for logs.
fn limit_text(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}
