//! Announcements of upstreams in their responses: that they are leaving, or that they
//! want no requests from this entry for some time.
//!
//! Both hold for one process of an upstream, whatever the list of upstreams says and
//! however often connections to it are opened anew.

use crate::control::Control;
use crate::platform::Announcement;
use crate::platform::RecordDecoder;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_serving::registry::ListedUpstream;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use slog::info;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Longest pause that an upstream can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Ends of the pauses that upstream processes have asked for. A process keeps its pause
/// while its record is gone from the list of upstreams.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    ends: HashMap<(UpstreamName, UnixMillis), Instant>,
}

impl Pauses {
    /// Adds a pause until `until` and returns the end of all pauses of the process. A shorter
    /// pause does not end a longer one.
    fn add(
        &mut self,
        now: Instant,
        upstream: &str,
        started: UnixMillis,
        until: Instant,
    ) -> Instant {
        self.ends.retain(|_, end| *end > now);
        let end = self.ends.entry((upstream.into(), started)).or_insert(until);
        *end = until.max(*end);
        *end
    }

    /// Returns the end of the pause of an upstream process, if it has asked for one.
    pub(super) fn end(&self, upstream: &ListedUpstream) -> Option<Instant> {
        let process = (upstream.name.clone(), upstream.started);
        self.ends.get(&process).copied()
    }
}

impl<D: RecordDecoder> Control<D> {
    pub(super) fn on_announcement(
        &mut self,
        now: Instant,
        service: &str,
        upstream: &str,
        started: UnixMillis,
        announcement: Announcement,
    ) {
        if announcement.leaving && self.registry.on_leaving_announced(upstream, started) {
            info!(self.context.log, "upstream leaving"; "upstream" => upstream,
                "source" => "its response");
            let agent = self.agent_of_engine(upstream, started);
            self.sync_upstreams(now);
            agent
                .into_iter()
                .for_each(|agent| self.move_pending(now, agent));
        }
        if let Some(pause) = announcement.pause {
            self.pause_upstream(now, service, upstream, started, pause.min(MAX_PAUSE));
        }
    }

    fn pause_upstream(
        &mut self,
        now: Instant,
        service: &str,
        upstream: &str,
        started: UnixMillis,
        pause: Duration,
    ) {
        info!(self.context.log, "upstream paused"; "upstream" => upstream,
            "pause_ms" => pause.as_millis() as u64);
        let until = self.pauses.add(now, upstream, started, now + pause);
        if let Some(pool) = self.pools.get_mut(service) {
            pool.pause(upstream, started, until);
        }
        let Some(agent) = self.agent_of_engine(upstream, started) else {
            return;
        };
        self.router.set_paused_until(agent, Some(until));
        self.move_pending(now, agent);
    }

    /// Returns the agent of the engine process `upstream` that started at `started`.
    pub(super) fn agent_of_engine(&self, upstream: &str, started: UnixMillis) -> Option<AgentKey> {
        let is_engine = |agent: &AgentKey| {
            let identity = self.engine_identity(*agent);
            identity.is_some_and(|engine| *engine.name == *upstream && engine.started == started)
        };
        self.agents.keys().copied().find(is_engine)
    }
}
