//! The agents beside engines: connections, heartbeats and what is told them.

use crate::control::Control;
use crate::ports::Decoder;
use async_channel::Sender;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_serving::registry::Listed;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Beat;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::Terms;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use slog::info;
use slog::warn;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Heartbeats of an agent that may fail to come before its connection is
/// closed; a connection that went silent shows by nothing else.
const MISSED_BEATS: u32 = 3;

/// Time for which an engine without its agent is used: longer than an agent
/// takes to start again, or most cuts last.
const UNATTENDED_LIMIT: Duration = Duration::from_secs(15);

/// How an agent came to be out of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Loss {
    /// Its connection was closed, so its host runs, and with it the engine.
    Closed,
    /// Nothing comes from it. Its host may be frozen or cut off: what is sent
    /// to the engine there would wait, and arrive after its caller has left.
    Silent,
}

/// What this entry knows of an agent.
pub(super) struct AgentState {
    address: SocketAddr,
    service: ServiceName,
    upstream: Option<Listed>,
    identity: Option<Identity>,
    tx: Option<Sender<Frame>>,
    heard: Instant,
    number: u64,
    echo: u64,
    leaving: bool,
    lost: Option<Instant>,
    // Dropping the task ends the connection for good.
    _connector: smol::Task<()>,
}

impl AgentState {
    pub(super) fn is_connected(&self) -> bool {
        self.tx.is_some()
    }
}

