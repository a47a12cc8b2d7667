//! Attempts of a request until one is answered or no more may be made.

use crate::api::answer;
use crate::api::answer::GaveUp;
use crate::api::claims;
use crate::api::parts::Part;
use crate::api::parts::Parts;
use crate::api::request::CallerRequest;
use crate::api::request::Delivery;
use crate::control::Declined;
use crate::control::Event;
use crate::control::PlaceAsk;
use crate::control::Placement;
use crate::port::Answer;
use crate::port::InFlight;
use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BrokenOff;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::attempt::Attempt;
use dogwoodshunt_routing::attempt::Sent;
use dogwoodshunt_routing::retry::AttemptFailure;
use dogwoodshunt_routing::retry::RetryContext;
use dogwoodshunt_routing::retry::RetryDecision;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::frame::AnswerHead;
use dogwoodshunt_wire::frame::Submit;
use hyper::Response;
use smol::Timer;
use std::time::Duration;
use std::time::Instant;

/// Largest answer that is passed on whole, in bytes.
const MAX_WHOLE_BYTES: usize = 32 * 1024 * 1024;

/// Parts of a streamed answer that may wait for the caller.
const STREAM_QUEUE: usize = 32;

/// Pause that a caller is told when the chosen agent is just out of reach.
const UNREACHED_RETRY: Duration = Duration::from_secs(1);

/// Gets requests run.
#[derive(Clone)]
pub struct Runner {
    /// Asks the control thread.
    pub events: Sender<Event>,
    /// Traffic threads.
    pub traffic: Traffic,
    /// Most attempts of one request.
    pub most_attempts: u32,
}

/// A request that ran.
pub enum Ran {
    /// An earlier request with the same idempotency key ran.
    Replayed {
        /// Status and headers.
        head: AnswerHead,
        /// Attempt that ran.
        request: RequestId,
        /// The body.
        body: Bytes,
    },
    /// The answer has begun and is still coming.
    Streamed {
        /// Status and headers.
        head: AnswerHead,
        /// Attempt that ran.
        request: RequestId,
        /// The body.
        body: AnswerBody,
    },
    /// The answer is whole.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// Attempt that ran.
        request: RequestId,
        /// The body.
        body: Bytes,
    },
}

/// Gives the room that was reserved for an attempt back when it is dropped.
struct Reservation {
    events: Sender<Event>,
    agent: AgentKey,
    target: Target,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let _ = self.events.try_send(Event::Ended {
            agent: self.agent,
            target: self.target.clone(),
        });
    }
}

/// A failed attempt, with what to tell the caller of it.
struct Failed {
    agent: AgentKey,
    failure: AttemptFailure,
    message: Box<str>,
}

impl Ran {
    /// Returns the answer to the caller.
    pub fn into_response(self) -> Response<AnswerBody> {
        match self {
            Self::Replayed {
                head,
                request,
                body,
            } => {
                let mut response = answer::ran(&head, request, body::full(body));
                claims::mark_replayed(response.headers_mut());
                response
            }
            Self::Streamed {
                head,
                request,
                body,
            } => answer::ran(&head, request, body),
            Self::Whole {
                head,
                request,
                body,
            } => answer::ran(&head, request, body::full(body)),
        }
    }
}

impl Runner {
    /// Runs a request, on other agents too where that is safe.
    ///
    /// # Errors
    ///
    /// Returns what is known of the request once it has been given up.
    pub async fn run(&self, request: &CallerRequest) -> Result<Ran, GaveUp> {
        let mut excluded = Vec::new();
        let mut last: Option<Failed> = None;
        let mut attempts = 0;
        loop {
            let placement = match self.place(request, &excluded).await {
                Ok(placement) => placement,
                Err(declined) => return Err(conclude(declined, last)),
            };
            attempts += 1;
            let failed = match self.attempt(request, placement).await {
                Ok(ran) => return Ok(ran),
                Err(failed) => failed,
            };
            let tried = RetryContext {
                attempts,
                max_attempts: self.most_attempts,
                repeatable: request.repeatable,
                response_started: false,
            };
            match self.after(failed.failure, tried).await {
                RetryDecision::GiveUp => return Err(give_up(failed, last)),
                RetryDecision::Retry { delay } => {
                    excluded.push(failed.agent);
                    last = Some(worse(failed, last));
                    Timer::after(delay).await;
                }
            }
        }
    }

    async fn place(
        &self,
        request: &CallerRequest,
        excluded: &[AgentKey],
    ) -> Result<Placement, Declined> {
        let (reply, answer) = async_channel::bounded(1);
        let ask = PlaceAsk {
            wanted: request.wanted.clone(),
            deadline: Some(request.deadline),
            excluded: excluded.to_vec(),
        };
        let gone = Declined::NotRun(NotRun::new(NotRunReason::Leaving, UNREACHED_RETRY));
        let asked = self.events.send(Event::Place { ask, reply }).await;
        asked.map_err(|_| gone)?;
        answer.recv().await.map_err(|_| gone)?
    }

