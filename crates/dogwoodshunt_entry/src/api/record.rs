//! Last lines of requests and of streamed responses in the log.

use crate::api::response::RequestError;
use cadence::CountedExt;
use cadence::StatsdClient;
use cadence::Timed;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use slog::Logger;
use slog::info;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// Attempts of a request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Number of attempts sent to agents.
    pub count: u32,
    /// ID of the last attempt, by which agents know the request.
    pub last: Option<RequestId>,
    /// Whether the last attempt waits for its response.
    pub is_waiting: bool,
}

/// Record of a request, logged in one line and counted when it is dropped: with its response, or
/// as a request that has ended without one.
pub struct RequestRecord {
    started_at: Instant,
    path: Box<str>,
    /// Attempts of the request so far.
    pub attempts: Attempts,
    /// Outcome and the message of an error; `None` until there is a response.
    response: Option<(&'static str, Box<str>)>,
    metrics: Arc<StatsdClient>,
    log: Logger,
}

impl RequestRecord {
    /// Starts the record of a request to `path`.
    pub fn new(started_at: Instant, path: &str, metrics: Arc<StatsdClient>, log: Logger) -> Self {
        Self {
            started_at,
            path: path.into(),
            attempts: Attempts::default(),
            response: None,
            metrics,
            log,
        }
    }

    /// Ends the record of a request that has a response, or of which the head of the response
    /// has arrived.
    pub fn end<T>(mut self, result: &Result<T, RequestError>) {
        // Metrics that cannot be sent are dropped by design.
        let _ = self.metrics.time("first_byte", self.started_at.elapsed());
        self.response = Some(match result {
            Ok(_) => (RequestOutcome::Ran.as_str(), Box::default()),
            Err(error) => (error.outcome.as_str(), error.message.clone()),
        });
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let (outcome, reason) = match self.response.take() {
            Some(response) => response,
            None if thread::panicking() => ("panicked", Box::default()),
            None => ("caller-left", Box::default()),
        };
        let waits_for = match outcome {
            "caller-left" | "panicked" if self.attempts.is_waiting => "response",
            "caller-left" | "panicked" => "placement",
            _ => "",
        };
        let _ = self.metrics.incr(&format!("requests.{outcome}"));
        info!(self.log, "request"; "request" => attempt_text(self.attempts.last),
            "path" => %self.path, "outcome" => outcome, "reason" => %reason,
            "waits_for" => waits_for, "attempts" => self.attempts.count,
            "took_ms" => self.started_at.elapsed().as_millis() as u64);
    }
}

/// Record of a streamed response, logged when it is dropped.
pub(super) struct StreamRecord {
    request: RequestId,
    started_at: Instant,
    /// How the stream has ended.
    outcome: &'static str,
    log: Logger,
}

impl StreamRecord {
    /// Starts the record of a stream whose head has arrived at `now`.
    pub(super) fn new(now: Instant, request: RequestId, log: Logger) -> Self {
        Self {
            request,
            started_at: now,
            outcome: "stopping",
            log,
        }
    }

    pub(super) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for StreamRecord {
    fn drop(&mut self) {
        info!(self.log, "stream ended"; "request" => %self.request, "outcome" => self.outcome,
            "took_ms" => self.started_at.elapsed().as_millis() as u64);
    }
}

fn attempt_text(attempt: Option<RequestId>) -> String {
    attempt.map_or_else(String::new, |request| request.to_string())
}
