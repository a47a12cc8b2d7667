//! Passing on of a model's answer, event by event.
//!
//! An answer that breaks off goes on at another engine where its route allows
//! that: whole events only are passed on, and the next run continues after the
//! last of them, under the head of the first.

use crate::call::Calls;
use crate::call::Sends;
use crate::call::Task;
use crate::call::events::Events;
use crate::call::guard::RunGuard;
use crate::control::status::Status;
use crate::metrics;
use crate::metrics::Metrics;
use crate::metrics::RouteOutcome;
use crate::ports::Upstreams;
use bytes::Bytes;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BrokenOff;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Outcome of a stream that came to its end.
const COMPLETE: &str = "complete";

/// An answer to pass on.
pub(super) struct Passing<U> {
    /// Serves requests, for a run that goes on elsewhere.
    pub(super) calls: Arc<Calls<U>>,
    /// The request.
    pub(super) task: Arc<Task>,
    /// Its sends so far.
    pub(super) sends: Sends,
    /// The upstream's answer.
    pub(super) exchange: Exchange,
    /// Ends the run.
    pub(super) guard: RunGuard,
    /// What is logged.
    pub(super) story: Story,
}

/// Account of one stream, logged at its end.
pub(super) struct Story {
    id: Box<str>,
    arrived: Instant,
    granted: Duration,
    first: Option<Duration>,
    last: Instant,
    longest_pause: Duration,
    resumed: u32,
    outcome: &'static str,
    route: Box<str>,
    status: Arc<Status>,
    metrics: Metrics,
    log: Logger,
}

impl Story {
    /// Begins the account of a request that was granted at `now`.
    pub(super) fn new<U>(now: Instant, task: &Task, calls: &Calls<U>) -> Self {
        Self {
            id: task.call.id.clone(),
            arrived: task.call.arrived,
            granted: now.saturating_duration_since(task.call.arrived),
            first: None,
            last: now,
            longest_pause: Duration::ZERO,
            resumed: 0,
            outcome: "caller-left",
            route: task.route.name.clone(),
            status: calls.status.clone(),
            metrics: calls.metrics.clone(),
            log: calls.log.clone(),
        }
    }

    fn on_chunk(&mut self, now: Instant) {
        if self.first.is_some() {
            let pause = now.saturating_duration_since(self.last);
            self.longest_pause = self.longest_pause.max(pause);
        } else {
            self.first = Some(now.saturating_duration_since(self.arrived));
        }
        self.last = now;
    }
}

impl Story {
    fn count(&self) {
        let Metrics {
            first_event_seconds: firsts,
            pause_seconds: pauses,
            ..
        } = &self.metrics;
        if let Some(first) = self.first {
            metrics::observe(firsts, &self.route, first.as_secs_f64());
        }
        metrics::observe(pauses, &self.route, self.longest_pause.as_secs_f64());
        if self.outcome == COMPLETE {
            let took = self.last.saturating_duration_since(self.arrived);
            self.status.note_stream(&self.route, took);
        }
        let labels = RouteOutcome {
            route: self.route.to_string(),
            outcome: self.outcome,
        };
        self.metrics.streams.get_or_create(&labels).inc();
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        self.count();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let took = self.last.saturating_duration_since(self.arrived);
        info!(self.log, "stream ended"; "id" => %self.id, "outcome" => self.outcome,
            "granted_ms" => millis(self.granted),
            "first_ms" => self.first.map(millis).unwrap_or(0), "resumed" => self.resumed,
            "pause_ms" => millis(self.longest_pause), "took_ms" => millis(took));
    }
}

/// An answer that is being passed on; dropping it stops the upstream.
struct Stream<U> {
    passing: Passing<U>,
    deadline: Timer,
    /// Present where the answer may go on elsewhere.
    events: Option<Events>,
    over: bool,
}

impl<U: Upstreams> Stream<U> {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        while !self.over {
            let late = async {
                (&mut self.deadline).await;
                None
            };
            let chunk = async { Some(self.passing.exchange.chunk().await) };
            let passed_on = match chunk.or(late).await {
                None => Some(Err(self.end_late())),
                Some(Some(Ok(bytes))) => self.on_bytes(&bytes).map(Ok),
                Some(Some(Err(broken))) => self.on_break(broken).await.map(Err),
                Some(None) => {
                    self.over = true;
                    self.passing.story.outcome = COMPLETE;
                    let rest = self.events.as_mut().map(Events::take_partial);
                    rest.filter(|rest| !rest.is_empty()).map(Ok)
                }
            };
            if passed_on.is_some() {
                return passed_on;
            }
        }
        None
    }

    fn end_late(&mut self) -> BrokenOff {
        self.over = true;
        self.passing.story.outcome = "deadline";
        BrokenOff {
            reason: "the deadline has passed".into(),
        }
    }

    /// Returns what of `bytes` may be passed on now.
    fn on_bytes(&mut self, bytes: &Bytes) -> Option<Bytes> {
        if self.passing.story.first.is_none() || self.passing.story.resumed > 0 {
            self.passing.guard.first_byte();
        }
        let whole = match &mut self.events {
            Some(events) => events.push(bytes),
            None => bytes.clone(),
        };
        if whole.is_empty() {
            return None;
        }
        self.passing.story.on_chunk(Instant::now());
        Some(whole)
    }

    /// Goes on at another engine, or returns the break.
    async fn on_break(&mut self, broken: BrokenOff) -> Option<BrokenOff> {
        let passing = &mut self.passing;
        if let Some(events) = &mut self.events
            && passing
                .calls
                .may_run_again(&passing.task, &passing.sends)
                .await
        {
            let (after, _) = (events.last_id(), events.take_partial());
            warn!(passing.calls.log, "resuming stream"; "id" => %passing.task.call.id,
                "after" => after, "cause" => %broken);
            let engaged = passing
                .calls
                .engage(&passing.task, &mut passing.sends, after)
                .await;
            if let Ok(engaged) = engaged
                && engaged.exchange.status.is_success()
            {
                passing.exchange = engaged.exchange;
                passing.guard = engaged.guard;
                passing.story.resumed += 1;
                return None;
            }
        }
        self.over = true;
        self.passing.story.outcome = "broken-off";
        Some(broken)
    }
}

/// Returns a body that passes an upstream's answer on until the deadline.
pub(super) fn pass_on<U: Upstreams>(passing: Passing<U>) -> AnswerBody {
    let may_go_on = passing.task.route.is_repeatable() && passing.exchange.status.is_success();
    let events = may_go_on.then(|| Events::after(passing.task.call.resume_after));
    let stream = Stream {
        deadline: Timer::at(passing.task.deadline),
        passing,
        events,
        over: false,
    };
    let chunks = futures_util::stream::unfold(stream, |mut stream| async move {
        let chunk = stream.next().await?;
        Some((chunk, stream))
    });
    body::stream(chunks)
}
