//! The way of a caller's request through an entry.
//!
//! [`Calls::serve`] finds the route, then `model` or `plain` gets the request
//! run, and `stream` passes the events of a model's answer on.

mod events;
mod guard;
mod model;
mod plain;
mod stream;

use crate::control::Event;
use crate::control::status::Status;
use crate::metrics;
use crate::metrics::Metrics;
use crate::metrics::RouteOutcome;
use crate::metrics::ServiceOutcome;
use crate::ports::Upstreams;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_serving::Route;
use dogwoodshunt_serving::admission;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::ServiceName;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use rand::RngExt;
use slog::Logger;
use slog::info;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Pause that a caller is told while this entry knows no configuration yet.
const STARTING_RETRY: Duration = Duration::from_millis(300);

/// Sends of which nothing arrived that one request may take; they draw on no
/// budget, since no upstream sees them.
const MOST_UNREACHED: u32 = 3;

/// Sends of one request so far.
#[derive(Clone, Debug, Default)]
struct Sends {
    /// Those that may have reached an upstream.
    sent: u32,
    /// Those of which nothing arrived.
    unreached: u32,
    /// Why it is not known whether one of them ran, if it is not.
    unknown: Option<Box<str>>,
}

impl Sends {
    /// Returns the refusal of a request, unless one of its sends may have run.
    fn refuse(&self, not_run: NotRun, useful: Duration) -> Answer {
        match &self.unknown {
            Some(why) => Answer::Lost(why.clone()),
            None => refusal(not_run, useful),
        }
    }
}

/// What a caller asks a model for.
#[derive(Clone, Debug)]
pub struct ModelAsk {
    /// Base model.
    pub base_model: Box<str>,
    /// Adapter, under its full name, if any.
    pub adapter: Option<AdapterName>,
    /// What it costs an engine; the rank is the route's.
    pub demand: Demand,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name that the caller gave this attempt.
    pub id: Box<str>,
    /// Host that it names.
    pub host: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Method.
    pub method: Method,
    /// Headers that go on to the upstream as they are.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it had been read.
    pub arrived: Instant,
    /// How long the caller waits, if it says so.
    pub patience: Option<Duration>,
    /// What it asks a model for, if anything.
    pub model: Option<ModelAsk>,
    /// Last event that the caller holds, where a stream is to go on.
    pub resume_after: Option<u64>,
}

/// What a caller is answered.
pub enum Answer {
    /// What an upstream answered.
    Upstream {
        /// Status of the answer.
        status: StatusCode,
        /// Headers of the answer.
        headers: HeaderMap,
        /// Body of the answer.
        body: AnswerBody,
    },
    /// No route leads anywhere.
    NoRoute,
    /// The request cannot be understood.
    Malformed(Box<str>),
    /// The request has not run and never will.
    NotRun(NotRun),
    /// The request may have run; no answer came by the deadline.
    Late,
    /// The request may have run; its answer was lost.
    Lost(Box<str>),
}

/// What a request comes to, and its place in logs.
struct Told {
    answer: Answer,
    upstream: Option<Box<str>>,
    sent: u32,
}

impl Told {
    fn unsent(answer: Answer) -> Self {
        Self {
            answer,
            upstream: None,
            sent: 0,
        }
    }
}

/// A request with what its route says of it.
struct Task {
    call: Call,
    route: Arc<Route>,
    service: ServiceName,
    /// When the caller, or the route, stops waiting for the end.
    deadline: Instant,
}

/// Serves callers' requests.
pub struct Calls<U> {
    /// Sends calls to upstreams.
    pub upstreams: Arc<U>,
    /// Reaches the control thread.
    pub events: Sender<Event>,
    /// What traffic threads read of the control state.
    pub status: Arc<Status>,
    /// Traffic threads.
    pub traffic: Traffic,
    /// Names wishes to run a model request.
    pub tickets: Arc<AtomicU64>,
    /// What is counted.
    pub metrics: Metrics,
    /// Objectives within which the first byte of a stream must be expected.
    pub useful_objectives: f64,
    /// Where requests are logged.
    pub log: Logger,
}

