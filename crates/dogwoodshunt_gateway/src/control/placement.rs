//! Placement of model requests: selects the agent that is asked to admit a
//! request to its engine, and handles the agent's response.
//!
//! A placement is pending until an agent admits the request, which grants a run.
//! If an agent declines, another one is asked. An engine whose agent has
//! disconnected is unattended: for a limited time this entry grants runs on the
//! engine itself.

use crate::control::Control;
use crate::control::PlacementId;
use crate::platform::RecordDecoder;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::RouteRequest;
use dogwoodshunt_routing::UnreachedCause;
use dogwoodshunt_serving::registry::ListedUpstream;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::WorkspaceName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use dogwoodshunt_wire::frame::UpstreamProcess;
use slog::info;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of agents that are asked to admit one request before the
/// request is refused.
const MAX_ADMISSION_ATTEMPTS: u64 = 4;

/// Number of low bits of [`RequestId::number`] that hold the attempt, which is
/// the number of agents asked before. The higher bits hold the placement id.
const ATTEMPT_BITS: u32 = 8;

/// Retry-after time sent to a caller whose request no agent has admitted.
const NO_AGENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Version of adapters for which operators have declared no version.
const DEFAULT_VERSION: &str = "1";

/// A model request that needs an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Id that the caller gave the request.
    pub id: Box<str>,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Service whose engines run the request.
    pub service: ServiceName,
    /// Requested base model.
    pub base_model: Box<str>,
    /// Requested adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Workspace of the caller, if any.
    pub workspace: Option<WorkspaceName>,
    /// Longest gap between two events of the response that counts as on time; `None` if the
    /// response is not a stream.
    pub max_event_gap: Option<Duration>,
    /// Work that the request causes on an engine.
    pub demand: Demand,
    /// Version of the engine's software that must run the request; `None` if any may.
    pub software: Option<SoftwareVersion>,
    /// Engines that the request has not reached.
    pub excluded: Vec<UpstreamName>,
    /// Whether the request was placed before.
    pub is_repeat: bool,
    /// Time after which the first byte misses the latency objective of the route.
    pub slo_deadline: Instant,
    /// Time after which the first byte is of no use to the caller.
    pub useful_until: Instant,
}

/// Permission to run a model request on an engine.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Upstream that has capacity for the request.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Start time of the upstream process.
    pub started: UnixMillis,
    /// Version of the software of the listed process; `None` if it is not known.
    pub software: Option<SoftwareVersion>,
    /// Whether an agent has seen the listed process run. Otherwise another one may have started
    /// under the name of the upstream since it was listed.
    pub is_process_seen: bool,
    /// Model or adapter version that is ready on the upstream.
    pub target: Target,
    /// Id of this attempt in the frames exchanged with the agent.
    pub request: RequestId,
    /// Whether the upstream is known to limit the requests of all entries together.
    pub rate_limited: bool,
    /// Is closed when the agent beside the upstream falls silent before the upstream answers.
    pub agent_silent: Receiver<()>,
}

/// How a granted run has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The upstream has reported that it lacks the adapter.
    AdapterMissing,
    /// The upstream has answered with success, to the end of the response.
    Answered,
    /// The connection to the upstream was lost before the response was complete.
    BrokenOff,
    /// The run is over in any other way.
    Finished,
    /// The upstream has refused the request without running it.
    Refused,
    /// The request has not reached the upstream.
    Unreached(UnreachedCause),
}

/// A model request that is being placed; agents are asked one after another.
struct Placement {
    req: PlacementRequest,
    target: Target,
    /// Agents that have been asked before or whose engines the request has not reached.
    excluded: Vec<AgentKey>,
    /// Number of agents that have been asked before.
    attempt: u64,
    /// Of the refusals of overloaded agents, the one with the shortest wait.
    shortest_overload: Option<NotRun>,
    reply_tx: Sender<Result<Grant, NotRun>>,
}

impl Placement {
    /// Returns whether an engine belongs to the service of the request and runs a version of its
    /// software that may run it.
    fn accepts(&self, engine: &ListedUpstream) -> bool {
        if engine.service != self.req.service {
            return false;
        }
        let software = self.req.software.as_ref();
        software.is_none_or(|software| engine.software_identity().as_ref() == Some(software))
    }

