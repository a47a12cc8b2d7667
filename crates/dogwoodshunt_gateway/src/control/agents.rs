//! Agents beside engines: their connections, heartbeats and the configuration
//! that this entry sends them.

use crate::control::Control;
use crate::control::versions::VersionsSent;
use crate::platform::RecordDecoder;
use async_channel::Sender;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_serving::registry::ListedUpstream;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::EngineConfig;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::ObservedRateLimit;
use dogwoodshunt_wire::frame::RequestObservation;
use dogwoodshunt_wire::frame::StreamOrigin;
use dogwoodshunt_wire::frame::UpstreamConfig;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use dogwoodshunt_wire::frame::UpstreamProcess;
use slog::info;
use slog::warn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Number of heartbeat intervals without a frame from an agent after which its
/// connection is closed. Nothing else reveals a stalled connection.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Number of heartbeat intervals without a frame from an agent after which requests that wait
/// for its engine ask the engine for a sign of life.
const SUSPICIOUS_MISSED_HEARTBEATS: u32 = 2;

/// Time for which an unattended engine, one whose agent is disconnected, still
/// receives requests: longer than an agent takes to restart, and longer than
/// most network partitions last.
const MAX_UNATTENDED_TIME: Duration = Duration::from_secs(15);

/// Why an agent counts as disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DisconnectCause {
    /// The connection was closed, so the agent's host is running, and with it
    /// the engine.
    ConnectionClosed,
    /// No frames arrive. The agent's host may be frozen or partitioned from this
    /// entry: requests sent to its engine could be delayed until after their
    /// callers have disconnected.
    HeartbeatTimeout,
}

/// What a heartbeat to an agent carries besides the state of this entry.
#[derive(Default)]
pub(super) struct Notices {
    /// Observations of requests.
    pub(super) requests: Vec<RequestObservation>,
    /// Origins of streams that the agent is to remember.
    pub(super) stream_origins: Vec<StreamOrigin>,
    /// Streams whose origins the agent is asked for.
    pub(super) asked_streams: Vec<StreamId>,
}

/// State of one agent and of the connection to it.
pub(super) struct AgentState {
    address: SocketAddr,
    /// The address as text, by which all entries know the agent.
    address_text: Box<str>,
    /// Service of the engine that was listed last.
    pub(super) service: ServiceName,
    /// Engine of the agent; `None` while it is not in the list of upstreams.
    upstream: Option<ListedUpstream>,
    identity: Option<Identity>,
    tx: Option<Sender<Frame>>,
    last_frame_at: Instant,
    /// Number of the last heartbeat sent.
    last_sent_heartbeat: u64,
    /// Number of the last heartbeat received; the next one sent echoes it.
    last_received_heartbeat: u64,
    /// Whether the agent has reported that it is shutting down.
    leaving: bool,
    /// Which declared versions were sent on the present connection.
    pub(super) versions_sent: VersionsSent,
    /// When the agent disconnected, while its engine still receives requests.
    unattended_since: Option<Instant>,
    /// Dropping the task closes the connection and stops reconnection.
    _connector: smol::Task<()>,
}

impl AgentState {
    pub(super) fn last_frame_at(&self) -> Instant {
        self.last_frame_at
    }

    pub(super) fn is_connected(&self) -> bool {
        self.tx.is_some()
    }

    pub(super) fn address_text(&self) -> &str {
        &self.address_text
    }

    /// Returns the number of the next heartbeat to the agent.
    pub(super) fn next_heartbeat(&self) -> u64 {
        self.last_sent_heartbeat + 1
    }

    /// Returns the name of the listed engine of the agent.
    pub(super) fn engine_name(&self) -> Option<&str> {
        self.upstream.as_ref().map(|upstream| &*upstream.name)
    }

    /// Returns whether the engine of the agent is listed.
    pub(super) fn is_listed(&self) -> bool {
        self.upstream.is_some()
    }

    /// Returns whether neither the agent nor its engine is leaving.
    pub(super) fn is_staying(&self) -> bool {
        !self.leaving && self.upstream.as_ref().is_some_and(|u| !u.leaving)
    }

    /// Returns the failure domain of the agent; empty until it has connected.
    pub(super) fn domain(&self) -> &str {
        self.identity
            .as_ref()
            .map_or("", |identity| &identity.domain)
    }
}

