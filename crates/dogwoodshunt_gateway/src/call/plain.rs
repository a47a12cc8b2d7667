//! Calls of plain services.

use crate::call::Answer;
use crate::call::Calls;
use crate::call::MOST_UNREACHED;
use crate::call::Sends;
use crate::call::Task;
use crate::call::Told;
use crate::call::guard::CallGuard;
use crate::call::refusal;
use crate::control::Event;
use crate::control::Pick;
use crate::ports::Dispatch;
use crate::ports::Said;
use crate::ports::Upstreams;
use bytes::Bytes;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::exchange::SendError;
use dogwoodshunt_serving::config::RouteKind;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::UpstreamName;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;
use std::time::Instant;

/// Largest answer that is held until it is whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Objectives after which a call that may be repeated goes to another
/// upstream: one whose answer is lost says nothing more.
const REPEAT_AFTER_OBJECTIVES: u32 = 2;

/// Pause that a caller is told after all upstreams refused its request.
const REFUSED_RETRY: Duration = Duration::from_millis(100);

/// How one send ended.
enum Attempt {
    /// Nothing was sent.
    Unreached(Box<str>),
    /// The upstream says that it has not run the request.
    NotRun,
    /// It may have run.
    Unknown(Box<str>),
    /// It did not answer in time.
    Silent,
    /// It answered.
    Answered(Box<Exchange>, Bytes),
}

impl Attempt {
    /// Returns the name used in metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Unreached(_) => "unreached",
            Self::NotRun => "not-run-full",
            Self::Unknown(_) => "lost",
            Self::Silent => "late",
            Self::Answered(..) => "runs",
        }
    }
}

impl<U: Upstreams> Calls<U> {
    pub(super) async fn run_plain(&self, task: &Task) -> Told {
        let mut excluded: Vec<UpstreamName> = Vec::new();
        let mut sends = Sends::default();
        let mut last: Option<Answer> = None;
        loop {
            let pick = self.pick(task, &excluded).await;
            let in_time = Instant::now() < task.deadline;
            let Some(pick) = pick.filter(|_| in_time) else {
                let not_run = NotRun::new(NotRunReason::NoUpstream, REFUSED_RETRY);
                let answer = last.unwrap_or_else(|| refusal(not_run, Duration::ZERO));
                return self.told(answer, &excluded, sends.sent);
            };
            excluded.push(pick.upstream.clone());
            let may_repeat = sends.sent + 1 < task.route.attempts;
            let attempt = self.call(task, pick, may_repeat).await;
            let again = match attempt {
                Attempt::Unreached(_) => {
                    sends.unreached += 1;
                    sends.unreached < MOST_UNREACHED
                }
                Attempt::NotRun => {
                    sends.sent += 1;
                    self.may_send_again(task, &sends).await
                }
                Attempt::Unknown(why) => {
                    sends.sent += 1;
                    last = Some(Answer::Lost(why));
                    self.may_run_again(task, &sends).await
                }
                Attempt::Silent => {
                    sends.sent += 1;
                    last = Some(Answer::Late);
                    self.may_run_again(task, &sends).await
                }
                Attempt::Answered(exchange, whole) => {
                    sends.sent += 1;
                    let failed = exchange.status.is_server_error();
                    let answer = Answer::Upstream {
                        status: exchange.status,
                        headers: exchange.headers.clone(),
                        body: body::full(whole),
                    };
                    if !failed || !self.may_run_again(task, &sends).await {
                        return self.told(answer, &excluded, sends.sent);
                    }
                    last = Some(answer);
                    true
                }
            };
            if !again {
                let not_run = NotRun::new(NotRunReason::Overloaded, REFUSED_RETRY);
                let answer = last.unwrap_or_else(|| refusal(not_run, Duration::ZERO));
                return self.told(answer, &excluded, sends.sent);
            }
        }
    }

    fn told(&self, answer: Answer, tried: &[UpstreamName], sent: u32) -> Told {
        Told {
            answer,
            upstream: tried.last().cloned(),
            sent,
        }
    }

    async fn pick(&self, task: &Task, excluded: &[UpstreamName]) -> Option<Pick> {
        let (reply, picked) = async_channel::bounded(1);
        let pick = Event::Pick {
            service: task.service.clone(),
            excluded: excluded.to_vec(),
            reply,
        };
        self.events.send(pick).await.ok()?;
        picked.recv().await.ok().flatten()
    }

    async fn call(&self, task: &Task, pick: Pick, may_repeat: bool) -> Attempt {
        let now = Instant::now();
        let how = Dispatch {
            address: pick.address,
            upstream: pick.upstream.clone(),
            version: None,
            time_left: task.deadline.saturating_duration_since(now),
            rank: task.route.rank,
            resume_after: None,
        };
        let mut guard = CallGuard {
            service: task.service.clone(),
            upstream: pick.upstream,
            end: CallEnd::Neutral,
            events: self.events.clone(),
        };
        let until = match task.route.kind {
            RouteKind::Idempotent if may_repeat => {
                let repeat = now + task.route.objective * REPEAT_AFTER_OBJECTIVES;
                repeat.min(task.deadline)
            }
            RouteKind::AtMostOnce | RouteKind::Idempotent | RouteKind::Stream { .. } => {
                task.deadline
            }
        };
        let answer = self.send_and_read(task, &how);
        let late = async {
            Timer::at(until).await;
            Attempt::Silent
        };
        let attempt = answer.or(late).await;
        self.count_send(&task.service, attempt.as_str());
        guard.end = match &attempt {
            Attempt::Unreached(why) => {
                warn!(self.log, "upstream not reached"; "id" => %task.call.id,
                    "upstream" => %guard.upstream, "error" => %why);
                CallEnd::Failed
            }
            Attempt::NotRun | Attempt::Unknown(_) | Attempt::Silent => CallEnd::Failed,
            Attempt::Answered(exchange, _) if exchange.status.is_server_error() => CallEnd::Failed,
            Attempt::Answered(..) => CallEnd::Answered,
        };
        attempt
    }

    async fn send_and_read(&self, task: &Task, how: &Dispatch) -> Attempt {
        let reply = match self.upstreams.send(&task.call, how).await {
            Ok(reply) => reply,
            Err(SendError::NotSent { message, .. }) => return Attempt::Unreached(message),
            Err(SendError::Lost { message, .. }) => return Attempt::Unknown(message),
        };
        let mut exchange = reply.exchange;
        match reply.said {
            Said::NotRunFull | Said::NotRunHere => Attempt::NotRun,
            Said::Foreign => Attempt::Unknown("the answer belongs to another request".into()),
            Said::Runs => match exchange.whole(MAX_ANSWER_BYTES).await {
                Ok(whole) => Attempt::Answered(Box::new(exchange), whole),
                Err(broken) => Attempt::Unknown(broken.to_string().into()),
            },
        }
    }
}