    /// Records why an agent has declined the request.
    fn on_declined(&mut self, not_run: NotRun) {
        let is_shorter = self
            .shortest_overload
            .is_none_or(|known| not_run.retry_after < known.retry_after);
        if not_run.reason == NotRunReason::Overloaded && is_shorter {
            self.shortest_overload = Some(not_run);
        }
    }

    /// Refuses the request since no agent is left to ask. An overloaded agent is up, so its
    /// refusal says more than that there is no other agent.
    fn refuse_beyond_agents(self, not_run: NotRun) {
        let overload = self
            .shortest_overload
            .filter(|_| not_run.reason == NotRunReason::NoUpstream);
        self.refuse(overload.unwrap_or(not_run));
    }

    fn refuse(self, not_run: NotRun) {
        // The receiver is dropped if the caller has disconnected.
        let _ = self.reply_tx.try_send(Err(not_run));
    }
}

/// A placement that waits for the response of an agent.
pub(super) struct PendingPlacement {
    placement: Placement,
    agent: AgentKey,
    sent_at: Instant,
}

/// A run that an agent has admitted, or that this entry has granted on an
/// unattended engine.
pub(super) struct GrantedRun {
    agent: AgentKey,
    /// Process that runs the request.
    upstream: UpstreamProcess,
    fingerprint: RequestFingerprint,
    service: ServiceName,
    target: Target,
    request: RequestId,
    demand: Demand,
    workspace: Option<WorkspaceName>,
    max_event_gap: Option<Duration>,
    slo_deadline: Instant,
    useful_until: Instant,
    /// Closed when the agent falls silent before the engine answers.
    agent_silent: Sender<()>,
}

impl GrantedRun {
    pub(super) fn agent(&self) -> AgentKey {
        self.agent
    }

    pub(super) fn upstream_name(&self) -> &str {
        &self.upstream.name
    }

    /// Returns whether the run was granted on the listed process.
    pub(super) fn is_at(&self, engine: &ListedUpstream) -> bool {
        self.upstream.name == engine.name && self.upstream.started == engine.started
    }
}

impl<D: RecordDecoder> Control<D> {
    pub(super) fn on_place(
        &mut self,
        now: Instant,
        placement_id: PlacementId,
        req: PlacementRequest,
        reply_tx: Sender<Result<Grant, NotRun>>,
    ) {
        if !req.is_repeat {
            self.retry_budgets.on_request(&req.service);
        }
        if let Some(not_run) = self.quarantine_refusal(now, &req) {
            // The receiver is dropped if the caller has disconnected.
            let _ = reply_tx.try_send(Err(not_run));
            return;
        }
        let placement = Placement {
            target: self.target_of(&req),
            excluded: self.agents_of(&req.excluded),
            req,
            attempt: 0,
            shortest_overload: None,
            reply_tx,
        };
        self.request_admission(now, placement_id, placement);
    }

    /// Returns the target of a request. For adapters, the target is the newest
    /// declared version, or [`DEFAULT_VERSION`] if none is declared.
    fn target_of(&self, req: &PlacementRequest) -> Target {
        let Some(name) = &req.adapter else {
            return Target::BaseModel(req.base_model.clone());
        };
        let declared = self.declared_versions.get(name).cloned();
        Target::Adapter {
            adapter: declared.unwrap_or_else(|| AdapterRef::new(name, DEFAULT_VERSION)),
            base_model: req.base_model.clone(),
        }
    }

