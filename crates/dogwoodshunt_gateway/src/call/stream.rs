//! Relays a model's response to the caller, event by event.
//!
//! If the response breaks off and its route allows repetition, the stream is
//! resumed on another engine. For this, only whole events are relayed. The next
//! run continues after the last relayed event, and the caller keeps the status
//! and headers of the first response.

use crate::call::CallHandler;
use crate::call::RoutedCall;
use crate::call::SendHistory;
use crate::call::guard::RunGuard;
use crate::call::sse::EventSplitter;
use crate::control::ControlEvent;
use crate::control::RunEnd;
use crate::control::shared_state::SharedState;
use crate::metrics;
use crate::metrics::Metrics;
use crate::metrics::RouteOutcomeLabels;
use crate::platform::UpstreamClient;
use bytes::Bytes;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::StreamEndCheck;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BodyError;
use dogwoodshunt_types::SoftwareVersion;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Value of the `outcome` label of streams that were relayed to their end.
const COMPLETE: &str = "complete";

/// A response that is relayed to the caller.
pub(super) struct Relay<U> {
    /// Handler that sends the request again if the stream is resumed on another
    /// engine.
    pub(super) handler: Arc<CallHandler<U>>,
    /// Request with its route.
    pub(super) routed: Arc<RoutedCall>,
    /// Results of the sends of the request so far.
    pub(super) history: SendHistory,
    /// Exchange from which the upstream's response is read.
    pub(super) exchange: Exchange,
    /// Ends the run when dropped; `None` between a run that broke off and the next one.
    pub(super) guard: Option<RunGuard>,
    /// Version of the software of the engine that responds; `None` if it is not known.
    pub(super) software: Option<SoftwareVersion>,
    /// Measurements of the stream.
    pub(super) stats: StreamStats,
}

/// Measurements of one stream, logged and counted when dropped.
pub(super) struct StreamStats {
    id: Box<str>,
    arrived: Instant,
    /// Time from the arrival of the request to the grant of its run.
    granted_after: Duration,
    /// Time from the arrival of the request to its first event.
    first_event_after: Option<Duration>,
    last_chunk_at: Instant,
    /// Longest time between two relayed chunks, each of whole events if the
    /// stream can be resumed.
    longest_event_gap: Duration,
    /// Number of times that the stream was resumed on another engine.
    resume_count: u32,
    /// Version of the software of the engine that wrote the first relayed event.
    software: Box<str>,
    /// Value of the `outcome` label in metrics.
    outcome: &'static str,
    /// Check of the end of the latest response.
    end_check: StreamEndCheck,
    route: Box<str>,
    shared_state: Arc<SharedState>,
    metrics: Metrics,
    log: Logger,
}

impl StreamStats {
    /// Starts the measurements of a request for which a run was granted at `now`.
    pub(super) fn new<U>(
        now: Instant,
        routed: &RoutedCall,
        handler: &CallHandler<U>,
        end_check: StreamEndCheck,
    ) -> Self {
        Self {
            id: routed.call.id.clone(),
            arrived: routed.call.arrived,
            granted_after: now.saturating_duration_since(routed.call.arrived),
            first_event_after: None,
            last_chunk_at: now,
            longest_event_gap: Duration::ZERO,
            resume_count: 0,
            software: Box::default(),
            outcome: "caller-left",
            end_check,
            route: routed.route.name.clone(),
            shared_state: handler.shared_state.clone(),
            metrics: handler.metrics.clone(),
            log: handler.log.clone(),
        }
    }

    fn on_chunk(&mut self, now: Instant) {
        if self.first_event_after.is_some() {
            let gap = now.saturating_duration_since(self.last_chunk_at);
            self.longest_event_gap = self.longest_event_gap.max(gap);
        } else {
            self.first_event_after = Some(now.saturating_duration_since(self.arrived));
        }
        self.last_chunk_at = now;
    }
}