impl<D: RecordDecoder> Control<D> {
    /// Connects to the agents of all listed engines and records the service of each engine, which
    /// engines are leaving and which are no longer listed.
    pub(super) fn sync_agents<'a>(
        &mut self,
        now: Instant,
        listed: impl Iterator<Item = &'a ListedUpstream>,
    ) {
        let mut running: BTreeMap<SocketAddr, &ListedUpstream> = BTreeMap::new();
        for engine in listed {
            // If two listed engines have the same address, also of two services, the one that was
            // started later is running.
            let known = running
                .entry(self.agent_address_of(engine))
                .or_insert(engine);
            if known.started <= engine.started {
                *known = engine;
            }
        }
        for (address, engine) in &running {
            let agent = self.get_or_add_agent(now, *address, engine);
            self.set_engine(agent, engine);
        }
        for state in self.agents.values_mut() {
            if !running.contains_key(&state.address) {
                state.upstream = None;
            }
        }
        self.update_leaving_agents();
    }

    /// Records the listed engine of an agent.
    fn set_engine(&mut self, agent: AgentKey, engine: &ListedUpstream) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        if state.upstream.as_ref() == Some(engine) {
            return;
        }
        // Another process has not asked for the pause of the one before.
        self.router.set_paused_until(agent, self.pauses.end(engine));
        let limit = self.rate_limits.limit(&engine.name, engine.started);
        self.router.set_rate_limited(agent, limit.is_some());
        self.router.set_service(agent, engine.service.clone());
        self.router.set_software(agent, engine.software_identity());
        let is_same_process =
            |known: &ListedUpstream| (&known.name, known.started) == (&engine.name, engine.started);
        if !state.upstream.as_ref().is_some_and(is_same_process) {
            self.router.forget_unreached(agent);
        }
        state.service = engine.service.clone();
        state.upstream = Some(engine.clone());
        self.send_upstream_config(agent);
    }

    fn agent_address_of(&self, engine: &ListedUpstream) -> SocketAddr {
        SocketAddr::new(engine.address.ip(), self.settings.agent_port)
    }

    fn get_or_add_agent(
        &mut self,
        now: Instant,
        address: SocketAddr,
        engine: &ListedUpstream,
    ) -> AgentKey {
        if let Some(agent) = self.agents_by_address.get(&address) {
            return *agent;
        }
        let agent = self.router.add_agent(address.to_string().into());
        let state = AgentState {
            address,
            address_text: address.to_string().into(),
            service: engine.service.clone(),
            upstream: None,
            identity: None,
            tx: None,
            last_frame_at: now,
            last_sent_heartbeat: 0,
            last_received_heartbeat: 0,
            leaving: false,
            versions_sent: VersionsSent::None,
            unattended_since: None,
            _connector: self.connect(agent, address),
        };
        self.quotas
            .on_agent_listed(now, agent, state.address_text());
        self.agents.insert(agent, state);
        self.agents_by_address.insert(address, agent);
        agent
    }

    fn update_leaving_agents(&mut self) {
        for (agent, state) in &self.agents {
            self.router.set_leaving(*agent, !state.is_staying());
            self.quotas.set_agent_leaving(*agent, !state.is_staying());
        }
    }

    pub(super) fn on_agent_connected(
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
        state.last_frame_at = now;
        state.leaving = false;
        state.versions_sent = VersionsSent::None;
        state.unattended_since = None;
        self.quotas.on_agent_connected(now, agent);
        self.router.set_node(agent, identity.node);
        self.router.set_domain(agent, identity.domain);
        self.send_upstream_config(agent);
        // An agent that has restarted learns the rate limit before it grants a run, and what it
        // has to tell entries that start later.
        let requests = self.request_quarantine.observations(now);
        let notices = Notices {
            requests,
            ..Notices::default()
        };
        self.send_heartbeat(now, agent, notices);
        self.ask_for_awaited_streams(now, agent);
        self.resend_granted_runs(now, agent);
    }

    /// Marks the agent as disconnected and moves its pending placements to other
    /// agents. Its engine still receives requests if `cause` is
    /// [`DisconnectCause::ConnectionClosed`].
    pub(super) fn on_agent_disconnected(
        &mut self,
        now: Instant,
        agent: AgentKey,
        cause: DisconnectCause,
    ) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        let Some(tx) = state.tx.take() else {
            // This entry has already closed the connection after a heartbeat
            // timeout.
            return;
        };
        tx.close();
        state.leaving = false;
        self.quotas.on_agent_disconnected(now, agent);
        let unattended = cause == DisconnectCause::ConnectionClosed;
        state.unattended_since = unattended.then_some(now);
        self.router.set_usable(agent, false);
        self.router.set_unattended(agent, unattended);
        self.update_leaving_agents();
        self.reroute_pending(now, agent);
    }

    /// Stops sending requests to engines whose agents have been disconnected for
    /// [`MAX_UNATTENDED_TIME`], since the set of adapters loaded on these engines
    /// is no longer known.
    pub(super) fn expire_unattended(&mut self, now: Instant) {
        for (agent, state) in &mut self.agents {
            let is_expired = |unattended_since: &mut Instant| {
                now.saturating_duration_since(*unattended_since) >= MAX_UNATTENDED_TIME
            };
            if state.unattended_since.take_if(is_expired).is_some() {
                let upstream = state.upstream.as_ref().map(|listed| &*listed.name);
                warn!(self.context.log, "engine given up"; "agent" => %state.address,
                    "upstream" => upstream);
                self.router.set_unattended(*agent, false);
            }
        }
    }

    pub(super) fn on_frame(&mut self, now: Instant, agent: AgentKey, frame: Frame) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        state.last_frame_at = now;
        match frame {
            Frame::Admitted {
                request,
                upstream,
                started,
                service,
                target,
            } => {
                let process = UpstreamProcess {
                    name: upstream,
                    started,
                };
                self.on_admitted(now, agent, request, process, service, target)
            }
            Frame::Heartbeat(heartbeat) => self.on_heartbeat(now, agent, *heartbeat),
            Frame::Load(load) => {
                self.router.on_report(now, agent, ReportUpdate::Load(*load));
            }
            Frame::NotRun { request, not_run } => self.on_declined(now, agent, request, not_run),
            Frame::QuotaGrant(grant) => self.quotas.on_grant(now, agent, &grant),
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
            | Frame::QuotaRequest(_)
            | Frame::Resume { .. }
            | Frame::Snapshot { .. }
            | Frame::Submit(_)
            | Frame::UpstreamConfig(_)
            | Frame::Welcome { .. } => {
                warn!(self.context.log, "unexpected frame"; "agent" => %state.address);
            }
        }
    }

    fn on_heartbeat(&mut self, now: Instant, agent: AgentKey, heartbeat: Heartbeat) {
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        state.last_received_heartbeat = heartbeat.number;
        if state.leaving != heartbeat.leaving {
            info!(self.context.log, "agent leaving"; "agent" => %state.address,
                "leaving" => heartbeat.leaving);
            state.leaving = heartbeat.leaving;
        }
        self.entries
            .on_report(now, heartbeat.connected_entries, heartbeat.entry_rank);
        self.quotas.on_entry_count(now, heartbeat.connected_entries);
        self.retry_budgets.set_entry_count(self.entries.count());
        self.on_engine_crashes(now, agent, &heartbeat.crashes);
        self.on_request_observations(now, &heartbeat.requests);
        self.on_origins_answered(agent, heartbeat.stream_origins, &heartbeat.unknown_streams);
        if let Some(mut update) = heartbeat.report {
            if let (true, ReportUpdate::Full(report)) = (heartbeat.leaving, &mut update) {
                // The agent admits no more requests, but its engine continues to
                // run requests and refuses those that it cannot run.
                let upstreams = report.upstreams.iter_mut();
                upstreams.for_each(|upstream| upstream.takes_work = true);
            }
            self.router.on_report(now, agent, update);
            self.router.set_usable(agent, true);
            self.router.set_unattended(agent, false);
        }
        self.send_next_versions(now, agent, heartbeat.echo);
        self.update_leaving_agents();
    }

    /// Sends a frame to an agent. Returns `false` if the agent is not connected.
    pub(super) fn send(&self, agent: AgentKey, frame: Frame) -> bool {
        let tx = self.agents.get(&agent).and_then(|state| state.tx.as_ref());
        tx.is_some_and(|tx| tx.try_send(frame).is_ok())
    }

    /// Returns the listed identity and address of an agent's engine.
    pub(super) fn engine_identity(&self, agent: AgentKey) -> Option<&ListedUpstream> {
        self.agents.get(&agent)?.upstream.as_ref()
    }

    /// Returns the address of an agent as text; empty if the agent is unknown.
    pub(super) fn agent_address(&self, agent: AgentKey) -> String {
        let state = self.agents.get(&agent);
        state.map_or_else(String::new, |state| state.address.to_string())
    }

    /// Signals the silence of the agents that have sent no frame for
    /// [`SUSPICIOUS_MISSED_HEARTBEATS`] intervals.
    pub(super) fn signal_silent_agents(&self, now: Instant) {
        let limit = self.settings.heartbeat_interval * SUSPICIOUS_MISSED_HEARTBEATS;
        for (agent, state) in &self.agents {
            if state.is_connected() && now.saturating_duration_since(state.last_frame_at) >= limit {
                self.signal_silence(*agent);
            }
        }
    }

    /// Sends heartbeats to all connected agents and disconnects those that have
    /// sent no frame for [`MAX_MISSED_HEARTBEATS`] intervals.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let timeout = self.settings.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let (mut due, mut timed_out) = (Vec::new(), Vec::new());
        for (agent, state) in &self.agents {
            if !state.is_connected() {
                continue;
            }
            if now.saturating_duration_since(state.last_frame_at) >= timeout {
                timed_out.push(*agent);
                continue;
            }
            due.push(*agent);
        }
        for agent in due {
            self.send_heartbeat(now, agent, Notices::default());
        }
        for agent in timed_out {
            let upstream = self.engine_identity(agent).map(|listed| &*listed.name);
            warn!(self.context.log, "agent silent"; "agent" => self.agent_address(agent),
                "upstream" => upstream);
            self.on_agent_disconnected(now, agent, DisconnectCause::HeartbeatTimeout);
        }
    }

    /// Sends an agent a heartbeat, with what is known of the rate limit of its engine and the
    /// given notices.
    pub(super) fn send_heartbeat(&mut self, now: Instant, agent: AgentKey, notices: Notices) {
        let engine = self.engine_identity(agent);
        let rate_limit = engine.and_then(|engine| {
            let seen = self.rate_limits.get(&engine.name, engine.started)?;
            Some(ObservedRateLimit {
                started: engine.started,
                limit: seen.limit,
                age: now.saturating_duration_since(seen.at),
            })
        });
        let Some(state) = self.agents.get_mut(&agent) else {
            return;
        };
        state.last_sent_heartbeat += 1;
        let heartbeat = Heartbeat {
            number: state.last_sent_heartbeat,
            echo: state.last_received_heartbeat,
            fresh: true,
            leaving: self.shutting_down,
            rate_limit,
            requests: notices.requests,
            stream_origins: notices.stream_origins,
            asked_streams: notices.asked_streams,
            ..Heartbeat::default()
        };
        // A failed send is ignored: the connector reports the closed connection.
        self.send(agent, Frame::Heartbeat(Box::new(heartbeat)));
    }

    pub(super) fn send_upstream_config_to_all(&mut self) {
        let agents: Vec<AgentKey> = self.agents.keys().copied().collect();
        agents
            .into_iter()
            .for_each(|agent| self.send_upstream_config(agent));
    }

    /// Sends an agent the configuration that applies to its engine, and the first declared versions
    /// on a new connection.
    fn send_upstream_config(&mut self, agent: AgentKey) {
        let versions = self.first_versions(agent);
        self.send_versions(agent, versions);
    }

    /// Returns the configuration that applies to the engine of an agent, with its revision; `None`
    /// if no configuration is known or the service has no engines.
    pub(super) fn engine_config(&self, state: &AgentState) -> Option<(Revision, EngineConfig)> {
        let route_table = self.context.shared_state.routes()?;
        let config = route_table.config();
        let service = config.service(&state.service)?;
        Some((config.revision, service.engine.clone()?))
    }

    /// Sends an agent declared versions, with the configuration that applies to its engine.
    pub(super) fn send_versions(&self, agent: AgentKey, versions: Vec<AdapterRef>) {
        let Some(state) = self.agents.get(&agent) else {
            return;
        };
        let Some((revision, engine)) = self.engine_config(state) else {
            return;
        };
        let upstream = state.upstream.as_ref().map(|listed| UpstreamIdentity {
            name: listed.name.clone(),
            started: listed.started,
            leaving: listed.leaving,
            service: Some(listed.service.clone()),
        });
        let upstream_config = UpstreamConfig {
            revision,
            upstream,
            engine,
            versions,
            store_era: self.store_era,
        };
        self.send(agent, Frame::UpstreamConfig(Box::new(upstream_config)));
    }
}