    /// Asks the agent that the router selects to admit the request; refuses the
    /// request if no agent is left to ask.
    fn request_admission(&mut self, now: Instant, placement_id: PlacementId, placement: Placement) {
        if placement.attempt >= MAX_ADMISSION_ATTEMPTS {
            let overloaded = NotRun::new(NotRunReason::Overloaded, NO_AGENT_RETRY_AFTER);
            let not_run = placement.shortest_overload.unwrap_or(overloaded);
            placement.refuse(not_run);
            return;
        }
        let in_time = RouteRequest {
            target: &placement.target,
            deadline: Some(placement.req.useful_until),
            excluded: &placement.excluded,
            demand: &placement.req.demand,
            service: Some(&*placement.req.service),
            software: placement.req.software.as_deref(),
            max_event_gap: placement.req.max_event_gap,
        };
        let mut routed = self.router.route(now, &in_time);
        let is_late = routed.is_err_and(|not_run| not_run.reason == NotRunReason::Deadline);
        if is_late && placement.req.workspace.is_some() && placement.attempt == 0 {
            // The wait is that of all workspaces. Only an agent knows which of them are beyond
            // their share, and it refuses at once what it cannot serve in time.
            let at_any_time = RouteRequest {
                deadline: None,
                ..in_time
            };
            routed = self.router.route(now, &at_any_time);
        }
        let agent = match routed {
            Ok(agent) => agent,
            Err(not_run) => {
                placement.refuse_beyond_agents(not_run);
                return;
            }
        };
        let pending = PendingPlacement {
            placement,
            agent,
            sent_at: now,
        };
        if self.router.agent(agent).is_some_and(|a| a.unattended) {
            self.grant_unattended(now, placement_id, pending);
            return;
        }
        let req = &pending.placement.req;
        let admit = Admit {
            request: self.request_id(placement_id, pending.placement.attempt),
            target: pending.placement.target.clone(),
            demand: req.demand.clone(),
            workspace: req.workspace.clone(),
            max_event_gap: req.max_event_gap,
            paced: self.router.uses_learned_costs(),
            due_in: req.slo_deadline.saturating_duration_since(now),
            time_left: req.useful_until.saturating_duration_since(now),
            started: false,
        };
        // If the connection is lost, `AgentDisconnected` follows and moves the
        // placement to another agent.
        self.send(agent, Frame::Admit(Box::new(admit)));
        self.pending.insert(placement_id, pending);
    }

    fn request_id(&self, placement_id: PlacementId, attempt: u64) -> RequestId {
        RequestId {
            entry_boot: self.context.credentials.identity.boot,
            number: placement_id << ATTEMPT_BITS | attempt,
        }
    }

    /// Grants a run on an engine whose agent is disconnected.
    ///
    /// The engine itself refuses adapters and versions that it has not loaded.
    fn grant_unattended(
        &mut self,
        now: Instant,
        placement_id: PlacementId,
        pending: PendingPlacement,
    ) {
        let agent = pending.agent;
        let engine = self.engine_identity(agent);
        let engine = engine.filter(|engine| pending.placement.accepts(engine));
        let Some(engine) = engine.cloned() else {
            self.try_next_agent(now, placement_id, pending);
            return;
        };
        let request = self.request_id(placement_id, pending.placement.attempt);
        let target = pending.placement.target.clone();
        info!(self.context.log, "granted unattended"; "request" => %request,
            "upstream" => %engine.name, "target" => %target);
        let software = engine.software_identity();
        self.start_run(now, placement_id, pending, |agent_silent| Grant {
            rate_limited: false,
            upstream: engine.name,
            address: engine.address,
            started: engine.started,
            software,
            is_process_seen: false,
            target,
            request,
            agent_silent,
        });
    }

    fn start_run(
        &mut self,
        now: Instant,
        placement_id: PlacementId,
        pending: PendingPlacement,
        grant: impl FnOnce(Receiver<()>) -> Grant,
    ) {
        let placement = pending.placement;
        let (agent_silent, silent_rx) = async_channel::bounded(1);
        let grant = grant(silent_rx);
        let run = GrantedRun {
            agent: pending.agent,
            upstream: UpstreamProcess {
                name: grant.upstream.clone(),
                started: grant.started,
            },
            fingerprint: placement.req.fingerprint,
            service: placement.req.service,
            target: placement.target,
            request: grant.request,
            demand: placement.req.demand,
            workspace: placement.req.workspace,
            max_event_gap: placement.req.max_event_gap,
            slo_deadline: placement.req.slo_deadline,
            useful_until: placement.req.useful_until,
            agent_silent,
        };
        self.granted_runs.insert(placement_id, run);
        if placement.reply_tx.try_send(Ok(grant)).is_err() {
            // The caller has disconnected.
            self.on_placement_ended(now, placement_id, RunEnd::Finished);
        }
    }

