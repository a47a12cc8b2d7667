//! Handling of callers' requests.
//!
//! [`CallHandler::serve`] finds the route; `authorization` checks the key. `model` then runs the request on an
//! engine, or `plain_service` sends it to an upstream of a plain service;
//! `stream` relays the events of a model's response.

mod authorization;
mod fingerprint;
pub(crate) mod guard;
mod model;
mod plain_service;
mod quota;
pub(crate) mod record;
pub(crate) mod sse;
mod stream;
mod take_up;

use crate::call::record::RequestRecord;
use crate::call::record::Stage;
use crate::control::ControlEvent;
use crate::control::shared_state::SharedState;
use crate::metrics::Metrics;
use crate::metrics::ServiceOutcomeLabels;
use crate::platform::Announcement;
use crate::platform::Dispatch;
use crate::platform::ExecutionStatus;
use crate::platform::UpstreamClient;
use crate::platform::UpstreamResponse;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::StreamEndCheck;
use dogwoodshunt_border::http::limits::ProcessLimits;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_serving::Route;
use dogwoodshunt_serving::admission;
use dogwoodshunt_serving::config::RouteKind;
use dogwoodshunt_serving::config::RouteTable;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_workspaces::CallerIdentity;
use dogwoodshunt_workspaces::KeyDigest;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use rand::RngExt;
use slog::Logger;
use smol::future::FutureExt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Retry-after time sent to callers while no configuration is known yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-after time sent to callers while this process is shutting down; a new
/// connection reaches another process.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Number of sends of one request that reached no upstream after which the
/// request fails, each at another upstream. Such sends use no retry budget, since no
/// upstream receives them.
const MAX_UNREACHED_SENDS: u32 = 8;

/// Results of the sends of one request so far.
#[derive(Clone, Debug, Default)]
struct SendHistory {
    /// Sends that may have reached an upstream.
    sent: u32,
    /// Sends of which nothing reached an upstream.
    unreached: u32,
    /// Engines that the request has not reached, which are not selected for it again.
    excluded: Vec<UpstreamName>,
    /// Upstreams that have refused the request.
    refused_by: Vec<UpstreamName>,
    /// Why the response to a send that may have run was lost; `None` if no such
    /// send has occurred.
    lost_response_reason: Option<Box<str>>,
    /// Upstream selected last; `None` if none was selected or no agent has granted the last
    /// placement.
    upstream: Option<UpstreamName>,
    /// What the request waits for.
    stage: Stage,
    /// Version of the software that must run the request, since one that runs it has begun the
    /// stream; `None` if any may.
    software: Option<SoftwareVersion>,
}

impl SendHistory {
    /// Returns the response to a request that has none when the process exits.
    fn response_at_exit(&mut self) -> CallResponse {
        if std::mem::take(&mut self.stage) == Stage::Response {
            self.sent += 1;
            self.lost_response_reason = Some("the entry has stopped".into());
        }
        let not_run = NotRun::new(NotRunReason::Leaving, SHUTDOWN_RETRY_AFTER);
        self.refuse(not_run, Duration::ZERO)
    }

    /// Returns whether an upstream may have run the request.
    fn may_have_run(&self) -> bool {
        self.sent as usize > self.refused_by.len()
    }

    /// Returns the refusal of a request. If one of its sends may have run,
    /// returns [`CallResponse::Lost`] instead.
    fn refuse(&self, not_run: NotRun, useful_wait: Duration) -> CallResponse {
        match &self.lost_response_reason {
            Some(reason) => CallResponse::Lost(reason.clone()),
            None => refusal_response(not_run, useful_wait),
        }
    }
}

/// Model-specific part of a caller's request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Requested base model.
    pub base_model: Box<str>,
    /// Full name of the requested adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Work that the request causes on an engine. Its rank is replaced by the
    /// rank of the route.
    pub demand: Demand,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller gave this request.
    pub id: Box<str>,
    /// Host name in the request.
    pub host: Box<str>,
    /// Path and query of the request.
    pub path: Box<str>,
    /// HTTP method.
    pub method: Method,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When the head of the request had been read; the body may have arrived
    /// later.
    pub arrived: Instant,
    /// How long the caller waits for the response, if stated in the request.
    pub caller_timeout: Option<Duration>,
    /// Model-specific part; `None` for requests to plain services.
    pub model: Option<ModelRequest>,
    /// Prompt tokens and maximum output tokens together, if the request states them.
    pub stated_tokens: Option<u64>,
    /// Id of the last event that the caller has received, for a stream to be
    /// resumed after that event.
    pub resume_after: Option<u64>,
    /// Id of the caller's request whose response brought the first event of the stream, if the
    /// caller names it.
    pub resumes: Option<Box<str>>,
    /// Digest of the key by which the caller identifies itself; `None` if the request has none.
    pub key: Option<KeyDigest>,
}