impl<D: Decoder> Control<D> {
    /// Connects to the agents of a service's engines, and notes which leave.
    pub(super) fn apply_engines<'a>(
        &mut self,
        now: Instant,
        service: &ServiceName,
        listed: impl Iterator<Item = &'a Listed>,
    ) {
        let mut current: Vec<&Listed> = listed.collect();
        // Of two starts at one address the later one runs.
        current.sort_by_key(|listed| listed.started);
        for upstream in &current {
            let agent = self.agent_of(now, service, upstream);
            let Some(state) = self.agents.get_mut(&agent) else {
                continue;
            };
            if state.upstream.as_ref() != Some(*upstream) {
                state.upstream = Some((*upstream).clone());
                self.tell_terms(agent);
            }
        }
        let gone: Vec<AgentKey> = self
            .agents
            .iter()
            .filter(|(_, state)| state.service == *service)
            .filter(|(_, state)| {
                let held = state.upstream.as_ref();
                held.is_some_and(|held| !current.iter().any(|listed| listed.name == held.name))
            })
            .map(|(agent, _)| *agent)
            .collect();
        for agent in gone {
            if let Some(state) = self.agents.get_mut(&agent) {
                state.upstream = None;
            }
        }
        self.apply_leaving();
    }

    fn agent_of(&mut self, now: Instant, service: &ServiceName, upstream: &Listed) -> AgentKey {
        let address = SocketAddr::new(upstream.address.ip(), self.limits.agent_port);
        if let Some(agent) = self.by_address.get(&address) {
            return *agent;
        }
        let agent = self.router.add_agent(address.to_string().into());
        let state = AgentState {
            address,
            service: service.clone(),
            upstream: None,
            identity: None,
            tx: None,
            heard: now,
            number: 0,
            echo: 0,
            leaving: false,
            lost: None,
            _connector: self.connect(agent, address),
        };
        self.agents.insert(agent, state);
        self.by_address.insert(address, agent);
        agent
    }

    fn apply_leaving(&mut self) {
        for (agent, state) in &self.agents {
            let staying = state.upstream.as_ref().is_some_and(|u| !u.leaving);
            self.router.set_leaving(*agent, !staying || state.leaving);
        }
    }

    pub(super) fn on_agent_up(
        &mut self,
        now: Instant,
        agent: AgentKey,
        identity: Identity,
        tx: Sender<Frame>,
    ) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        state.identity = Some(identity.clone());
        state.tx = Some(tx);
        state.heard = now;
        state.leaving = false;
        state.lost = None;
        self.router.set_node(agent, identity.node);
        self.router.set_domain(agent, identity.domain);
        self.tell_terms(agent);
        self.readmit(now, agent);
    }

    /// Notes that an agent is out of reach.
    pub(super) fn on_agent_down(&mut self, now: Instant, agent: AgentKey, loss: Loss) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        let Some(tx) = state.tx.take() else {
            // The end of a connection that was closed here, for silence.
            return;
        };
        tx.close();
        state.leaving = false;
        let unattended = loss == Loss::Closed;
        state.lost = unattended.then_some(now);
        self.router.set_usable(agent, false);
        self.router.set_unattended(agent, unattended);
        self.apply_leaving();
        self.replace_waiting(now, agent);
    }

    /// Gives up engines whose agents have been out of reach for long: what they
    /// hold by now, nobody knows.
    pub(super) fn give_up_unattended(&mut self, now: Instant) {
        for (agent, state) in &mut self.agents {
            let over =
                |lost: &mut Instant| now.saturating_duration_since(*lost) >= UNATTENDED_LIMIT;
            if state.lost.take_if(over).is_some() {
                warn!(self.around.log, "engine given up"; "agent" => %state.address);
                self.router.set_unattended(*agent, false);
            }
        }
    }

    pub(super) fn on_frame(&mut self, now: Instant, agent: AgentKey, frame: Frame) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        state.heard = now;
        match frame {
            Frame::Admitted {
                request,
                upstream,
                target,
            } => self.on_admitted(now, agent, request, upstream, target),
            Frame::Beat(beat) => self.on_beat(now, agent, *beat),
            Frame::NotRun { request, not_run } => self.on_declined(now, agent, request, not_run),
            Frame::Ack { .. }
            | Frame::Admit(_)
            | Frame::Cancel { .. }
            | Frame::Challenge(_)
            | Frame::Chunk { .. }
            | Frame::Done { .. }
            | Frame::End { .. }
            | Frame::Entries { .. }
            | Frame::Failed { .. }
            | Frame::FirstByte { .. }
            | Frame::Grant { .. }
            | Frame::Head { .. }
            | Frame::Hello(_)
            | Frame::Pull { .. }
            | Frame::Resume { .. }
            | Frame::Snapshot { .. }
            | Frame::Submit(_)
            | Frame::Terms(_)
            | Frame::Welcome { .. } => {
                warn!(self.around.log, "unexpected frame"; "agent" => %state.address);
            }
        }
    }

    fn on_beat(&mut self, now: Instant, agent: AgentKey, beat: Beat) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        state.echo = beat.number;
        if state.leaving != beat.leaving {
            info!(self.around.log, "agent leaving"; "agent" => %state.address,
                "leaving" => beat.leaving);
            state.leaving = beat.leaving;
        }
        self.budgets.on_entries(now, beat.entries);
        if let Some(mut update) = beat.report {
            if let (true, ReportUpdate::Full(report)) = (beat.leaving, &mut update) {
                // The agent takes nothing more, but its engine goes on, and
                // refuses by itself what it can't run.
                let upstreams = report.upstreams.iter_mut();
                upstreams.for_each(|upstream| upstream.takes_work = true);
            }
            self.router.on_report(now, agent, update);
            self.router.set_usable(agent, true);
            self.router.set_unattended(agent, false);
        }
        self.apply_leaving();
    }

    pub(super) fn send(&self, agent: AgentKey, frame: Frame) -> bool {
        let tx = self.agents.get(&agent).and_then(|state| state.tx.as_ref());
        tx.is_some_and(|tx| tx.try_send(frame).is_ok())
    }

    /// Returns the name and address of an agent's engine.
    pub(super) fn engine_of(&self, agent: AgentKey) -> Option<(UpstreamName, SocketAddr)> {
        let upstream = self.agents.get(&agent)?.upstream.as_ref()?;
        Some((upstream.name.clone(), upstream.address))
    }

    /// Returns the address of an agent, as text; empty if it was forgotten.
    pub(super) fn address_of(&self, agent: AgentKey) -> String {
        let state = self.agents.get(&agent);
        state.map_or_else(String::new, |state| state.address.to_string())
    }

    pub(super) fn beat_all(&mut self, now: Instant) {
        let limit = self.limits.heartbeat * MISSED_BEATS;
        let mut silent = Vec::new();
        for (agent, state) in &mut self.agents {
            let Some(tx) = &state.tx else { continue };
            if now.saturating_duration_since(state.heard) >= limit {
                silent.push(*agent);
                continue;
            }
            state.number += 1;
            let beat = Beat {
                number: state.number,
                echo: state.echo,
                fresh: true,
                leaving: self.stopping,
                ..Beat::default()
            };
            // A closed connection is reported by its receiver.
            let _ = tx.try_send(Frame::Beat(Box::new(beat)));
        }
        for agent in silent {
            warn!(self.around.log, "agent silent"; "agent" => self.address_of(agent));
            self.on_agent_down(now, agent, Loss::Silent);
        }
    }

    pub(super) fn tell_terms_to_all(&mut self) {
        let agents: Vec<AgentKey> = self.agents.keys().copied().collect();
        agents.into_iter().for_each(|agent| self.tell_terms(agent));
    }

    /// Tells an agent what is in force for its engine.
    fn tell_terms(&self, agent: AgentKey) {
        let (Some(state), Some(table)) = (self.agents.get(&agent), self.around.status.routes())
        else {
            return;
        };
        let config = table.config();
        let service = config.service(&state.service);
        let Some(engine) = service.and_then(|service| service.engine.clone()) else {
            return;
        };
        let upstream = state.upstream.as_ref().map(|listed| UpstreamIdentity {
            name: listed.name.clone(),
            started: listed.started,
            leaving: listed.leaving,
        });
        let terms = Terms {
            revision: config.revision,
            upstream,
            engine,
            versions: self.versions.values().cloned().collect(),
        };
        self.send(agent, Frame::Terms(Box::new(terms)));
    }
}
