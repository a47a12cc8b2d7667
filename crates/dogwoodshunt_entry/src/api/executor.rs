//! Execution of a request: attempts on agents until one responds or no retry is allowed.

use crate::agent_connection::AttemptEvent;
use crate::agent_connection::InFlightAttempt;
use crate::api::chunk_sequencer::BodyEvent;
use crate::api::chunk_sequencer::ChunkSequencer;
use crate::api::idempotency;
use crate::api::record::Attempts;
use crate::api::record::StreamRecord;
use crate::api::request::CallerRequest;
use crate::api::request::Delivery;
use crate::api::response;
use crate::api::response::RequestError;
use crate::control::AttemptRequest;
use crate::control::ControlEvent;
use crate::control::RoutedAttempt;
use crate::control::RoutingError;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BodyError;
use dogwoodshunt_border::http::limits::LeasedBuffer;
use dogwoodshunt_border::http::limits::ProcessLimits;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::attempt::Attempt;
use dogwoodshunt_routing::attempt::Sent;
use dogwoodshunt_routing::retry::AttemptFailure;
use dogwoodshunt_routing::retry::RetryContext;
use dogwoodshunt_routing::retry::RetryDecision;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_wire::frame::ResponseHead;
use dogwoodshunt_wire::frame::Submit;
use hyper::Response;
use slog::Logger;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of a buffered response, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Maximum number of received chunks of a streamed response that the caller has not read yet.
const STREAM_QUEUE_CHUNKS: usize = 32;

/// Retry-after time when the chosen agent is not connected or the entry is stopping.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Executes requests on agents, with retries.
#[derive(Clone)]
pub struct RequestExecutor {
    /// Channel to the control thread.
    pub events: Sender<ControlEvent>,
    /// Executor of the threads that forward streamed responses.
    pub traffic: TrafficExecutor,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Budget of the process, from which buffered responses are taken.
    pub client_limits: Arc<ProcessLimits>,
    /// Logger of this process.
    pub log: Logger,
}

/// Response to a request that ran.
pub enum CallerResponse {
    /// Stored response to an earlier request with the same idempotency key.
    Replayed {
        /// Status and headers of the response.
        head: ResponseHead,
        /// ID under which the earlier request claimed the idempotency key.
        request_id: RequestId,
        /// Body of the response.
        body: Bytes,
    },
    /// Response whose body is still being received.
    Streamed {
        /// Status and headers of the response.
        head: ResponseHead,
        /// ID of the attempt that ran.
        request_id: RequestId,
        /// Body of the response.
        body: ResponseBody,
    },
    /// Response whose body is complete.
    Buffered {
        /// Status and headers of the response.
        head: ResponseHead,
        /// ID of the attempt that ran.
        request_id: RequestId,
        /// Body of the response.
        body: Bytes,
    },
}

/// Capacity of an agent that the router has reserved for one attempt; dropping the
/// reservation releases the capacity.
struct Reservation {
    events: Sender<ControlEvent>,
    agent: AgentKey,
    target: Target,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let _ = self.events.try_send(ControlEvent::AttemptEnded {
            agent: self.agent,
            target: self.target.clone(),
        });
    }
}

/// A failed attempt, with a message for the caller.
struct FailedAttempt {
    agent: AgentKey,
    failure: AttemptFailure,
    message: Box<str>,
}

impl CallerResponse {
    /// Converts to the HTTP response for the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        match self {
            Self::Replayed {
                head,
                request_id,
                body,
            } => {
                let mut response = response::executed(&head, request_id, body::full(body));
                idempotency::mark_replayed(response.headers_mut());
                response
            }
            Self::Streamed {
                head,
                request_id,
                body,
            } => response::executed(&head, request_id, body),
            Self::Buffered {
                head,
                request_id,
                body,
            } => response::executed(&head, request_id, body::full(body)),
        }
    }
}