impl StreamStats {
    fn record_metrics(&self) {
        let Metrics {
            first_event_seconds: first_event_times,
            longest_event_gap_seconds: longest_event_gaps,
            ..
        } = &self.metrics;
        if let Some(first) = self.first_event_after {
            metrics::observe_latency(first_event_times, &self.route, first.as_secs_f64());
        }
        metrics::observe_latency(
            longest_event_gaps,
            &self.route,
            self.longest_event_gap.as_secs_f64(),
        );
        if self.outcome == COMPLETE {
            let duration = self.last_chunk_at.saturating_duration_since(self.arrived);
            self.shared_state
                .record_stream_duration(&self.route, duration);
        }
        let labels = RouteOutcomeLabels {
            route: self.route.to_string(),
            outcome: self.outcome,
        };
        self.metrics.streams.get_or_create(&labels).inc();
    }
}

impl Drop for StreamStats {
    fn drop(&mut self) {
        self.record_metrics();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let duration = self.last_chunk_at.saturating_duration_since(self.arrived);
        info!(self.log, "stream ended"; "id" => %self.id, "outcome" => self.outcome,
            "granted_ms" => millis(self.granted_after),
            "first_ms" => self.first_event_after.map(millis).unwrap_or(0),
            "resumed" => self.resume_count, "software" => %self.software, "pause_ms" => millis(self.longest_event_gap),
            "framing" => self.end_check.framing().as_str(),
            "inside_event" => self.end_check.is_inside_event(),
            "took_ms" => millis(duration));
    }
}

/// State of the body relayed to the caller. Dropping the state closes the
/// exchange with the upstream and ends the run.
struct RelayStream<U> {
    relay: Relay<U>,
    deadline_timer: Timer,
    /// Present if the stream may be resumed on another engine.
    splitter: Option<EventSplitter>,
    is_finished: bool,
}