/// Response to a caller's request.
pub enum CallResponse {
    /// Response of an upstream.
    Upstream {
        /// HTTP status.
        status: StatusCode,
        /// HTTP headers.
        headers: HeaderMap,
        /// Response body.
        body: ResponseBody,
    },
    /// No route matches the request.
    NoRoute,
    /// The route is not public and the key of the request belongs to no workspace.
    UnknownKey,
    /// The request is malformed, for the given reason.
    Malformed(Box<str>),
    /// The request has not run and will not run.
    NotRun(NotRun),
    /// The request may have run; no response arrived by the deadline.
    TimedOut,
    /// The request may have run; its response was lost for the given reason.
    Lost(Box<str>),
}

/// A request together with its route and service.
struct RoutedCall {
    call: Call,
    /// Fingerprint of the request.
    fingerprint: RequestFingerprint,
    route: Arc<Route>,
    service: ServiceName,
    caller: CallerIdentity,
    /// When the response must be complete: the earlier of the caller's and the
    /// route's time limit.
    deadline: Instant,
}

impl RoutedCall {
    /// Returns the rank of the request; 0 is the most urgent.
    fn rank(&self) -> u8 {
        let workspace = self.caller.workspace();
        let rank = workspace.and_then(|workspace| workspace.rank);
        rank.unwrap_or(self.route.rank)
    }

    /// Returns the check of the end of a response to the request.
    fn end_check(&self, exchange: &Exchange) -> StreamEndCheck {
        let is_stream_route = matches!(self.route.kind, RouteKind::Stream { .. });
        let expects_events = is_stream_route && exchange.status.is_success();
        StreamEndCheck::new(&exchange.headers, expects_events)
    }
}

/// Handles callers' requests.
pub struct CallHandler<U> {
    /// Sends calls to upstreams.
    pub upstream_client: Arc<U>,
    /// Sends events to the control thread.
    pub events: Sender<ControlEvent>,
    /// State that the control thread shares.
    pub shared_state: Arc<SharedState>,
    /// Executor of the traffic threads.
    pub traffic: TrafficExecutor,
    /// Next placement id.
    pub placement_ids: Arc<AtomicU64>,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Multiple of the route's latency objective within which the first byte of a
    /// stream must be expected.
    pub useful_objectives: f64,
    /// Budget of the process, from which buffered responses are taken.
    pub client_limits: Arc<ProcessLimits>,
    /// Logger for requests.
    pub log: Logger,
}

impl<U: UpstreamClient> CallHandler<U> {
    /// Handles one request; dropping the future cancels the request.
    pub async fn serve(self: &Arc<Self>, call: Call) -> CallResponse {
        let mut record = RequestRecord::new(&self.metrics, &self.log, &call.id, call.arrived);
        let fingerprint = call.fingerprint();
        record.set_fingerprint(fingerprint);
        record.set_resumed_stream(&call);
        let Some(route_table) = self.shared_state.routes() else {
            let not_run = NotRun::new(NotRunReason::Stale, STARTING_RETRY_AFTER);
            return record.end(&call.path, CallResponse::NotRun(not_run));
        };
        let Some(route) = route_table.find(&call.host, &call.path) else {
            return record.end(&call.path, CallResponse::NoRoute);
        };
        record.set_route(&route.name);
        let path = call.path.clone();
        let history = &mut record.history;
        let response = async {
            let response = self
                .serve_routed(&route_table, route, call, fingerprint, history)
                .await;
            Some(response)
        };
        let process_exits = async {
            self.shared_state.requests_end().await;
            None
        };
        let response = response.or(process_exits).await;
        let response = response.unwrap_or_else(|| record.history.response_at_exit());
        record.end(&path, response)
    }

    async fn serve_routed(
        self: &Arc<Self>,
        route_table: &RouteTable,
        route: &Arc<Route>,
        call: Call,
        fingerprint: RequestFingerprint,
        history: &mut SendHistory,
    ) -> CallResponse {
        let timeout = call
            .caller_timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = call.arrived + timeout;
        let shared_state = &self.shared_state;
        if !shared_state.accepts_request(Instant::now(), &route.name, deadline) {
            return CallResponse::NotRun(NotRun::new(NotRunReason::Leaving, SHUTDOWN_RETRY_AFTER));
        }
        let caller = match self.authorize(&call, route, deadline).await {
            Ok(caller) => caller,
            Err(response) => return response,
        };
        let destination = match self.find_destination(&call, route, deadline).await {
            Ok(Some(destination)) => destination,
            Ok(None) => return CallResponse::NoRoute,
            Err(not_run) => return refusal_response(not_run, Duration::ZERO),
        };
        history.software = destination.software;
        let service = destination.service;
        let service_config = route_table.config().service(&service);
        let has_engines = service_config.is_some_and(|service| service.engine.is_some());
        let routed = Arc::new(RoutedCall {
            deadline,
            fingerprint,
            call,
            route: route.clone(),
            service,
            caller,
        });
        let payment = match self.pay(&routed).await {
            Ok(payment) => payment,
            Err(not_run) => return refusal_response(not_run, Duration::ZERO),
        };
        let response = match (&routed.call.model, has_engines) {
            (Some(_), true) => self.serve_model_request(&routed, history).await,
            (None, true) => CallResponse::Malformed("the request names no model".into()),
            (_, false) => self.serve_plain_request(&routed, history).await,
        };
        if let Some(payment) = payment {
            payment.settle(&response);
        }
        response
    }

