//! Engines that requests of this entry do not reach, which are left out for a while.

use crate::control::Control;
use crate::control::placement::GrantedRun;
use crate::control::placement::RunEnd;
use crate::metrics::ServiceOutcomeLabels;
use crate::platform::RecordDecoder;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::UpstreamName;
use slog::info;
use slog::warn;
use std::time::Instant;

impl<D: RecordDecoder> Control<D> {
    /// Returns the agents of the given engines.
    pub(super) fn agents_of(&self, engines: &[UpstreamName]) -> Vec<AgentKey> {
        if engines.is_empty() {
            return Vec::new();
        }
        let agents = self.agents.iter();
        let agents = agents.filter(|(_, state)| {
            let engine = state.engine_name();
            engine.is_some_and(|engine| engines.iter().any(|name| **name == *engine))
        });
        agents.map(|(agent, _)| *agent).collect()
    }

    /// Applies what the end of a run shows about the reachability of its engine.
    pub(super) fn on_reachability(&mut self, now: Instant, run: &GrantedRun, end: RunEnd) {
        match end {
            RunEnd::AdapterMissing | RunEnd::Answered | RunEnd::Refused => {
                self.on_engine_reached(run.agent());
            }
            RunEnd::Unreached(cause) => {
                // Another process may have taken the place of the one that was not reached.
                let engine = self.engine_identity(run.agent());
                let is_current = engine.is_some_and(|engine| run.is_at(engine));
                if !is_current || !self.router.on_unreached(now, run.agent(), cause) {
                    return;
                }
                warn!(self.context.log, "engine left out"; "upstream" => run.upstream_name(),
                    "cause" => cause.as_str());
                self.count_left_out(run.agent(), cause.as_str());
            }
            RunEnd::BrokenOff | RunEnd::Finished => {}
        }
    }

    /// Takes an engine back that has responded.
    pub(super) fn on_engine_reached(&mut self, agent: AgentKey) {
        if !self.router.on_reached(agent) {
            return;
        }
        let engine = self.engine_identity(agent).map(|engine| &*engine.name);
        info!(self.context.log, "engine taken back"; "upstream" => engine);
        self.count_left_out(agent, "taken-back");
    }

    fn count_left_out(&self, agent: AgentKey, outcome: &'static str) {
        let service = self
            .agents
            .get(&agent)
            .map(|state| state.service.to_string());
        let labels = ServiceOutcomeLabels {
            service: service.unwrap_or_default(),
            outcome,
        };
        let left_out = &self.context.metrics.left_out_engines;
        left_out.get_or_create(&labels).inc();
    }
}
