//! Handling of agent connections, control frames and heartbeats; determines which agents
//! are leaving.

use crate::control::AgentProcess;
use crate::control::Control;
use dogwoodshunt_replica::PeerKey;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::agent::Agent;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::Identity;
use slog::info;
use std::time::Instant;

impl Control {
    pub(super) fn on_agent_connected(&mut self, now: Instant, agent: AgentKey, identity: Identity) {
        self.on_agent_disconnected(agent);
        let peer = self.replica.add_peer(identity.clone());
        self.router.set_node(agent, identity.node.clone());
        let process = self.agents.entry(agent).or_default();
        *process = AgentProcess {
            identity: Some(identity),
            peer: Some(peer),
            ..AgentProcess::default()
        };
        self.update_leaving_agents();
        self.send_heartbeat(now, agent);
    }

    pub(super) fn on_agent_disconnected(&mut self, agent: AgentKey) {
        self.router.set_usable(agent, false);
        self.granter.on_agent_down(agent);
        let process = self.agents.get_mut(&agent);
        if let Some(peer) = process.and_then(|process| process.peer.take()) {
            self.replica.remove_peer(peer);
        }
    }

    pub(super) fn on_frame(&mut self, now: Instant, agent: AgentKey, frame: Frame) {
        let Some(peer) = self.agents.get(&agent).and_then(|process| process.peer) else {
            return;
        };
        match frame {
            Frame::Heartbeat(heartbeat) => self.on_heartbeat(now, agent, peer, *heartbeat),
            Frame::Entries { entries } => {
                if self.replica.on_entries(Some(peer), &entries) {
                    self.on_catalogue_changed(now);
                }
            }
            Frame::Pull { after } => {
                for frame in self.replica.on_pull(after) {
                    self.send(agent, frame);
                }
            }
            Frame::Snapshot { shard } => {
                if self.replica.on_snapshot_shard(peer, *shard) {
                    self.on_catalogue_changed(now);
                }
            }
            Frame::Ack { .. }
            | Frame::Admit(_)
            | Frame::Admitted { .. }
            | Frame::Cancel { .. }
            | Frame::Challenge(_)
            | Frame::Chunk { .. }
            | Frame::Done { .. }
            | Frame::End { .. }
            | Frame::Failed { .. }
            | Frame::FirstByte { .. }
            | Frame::Grant { .. }
            | Frame::Head { .. }
            | Frame::Hello(_)
            | Frame::Load(_)
            | Frame::NotRun { .. }
            | Frame::QuotaGrant(_)
            | Frame::QuotaRequest(_)
            | Frame::Resume { .. }
            | Frame::Submit(_)
            | Frame::UpstreamConfig(_)
            | Frame::Welcome { .. } => {
                info!(self.context.log, "unexpected frame"; "agent" => self.node_name(agent));
            }
        }
    }

    fn on_heartbeat(&mut self, now: Instant, agent: AgentKey, peer: PeerKey, heartbeat: Heartbeat) {
        if let Some(frame) = self.replica.on_heartbeat(now, peer, &heartbeat) {
            self.send(agent, frame);
        }
        if let Some(process) = self.agents.get_mut(&agent) {
            process.fresh = heartbeat.fresh;
            process.leaving = heartbeat.leaving;
            process.empty = heartbeat.idle;
            process.epoch = heartbeat.epoch;
        }
        if let Some(update) = heartbeat.report {
            self.router.on_report(now, agent, update);
            let report = self.router.agent(agent).and_then(Agent::last_report);
            if let Some(report) = report {
                self.granter.on_report(now, agent, report);
            }
        }
        self.router.set_usable(agent, heartbeat.fresh);
        self.update_leaving_agent(agent);
        if heartbeat.echo == 0 {
            // The agent has just connected and becomes fresh with the first echo of its
            // heartbeat; replying at once avoids a wait for the next interval.
            self.send_heartbeat(now, agent);
        }
    }

    /// Tells the router which agents are leaving.
    ///
    /// An agent is leaving if its heartbeat says so, if a stop of its host is planned,
    /// or if the host list names its host.
    pub(super) fn update_leaving_agents(&mut self) {
        let agents: Vec<AgentKey> = self.agents.keys().copied().collect();
        for agent in agents {
            self.update_leaving_agent(agent);
        }
    }

    fn update_leaving_agent(&mut self, agent: AgentKey) {
        let Some(process) = self.agents.get(&agent) else {
            return;
        };
        let Some(identity) = &process.identity else {
            return;
        };
        let stop_planned = self.replica.catalogue().has_planned_stop(&identity.node);
        let host_leaving = self.leaving_hosts.contains(&identity.node);
        let leaving = process.leaving || stop_planned || host_leaving;
        self.router.set_leaving(agent, leaving);
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let agents: Vec<AgentKey> = self.agents.keys().copied().collect();
        for agent in agents {
            self.send_heartbeat(now, agent);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, agent: AgentKey) {
        let Some(peer) = self.agents.get(&agent).and_then(|process| process.peer) else {
            return;
        };
        if let Some(heartbeat) = self.replica.next_heartbeat(now, peer) {
            let heartbeat = Heartbeat {
                leaving: self.is_leaving(),
                granter: self.is_granter,
                ..heartbeat
            };
            self.send(agent, Frame::Heartbeat(Box::new(heartbeat)));
        }
    }

    pub(super) fn send(&self, agent: AgentKey, frame: Frame) {
        if let Some(connection) = self.context.connections.get(&agent) {
            connection.send(frame);
        }
    }

    pub(super) fn send_to_peer(&self, peer: PeerKey, frame: Frame) {
        let mut agents = self.agents.iter();
        let found = agents.find(|(_, process)| process.peer == Some(peer));
        if let Some((agent, _)) = found {
            self.send(*agent, frame);
        }
    }

    fn node_name(&self, agent: AgentKey) -> String {
        let identity = self
            .agents
            .get(&agent)
            .and_then(|process| process.identity.as_ref());
        identity.map_or_else(String::new, |identity| identity.node.to_string())
    }
}
