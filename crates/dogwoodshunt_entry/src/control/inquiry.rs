//! Operators' questions.

use crate::control::Control;
use async_channel::Sender;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_operator::messages::AgentState;
use dogwoodshunt_operator::messages::Overview;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use std::collections::BTreeSet;
use std::time::Instant;

/// A question, with where its answer goes.
pub enum Inquiry {
    /// The catalogue as it stands.
    Catalogue(Sender<Catalogue>),
    /// Every adapter's version in force, with its base model.
    Models(Sender<Vec<(AdapterRef, Box<str>)>>),
    /// The state of the fleet.
    Overview(Sender<Overview>),
    /// What a planned stop of a host or upstream would leave without service.
    StopProblems {
        /// The host or upstream.
        target: Box<str>,
        /// Where the answer goes.
        reply: Sender<Vec<Box<str>>>,
    },
    /// How far a revision has come.
    ReplicationStatus {
        /// The revision.
        revision: Revision,
        /// Where the answer goes.
        reply: Sender<ReplicationStatus>,
    },
}

impl Control {
    pub(super) fn answer(&self, now: Instant, inquiry: Inquiry) {
        match inquiry {
            Inquiry::Catalogue(reply) => {
                let _ = reply.try_send(self.replica.catalogue().clone());
            }
            Inquiry::Models(reply) => {
                let _ = reply.try_send(self.models());
            }
            Inquiry::Overview(reply) => {
                let _ = reply.try_send(self.overview(now));
            }
            Inquiry::StopProblems { target, reply } => {
                let _ = reply.try_send(self.stop_problems(&target));
            }
            Inquiry::ReplicationStatus { revision, reply } => {
                let mut standing = self.replica.replication_status(now, revision);
                standing.in_force &= !self.may_be_switching(now, revision);
                let _ = reply.try_send(standing);
            }
        }
    }

    fn models(&self) -> Vec<(AdapterRef, Box<str>)> {
        let catalogue = self.replica.catalogue();
        let names = catalogue.adapters().keys();
        let in_force = names.filter_map(|name| catalogue.resolve(name, None).ok());
        in_force
            .map(|spec| (spec.adapter_ref(), spec.base_model.clone()))
            .collect()
    }

    /// Returns what nothing else would serve once `target` has stopped.
    fn stop_problems(&self, target: &str) -> Vec<Box<str>> {
        let (mut lost, mut left) = (BTreeSet::new(), BTreeSet::new());
        let mut known = *self.replica.identity().node == *target;
        for (_, agent) in self.router.agents() {
            for upstream in agent.last_report().into_iter().flat_map(|r| &r.upstreams) {
                let serves: Box<str> = match &upstream.serves {
                    Served::BaseModel(name) => format!("base model {name}").into(),
                    Served::Service(name) => format!("service {name}").into(),
                };
                let stops = *agent.node == *target || *upstream.name == *target;
                known |= stops;
                if stops {
                    lost.insert(serves);
                } else if agent.takes_work() && upstream.takes_work {
                    left.insert(serves);
                }
            }
        }
        if !known {
            return vec![format!("{target} is no host or upstream that this entry knows").into()];
        }
        let unserved = lost.difference(&left);
        unserved
            .map(|serves| format!("nothing else serves {serves}").into())
            .collect()
    }

    fn overview(&self, now: Instant) -> Overview {
        let catalogue = self.replica.catalogue();
        let mut agents: Vec<AgentState> = self
            .router
            .agents()
            .map(|(key, _)| key)
            .filter_map(|key| self.agent_state(key))
            .collect();
        agents.sort_by(|a, b| a.node.cmp(&b.node));
        let fresh = self.replica.is_fresh(now);
        let usable = self.router.agents().any(|(_, agent)| agent.takes_work());
        Overview {
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

    fn agent_state(&self, key: AgentKey) -> Option<AgentState> {
        let agent = self.router.agent(key)?;
        let process = self.agents.get(&key)?;
        let peer = process.peer.and_then(|peer| self.replica.peer(peer));
        let report = agent.last_report();
        let upstreams = report.into_iter().flat_map(|report| &report.upstreams);
        Some(AgentState {
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