impl RequestExecutor {
    /// Executes a request, with retries on other agents where a retry is safe.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if no attempt succeeds; its outcome says whether
    /// the request may have run.
    pub async fn execute(
        &self,
        request: &CallerRequest,
        attempts: &mut Attempts,
    ) -> Result<CallerResponse, RequestError> {
        let mut excluded = Vec::new();
        let mut last_failure: Option<FailedAttempt> = None;
        loop {
            attempts.is_waiting = false;
            let routed = match self.route(request, &excluded).await {
                Ok(routed) => routed,
                Err(error) => return Err(final_routing_error(error, last_failure)),
            };
            attempts.count += 1;
            attempts.last = Some(routed.attempt.request);
            attempts.is_waiting = true;
            let failed = match self.attempt(request, routed).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let context = RetryContext {
                attempts: attempts.count,
                max_attempts: self.max_attempts,
                repeatable: request.repeatable,
                response_started: false,
            };
            match self.decide_retry(failed.failure, context).await {
                RetryDecision::GiveUp => return Err(final_error(failed, last_failure)),
                RetryDecision::Retry { delay } => {
                    excluded.push(failed.agent);
                    last_failure = Some(less_certain_failure(failed, last_failure));
                    Timer::after(delay).await;
                }
            }
        }
    }

    async fn route(
        &self,
        request: &CallerRequest,
        excluded: &[AgentKey],
    ) -> Result<RoutedAttempt, RoutingError> {
        let (reply, reply_rx) = async_channel::bounded(1);
        let attempt_request = AttemptRequest {
            target: request.target.clone(),
            deadline: Some(request.deadline),
            excluded: excluded.to_vec(),
        };
        let stopping =
            RoutingError::NotRun(NotRun::new(NotRunReason::Leaving, UNREACHABLE_RETRY_AFTER));
        let sent = self
            .events
            .send(ControlEvent::RouteAttempt {
                attempt_request,
                reply,
            })
            .await;
        sent.map_err(|_| stopping)?;
        reply_rx.recv().await.map_err(|_| stopping)?
    }

    async fn decide_retry(&self, failure: AttemptFailure, context: RetryContext) -> RetryDecision {
        let (reply, reply_rx) = async_channel::bounded(1);
        let event = ControlEvent::DecideRetry {
            failure,
            context,
            reply,
        };
        if self.events.send(event).await.is_err() {
            return RetryDecision::GiveUp;
        }
        reply_rx.recv().await.unwrap_or(RetryDecision::GiveUp)
    }

    async fn attempt(
        &self,
        request: &CallerRequest,
        routed: RoutedAttempt,
    ) -> Result<CallerResponse, FailedAttempt> {
        let RoutedAttempt {
            attempt,
            connection,
            target,
            revision,
        } = routed;
        let agent = attempt.agent;
        let reservation = Reservation {
            events: self.events.clone(),
            agent,
            target: target.clone(),
        };
        let submit = Submit {
            request: attempt.request,
            revision,
            body: request.body_for(&target.to_string()),
            target,
            priority: request.priority,
            time_left: Some(request.deadline.saturating_duration_since(Instant::now())),
            method: request.method.clone(),
            path: request.path.clone(),
            content_type: request.content_type.clone(),
        };
        let Some(mut in_flight) = connection.submit(Box::new(submit)) else {
            let not_run = NotRun::new(NotRunReason::NoUpstream, UNREACHABLE_RETRY_AFTER);
            return Err(FailedAttempt {
                agent,
                failure: attempt.abandon(not_run),
                message: "the agent is not connected".into(),
            });
        };
        let attempt = attempt.send(in_flight.agent_boot);
        let request_id = attempt.request;
        let (attempt, head) = wait_for_head(attempt, &mut in_flight).await?;
        if request.delivery == Delivery::Streamed && request.idempotency_key.is_none() {
            let record = StreamRecord::new(Instant::now(), request_id, self.log.clone());
            let body = self.stream(in_flight, reservation, record);
            return Ok(CallerResponse::Streamed {
                head,
                request_id,
                body,
            });
        }
        let buffer = self.client_limits.buffer(None);
        let body = read_body(attempt, &mut in_flight, buffer).await?;
        Ok(CallerResponse::Buffered {
            head,
            request_id,
            body,
        })
    }

