//! Model requests: granted by an agent, sent to its engine, streamed back.

use crate::call::Answer;
use crate::call::Calls;
use crate::call::MOST_UNREACHED;
use crate::call::Sends;
use crate::call::Task;
use crate::call::Told;
use crate::call::guard::RunGuard;
use crate::call::stream;
use crate::call::stream::Passing;
use crate::call::stream::Story;
use crate::control::Event;
use crate::control::Grant;
use crate::control::PlaceAsk;
use crate::metrics;
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
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::Version;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Pause that a caller is told after an upstream refused its request.
const REFUSED_RETRY: Duration = Duration::from_millis(200);

/// Pause that a caller is told where this process is leaving: a new connection
/// leads to another one.
const LEAVING_RETRY: Duration = Duration::from_millis(20);

/// An engine that answers.
pub(super) struct Engaged {
    /// Its answer.
    pub(super) exchange: Exchange,
    /// Ends the run.
    pub(super) guard: RunGuard,
    /// Its name.
    pub(super) upstream: UpstreamName,
    /// When the run was granted.
    pub(super) granted: Instant,
}

/// A request that no engine answers.
pub(super) struct Failed {
    /// What the caller is told.
    pub(super) answer: Answer,
    /// Engine that was asked last.
    pub(super) upstream: Option<UpstreamName>,
}

/// How one send ended without an answer.
enum Missed {
    /// No answer came by the deadline.
    Late,
    /// The upstream says that it has not run the request.
    NotRun,
    /// It may have run.
    Unknown(Box<str>),
    /// Nothing was sent.
    Unreached(Box<str>),
}

impl<U: Upstreams> Calls<U> {
    pub(super) async fn run_model(self: &Arc<Self>, task: &Arc<Task>) -> Told {
        let mut sends = Sends::default();
        if !self.status.has_time_for(Instant::now(), &task.route.name) {
            let not_run = NotRun::new(NotRunReason::Leaving, LEAVING_RETRY);
            return Told::unsent(Answer::NotRun(not_run));
        }
        let engaged = self.engage(task, &mut sends, task.call.resume_after).await;
        let sent = sends.sent;
        match engaged {
            Ok(engaged) => {
                let story = Story::new(engaged.granted, task, self);
                let upstream = Some(engaged.upstream);
                let answer = Answer::Upstream {
                    status: engaged.exchange.status,
                    headers: engaged.exchange.headers.clone(),
                    body: stream::pass_on(Passing {
                        calls: self.clone(),
                        task: task.clone(),
                        sends,
                        exchange: engaged.exchange,
                        guard: engaged.guard,
                        story,
                    }),
                };
                Told {
                    answer,
                    upstream,
                    sent,
                }
            }
            Err(Failed { answer, upstream }) => Told {
                answer,
                upstream,
                sent,
            },
        }
    }

    /// Gets an engine to answer, from event `resume_after` on.
    pub(super) async fn engage(
        &self,
        task: &Task,
        sends: &mut Sends,
        resume_after: Option<u64>,
    ) -> Result<Engaged, Failed> {
        loop {
            let ticket = self.ticket();
            let begun = Instant::now();
            let mut guard = RunGuard::new(ticket, self.events.clone());
            let useful = self.useful_wait(task, sends);
            let placed = self.place(task, ticket, useful).await;
            let granted = Instant::now();
            let grant = placed.map_err(|not_run| Failed {
                answer: sends.refuse(not_run, self.useful_wait(task, sends)),
                upstream: None,
            })?;
            let waited = granted.saturating_duration_since(begun).as_secs_f64();
            info!(self.log, "placed"; "id" => %task.call.id, "request" => %grant.request,
                "upstream" => %grant.upstream, "target" => %grant.target,
                "waited_ms" => (waited * 1e3) as u64, "sent" => sends.sent);
            metrics::observe(&self.metrics.grant_seconds, &task.route.name, waited);
            let missed = match self.send(task, &grant, &mut guard, resume_after).await {
                Ok(exchange) => {
                    sends.sent += 1;
                    return Ok(Engaged {
                        exchange,
                        guard,
                        upstream: grant.upstream,
                        granted,
                    });
                }
                Err(missed) => missed,
            };
            if let Some(answer) = self.give_up(task, sends, &grant, missed).await {
                let upstream = Some(grant.upstream);
                return Err(Failed { answer, upstream });
            }
        }
    }

