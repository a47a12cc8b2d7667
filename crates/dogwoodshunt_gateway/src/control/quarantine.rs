//! Crashes of engines that agents report, and refusal of the prompts that caused them.

use crate::control::Control;
use crate::control::PlacementRequest;
use crate::platform::RecordDecoder;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_wire::frame::EngineCrash;
use slog::info;
use slog::warn;
use std::time::Instant;

impl<D: RecordDecoder> Control<D> {
    /// Applies the crashes that an agent reports of its engine.
    pub(super) fn on_engine_crashes(
        &mut self,
        now: Instant,
        agent: AgentKey,
        crashes: &[EngineCrash],
    ) {
        let Some(state) = self.agents.get(&agent) else {
            return;
        };
        let service = state.service.clone();
        let address: Box<str> = self.agent_address(agent).into();
        let mut has_new_parts = false;
        for crash in crashes {
            info!(self.context.log, "engine crash reported"; "agent" => %address,
                "started" => crash.started, "age_ms" => crash.age.as_millis() as u64,
                "suspects" => crash.suspects.len());
            let at = now.checked_sub(crash.age).unwrap_or(now);
            let process = (address.clone(), crash.started);
            let quarantine = self.quarantines.entry(service.clone()).or_default();
            for part in quarantine.on_crash(now, process, at, &crash.suspects) {
                has_new_parts = true;
                warn!(self.context.log, "prompt part quarantined"; "service" => %service,
                    "part" => format!("{part:x}"));
            }
        }
        if has_new_parts {
            self.refuse_quarantined(now);
            self.count_quarantined_parts();
        }
    }

    /// Returns the refusal of a request that is quarantined, or whose prompt has a quarantined
    /// part.
    pub(super) fn quarantine_refusal(
        &self,
        now: Instant,
        req: &PlacementRequest,
    ) -> Option<NotRun> {
        if let Some(refusal) = self.lost_request_refusal(now, req.fingerprint) {
            return Some(refusal);
        }
        let quarantine = self.quarantines.get(&req.service)?;
        let until = quarantine.until(now, req.demand.shared_parts())?;
        let retry_after = until.saturating_duration_since(now);
        Some(NotRun::new(NotRunReason::CrashesEngines, retry_after))
    }

    pub(super) fn expire_quarantines(&mut self, now: Instant) {
        let quarantines = self.quarantines.values_mut();
        quarantines.for_each(|quarantine| quarantine.expire(now));
        self.request_quarantine.expire(now);
        self.count_quarantined_parts();
    }

    fn count_quarantined_parts(&self) {
        let parts: usize = self.quarantines.values().map(|known| known.len()).sum();
        let parts = i64::try_from(parts).unwrap_or(i64::MAX);
        self.context.metrics.quarantined_parts.set(parts);
    }
}