    /// Forwards a response chunk by chunk, with backpressure from the caller.
    fn stream(
        &self,
        in_flight: InFlightAttempt,
        reservation: Reservation,
        record: StreamRecord,
    ) -> ResponseBody {
        let (tx, rx) = async_channel::bounded(STREAM_QUEUE_CHUNKS);
        let (mut in_flight, mut record) = (in_flight, record);
        let forward = async move {
            let mut sequencer = ChunkSequencer::default();
            loop {
                match sequencer.on_event(in_flight.next_event().await) {
                    BodyEvent::Bytes(data) => {
                        if tx.send(Ok(data)).await.is_err() {
                            // The caller has disconnected; dropping `in_flight` cancels the attempt.
                            record.set_outcome("caller-left");
                            break;
                        }
                        in_flight.ack(sequencer.next_number());
                    }
                    BodyEvent::Ignored => {}
                    BodyEvent::End => {
                        record.set_outcome("complete");
                        break;
                    }
                    BodyEvent::Failed(reason) => {
                        record.set_outcome("broken-off");
                        let _ = tx.send(Err(BodyError { reason })).await;
                        break;
                    }
                }
            }
            drop(reservation);
        };
        self.traffic.spawn(forward).detach();
        body::channel(rx)
    }
}

async fn wait_for_head(
    attempt: Attempt<Sent>,
    in_flight: &mut InFlightAttempt,
) -> Result<(Attempt<Sent>, ResponseHead), FailedAttempt> {
    let agent = attempt.agent;
    let (failure, message) = match in_flight.next_event().await {
        AttemptEvent::Head(head) => return Ok((attempt, head)),
        AttemptEvent::NotRun(not_run) => (attempt.refused(not_run), "not run".into()),
        AttemptEvent::Failed { message, .. } => (attempt.lost(), message),
        AttemptEvent::Lost => (
            attempt.lost(),
            "the connection to the agent was lost".into(),
        ),
        AttemptEvent::Chunk { .. } | AttemptEvent::End { .. } => {
            (attempt.lost(), "the answer came without its head".into())
        }
    };
    Err(FailedAttempt {
        agent,
        failure,
        message,
    })
}

async fn read_body(
    attempt: Attempt<Sent>,
    in_flight: &mut InFlightAttempt,
    mut buffer: LeasedBuffer,
) -> Result<Bytes, FailedAttempt> {
    let agent = attempt.agent;
    let mut sequencer = ChunkSequencer::default();
    let message = loop {
        let data = match sequencer.on_event(in_flight.next_event().await) {
            BodyEvent::Bytes(data) => data,
            BodyEvent::Ignored => continue,
            BodyEvent::End => return Ok(buffer.freeze()),
            BodyEvent::Failed(message) => break message,
        };
        if buffer.len() + data.len() > MAX_BUFFERED_RESPONSE_BYTES {
            break "the answer is over the limit".into();
        }
        let appended = buffer.append(&data, MAX_BUFFERED_RESPONSE_BYTES).await;
        if appended.is_err() {
            break "there is no room for the answer".into();
        }
        in_flight.ack(sequencer.next_number());
    };
    Err(FailedAttempt {
        agent,
        failure: attempt.lost(),
        message,
    })
}

/// Returns `previous` if the request may have run in that attempt, otherwise `failed`.
fn less_certain_failure(failed: FailedAttempt, previous: Option<FailedAttempt>) -> FailedAttempt {
    match previous {
        Some(previous) if previous.failure == AttemptFailure::Unknown => previous,
        Some(_) | None => failed,
    }
}

fn final_error(failed: FailedAttempt, previous: Option<FailedAttempt>) -> RequestError {
    let failed = less_certain_failure(failed, previous);
    match failed.failure {
        AttemptFailure::NotRun(not_run) => RequestError::not_run(not_run),
        AttemptFailure::Unknown => RequestError::unknown(&failed.message),
    }
}

/// Returns the error for a request that cannot be routed to a further agent.
///
/// A failure of an earlier attempt counts before `error` if the request may have run in
/// it, or if merely no further agent is left.
fn final_routing_error(error: RoutingError, previous: Option<FailedAttempt>) -> RequestError {
    match (error, previous) {
        (_, Some(previous)) if previous.failure == AttemptFailure::Unknown => {
            final_error(previous, None)
        }
        (RoutingError::NotRun(not_run), Some(previous))
            if not_run.reason == NotRunReason::NoUpstream =>
        {
            final_error(previous, None)
        }
        (error, _) => error.into(),
    }
}

impl RequestError {
    /// Returns whether the request is known not to have run.
    pub fn is_not_run(&self) -> bool {
        self.outcome == RequestOutcome::NotRun
    }
}