    pub(super) fn on_admitted(
        &mut self,
        now: Instant,
        agent: AgentKey,
        request: RequestId,
        process: UpstreamProcess,
        service: Option<ServiceName>,
        target: Target,
    ) {
        let (placement_id, attempt) = split_request_id(request);
        if !self.is_pending_at(placement_id, agent, attempt) {
            // The caller has disconnected, or another agent has been asked
            // since.
            self.send(agent, done_frame(request, RunEnd::Finished));
            return;
        }
        let Some(pending) = self.pending.remove(&placement_id) else {
            return;
        };
        // Another engine may have taken the place of the one that was asked for.
        let engine = self
            .engine_identity(agent)
            .and_then(|listed| listed.as_seen(&process.name, process.started, service));
        let Some(engine) = engine.filter(|engine| pending.placement.accepts(engine)) else {
            self.send(agent, done_frame(request, RunEnd::Finished));
            self.try_next_agent(now, placement_id, pending);
            return;
        };
        let software = engine.software_identity();
        let is_process_seen = !self.may_be_out_of_step(now);
        let (address, started) = (engine.address, engine.started);
        let rate_limited = self
            .router
            .agent(agent)
            .is_some_and(|a| a.is_rate_limited());
        self.start_run(now, placement_id, pending, |agent_silent| Grant {
            upstream: process.name,
            address,
            started,
            software,
            is_process_seen,
            target,
            request,
            rate_limited,
            agent_silent,
        });
    }

    pub(super) fn on_declined(
        &mut self,
        now: Instant,
        agent: AgentKey,
        request: RequestId,
        not_run: NotRun,
    ) {
        let (placement_id, attempt) = split_request_id(request);
        if !self.is_pending_at(placement_id, agent, attempt) {
            return;
        }
        let Some(mut pending) = self.pending.remove(&placement_id) else {
            return;
        };
        self.log_not_granted(now, placement_id, &pending, &not_run.reason.to_string());
        pending.placement.on_declined(not_run);
        if not_run.reason == NotRunReason::Deadline {
            self.router.on_attempt_end(agent, &pending.placement.target);
            pending.placement.refuse(not_run);
            return;
        }
        self.try_next_agent(now, placement_id, pending);
    }

    /// Logs that an agent has not admitted a request. The line holds both the
    /// caller's id and the [`RequestId`] that appears in the agent's log.
    fn log_not_granted(
        &self,
        now: Instant,
        placement_id: PlacementId,
        pending: &PendingPlacement,
        reason: &str,
    ) {
        let PendingPlacement {
            placement,
            agent,
            sent_at,
        } = pending;
        let waited = now.saturating_duration_since(*sent_at);
        info!(self.context.log, "not granted"; "id" => %placement.req.id,
            "request" => %self.request_id(placement_id, placement.attempt), "why" => reason,
            "agent" => self.agent_address(*agent), "waited_ms" => waited.as_millis() as u64);
    }

    /// Returns whether the placement waits for the response of `agent` to
    /// `attempt`.
    fn is_pending_at(&self, placement_id: PlacementId, agent: AgentKey, attempt: u64) -> bool {
        let current = self.pending.get(&placement_id);
        current
            .is_some_and(|pending| pending.agent == agent && pending.placement.attempt == attempt)
    }

    fn try_next_agent(
        &mut self,
        now: Instant,
        placement_id: PlacementId,
        pending: PendingPlacement,
    ) {
        let PendingPlacement {
            mut placement,
            agent,
            ..
        } = pending;
        self.router.on_attempt_end(agent, &placement.target);
        placement.excluded.push(agent);
        placement.attempt += 1;
        placement.target = self.target_of(&placement.req);
        self.request_admission(now, placement_id, placement);
    }

    /// Moves the placements that are pending at a disconnected agent to other
    /// agents.
    pub(super) fn reroute_pending(&mut self, now: Instant, agent: AgentKey) {
        for placement_id in self.pending_at(agent) {
            if let Some(pending) = self.pending.remove(&placement_id) {
                self.log_not_granted(now, placement_id, &pending, "agent disconnected");
                self.try_next_agent(now, placement_id, pending);
            }
        }
    }

    /// Withdraws the placements that are pending at an agent whose engine wants no
    /// more requests, and moves them to other agents.
    pub(super) fn move_pending(&mut self, now: Instant, agent: AgentKey) {
        for placement_id in self.pending_at(agent) {
            if let Some(pending) = self.pending.remove(&placement_id) {
                self.log_not_granted(now, placement_id, &pending, "engine wants no requests");
                let request = self.request_id(placement_id, pending.placement.attempt);
                self.send(agent, Frame::Cancel { request });
                self.try_next_agent(now, placement_id, pending);
            }
        }
    }

