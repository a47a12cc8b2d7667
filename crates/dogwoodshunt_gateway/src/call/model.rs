//! Model requests: an agent grants the run, the request is sent to the agent's
//! engine and the response is streamed back.

use crate::call::CallHandler;
use crate::call::CallResponse;
use crate::call::MAX_UNREACHED_SENDS;
use crate::call::RoutedCall;
use crate::call::SendHistory;
use crate::call::guard::RunGuard;
use crate::call::record::Stage;
use crate::call::stream;
use crate::call::stream::Relay;
use crate::call::stream::StreamStats;
use crate::control::ControlEvent;
use crate::control::Grant;
use crate::control::PlacementRequest;
use crate::control::RunEnd;
use crate::metrics;
use crate::platform::Dispatch;
use crate::platform::ExecutionStatus;
use crate::platform::UpstreamClient;
use crate::platform::UpstreamResponse;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::connection_pool::NotSentCause;
use dogwoodshunt_border::http::connection_pool::SendError;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::UnreachedCause;
use dogwoodshunt_serving::admission;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::Version;
use dogwoodshunt_workspaces::CallerIdentity;
use hyper::header;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Retry-after time sent to a caller whose request an upstream has refused or
/// for which no grant arrived in time.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time within which an engine gives a sign of life unless its host is frozen.
const SIGN_OF_LIFE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 6;

/// Response of an engine that runs the request.
pub(super) struct EngineResponse {
    /// Exchange from which the body of the response is read.
    pub(super) exchange: Exchange,
    /// Ends the run when dropped.
    pub(super) guard: RunGuard,
    /// When the run was granted.
    pub(super) granted_at: Instant,
    /// Version of the software of the engine; `None` if it is not known.
    pub(super) software: Option<SoftwareVersion>,
}

/// Reason why one send to an engine failed.
enum SendFailure {
    /// No response arrived by the deadline.
    DeadlinePassed,
    /// The upstream has refused the request without running it.
    Refused,
    /// The request may have run; the response was lost.
    MayHaveRun(Box<str>),
    /// Nothing reached the upstream.
    Unreached(UnreachedCause, Box<str>),
}

impl<U: UpstreamClient> CallHandler<U> {
    pub(super) async fn serve_model_request(
        self: &Arc<Self>,
        routed: &Arc<RoutedCall>,
        history: &mut SendHistory,
    ) -> CallResponse {
        let engine_response = self
            .run_on_engine(routed, history, routed.call.resume_after)
            .await;
        let engine_response = match engine_response {
            Ok(engine_response) => engine_response,
            Err(response) => return response,
        };
        let end_check = routed.end_check(&engine_response.exchange);
        let stats = StreamStats::new(engine_response.granted_at, routed, self, end_check);
        let status = engine_response.exchange.status;
        let mut headers = engine_response.exchange.headers.clone();
        if routed.route.is_repeatable() && status.is_success() {
            // The stream may go on at another engine, whose run has another length.
            headers.remove(header::CONTENT_LENGTH);
        }
        CallResponse::Upstream {
            status,
            headers,
            body: stream::relay_body(Relay {
                handler: self.clone(),
                routed: routed.clone(),
                history: history.clone(),
                exchange: engine_response.exchange,
                guard: Some(engine_response.guard),
                software: engine_response.software,
                stats,
            }),
        }
    }

    /// Runs the request on an engine and returns the engine's response, which
    /// starts after event `resume_after`. Tries other engines after failures that
    /// allow it.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if no engine has responded.
    pub(super) async fn run_on_engine(
        &self,
        routed: &RoutedCall,
        history: &mut SendHistory,
        resume_after: Option<u64>,
    ) -> Result<EngineResponse, CallResponse> {
        loop {
            history.stage = Stage::Placement;
            history.upstream = None;
            let placement_id = self.next_placement_id();
            let placement_started = Instant::now();
            let mut guard = RunGuard::new(placement_id, self.events.clone());
            let useful_wait = self.useful_wait(routed, history);
            let grant_result = self
                .request_grant(routed, placement_id, useful_wait, history)
                .await;
            let granted_at = Instant::now();
            let grant = grant_result
                .and_then(|grant| self.check_time_for_run(routed, history).map(|()| grant))
                .map_err(|not_run| history.refuse(not_run, self.useful_wait(routed, history)))?;
            let caller = self.authorize_send(routed, history).await?;
            history.stage = Stage::Response;
            history.upstream = Some(grant.upstream.clone());
            let waited = granted_at
                .saturating_duration_since(placement_started)
                .as_secs_f64();
            info!(self.log, "placed"; "id" => %routed.call.id, "request" => %grant.request,
                "upstream" => %grant.upstream,
                "software" => grant.software.as_deref().unwrap_or(""), "target" => %grant.target,
                "waited_ms" => (waited * 1e3) as u64, "sent" => history.sent,
                "parts" => shared_parts(routed));
            metrics::observe_latency(&self.metrics.grant_wait_seconds, &routed.route.name, waited);
            let refused_before = history.refused_by.contains(&grant.upstream);
            let sent = self
                .send(
                    routed,
                    caller,
                    &grant,
                    &mut guard,
                    resume_after,
                    refused_before,
                )
                .await;
            let failure = match sent {
                Ok(exchange) => {
                    let software = self.software_of_run(routed, &grant).await;
                    if history.software.is_none() || history.software == software {
                        history.sent += 1;
                        return Ok(EngineResponse {
                            exchange,
                            guard,
                            granted_at,
                            software,
                        });
                    }
                    let reason = "another process has taken the place of the engine";
                    SendFailure::MayHaveRun(reason.into())
                }
                Err(failure) => failure,
            };
            // Ends the run before the request is sent again.
            drop(guard);
            if let Some(response) = self.on_send_failure(routed, history, &grant, failure).await {
                return Err(response);
            }
        }
    }

