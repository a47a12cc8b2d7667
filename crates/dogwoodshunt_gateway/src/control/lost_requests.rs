//! Requests whose responses were lost, and refusal of those that crash upstreams.
//!
//! Entries have no connections to each other. An entry tells some agents what it has seen, and
//! these pass it on to all entries.

use crate::control::Control;
use crate::control::agents::Notices;
use crate::platform::RecordDecoder;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_wire::frame::RequestObservation;
use dogwoodshunt_wire::frame::UpstreamProcess;
use slog::info;
use slog::warn;
use std::time::Duration;
use std::time::Instant;

/// Number of agents that pass on what this entry has seen, so that it arrives although some of
/// them are frozen or cut off.
const RELAY_COUNT: usize = 3;

impl<D: RecordDecoder> Control<D> {
    /// Records that the response to a request was lost with its connection.
    pub(super) fn on_request_lost(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        upstream: &str,
        started: UnixMillis,
    ) {
        let process = UpstreamProcess {
            name: upstream.into(),
            started,
        };
        let lost = RequestObservation {
            fingerprint,
            lost_at: Some(process),
            age: Duration::ZERO,
        };
        self.share_observation(now, lost);
    }

    /// Records that a request was answered with success and to its end.
    pub(super) fn on_request_answered(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        let answered = RequestObservation {
            fingerprint,
            lost_at: None,
            age: Duration::ZERO,
        };
        self.share_observation(now, answered);
    }

    fn share_observation(&mut self, now: Instant, seen: RequestObservation) {
        if !self.observe_request(now, &seen) {
            return;
        }
        let mut agents: Vec<(Instant, AgentKey)> = self
            .agents
            .iter()
            .filter(|(_, state)| state.is_connected())
            .map(|(agent, state)| (state.last_frame_at(), *agent))
            .collect();
        agents.sort_unstable_by(|a, b| b.cmp(a));
        for (_, agent) in agents.into_iter().take(RELAY_COUNT) {
            let notices = Notices {
                requests: vec![seen.clone()],
                ..Notices::default()
            };
            self.send_heartbeat(now, agent, notices);
        }
    }

    /// Applies what another entry has seen.
    pub(super) fn on_request_observations(&mut self, now: Instant, seen: &[RequestObservation]) {
        for seen in seen {
            self.observe_request(now, seen);
        }
    }

    /// Returns whether the observation is new.
    fn observe_request(&mut self, now: Instant, seen: &RequestObservation) -> bool {
        let was_quarantined = self
            .request_quarantine
            .until(now, seen.fingerprint)
            .is_some();
        if !self.request_quarantine.observe(now, seen) {
            return false;
        }
        let fingerprint = format!("{:016x}", seen.fingerprint);
        match &seen.lost_at {
            Some(process) => {
                info!(self.context.log, "response lost"; "fingerprint" => &fingerprint,
                "upstream" => %process.name, "started" => process.started,
                "age_ms" => seen.age.as_millis() as u64)
            }
            None => info!(self.context.log, "request answered after losses";
                "fingerprint" => &fingerprint),
        }
        let is_quarantined = self
            .request_quarantine
            .until(now, seen.fingerprint)
            .is_some();
        if is_quarantined && !was_quarantined {
            warn!(self.context.log, "request quarantined"; "fingerprint" => &fingerprint);
            self.refuse_quarantined(now);
        }
        let count = i64::try_from(self.request_quarantine.len()).unwrap_or(i64::MAX);
        self.context.metrics.quarantined_requests.set(count);
        true
    }

    /// Returns the refusal of a quarantined request.
    pub(super) fn lost_request_refusal(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<NotRun> {
        let until = self.request_quarantine.until(now, fingerprint)?;
        let retry_after = until.saturating_duration_since(now);
        Some(NotRun::new(NotRunReason::CrashesEngines, retry_after))
    }
}
