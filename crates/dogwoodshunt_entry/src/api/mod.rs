//! HTTP interface for callers.
//!
//! [`request`] parses requests, [`executor`] sends them to agents with retries,
//! `chunk_sequencer` checks the order of response chunks, [`idempotency`]
//! handles requests that have an idempotency key, [`response`] builds HTTP
//! responses and errors, and [`record`] logs the end of each request.

pub(crate) mod chunk_sequencer;
pub mod executor;
pub mod idempotency;
pub mod record;
pub mod request;
pub mod response;

use crate::api::executor::CallerResponse;
use crate::api::executor::RequestExecutor;
use crate::api::idempotency::IdempotentExecutor;
use crate::api::record::Attempts;
use crate::api::record::RequestRecord;
use crate::api::request::CallerRequest;
use crate::api::response::RequestError;
use crate::control::ControlEvent;
use crate::control::ControlQuery;
use async_channel::Sender;
use cadence::StatsdClient;
use dogwoodshunt_border::generated::openai::Model;
use dogwoodshunt_border::generated::openai::ModelList;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::Kv;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Time until the first response byte is due, for requests that set no deadline.
    pub default_deadline: Duration,
}

/// HTTP handler for callers' requests.
pub struct CallerApi<K> {
    /// Executes requests on agents.
    pub executor: RequestExecutor,
    /// Executes requests that have an idempotency key.
    pub idempotent_executor: IdempotentExecutor<K>,
    /// Channel to the control thread.
    pub events: Sender<ControlEvent>,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// Client for counters and timers.
    pub metrics: Arc<StatsdClient>,
    /// Logger of this process.
    pub log: Logger,
}

impl<K: Kv> Handler for CallerApi<K> {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let started_at = Instant::now();
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => return self.health().await,
            (&Method::GET, "/v1/models") => return self.models().await,
            _ => {}
        }
        let (metrics, log) = (self.metrics.clone(), self.log.clone());
        let mut record = RequestRecord::new(started_at, req.uri().path(), metrics, log);
        let attempts = &mut record.attempts;
        let result = match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(req, started_at, attempts).await
            }
            (_, path) if path.starts_with("/services/") => {
                self.call_service(req, started_at, attempts).await
            }
            (method, path) => Err(RequestError::no_such_path(method, path)),
        };
        record.end(&result);
        result.unwrap_or_else(RequestError::into_response)
    }
}

impl<K: Kv> CallerApi<K> {
    async fn complete(
        &self,
        req: Request<Incoming>,
        now: Instant,
        attempts: &mut Attempts,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let request = CallerRequest::read_completion(req, &self.limits, now).await?;
        self.execute(request, attempts).await
    }

    async fn call_service(
        &self,
        req: Request<Incoming>,
        now: Instant,
        attempts: &mut Attempts,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let request = CallerRequest::read_service_call(req, &self.limits, now).await?;
        self.execute(request, attempts).await
    }

    async fn execute(
        &self,
        request: CallerRequest,
        attempts: &mut Attempts,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let response = match &request.idempotency_key {
            Some(key) => {
                self.idempotent_executor
                    .execute(&self.executor, &request, key, attempts)
                    .await
            }
            None => self.executor.execute(&request, attempts).await,
        };
        response.map(CallerResponse::into_response)
    }

    async fn health(&self) -> Response<ResponseBody> {
        let (tx, rx) = async_channel::bounded(1);
        let sent = self
            .events
            .send(ControlEvent::Query(ControlQuery::FleetStatus(tx)))
            .await;
        match (sent, rx.recv().await) {
            (Ok(()), Ok(fleet)) if fleet.ready => server::text(200, "ok"),
            (Ok(()), Ok(fleet)) if fleet.leaving => server::text(503, "leaving"),
            (Ok(()), Ok(fleet)) if fleet.fresh => server::text(503, "no agent is in reach"),
            _ => server::text(503, "the catalogue cannot be confirmed to be in force"),
        }
    }

    async fn models(&self) -> Response<ResponseBody> {
        let (tx, rx) = async_channel::bounded(1);
        let _ = self
            .events
            .send(ControlEvent::Query(ControlQuery::Models(tx)))
            .await;
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
}
