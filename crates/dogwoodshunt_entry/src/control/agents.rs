//! Agents: connections, heartbeats, and which of them are leaving.

use crate::control::AgentProcess;
use crate::control::Control;
use dogwoodshunt_replica::PeerKey;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::agent::Agent;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Beat;
use dogwoodshunt_wire::frame::Identity;
use slog::info;
use std::time::Instant;

impl Control {
    pub(super) fn on_agent_up(&mut self, now: Instant, agent: AgentKey, identity: Identity) {
        self.on_agent_down(agent);
        let peer = self.replica.add_peer(identity.clone());
        self.router.set_node(agent, identity.node.clone());
        let process = self.agents.entry(agent).or_default();
        *process = AgentProcess {
            identity: Some(identity),
            peer: Some(peer),
            ..AgentProcess::default()
        };
        self.apply_leaving();
        self.beat(now, agent);
    }

    pub(super) fn on_agent_down(&mut self, agent: AgentKey) {
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
            Frame::Beat(beat) => self.on_beat(now, agent, peer, *beat),
            Frame::Entries { entries } => {
                if self.replica.on_entries(Some(peer), &entries) {
                    self.on_catalogue_moved(now);
                }
            }
            Frame::Pull { after } => {
                for frame in self.replica.on_pull(after) {
                    self.send(agent, frame);
                }
            }
            Frame::Snapshot { shard } => {
                if self.replica.on_snapshot_shard(peer, *shard) {
                    self.on_catalogue_moved(now);
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
            | Frame::NotRun { .. }
            | Frame::Resume { .. }
            | Frame::Submit(_)
            | Frame::Terms(_)
            | Frame::Welcome { .. } => {
                info!(self.around.log, "unexpected frame"; "agent" => self.name_of(agent));
            }
        }
    }

    fn on_beat(&mut self, now: Instant, agent: AgentKey, peer: PeerKey, beat: Beat) {
        if let Some(frame) = self.replica.on_heartbeat(now, peer, &beat) {
            self.send(agent, frame);
        }
        if let Some(process) = self.agents.get_mut(&agent) {
            process.fresh = beat.fresh;
            process.leaving = beat.leaving;
            process.empty = beat.empty;
            process.epoch = beat.epoch;
        }
        if let Some(update) = beat.report {
            self.router.on_report(now, agent, update);
            let report = self.router.agent(agent).and_then(Agent::last_report);
            if let Some(report) = report {
                self.granter.on_report(now, agent, report);
            }
        }
        self.router.set_usable(agent, beat.fresh);
        self.apply_leaving_of(agent);
        if beat.echo == 0 {
            // The agent has just connected; an echo at once makes it fresh.
            self.beat(now, agent);
        }
    }

    /// Takes over which agents are leaving: by their own word, a planned stop
    /// or the host list, whichever comes first.
    pub(super) fn apply_leaving(&mut self) {
        let agents: Vec<AgentKey> = self.agents.keys().copied().collect();
        for agent in agents {
            self.apply_leaving_of(agent);
        }
    }

    fn apply_leaving_of(&mut self, agent: AgentKey) {
        let Some(process) = self.agents.get(&agent) else {
            return;
        };
        let Some(identity) = &process.identity else {
            return;
        };
        let planned = self.replica.catalogue().has_planned_stop(&identity.node);
        let listed = self.hosts_leaving.contains(&identity.node);
        let leaving = process.leaving || planned || listed;
        self.router.set_leaving(agent, leaving);
    }

    pub(super) fn beat_all(&mut self, now: Instant) {
        let agents: Vec<AgentKey> = self.agents.keys().copied().collect();
        for agent in agents {
            self.beat(now, agent);
        }
    }

    fn beat(&mut self, now: Instant, agent: AgentKey) {
        let Some(peer) = self.agents.get(&agent).and_then(|process| process.peer) else {
            return;
        };
        if let Some(beat) = self.replica.next_heartbeat(now, peer) {
            let beat = Beat {
                leaving: self.is_leaving(),
                granter: self.granting,
                ..beat
            };
            self.send(agent, Frame::Beat(Box::new(beat)));
        }
    }

    pub(super) fn send(&self, agent: AgentKey, frame: Frame) {
        if let Some(port) = self.around.ports.get(&agent) {
            port.send(frame);
        }
    }

    pub(super) fn send_to_peer(&self, peer: PeerKey, frame: Frame) {
        let mut agents = self.agents.iter();
        let found = agents.find(|(_, process)| process.peer == Some(peer));
        if let Some((agent, _)) = found {
            self.send(*agent, frame);
        }
    }

    fn name_of(&self, agent: AgentKey) -> String {
        let identity = self
            .agents
            .get(&agent)
            .and_then(|process| process.identity.as_ref());
        identity.map_or_else(String::new, |identity| identity.node.to_string())
    }
}