impl<U: UpstreamClient> RelayStream<U> {
    /// Returns the next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.is_finished {
            let timeout = async {
                (&mut self.deadline_timer).await;
                Err(("deadline", "the deadline has passed"))
            };
            let process_exits = async {
                self.relay.handler.shared_state.requests_end().await;
                Err(("stopping", "the entry has stopped"))
            };
            let chunk = async { Ok(self.relay.exchange.next_chunk().await) };
            let item = match chunk.or(timeout).or(process_exits).await {
                Err((outcome, reason)) => Some(Err(self.cut(outcome, reason))),
                Ok(Some(Ok(bytes))) => match self.on_bytes(&bytes) {
                    Ok(whole) => whole.map(Ok),
                    Err(error) => self.on_read_error(error).await.map(Err),
                },
                Ok(Some(Err(error))) => self.on_read_error(error).await.map(Err),
                Ok(None) => match self.relay.stats.end_check.check_end() {
                    Ok(()) => self.on_end().map(Ok),
                    Err(cut) => {
                        let reason = cut.to_string().into();
                        self.on_read_error(BodyError { reason }).await.map(Err)
                    }
                },
            };
            if item.is_some() {
                return item;
            }
        }
        None
    }

    /// Ends a whole stream and returns its last bytes, if they are still held back.
    fn on_end(&mut self) -> Option<Bytes> {
        self.is_finished = true;
        self.relay.stats.outcome = COMPLETE;
        if let Some(guard) = &mut self.relay.guard
            && self.relay.exchange.status.is_success()
        {
            guard.end = RunEnd::Answered;
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_partial);
        rest.filter(|rest| !rest.is_empty())
    }

    /// Ends the stream before its end, with the given outcome and for the given reason.
    fn cut(&mut self, outcome: &'static str, reason: &str) -> BodyError {
        self.is_finished = true;
        self.relay.stats.outcome = outcome;
        BodyError {
            reason: reason.into(),
        }
    }

    /// Returns the bytes that may be relayed now; `None` if the last event is
    /// still incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the last event is too large to be buffered.
    fn on_bytes(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, BodyError> {
        self.relay.stats.end_check.advance(bytes);
        if self.relay.stats.end_check.has_answer()
            && let Some(guard) = &mut self.relay.guard
        {
            guard.report_first_byte();
        }
        let whole = match &mut self.splitter {
            Some(splitter) => splitter.push(bytes).map_err(|error| BodyError {
                reason: error.to_string().into(),
            })?,
            None => bytes.clone(),
        };
        if whole.is_empty() {
            return Ok(None);
        }
        if self.relay.stats.first_event_after.is_none() {
            self.on_first_event();
        }
        self.relay.stats.on_chunk(Instant::now());
        Ok(Some(whole))
    }

    /// Binds the stream to the software version that writes its first relayed event, within this
    /// response and for callers that take the stream up.
    fn on_first_event(&mut self) {
        let relay = &mut self.relay;
        relay.history.software.clone_from(&relay.software);
        relay.stats.software = relay.software.clone().unwrap_or_default();
        if self.splitter.is_none() {
            return;
        }
        let RoutedCall { call, service, .. } = &*relay.routed;
        if let Some(software) = &relay.software {
            let begun = ControlEvent::StreamBegun(call.stream_origin(service, software));
            // The channel is unbounded and closes only while the process exits.
            let _ = relay.handler.events.try_send(begun);
        }
    }

    /// Returns whether another engine may go on with the stream: its software version and its last
    /// event are known, or nothing of it has been relayed.
    fn is_continuable(&self) -> bool {
        let is_begun = self.relay.stats.first_event_after.is_some();
        let can_go_on = self.splitter.as_ref().is_some_and(EventSplitter::can_go_on);
        !is_begun || (self.relay.history.software.is_some() && can_go_on)
    }

    /// Resumes the stream on another engine and returns `None`, or ends the
    /// stream and returns the error.
    async fn on_read_error(&mut self, error: BodyError) -> Option<BodyError> {
        if let Some(mut guard) = self.relay.guard.take() {
            guard.end = RunEnd::BrokenOff;
        }
        if self.resume(&error).await {
            return None;
        }
        self.is_finished = true;
        self.relay.stats.outcome = "broken-off";
        Some(error)
    }

    /// Runs the request again, after the last whole event, until an engine goes on with the stream.
    /// Returns `false` if none does.
    ///
    /// The caller has the head of the first response, so an answer that is no stream of events, such
    /// as that of a failure, is not for the caller.
    async fn resume(&mut self, cause: &BodyError) -> bool {
        let is_continuable = self.is_continuable() && self.relay.stats.end_check.is_event_stream();
        let Some(splitter) = self.splitter.as_mut().filter(|_| is_continuable) else {
            return false;
        };
        let after = splitter.last_id();
        splitter.begin_run();
        let relay = &mut self.relay;
        let (handler, routed) = (relay.handler.clone(), relay.routed.clone());
        while handler.may_repeat_run(&routed, &relay.history).await {
            warn!(handler.log, "resuming stream"; "id" => %routed.call.id,
                "after" => after, "cause" => %cause,
                "software" => relay.history.software.as_deref().unwrap_or(""));
            let engine_response = handler
                .run_on_engine(&routed, &mut relay.history, after)
                .await;
            let Ok(engine_response) = engine_response else {
                return false;
            };
            let exchange = engine_response.exchange;
            let end_check = routed.end_check(&exchange);
            if exchange.status.is_success() && end_check.is_event_stream() {
                relay.stats.end_check = end_check;
                relay.exchange = exchange;
                relay.guard = Some(engine_response.guard);
                relay.stats.resume_count += 1;
                relay.software = engine_response.software;
                return true;
            }
            warn!(handler.log, "answer does not go on with the stream"; "id" => %routed.call.id,
                "upstream" => relay.history.upstream.as_deref().unwrap_or(""),
                "status" => exchange.status.as_u16());
        }
        false
    }
}

/// Returns a body that relays an upstream's response until the deadline.
pub(super) fn relay_body<U: UpstreamClient>(relay: Relay<U>) -> ResponseBody {
    let is_resumable = relay.routed.route.is_repeatable() && relay.exchange.status.is_success();
    let splitter =
        is_resumable.then(|| EventSplitter::starting_after(relay.routed.call.resume_after));
    let stream = RelayStream {
        deadline_timer: Timer::at(relay.routed.deadline),
        relay,
        splitter,
        is_finished: false,
    };
    let chunks = futures_util::stream::unfold(stream, |mut stream| async move {
        let chunk = stream.next().await?;
        Some((chunk, stream))
    });
    body::stream(chunks)
}