impl<U: Upstreams> Calls<U> {
    /// Serves one request; dropping the future gives it up.
    pub async fn serve(self: &Arc<Self>, call: Call) -> Answer {
        let Some(table) = self.status.routes() else {
            let not_run = NotRun::new(NotRunReason::Stale, STARTING_RETRY);
            return self.note(&call, None, Told::unsent(Answer::NotRun(not_run)));
        };
        let Some(route) = table.find(&call.host, &call.path) else {
            return self.note(&call, None, Told::unsent(Answer::NoRoute));
        };
        let Some(service) = route.service_for(&call.id).cloned() else {
            return self.note(&call, Some(route), Told::unsent(Answer::NoRoute));
        };
        let waits = call.patience.unwrap_or(route.timeout).min(route.timeout);
        let engine = table.config().service(&service);
        let is_engine = engine.is_some_and(|service| service.engine.is_some());
        let task = Arc::new(Task {
            deadline: call.arrived + waits,
            call,
            route: route.clone(),
            service,
        });
        let told = match (&task.call.model, is_engine) {
            (Some(_), true) => self.run_model(&task).await,
            (None, true) => Told::unsent(Answer::Malformed("the request names no model".into())),
            (_, false) => self.run_plain(&task).await,
        };
        self.note(&task.call, Some(&task.route), told)
    }

    /// Logs what a request came to, one line a request.
    fn note(&self, call: &Call, route: Option<&Route>, told: Told) -> Answer {
        let (outcome, detail) = match &told.answer {
            Answer::Upstream { status, .. } => ("answered", status.as_str().to_owned()),
            Answer::NoRoute => ("no-route", call.path.to_string()),
            Answer::Malformed(why) => ("malformed", why.to_string()),
            Answer::NotRun(not_run) => ("not-run", not_run.reason.to_string()),
            Answer::Late => ("late", String::new()),
            Answer::Lost(why) => ("lost", why.to_string()),
        };
        let route = route.map_or("", |route| &route.name);
        let upstream = told.upstream.as_deref().unwrap_or("");
        let took = call.arrived.elapsed();
        let labels = RouteOutcome {
            route: route.into(),
            outcome,
        };
        self.metrics.requests.get_or_create(&labels).inc();
        metrics::observe(&self.metrics.answer_seconds, route, took.as_secs_f64());
        let took = took.as_millis() as u64;
        info!(self.log, "request"; "id" => %call.id, "route" => route, "outcome" => outcome,
            "detail" => detail, "upstream" => upstream, "sent" => told.sent, "took_ms" => took);
        told.answer
    }

    fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether a request that has run, or may have, is sent again.
    async fn may_run_again(&self, task: &Task, sends: &Sends) -> bool {
        task.route.is_repeatable() && self.may_send_again(task, sends).await
    }

    /// Returns whether a request that has not run is sent again.
    async fn may_send_again(&self, task: &Task, sends: &Sends) -> bool {
        sends.sent < task.route.attempts && self.may_retry(&task.service).await
    }

    /// Counts what a send to an upstream came to.
    fn count_send(&self, service: &ServiceName, outcome: &'static str) {
        let labels = ServiceOutcome {
            service: service.to_string(),
            outcome,
        };
        self.metrics.sends.get_or_create(&labels).inc();
    }

    /// Asks whether a service may get one more retry.
    async fn may_retry(&self, service: &ServiceName) -> bool {
        let (reply, answer) = async_channel::bounded(1);
        let service = service.clone();
        // The control state is gone only while the process ends.
        let labels = |outcome| ServiceOutcome {
            service: service.to_string(),
            outcome,
        };
        let (allowed, refused) = (labels("allowed"), labels("refused"));
        let _ = self.events.send(Event::Retry { service, reply }).await;
        let may = answer.recv().await.unwrap_or(false);
        let labels = if may { allowed } else { refused };
        self.metrics.retries.get_or_create(&labels).inc();
        may
    }
}

/// Returns the refusal of a request for which the expected wait is too long.
fn refusal(expected: NotRun, useful: Duration) -> Answer {
    let draw = rand::rng().random();
    let pause = match expected.reason {
        NotRunReason::Deadline => admission::retry_after(expected.retry_after, useful, draw),
        _ => admission::retry_after(expected.retry_after, Duration::ZERO, draw),
    };
    Answer::NotRun(NotRun::new(expected.reason, pause))
}
