//! Calls of plain services, which have no engines: each call is sent to an
//! upstream of the service's pool, and to another one after failures that allow
//! it.

use crate::call::CallHandler;
use crate::call::CallResponse;
use crate::call::MAX_UNREACHED_SENDS;
use crate::call::RoutedCall;
use crate::call::SendHistory;
use crate::call::guard::CallGuard;
use crate::call::guard::PendingSelection;
use crate::call::record::Stage;
use crate::call::refusal_response;
use crate::control::ControlEvent;
use crate::control::SelectedUpstream;
use crate::platform::Dispatch;
use crate::platform::ExecutionStatus;
use crate::platform::UpstreamClient;
use bytes::Bytes;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::connection_pool::SendError;
use dogwoodshunt_serving::config::RouteKind;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::UpstreamName;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;
use std::time::Instant;

/// Largest response body that is buffered, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Multiple of the route's latency objective after which an idempotent call is
/// sent to another upstream, since nothing else reveals a lost response.
const REPEAT_AFTER_OBJECTIVES: u32 = 2;

/// Retry-after time sent to a caller whose request no upstream has accepted.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Result of one send.
enum SendOutcome {
    /// The request may not be sent.
    Denied(Box<CallResponse>),
    /// Nothing reached the upstream.
    Unreached(Box<str>),
    /// The upstream has refused the request without running it.
    Refused,
    /// The request may have run; the response was lost with its connection.
    BrokenOff(Box<str>),
    /// The request may have run; the response is not one to this request.
    Foreign(Box<str>),
    /// The response was not complete by the deadline of the send.
    TimedOut,
    /// The upstream has responded; the response body has been read to its end.
    Answered(Box<Exchange>, Bytes),
}

impl SendOutcome {
    /// Returns the value of the `outcome` label in metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Denied(_) => "denied",
            Self::Unreached(_) => "unreached",
            Self::Refused => "not-run-full",
            Self::BrokenOff(_) | Self::Foreign(_) => "lost",
            Self::TimedOut => "late",
            Self::Answered(..) => "runs",
        }
    }
}

impl<U: UpstreamClient> CallHandler<U> {
    pub(super) async fn serve_plain_request(
        &self,
        routed: &RoutedCall,
        history: &mut SendHistory,
    ) -> CallResponse {
        let mut excluded: Vec<UpstreamName> = Vec::new();
        let mut last_failure: Option<CallResponse> = None;
        let mut refusal = NotRunReason::Overloaded;
        loop {
            history.stage = Stage::Placement;
            let selected = self.select_upstream(routed, &excluded, history).await;
            let selected = selected.and_then(|selected| {
                let before_deadline = Instant::now() < routed.deadline;
                let too_late = NotRun::new(NotRunReason::NoUpstream, REFUSED_RETRY_AFTER);
                before_deadline.then_some(selected).ok_or(too_late)
            });
            let selected = selected
                .and_then(|selected| self.check_time_for_run(routed, history).map(|()| selected));
            let (selected, guard) = match selected {
                Ok(selected) => selected,
                Err(not_run) => {
                    return last_failure
                        .unwrap_or_else(|| refusal_response(not_run, Duration::ZERO));
                }
            };
            excluded.push(selected.upstream.clone());
            history.stage = Stage::Response;
            history.upstream = Some(selected.upstream.clone());
            let may_repeat = history.sent + 1 < routed.route.max_attempts;
            let software = selected.software.clone();
            let outcome = self
                .send_once(routed, (selected, guard), may_repeat, history)
                .await;
            let should_retry = match outcome {
                SendOutcome::Denied(response) => return last_failure.unwrap_or(*response),
                SendOutcome::Unreached(_) => {
                    history.unreached += 1;
                    refusal = NotRunReason::Unreachable;
                    history.unreached < MAX_UNREACHED_SENDS
                }
                SendOutcome::Refused => {
                    history.sent += 1;
                    history.refused_by.extend(history.upstream.clone());
                    refusal = NotRunReason::Overloaded;
                    self.may_resend(routed, history).await
                }
                SendOutcome::BrokenOff(reason) | SendOutcome::Foreign(reason) => {
                    history.sent += 1;
                    history.lost_response_reason = Some(reason.clone());
                    last_failure = Some(CallResponse::Lost(reason));
                    self.may_repeat_run(routed, history).await
                }
                SendOutcome::TimedOut => {
                    history.sent += 1;
                    history.lost_response_reason = Some("no response arrived in time".into());
                    last_failure = Some(CallResponse::TimedOut);
                    self.may_repeat_run(routed, history).await
                }
                SendOutcome::Answered(exchange, body_bytes) => {
                    history.sent += 1;
                    let failed = exchange.status.is_server_error();
                    let response = CallResponse::Upstream {
                        status: exchange.status,
                        headers: exchange.headers.clone(),
                        body: body::full(body_bytes),
                    };
                    if exchange.status.is_success() {
                        self.report_stream_begun(routed, software.as_ref());
                    }
                    if !failed || !self.may_repeat_run(routed, history).await {
                        return response;
                    }
                    history.lost_response_reason = Some("the upstream has failed".into());
                    last_failure = Some(response);
                    true
                }
            };
            if !should_retry {
                let not_run = NotRun::new(refusal, REFUSED_RETRY_AFTER);
                return last_failure.unwrap_or_else(|| refusal_response(not_run, Duration::ZERO));
            }
        }
    }