    /// Withdraws and refuses the placements whose prompts are quarantined.
    pub(super) fn refuse_quarantined(&mut self, now: Instant) {
        let pending: Vec<PlacementId> = self.pending.keys().copied().collect();
        for placement_id in pending {
            let req = self
                .pending
                .get(&placement_id)
                .map(|pending| &pending.placement.req);
            let Some(not_run) = req.and_then(|req| self.quarantine_refusal(now, req)) else {
                continue;
            };
            if let Some(pending) = self.pending.remove(&placement_id) {
                self.log_not_granted(now, placement_id, &pending, &not_run.reason.to_string());
                self.router
                    .on_attempt_end(pending.agent, &pending.placement.target);
                let request = self.request_id(placement_id, pending.placement.attempt);
                self.send(pending.agent, Frame::Cancel { request });
                pending.placement.refuse(not_run);
            }
        }
    }

    fn pending_at(&self, agent: AgentKey) -> Vec<PlacementId> {
        let at_agent = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.agent == agent);
        at_agent.map(|(placement_id, _)| *placement_id).collect()
    }

    /// Makes the requests that wait for the answer of an engine ask it for a sign of life, since
    /// its agent is silent.
    pub(super) fn signal_silence(&self, agent: AgentKey) {
        let runs = self.granted_runs.values();
        for run in runs.filter(|run| run.agent == agent) {
            run.agent_silent.close();
        }
    }

    /// Sends a reconnected agent the runs that continue on its engine.
    pub(super) fn resend_granted_runs(&mut self, now: Instant, agent: AgentKey) {
        let runs = self.granted_runs.values().filter(|run| run.agent == agent);
        let frames: Vec<Frame> = runs
            .map(|run| {
                Frame::Admit(Box::new(Admit {
                    request: run.request,
                    target: run.target.clone(),
                    demand: run.demand.clone(),
                    workspace: run.workspace.clone(),
                    max_event_gap: run.max_event_gap,
                    paced: self.router.uses_learned_costs(),
                    due_in: run.slo_deadline.saturating_duration_since(now),
                    time_left: run.useful_until.saturating_duration_since(now),
                    started: true,
                }))
            })
            .collect();
        for frame in frames {
            self.send(agent, frame);
        }
    }

    pub(super) fn on_first_byte(&mut self, now: Instant, placement_id: PlacementId) {
        if let Some(run) = self.granted_runs.get(&placement_id) {
            let (request, agent) = (run.request, run.agent);
            self.send(agent, Frame::FirstByte { request });
            let quarantine = self.quarantines.entry(run.service.clone()).or_default();
            quarantine.on_answer(now, run.demand.shared_parts());
            self.on_engine_reached(agent);
        }
    }

    /// Ends a run, or a pending placement that its caller has abandoned.
    pub(super) fn on_placement_ended(
        &mut self,
        now: Instant,
        placement_id: PlacementId,
        end: RunEnd,
    ) {
        if let Some(run) = self.granted_runs.remove(&placement_id) {
            self.router.on_attempt_end(run.agent, &run.target);
            match end {
                RunEnd::Answered => self.on_request_answered(now, run.fingerprint),
                RunEnd::BrokenOff => {
                    let UpstreamProcess { name, started } = &run.upstream;
                    self.on_request_lost(now, run.fingerprint, name, *started);
                }
                RunEnd::AdapterMissing
                | RunEnd::Finished
                | RunEnd::Refused
                | RunEnd::Unreached(_) => {}
            }
            self.on_reachability(now, &run, end);
            let missing = run
                .target
                .adapter()
                .filter(|_| end == RunEnd::AdapterMissing);
            if let Some(adapter) = missing {
                self.router.mark_adapter_missing(run.agent, adapter);
            }
            // A disconnected agent misses this frame. On reconnection it receives
            // the runs that continue, and this run is not among them.
            self.send(run.agent, done_frame(run.request, end));
        }
        if let Some(pending) = self.pending.remove(&placement_id) {
            self.log_not_granted(
                now,
                placement_id,
                &pending,
                "caller disconnected or deadline passed",
            );
            self.router
                .on_attempt_end(pending.agent, &pending.placement.target);
            let request = self.request_id(placement_id, pending.placement.attempt);
            self.send(pending.agent, Frame::Cancel { request });
        }
    }
}

fn split_request_id(request: RequestId) -> (PlacementId, u64) {
    let attempt = request.number & ((1 << ATTEMPT_BITS) - 1);
    (request.number >> ATTEMPT_BITS, attempt)
}

fn done_frame(request: RequestId, end: RunEnd) -> Frame {
    Frame::Done {
        request,
        adapter_missing: end == RunEnd::AdapterMissing,
        broken_off: end == RunEnd::BrokenOff,
    }
}
