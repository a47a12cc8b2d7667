//! Last line of a request in the log, and its count in the metrics.

use crate::call::Call;
use crate::call::CallResponse;
use crate::call::SendHistory;
use crate::metrics;
use crate::metrics::Metrics;
use crate::metrics::RouteOutcomeLabels;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestFingerprint;
use slog::Logger;
use slog::info;
use std::thread;
use std::time::Instant;

/// What a request waits for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Stage {
    /// The selection of an upstream.
    #[default]
    Placement,
    /// The head of the response of the selected upstream.
    Response,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Placement => "placement",
            Self::Response => "response",
        }
    }
}

/// Record of a request, logged in one line and counted when it is dropped: with its response, or
/// as a request that has ended without one.
pub(crate) struct RequestRecord {
    id: Box<str>,
    arrived: Instant,
    fingerprint: Option<RequestFingerprint>,
    route: Box<str>,
    /// Id of the caller's request that began the stream, if this one takes a stream up.
    resumes: Box<str>,
    /// Why the request may not take its stream up.
    take_up_refusal: Option<&'static str>,
    /// Results of the sends of the request so far.
    pub(super) history: SendHistory,
    /// Outcome and its detail; `None` until there is a response.
    response: Option<(&'static str, Box<str>)>,
    metrics: Metrics,
    log: Logger,
}

impl RequestRecord {
    /// Starts the record of a request that no route has been found for yet.
    pub(crate) fn new(metrics: &Metrics, log: &Logger, id: &str, arrived: Instant) -> Self {
        Self {
            id: id.into(),
            arrived,
            fingerprint: None,
            route: Box::default(),
            resumes: Box::default(),
            take_up_refusal: None,
            history: SendHistory::default(),
            response: None,
            metrics: metrics.clone(),
            log: log.clone(),
        }
    }

    pub(super) fn set_fingerprint(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprint = Some(fingerprint);
    }

    /// Sets what stream the request takes up, if it does.
    pub(super) fn set_resumed_stream(&mut self, call: &Call) {
        self.resumes = call.resumes.clone().unwrap_or_default();
    }

    pub(super) fn set_route(&mut self, route: &str) {
        self.route = route.into();
    }

    /// Ends the record with the response to the caller, and returns the response.
    pub(super) fn end(mut self, path: &str, response: CallResponse) -> CallResponse {
        let (outcome, detail) = match &response {
            CallResponse::Upstream { status, .. } => ("answered", status.as_str().into()),
            CallResponse::NoRoute => ("no-route", path.into()),
            CallResponse::UnknownKey => ("unknown-key", Box::default()),
            CallResponse::Malformed(reason) => ("malformed", reason.clone()),
            CallResponse::NotRun(not_run) => {
                self.take_up_refusal = match not_run.reason {
                    NotRunReason::SoftwareGone => Some("version-gone"),
                    NotRunReason::SoftwareUnknown => Some("version-unknown"),
                    _ => None,
                };
                ("not-run", not_run.reason.to_string().into())
            }
            CallResponse::TimedOut => ("late", Box::default()),
            CallResponse::Lost(reason) => ("lost", reason.clone()),
        };
        self.response = Some((outcome, detail));
        metrics::observe_latency(
            &self.metrics.response_head_seconds,
            &self.route,
            self.arrived.elapsed().as_secs_f64(),
        );
        response
    }

    /// Ends the record of a request that could not be read.
    pub(super) fn end_malformed(mut self, reason: &str) {
        self.response = Some(("malformed", reason.into()));
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let stage = self.history.stage;
        let (outcome, detail) = match self.response.take() {
            Some(response) => response,
            None if thread::panicking() => ("panicked", Box::default()),
            None => ("caller-left", Box::default()),
        };
        // The last send has neither failed nor been answered.
        let is_sending = outcome == "caller-left" && stage == Stage::Response;
        let waits_for = match outcome {
            "caller-left" | "panicked" => stage.as_str(),
            _ => "",
        };
        let labels = RouteOutcomeLabels {
            route: self.route.to_string(),
            outcome,
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if !self.resumes.is_empty() {
            let labels = RouteOutcomeLabels {
                outcome: self.take_up_refusal.unwrap_or(outcome),
                ..labels
            };
            self.metrics.take_ups.get_or_create(&labels).inc();
        }
        let fingerprint = self.fingerprint.map(|f| format!("{f:016x}"));
        info!(self.log, "request"; "id" => %self.id, "route" => %self.route,
            "outcome" => outcome, "detail" => %detail, "waits_for" => waits_for,
            "upstream" => self.history.upstream.as_deref().unwrap_or(""),
            "sent" => self.history.sent + u32::from(is_sending),
            "resumes" => %self.resumes,
            "took_ms" => self.arrived.elapsed().as_millis() as u64,
            "fingerprint" => fingerprint.unwrap_or_default());
    }
}