    /// Records a failed send in `history`. Returns the response to the caller, or
    /// `None` if the request is to be sent to another engine.
    async fn on_send_failure(
        &self,
        routed: &RoutedCall,
        history: &mut SendHistory,
        grant: &Grant,
        failure: SendFailure,
    ) -> Option<CallResponse> {
        let not_run = NotRun::new(NotRunReason::Overloaded, REFUSED_RETRY_AFTER);
        match failure {
            SendFailure::Unreached(cause, reason) => {
                warn!(self.log, "engine not reached"; "id" => %routed.call.id,
                    "upstream" => %grant.upstream, "cause" => cause.as_str(), "error" => %reason);
                history.unreached += 1;
                history.excluded.push(grant.upstream.clone());
                let should_retry = history.unreached < MAX_UNREACHED_SENDS;
                let not_run = NotRun::new(NotRunReason::Unreachable, REFUSED_RETRY_AFTER);
                (!should_retry).then(|| history.refuse(not_run, Duration::ZERO))
            }
            SendFailure::Refused => {
                history.sent += 1;
                history.refused_by.push(grant.upstream.clone());
                let should_retry =
                    history.sent < routed.route.max_attempts && self.take_retry(routed).await;
                (!should_retry).then(|| history.refuse(not_run, Duration::ZERO))
            }
            SendFailure::MayHaveRun(reason) => {
                history.sent += 1;
                history.lost_response_reason = Some(reason.clone());
                (!self.may_repeat_run(routed, history).await).then_some(CallResponse::Lost(reason))
            }
            SendFailure::DeadlinePassed => {
                history.sent += 1;
                Some(CallResponse::TimedOut)
            }
        }
    }

    /// Returns the time for which a first byte remains useful to the caller,
    /// counted from now.
    ///
    /// A stream that is resumed has already used engine time, so its limit is
    /// the full time that the caller waits for a first byte.
    fn useful_wait(&self, routed: &RoutedCall, history: &SendHistory) -> Duration {
        let time_left = routed.deadline.saturating_duration_since(Instant::now());
        if history.sent > 0 {
            return admission::max_first_byte_wait(&routed.route, time_left);
        }
        admission::useful_wait(&routed.route, time_left, self.useful_objectives)
    }

    /// Requests a grant from the control thread; gives up once the first byte
    /// is no longer useful.
    async fn request_grant(
        &self,
        routed: &RoutedCall,
        placement_id: u64,
        useful_wait: Duration,
        history: &SendHistory,
    ) -> Result<Grant, NotRun> {
        let shutdown_refusal = NotRun::new(NotRunReason::Leaving, REFUSED_RETRY_AFTER);
        let Some(model) = &routed.call.model else {
            return Err(shutdown_refusal);
        };
        let useful_until = Instant::now() + useful_wait;
        let mut demand = model.demand.clone();
        demand.rank = routed.rank();
        let req = PlacementRequest {
            id: routed.call.id.clone(),
            fingerprint: routed.fingerprint,
            service: routed.service.clone(),
            base_model: model.base_model.clone(),
            adapter: model.adapter.clone(),
            workspace: routed.caller.workspace().map(|w| w.name.clone()),
            max_event_gap: routed.route.max_event_gap(),
            demand,
            software: history.software.clone(),
            excluded: history.excluded.clone(),
            is_repeat: history.sent + history.unreached > 0,
            slo_deadline: routed.call.arrived + routed.route.latency_objective,
            useful_until,
        };
        let (reply_tx, grant_rx) = async_channel::bounded(1);
        let place = ControlEvent::Place {
            placement_id,
            req: Box::new(req),
            reply_tx,
        };
        if self.events.send(place).await.is_err() {
            return Err(shutdown_refusal);
        }
        let granted = async { grant_rx.recv().await.unwrap_or(Err(shutdown_refusal)) };
        let timeout = async {
            Timer::at(useful_until).await;
            Err(NotRun::new(NotRunReason::Deadline, REFUSED_RETRY_AFTER))
        };
        granted.or(timeout).await
    }