    /// Records a request that could not be read, for the given reason.
    pub fn record_malformed(&self, id: &str, arrived: Instant, reason: &str) {
        RequestRecord::new(&self.metrics, &self.log, id, arrived).end_malformed(reason);
    }

    fn next_placement_id(&self) -> u64 {
        self.placement_ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Checks that a run that begins now ends before the process exits, unless the request may
    /// have run before: then no other entry can serve it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that another entry can serve.
    fn check_time_for_run(&self, routed: &RoutedCall, history: &SendHistory) -> Result<(), NotRun> {
        let has_time =
            self.shared_state
                .has_time_for_run(Instant::now(), &routed.route.name, routed.deadline);
        match has_time || history.may_have_run() {
            true => Ok(()),
            false => Err(NotRun::new(NotRunReason::Leaving, SHUTDOWN_RETRY_AFTER)),
        }
    }

    /// Returns whether a request that has run or may have run may be sent
    /// again, and takes one retry from the budget if so.
    async fn may_repeat_run(&self, routed: &RoutedCall, history: &SendHistory) -> bool {
        routed.route.is_repeatable() && self.may_resend(routed, history).await
    }

    /// Returns whether a request that has not run may be sent again, and takes
    /// one retry from the budget if so.
    async fn may_resend(&self, routed: &RoutedCall, history: &SendHistory) -> bool {
        history.sent < routed.route.max_attempts && self.take_retry(routed).await
    }

    /// Passes what an upstream has announced to the control thread, before the caller
    /// gets the response and before the next request is placed.
    fn report_announcement(
        &self,
        service: &ServiceName,
        dispatch: &Dispatch,
        response: &UpstreamResponse,
    ) {
        let announcement = response.announcement;
        let is_from_upstream = matches!(
            response.execution_status,
            ExecutionStatus::Executed | ExecutionStatus::RefusedFull
        );
        let ends_rate_limit =
            dispatch.rate_limited && is_from_upstream && announcement.rate_limit.is_none();
        if announcement == Announcement::default() && !ends_rate_limit {
            return;
        }
        let event = ControlEvent::UpstreamAnnounced {
            service: service.clone(),
            upstream: dispatch.upstream.clone(),
            started: dispatch.started,
            announcement,
            ends_rate_limit,
        };
        // The channel is unbounded and closes only while the process exits.
        let _ = self.events.try_send(event);
    }

    /// Counts the outcome of one send to an upstream.
    fn count_send(&self, service: &ServiceName, outcome: &'static str) {
        let labels = ServiceOutcomeLabels {
            service: service.to_string(),
            outcome,
        };
        self.metrics.sends.get_or_create(&labels).inc();
    }

    /// Takes one retry from the budget of the service, which the control thread
    /// keeps. Returns whether the budget allowed it and the request is not suspected of
    /// crashing upstreams.
    async fn take_retry(&self, routed: &RoutedCall) -> bool {
        let (reply_tx, decision_rx) = async_channel::bounded(1);
        let (service, fingerprint) = (routed.service.clone(), routed.fingerprint);
        let labels = |outcome| ServiceOutcomeLabels {
            service: service.to_string(),
            outcome,
        };
        let (allowed, refused) = (labels("allowed"), labels("refused"));
        // The control thread's channel is closed only while the process exits.
        let _ = self
            .events
            .send(ControlEvent::TakeRetry {
                service,
                fingerprint,
                reply_tx,
            })
            .await;
        let is_allowed = decision_rx.recv().await.unwrap_or(false);
        let labels = if is_allowed { allowed } else { refused };
        self.metrics.retries.get_or_create(&labels).inc();
        is_allowed
    }
}

/// Returns the refusal of a request, with random jitter on its retry-after time.
///
/// For [`NotRunReason::Deadline`], `not_run.retry_after` is the expected wait, and
/// the retry-after time is the part of it that exceeds `useful_wait`.
fn refusal_response(not_run: NotRun, useful_wait: Duration) -> CallResponse {
    if not_run.reason == NotRunReason::OverQuota {
        // The time is accurate, and differs between the requests that are refused together.
        return CallResponse::NotRun(not_run);
    }
    let jitter = rand::rng().random();
    let retry_after = match not_run.reason {
        NotRunReason::Deadline => admission::retry_after(not_run.retry_after, useful_wait, jitter),
        NotRunReason::CrashesEngines | NotRunReason::Paused => {
            admission::retry_after_pause(not_run.retry_after, jitter)
        }
        _ => admission::retry_after(not_run.retry_after, Duration::ZERO, jitter),
    };
    CallResponse::NotRun(NotRun::new(not_run.reason, retry_after))
}
