//! Queries of the HTTP interfaces for the control state.

use crate::control::Control;
use async_channel::Sender;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_operator::messages::AgentStatus;
use dogwoodshunt_operator::messages::FleetStatus;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use std::collections::BTreeSet;
use std::time::Instant;

/// Query for the control state, with the channel for its result.
pub enum ControlQuery {
    /// Current catalogue.
    Catalogue(Sender<Catalogue>),
    /// Active version and base model of every adapter.
    Models(Sender<Vec<(AdapterRef, Box<str>)>>),
    /// State of this entry and of the agents.
    FleetStatus(Sender<FleetStatus>),
    /// Messages about the base models and services that would be unserved after a planned
    /// stop, or about an unknown target; empty if the stop may be planned.
    PlannedStopProblems {
        /// Host or upstream to stop.
        target: Box<str>,
        /// Channel for the result.
        reply: Sender<Vec<Box<str>>>,
    },
    /// Replication status of a revision.
    ReplicationStatus {
        /// Revision of the log entry.
        revision: Revision,
        /// Channel for the result.
        reply: Sender<ReplicationStatus>,
    },
}

impl Control {
    pub(super) fn handle_query(&self, now: Instant, query: ControlQuery) {
        match query {
            ControlQuery::Catalogue(reply) => {
                let _ = reply.try_send(self.replica.catalogue().clone());
            }
            ControlQuery::Models(reply) => {
                let _ = reply.try_send(self.models());
            }
            ControlQuery::FleetStatus(reply) => {
                let _ = reply.try_send(self.fleet_status(now));
            }
            ControlQuery::PlannedStopProblems { target, reply } => {
                let _ = reply.try_send(self.planned_stop_problems(&target));
            }
            ControlQuery::ReplicationStatus { revision, reply } => {
                let mut status = self.replica.replication_status(now, revision);
                status.in_force &= !self.may_serve_replaced_version(now, revision);
                let _ = reply.try_send(status);
            }
        }
    }

    fn models(&self) -> Vec<(AdapterRef, Box<str>)> {
        let catalogue = self.replica.catalogue();
        let names = catalogue.adapters().keys();
        let active = names.filter_map(|name| catalogue.resolve(name, None).ok());
        active
            .map(|spec| (spec.adapter_ref(), spec.base_model.clone()))
            .collect()
    }

    /// Returns one message for each base model or service that would be unserved once
    /// `target` has stopped, or a single message if `target` is unknown.
    fn planned_stop_problems(&self, target: &str) -> Vec<Box<str>> {
        let (mut stopped, mut remaining) = (BTreeSet::new(), BTreeSet::new());
        let mut is_known = *self.replica.identity().node == *target;
        for (_, agent) in self.router.agents() {
            for upstream in agent.last_report().into_iter().flat_map(|r| &r.upstreams) {
                let served: Box<str> = match &upstream.serves {
                    Served::BaseModel(name) => format!("base model {name}").into(),
                    Served::Service(name) => format!("service {name}").into(),
                };
                let is_target = *agent.node == *target || *upstream.name == *target;
                is_known |= is_target;
                if is_target {
                    stopped.insert(served);
                } else if agent.accepts_requests() && upstream.takes_work {
                    remaining.insert(served);
                }
            }
        }
        if !is_known {
            return vec![format!("{target} is no host or upstream that this entry knows").into()];
        }
        let unserved = stopped.difference(&remaining);
        unserved
            .map(|served| format!("nothing else serves {served}").into())
            .collect()
    }

    fn fleet_status(&self, now: Instant) -> FleetStatus {
        let catalogue = self.replica.catalogue();
        let mut agents: Vec<AgentStatus> = self
            .router
            .agents()
            .map(|(key, _)| key)
            .filter_map(|key| self.agent_status(key))
            .collect();
        agents.sort_by(|a, b| a.node.cmp(&b.node));
        let fresh = self.replica.is_fresh(now);
        let usable = self
            .router
            .agents()
            .any(|(_, agent)| agent.accepts_requests());
        FleetStatus {
            entry: self.replica.identity().node.clone(),
            revision: catalogue.revision(),
            fresh,
            leaving: self.is_leaving(),
            ready: fresh && usable && !self.is_leaving(),
            adapters: catalogue.active_adapter_count(),
            stops: catalogue.planned_stops().iter().cloned().collect(),
            agents,
        }
    }

    fn agent_status(&self, key: AgentKey) -> Option<AgentStatus> {
        let agent = self.router.agent(key)?;
        let process = self.agents.get(&key)?;
        let peer = process.peer.and_then(|peer| self.replica.peer(peer));
        let report = agent.last_report();
        let upstreams = report.into_iter().flat_map(|report| &report.upstreams);
        Some(AgentStatus {
            node: process
                .identity
                .as_ref()
                .map_or_else(NodeId::default, |i| i.node.clone()),
            connected: process.peer.is_some(),
            fresh: process.fresh,
            leaving: agent.leaving,
            empty: process.empty,
            epoch: process.epoch,
            revision: peer.map_or(0, |peer| peer.revision),
            upstreams: upstreams.map(|upstream| upstream.name.clone()).collect(),
        })
    }
}