    /// Sends the request to the granted engine and waits for the head of the
    /// response.
    async fn send(
        &self,
        routed: &RoutedCall,
        caller: CallerIdentity,
        grant: &Grant,
        guard: &mut RunGuard,
        resume_after: Option<u64>,
        refused_before: bool,
    ) -> Result<Exchange, SendFailure> {
        let time_left = routed.deadline.saturating_duration_since(Instant::now());
        let dispatch = Dispatch {
            address: grant.address,
            upstream: grant.upstream.clone(),
            started: grant.started,
            version: adapter_version(&grant.target),
            time_left,
            rank: routed.rank(),
            resume_after,
            rate_limited: grant.rate_limited,
            refused_before,
            caller,
        };
        let sent = async { Ok(self.upstream_client.send(&routed.call, &dispatch).await) };
        let timeout = async {
            Timer::at(routed.deadline).await;
            Err(("late", SendFailure::DeadlinePassed))
        };
        let silent = async {
            self.host_falls_silent(grant).await;
            let reason = "the host of the engine is silent";
            Err(("silent", SendFailure::MayHaveRun(reason.into())))
        };
        let (outcome, result) = match sent.or(timeout).or(silent).await {
            Err((outcome, failure)) => (outcome, Err(failure)),
            Ok(Err(SendError::NotSent { cause, message, .. })) => {
                let cause = unreached_cause(cause);
                guard.end = RunEnd::Unreached(cause);
                ("unreached", Err(SendFailure::Unreached(cause, message)))
            }
            Ok(Err(SendError::Lost { message, .. })) => {
                guard.end = RunEnd::BrokenOff;
                ("lost", Err(SendFailure::MayHaveRun(message)))
            }
            Ok(Ok(upstream_response)) => {
                self.report_announcement(&routed.service, &dispatch, &upstream_response);
                (
                    upstream_response.execution_status.as_str(),
                    classify_response(upstream_response, guard),
                )
            }
        };
        self.count_send(&routed.service, outcome);
        result
    }

    /// Returns the version of the software that runs a request which its engine has begun to answer;
    /// `None` if it is not known.
    ///
    /// A stream that may be resumed is bound to that version, so a process that no agent has seen
    /// is asked whether it is the listed one.
    async fn software_of_run(&self, routed: &RoutedCall, grant: &Grant) -> Option<SoftwareVersion> {
        if grant.is_process_seen || !routed.route.is_repeatable() {
            return grant.software.clone();
        }
        let started = self.upstream_client.process_started(grant.address);
        let timed_out = async {
            Timer::after(SIGN_OF_LIFE_TIMEOUT).await;
            None
        };
        let started = started.or(timed_out).await;
        if started == Some(grant.started) {
            return grant.software.clone();
        }
        warn!(self.log, "process not confirmed"; "id" => %routed.call.id,
            "upstream" => %grant.upstream, "listed" => grant.started, "started" => started);
        None
    }

    /// Waits until neither the agent nor the engine of a grant gives a sign of life, as if their
    /// host is frozen. An engine that answers while its agent is silent is not asked again.
    async fn host_falls_silent(&self, grant: &Grant) {
        // Nothing is sent on the channel; it is closed when the agent falls silent.
        let _ = grant.agent_silent.recv().await;
        let alive = async {
            self.upstream_client
                .wait_for_sign_of_life(grant.address)
                .await;
            true
        };
        let timed_out = async {
            Timer::after(SIGN_OF_LIFE_TIMEOUT).await;
            false
        };
        if alive.or(timed_out).await {
            future::pending::<()>().await;
        }
        warn!(self.log, "host silent"; "upstream" => %grant.upstream, "request" => %grant.request);
    }
}

/// Returns the ids of the first shared parts of the prompt for logs. The last part of a
/// prompt is not shared.
fn shared_parts(routed: &RoutedCall) -> String {
    let model = routed.call.model.as_ref();
    let parts = model.map_or(&[][..], |model| model.demand.shared_parts());
    let logged = parts.iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = logged.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

fn classify_response(
    upstream_response: UpstreamResponse,
    guard: &mut RunGuard,
) -> Result<Exchange, SendFailure> {
    match upstream_response.execution_status {
        ExecutionStatus::Executed => Ok(upstream_response.exchange),
        ExecutionStatus::RefusedFull => {
            guard.end = RunEnd::Refused;
            Err(SendFailure::Refused)
        }
        ExecutionStatus::Misdirected => {
            guard.end = RunEnd::AdapterMissing;
            Err(SendFailure::Refused)
        }
        ExecutionStatus::UnverifiedResponse => {
            let reason = "the answer belongs to another request";
            Err(SendFailure::MayHaveRun(reason.into()))
        }
    }
}

fn unreached_cause(cause: NotSentCause) -> UnreachedCause {
    match cause {
        NotSentCause::Closed => UnreachedCause::Closed,
        NotSentCause::Refused => UnreachedCause::Refused,
        NotSentCause::TimedOut => UnreachedCause::TimedOut,
    }
}

fn adapter_version(target: &Target) -> Option<Version> {
    target.adapter().map(|adapter| adapter.version.clone())
}