    /// Records which software version has begun a stream that its caller may take up.
    fn report_stream_begun(&self, routed: &RoutedCall, software: Option<&SoftwareVersion>) {
        let is_stream = matches!(
            routed.route.kind,
            RouteKind::Stream {
                resumable: true,
                ..
            }
        );
        if let Some(software) = software.filter(|_| is_stream) {
            let origin = routed.call.stream_origin(&routed.service, software);
            // The channel is unbounded and closes only while the process exits.
            let _ = self.events.try_send(ControlEvent::StreamBegun(origin));
        }
    }

    async fn select_upstream(
        &self,
        routed: &RoutedCall,
        excluded: &[UpstreamName],
        history: &SendHistory,
    ) -> Result<(SelectedUpstream, CallGuard), NotRun> {
        // The control thread ends only with the process.
        let stopping = NotRun::new(NotRunReason::Leaving, REFUSED_RETRY_AFTER);
        let (reply_tx, selection_rx) = async_channel::bounded(1);
        let event = ControlEvent::SelectUpstream {
            service: routed.service.clone(),
            fingerprint: routed.fingerprint,
            workspace: routed.caller.workspace().map(|w| w.name.clone()),
            excluded: excluded.to_vec(),
            software: history.software.clone(),
            reply_tx,
        };
        let mut selection = PendingSelection {
            selection_rx,
            service: routed.service.clone(),
            fingerprint: routed.fingerprint,
            workspace: routed.caller.workspace().map(|w| w.name.clone()),
            events: self.events.clone(),
        };
        self.events.send(event).await.map_err(|_| stopping)?;
        selection.receive().await.unwrap_or(Err(stopping))
    }

    /// Sends the call to the selected upstream and reports the outcome to the
    /// upstream's pool.
    async fn send_once(
        &self,
        routed: &RoutedCall,
        (selected, mut guard): (SelectedUpstream, CallGuard),
        may_repeat: bool,
        history: &SendHistory,
    ) -> SendOutcome {
        let caller = match self.authorize_send(routed, history).await {
            Ok(caller) => caller,
            Err(response) => return SendOutcome::Denied(Box::new(response)),
        };
        let now = Instant::now();
        let dispatch = Dispatch {
            address: selected.address,
            upstream: selected.upstream,
            started: selected.started,
            version: None,
            time_left: routed.deadline.saturating_duration_since(now),
            rank: routed.rank(),
            resume_after: None,
            rate_limited: selected.rate_limited,
            // No call is sent to an upstream twice.
            refused_before: false,
            caller,
        };
        let attempt_deadline = match routed.route.kind {
            RouteKind::Idempotent if may_repeat => {
                let repeat_at = now + routed.route.latency_objective * REPEAT_AFTER_OBJECTIVES;
                repeat_at.min(routed.deadline)
            }
            RouteKind::AtMostOnce | RouteKind::Idempotent | RouteKind::Stream { .. } => {
                routed.deadline
            }
        };
        let response = self.send_and_read(routed, &dispatch);
        let timeout = async {
            Timer::at(attempt_deadline).await;
            SendOutcome::TimedOut
        };
        let outcome = response.or(timeout).await;
        self.count_send(&routed.service, outcome.as_str());
        guard.end = match &outcome {
            SendOutcome::Unreached(reason) => {
                warn!(self.log, "upstream not reached"; "id" => %routed.call.id,
                    "upstream" => %guard.upstream, "error" => %reason);
                CallEnd::Failed
            }
            SendOutcome::BrokenOff(_) => CallEnd::Lost,
            SendOutcome::Denied(_) => CallEnd::Neutral,
            SendOutcome::Refused => CallEnd::Refused,
            SendOutcome::Foreign(_) | SendOutcome::TimedOut => CallEnd::Failed,
            SendOutcome::Answered(exchange, _) if exchange.status.is_server_error() => {
                CallEnd::Failed
            }
            SendOutcome::Answered(..) => CallEnd::Answered,
        };
        outcome
    }

    async fn send_and_read(&self, routed: &RoutedCall, dispatch: &Dispatch) -> SendOutcome {
        let upstream_response = match self.upstream_client.send(&routed.call, dispatch).await {
            Ok(upstream_response) => upstream_response,
            Err(SendError::NotSent { message, .. }) => return SendOutcome::Unreached(message),
            Err(SendError::Lost { message, .. }) => return SendOutcome::BrokenOff(message),
        };
        self.report_announcement(&routed.service, dispatch, &upstream_response);
        let mut exchange = upstream_response.exchange;
        match upstream_response.execution_status {
            ExecutionStatus::RefusedFull | ExecutionStatus::Misdirected => SendOutcome::Refused,
            ExecutionStatus::UnverifiedResponse => {
                SendOutcome::Foreign("the answer belongs to another request".into())
            }
            ExecutionStatus::Executed => {
                let buffer = self.client_limits.buffer(None);
                let body_bytes = exchange.read_to_end_into(buffer, MAX_BUFFERED_BODY_BYTES);
                let body_bytes = match body_bytes.await {
                    Ok(body_bytes) => body_bytes,
                    Err(error) => return SendOutcome::BrokenOff(error.to_string().into()),
                };
                let mut end_check = routed.end_check(&exchange);
                end_check.advance(&body_bytes);
                match end_check.check_end() {
                    Ok(()) => SendOutcome::Answered(Box::new(exchange), body_bytes),
                    Err(cut) => SendOutcome::BrokenOff(cut.to_string().into()),
                }
            }
        }
    }
}