    /// Returns what the caller is told, unless another engine is to be asked.
    async fn give_up(
        &self,
        task: &Task,
        sends: &mut Sends,
        grant: &Grant,
        missed: Missed,
    ) -> Option<Answer> {
        let not_run = NotRun::new(NotRunReason::Overloaded, REFUSED_RETRY);
        match missed {
            Missed::Unreached(why) => {
                warn!(self.log, "engine not reached"; "id" => %task.call.id,
                    "upstream" => %grant.upstream, "error" => %why);
                sends.unreached += 1;
                let again = sends.unreached < MOST_UNREACHED;
                (!again).then(|| sends.refuse(not_run, Duration::ZERO))
            }
            Missed::NotRun => {
                sends.sent += 1;
                let again = sends.sent < task.route.attempts && self.may_retry(&task.service).await;
                (!again).then(|| sends.refuse(not_run, Duration::ZERO))
            }
            Missed::Unknown(why) => {
                sends.sent += 1;
                sends.unknown = Some(why.clone());
                (!self.may_run_again(task, sends).await).then_some(Answer::Lost(why))
            }
            Missed::Late => {
                sends.sent += 1;
                Some(Answer::Late)
            }
        }
    }

    /// Returns how long from now the first byte may still take and be of use.
    ///
    /// A stream that goes on elsewhere has cost an engine already, so it gets
    /// all of its caller's patience.
    fn useful_wait(&self, task: &Task, sends: &Sends) -> Duration {
        let left = task.deadline.saturating_duration_since(Instant::now());
        if sends.sent > 0 {
            return admission::patience(&task.route, left);
        }
        admission::useful_wait(&task.route, left, self.useful_objectives)
    }

    /// Asks for an engine, until the first byte is of no more use.
    async fn place(&self, task: &Task, ticket: u64, useful: Duration) -> Result<Grant, NotRun> {
        let stopping = NotRun::new(NotRunReason::Leaving, REFUSED_RETRY);
        let Some(model) = &task.call.model else {
            return Err(stopping);
        };
        let useful_until = Instant::now() + useful;
        let mut demand = model.demand.clone();
        demand.rank = task.route.rank;
        let ask = PlaceAsk {
            id: task.call.id.clone(),
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

    async fn send(
        &self,
        task: &Task,
        grant: &Grant,
        guard: &mut RunGuard,
        resume_after: Option<u64>,
    ) -> Result<Exchange, Missed> {
        let time_left = task.deadline.saturating_duration_since(Instant::now());
        let how = Dispatch {
            address: grant.address,
            upstream: grant.upstream.clone(),
            version: version_of(&grant.target),
            time_left,
            rank: task.route.rank,
            resume_after,
        };
        let sent = async { Some(self.upstreams.send(&task.call, &how).await) };
        let late = async {
            Timer::at(task.deadline).await;
            None
        };
        let (outcome, taken) = match sent.or(late).await {
            None => ("late", Err(Missed::Late)),
            Some(Err(SendError::NotSent { message, .. })) => {
                ("unreached", Err(Missed::Unreached(message)))
            }
            Some(Err(SendError::Lost { message, .. })) => ("lost", Err(Missed::Unknown(message))),
            Some(Ok(reply)) => (reply.said.as_str(), take(reply, guard)),
        };
        self.count_send(&task.service, outcome);
        taken
    }
}

fn take(reply: Reply, guard: &mut RunGuard) -> Result<Exchange, Missed> {
    match reply.said {
        Said::Runs => Ok(reply.exchange),
        Said::NotRunFull => Err(Missed::NotRun),
        Said::NotRunHere => {
            guard.adapter_missing = true;
            Err(Missed::NotRun)
        }
        Said::Foreign => {
            let why = "the answer belongs to another request";
            Err(Missed::Unknown(why.into()))
        }
    }
}

fn version_of(target: &Target) -> Option<Version> {
    target.adapter().map(|adapter| adapter.version.clone())
}
