//! The callers' HTTP interface.
//!
//! [`request`] reads what a caller asks for, [`attempts`] gets it run,
//! `parts` puts answers together,
//! [`claims`] sees to idempotency keys and [`answer`] writes what comes back.

pub mod answer;
pub mod attempts;
pub mod claims;
pub(crate) mod parts;
pub mod request;

use crate::api::answer::GaveUp;
use crate::api::attempts::Ran;
use crate::api::attempts::Runner;
use crate::api::claims::Claims;
use crate::api::request::CallerRequest;
use crate::control::Event;
use crate::control::Inquiry;
use async_channel::Sender;
use cadence::CountedExt;
use cadence::StatsdClient;
use cadence::Timed;
use dogwoodshunt_border::generated::openai::Model;
use dogwoodshunt_border::generated::openai::ModelList;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_types::Outcome;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use slog::Logger;
use slog::debug;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Limits of the callers' interface.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time that the body of a request may take to arrive.
    pub body_timeout: Duration,
    /// Time that a caller without a deadline of its own waits for the first byte.
    pub default_deadline: Duration,
}

/// Answers callers.
pub struct CallerApi<K> {
    /// Gets requests run.
    pub runner: Runner,
    /// Sees to idempotency keys.
    pub claims: Claims<K>,
    /// Asks the control thread.
    pub events: Sender<Event>,
    /// Limits.
    pub limits: Limits,
    /// Counters and timers.
    pub metrics: Arc<StatsdClient>,
    /// Where requests are logged.
    pub log: Logger,
}

impl<K: Kv> Handler for CallerApi<K> {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let begun = Instant::now();
        let answered = match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => Ok(self.health().await),
            (&Method::GET, "/v1/models") => Ok(self.models().await),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(req, begun).await
            }
            (_, path) if path.starts_with("/services/") => self.call_service(req, begun).await,
            (method, path) => Err(GaveUp::no_such_path(method, path)),
        };
        let outcome = match &answered {
            Ok(_) => Outcome::Ran,
            Err(gave_up) => gave_up.outcome,
        };
        self.note(begun, outcome);
        answered.unwrap_or_else(GaveUp::into_response)
    }
}

impl<K: Kv> CallerApi<K> {
    async fn complete(
        &self,
        req: Request<Incoming>,
        now: Instant,
    ) -> Result<Response<AnswerBody>, GaveUp> {
        let request = CallerRequest::read_completion(req, &self.limits, now).await?;
        self.run(request).await
    }

    async fn call_service(
        &self,
        req: Request<Incoming>,
        now: Instant,
    ) -> Result<Response<AnswerBody>, GaveUp> {
        let request = CallerRequest::read_service_call(req, &self.limits, now).await?;
        self.run(request).await
    }

    async fn run(&self, request: CallerRequest) -> Result<Response<AnswerBody>, GaveUp> {
        let ran = match &request.idempotency_key {
            Some(key) => self.claims.run(&self.runner, &request, key).await,
            None => self.runner.run(&request).await,
        };
        if let Err(gave_up) = &ran {
            debug!(self.log, "gave up"; "wanted" => ?request.wanted,
                "outcome" => gave_up.outcome.as_str(), "reason" => %gave_up.message);
        }
        ran.map(Ran::into_response)
    }

    async fn health(&self) -> Response<AnswerBody> {
        let (tx, rx) = async_channel::bounded(1);
        let asked = self
            .events
            .send(Event::Inquiry(Inquiry::Overview(tx)))
            .await;
        match (asked, rx.recv().await) {
            (Ok(()), Ok(overview)) if overview.ready => server::text(200, "ok"),
            (Ok(()), Ok(overview)) if overview.leaving => server::text(503, "leaving"),
            (Ok(()), Ok(overview)) if overview.fresh => server::text(503, "no agent is in reach"),
            _ => server::text(503, "the catalogue cannot be confirmed to be in force"),
        }
    }

    async fn models(&self) -> Response<AnswerBody> {
        let (tx, rx) = async_channel::bounded(1);
        let _ = self.events.send(Event::Inquiry(Inquiry::Models(tx))).await;
        let adapters = rx.recv().await.unwrap_or_default();
        let models = adapters.into_iter().map(|(adapter, base_model)| Model {
            id: adapter.to_string(),
            object: "model".into(),
            parent: Some(base_model.into()),
        });
        server::json(
            200,
            &ModelList {
                object: "list".into(),
                data: models.collect(),
            },
        )
    }

    fn note(&self, begun: Instant, outcome: Outcome) {
        // Metrics that cannot be sent are lost by design.
        let _ = self.metrics.incr(&format!("requests.{}", outcome.as_str()));
        let _ = self.metrics.time("first_byte", begun.elapsed());
    }
}
