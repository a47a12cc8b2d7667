//! Model requests: granted by an agent, sent to its engine, streamed back.

use crate::call::Answer;
use crate::call::Calls;
use crate::call::ModelAsk;
use crate::call::Task;
use crate::call::Told;
use crate::call::guard::RunGuard;
use crate::call::refusal;
use crate::call::stream;
use crate::call::stream::Passing;
use crate::call::stream::Story;
use crate::control::Event;
use crate::control::Grant;
use crate::control::PlaceAsk;
use crate::ports::Dispatch;
use crate::ports::Reply;
use crate::ports::Said;
use crate::ports::Upstreams;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::exchange::SendError;
use dogwoodshunt_residency::Target;
use dogwoodshunt_serving::admission;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Version;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;
use std::time::Instant;

/// Sends of which nothing arrived that one request may take; they draw on no
/// budget, since no upstream sees them.
const MOST_UNREACHED: u32 = 3;

/// Pause that a caller is told after an upstream refused its request.
const REFUSED_RETRY: Duration = Duration::from_millis(200);

/// How one attempt to get a run ended without an answer for the caller.
enum Attempt {
    /// Nothing was sent.
    Unreached(Box<str>),
    /// The upstream says that it has not run the request.
    NotRun,
    /// It may have run.
    Unknown(Box<str>),
    /// No answer came by the deadline.
    Late,
    /// The upstream answers.
    Answered(Box<Exchange>),
}

impl<U: Upstreams> Calls<U> {
    pub(super) async fn run_model(&self, task: &Task<'_>, model: &ModelAsk) -> Told {
        let mut sent = 0;
        let mut unreached = 0;
        loop {
            let ticket = self.ticket();
            let mut guard = RunGuard::new(ticket, self.events.clone());
            let placed = self.place(task, model, ticket).await;
            let granted = Instant::now();
            let grant = match placed {
                Ok(grant) => grant,
                Err(not_run) => {
                    let left = task.deadline.saturating_duration_since(task.call.arrived);
                    let useful = admission::useful_wait(task.route, left);
                    return Told {
                        answer: refusal(not_run, useful),
                        upstream: None,
                        sent,
                    };
                }
            };
            let upstream = Some(grant.upstream.clone());
            let (id, arrived) = (&task.call.id, task.call.arrived);
            let story = || Story::new(granted, id, arrived, self.log.clone());
            let attempt = self.attempt(task, &grant, &mut guard).await;
            let again = match attempt {
                Attempt::Answered(exchange) => {
                    let answer = Answer::Upstream {
                        status: exchange.status,
                        headers: exchange.headers.clone(),
                        body: stream::pass_on(Passing {
                            exchange: *exchange,
                            guard,
                            deadline: task.deadline,
                            story: story(),
                        }),
                    };
                    let sent = sent + 1;
                    return Told {
                        answer,
                        upstream,
                        sent,
                    };
                }
                Attempt::Late => {
                    return Told {
                        answer: Answer::Late,
                        upstream,
                        sent: sent + 1,
                    };
                }
                Attempt::Unreached(why) => {
                    warn!(self.log, "engine not reached"; "id" => %task.call.id,
                        "upstream" => %grant.upstream, "error" => %why);
                    unreached += 1;
                    unreached < MOST_UNREACHED
                }
                Attempt::NotRun => {
                    sent += 1;
                    sent < task.route.attempts && self.may_retry(task.service).await
                }
                Attempt::Unknown(why) => {
                    sent += 1;
                    let again = task.route.is_repeatable()
                        && sent < task.route.attempts
                        && self.may_retry(task.service).await;
                    if !again {
                        let answer = Answer::Lost(why);
                        return Told {
                            answer,
                            upstream,
                            sent,
                        };
                    }
                    true
                }
            };
            if !again {
                let not_run = NotRun::new(NotRunReason::Overloaded, REFUSED_RETRY);
                return Told {
                    answer: refusal(not_run, Duration::ZERO),
                    upstream,
                    sent,
                };
            }
        }
    }

    /// Asks for an engine, until the first byte is of no more use.
    async fn place(&self, task: &Task<'_>, model: &ModelAsk, ticket: u64) -> Result<Grant, NotRun> {
        let now = Instant::now();
        let left = task.deadline.saturating_duration_since(now);
        let useful_until = now + admission::useful_wait(task.route, left);
        let mut demand = model.demand.clone();
        demand.rank = task.route.rank;
        let ask = PlaceAsk {
            service: task.service.clone(),
            base_model: model.base_model.clone(),
            adapter: model.adapter.clone(),
            demand,
            due: task.call.arrived + task.route.objective,
            useful_until,
        };
        let (reply, granted) = async_channel::bounded(1);
        let place = Event::Place {
            ticket,
            ask: Box::new(ask),
            reply,
        };
        let stopping = NotRun::new(NotRunReason::Leaving, REFUSED_RETRY);
        if self.events.send(place).await.is_err() {
            return Err(stopping);
        }
        let answered = async { granted.recv().await.unwrap_or(Err(stopping)) };
        let late = async {
            Timer::at(useful_until).await;
            Err(NotRun::new(NotRunReason::Deadline, REFUSED_RETRY))
        };
        answered.or(late).await
    }

    async fn attempt(&self, task: &Task<'_>, grant: &Grant, guard: &mut RunGuard) -> Attempt {
        let time_left = task.deadline.saturating_duration_since(Instant::now());
        let how = Dispatch {
            address: grant.address,
            upstream: grant.upstream.clone(),
            version: version_of(&grant.target),
            time_left,
            rank: task.route.rank,
            resume_after: task.call.resume_after,
        };
        let sent = async { Some(self.upstreams.send(task.call, &how).await) };
        let late = async {
            Timer::at(task.deadline).await;
            None
        };
        match sent.or(late).await {
            None => Attempt::Late,
            Some(Err(SendError::NotSent { message, .. })) => Attempt::Unreached(message),
            Some(Err(SendError::Lost { message, .. })) => Attempt::Unknown(message),
            Some(Ok(reply)) => take(reply, guard),
        }
    }
}

fn take(reply: Reply, guard: &mut RunGuard) -> Attempt {
    match reply.said {
        Said::Runs => Attempt::Answered(Box::new(reply.exchange)),
        Said::NotRunFull => Attempt::NotRun,
        Said::NotRunHere => {
            guard.adapter_missing = true;
            Attempt::NotRun
        }
        Said::Foreign => Attempt::Unknown("the answer belongs to another request".into()),
    }
}

fn version_of(target: &Target) -> Option<Version> {
    target.adapter().map(|adapter| adapter.version.clone())
}