    async fn after(&self, failure: AttemptFailure, tried: RetryContext) -> RetryDecision {
        let (reply, answer) = async_channel::bounded(1);
        let event = Event::After {
            failure,
            tried,
            reply,
        };
        if self.events.send(event).await.is_err() {
            return RetryDecision::GiveUp;
        }
        answer.recv().await.unwrap_or(RetryDecision::GiveUp)
    }

    async fn attempt(&self, request: &CallerRequest, placement: Placement) -> Result<Ran, Failed> {
        let Placement {
            attempt,
            port,
            target,
            revision,
        } = placement;
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
        let Some(mut in_flight) = port.submit(Box::new(submit)) else {
            let not_run = NotRun::new(NotRunReason::NoUpstream, UNREACHED_RETRY);
            return Err(Failed {
                agent,
                failure: attempt.abandon(not_run),
                message: "the agent is not connected".into(),
            });
        };
        let attempt = attempt.send(in_flight.agent_boot);
        let id = attempt.request;
        let (attempt, head) = wait_for_head(attempt, &mut in_flight).await?;
        if request.delivery == Delivery::Streamed && request.idempotency_key.is_none() {
            let body = self.stream(in_flight, reservation);
            return Ok(Ran::Streamed {
                head,
                request: id,
                body,
            });
        }
        let body = collect(attempt, &mut in_flight).await?;
        Ok(Ran::Whole {
            head,
            request: id,
            body,
        })
    }

    /// Passes an answer on part by part, at the pace of the caller.
    fn stream(&self, in_flight: InFlight, reservation: Reservation) -> AnswerBody {
        let (tx, rx) = async_channel::bounded(STREAM_QUEUE);
        let mut in_flight = in_flight;
        let pump = async move {
            let mut parts = Parts::default();
            loop {
                match parts.take(in_flight.next().await) {
                    Part::Bytes(data) => {
                        if tx.send(Ok(data)).await.is_err() {
                            // The caller has gone; dropping cancels the attempt.
                            break;
                        }
                        in_flight.ack(parts.next());
                    }
                    Part::Nothing => {}
                    Part::End => break,
                    Part::Broken(reason) => {
                        let _ = tx.send(Err(BrokenOff { reason })).await;
                        break;
                    }
                }
            }
            drop(reservation);
        };
        self.traffic.spawn(pump).detach();
        body::channel(rx)
    }
}

async fn wait_for_head(
    attempt: Attempt<Sent>,
    in_flight: &mut InFlight,
) -> Result<(Attempt<Sent>, AnswerHead), Failed> {
    let agent = attempt.agent;
    let (failure, message) = match in_flight.next().await {
        Answer::Head(head) => return Ok((attempt, head)),
        Answer::NotRun(not_run) => (attempt.refused(not_run), "not run".into()),
        Answer::Failed { message, .. } => (attempt.lost(), message),
        Answer::Lost => (
            attempt.lost(),
            "the connection to the agent was lost".into(),
        ),
        Answer::Chunk { .. } | Answer::End { .. } => {
            (attempt.lost(), "the answer came without its head".into())
        }
    };
    Err(Failed {
        agent,
        failure,
        message,
    })
}

async fn collect(attempt: Attempt<Sent>, in_flight: &mut InFlight) -> Result<Bytes, Failed> {
    let agent = attempt.agent;
    let mut parts = Parts::default();
    let mut whole = BytesMut::new();
    let message = loop {
        match parts.take(in_flight.next().await) {
            Part::Bytes(data) => whole.extend_from_slice(&data),
            Part::Nothing => continue,
            Part::End => return Ok(whole.freeze()),
            Part::Broken(message) => break message,
        }
        if whole.len() > MAX_WHOLE_BYTES {
            break "the answer is over the limit".into();
        }
        in_flight.ack(parts.next());
    };
    Err(Failed {
        agent,
        failure: attempt.lost(),
        message,
    })
}

/// Keeps of two failures the one that leaves less known.
fn worse(failed: Failed, before: Option<Failed>) -> Failed {
    match before {
        Some(before) if before.failure == AttemptFailure::Unknown => before,
        Some(_) | None => failed,
    }
}

fn give_up(failed: Failed, before: Option<Failed>) -> GaveUp {
    let failed = worse(failed, before);
    match failed.failure {
        AttemptFailure::NotRun(not_run) => GaveUp::not_run(not_run),
        AttemptFailure::Unknown => GaveUp::unknown(&failed.message),
    }
}

/// Concludes a request that cannot be placed any more.
fn conclude(declined: Declined, before: Option<Failed>) -> GaveUp {
    match (declined, before) {
        (_, Some(before)) if before.failure == AttemptFailure::Unknown => give_up(before, None),
        (Declined::NotRun(not_run), Some(before)) if not_run.reason == NotRunReason::NoUpstream => {
            give_up(before, None)
        }
        (declined, _) => declined.into(),
    }
}

impl GaveUp {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }
}
