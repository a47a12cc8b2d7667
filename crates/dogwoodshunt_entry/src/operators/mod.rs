//! HTTP interface for operators.
//!
//! `submit` appends changes to the log and waits for their acceptance; `proposal`
//! converts operators' requests to proposals and store errors to error responses.

mod proposal;
mod submit;

use crate::control::ControlEvent;
use crate::control::ControlQuery;
use async_channel::Sender;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::limits::ConnectionAccount;
use dogwoodshunt_border::http::request_body;
use dogwoodshunt_border::http::request_body::RequestBodyError;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_operator::messages::CheckResponse;
use dogwoodshunt_operator::messages::ErrorResponse;
use dogwoodshunt_operator::messages::LogPage;
use dogwoodshunt_operator::messages::ReleaseRequest;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_store::LogStore;
use dogwoodshunt_types::Revision;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of an operator's request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time limit for receiving an operator's request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of log entries in one response.
const MAX_LOG_PAGE_ENTRIES: Revision = 500;

/// HTTP handler for operators' requests.
pub struct OperatorApi<K> {
    /// Store that holds the log.
    pub store: LogStore<K>,
    /// Channel to the control thread.
    pub events: Sender<ControlEvent>,
    /// Logger of this process.
    pub log: Logger,
}

type OperatorResult = Result<Response<ResponseBody>, ErrorResponse>;

impl<K: Kv> Handler for OperatorApi<K> {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let path = req.uri().path().to_owned();
        let result = match (req.method(), path.as_str()) {
            (&Method::GET, "/v1/status") => self.status().await,
            (&Method::GET, "/v1/catalogue") => self.catalogue_response().await,
            (&Method::GET, "/v1/log") => self.log_page(req).await,
            (&Method::POST, "/v1/releases") => self.submit_release(req).await,
            (&Method::POST, "/v1/releases/check") => self.check_release(req).await,
            (&Method::POST, "/v1/stops") => self.plan_stop(req).await,
            (&Method::POST, "/v1/stops/cancel") => self.cancel_stop(req).await,
            (&Method::GET, path) if path.starts_with("/v1/standing/") => {
                self.replication_status(path).await
            }
            (method, path) => Err(ErrorResponse::unknown_path(method, path)),
        };
        result.unwrap_or_else(|error_response| server::json(error_response.status, &error_response))
    }
}

impl<K: Kv> OperatorApi<K> {
    async fn status(&self) -> OperatorResult {
        let fleet_status = self.query(ControlQuery::FleetStatus).await?;
        Ok(server::json(200, &fleet_status))
    }

    async fn catalogue_response(&self) -> OperatorResult {
        let catalogue = self.catalogue().await?;
        Ok(server::json(200, &catalogue))
    }

    async fn catalogue(&self) -> Result<Catalogue, ErrorResponse> {
        self.query(ControlQuery::Catalogue).await
    }

    async fn log_page(&self, req: Request<Incoming>) -> OperatorResult {
        let query = req.uri().query().unwrap_or_default();
        let after = query.strip_prefix("after=").unwrap_or("0");
        let after: Revision = after
            .parse()
            .map_err(|_| ErrorResponse::bad_request("after must be a revision"))?;
        let head = self
            .store
            .head()
            .await
            .map_err(proposal::store_error_response)?
            .head;
        let first_retained =
            dogwoodshunt_catalogue::head::first_retained_revision(head.snapshot_revision);
        let first = (after + 1).max(first_retained);
        let last = head.revision.min(first + MAX_LOG_PAGE_ENTRIES - 1);
        let entries = if first > last {
            Vec::new()
        } else {
            self.store
                .entries(first, last)
                .await
                .map_err(proposal::store_error_response)?
        };
        Ok(server::json(
            200,
            &LogPage {
                entries,
                newest: head.revision,
            },
        ))
    }

    async fn replication_status(&self, path: &str) -> OperatorResult {
        let text = path.rsplit('/').next().unwrap_or_default();
        let revision = text
            .parse()
            .map_err(|_| ErrorResponse::bad_request("the revision must be a number"))?;
        let replication_status = self.query_replication_status(revision).await?;
        Ok(server::json(200, &replication_status))
    }

    async fn check_release(&self, req: Request<Incoming>) -> OperatorResult {
        let submitted: ReleaseRequest = read_json(req).await?;
        let catalogue = self.catalogue().await?;
        let problems = catalogue.validate_note(&submitted.note);
        let revision = catalogue.revision();
        Ok(server::json(200, &CheckResponse { problems, revision }))
    }

    async fn submit_release(&self, req: Request<Incoming>) -> OperatorResult {
        let submitted: ReleaseRequest = read_json(req).await?;
        self.append(proposal::from_release(submitted)).await
    }

    async fn plan_stop(&self, req: Request<Incoming>) -> OperatorResult {
        let stop: StopRequest = read_json(req).await?;
        let target = stop.target.clone();
        let problems = self
            .query(|reply| ControlQuery::PlannedStopProblems { target, reply })
            .await?;
        if !problems.is_empty() && !stop.force {
            return Err(ErrorResponse::conflict(problems.join("; ")));
        }
        self.append(proposal::from_stop(stop)).await
    }

    async fn cancel_stop(&self, req: Request<Incoming>) -> OperatorResult {
        let stop: StopRequest = read_json(req).await?;
        self.append(proposal::from_cancel(stop)).await
    }

    async fn query<T>(
        &self,
        query: impl FnOnce(Sender<T>) -> ControlQuery,
    ) -> Result<T, ErrorResponse> {
        let (reply, reply_rx) = async_channel::bounded(1);
        let sent = self.events.send(ControlEvent::Query(query(reply))).await;
        sent.map_err(|_| ErrorResponse::shutting_down())?;
        reply_rx
            .recv()
            .await
            .map_err(|_| ErrorResponse::shutting_down())
    }
}

async fn read_json<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, ErrorResponse> {
    let account = req.extensions().get::<Arc<ConnectionAccount>>().cloned();
    let account = account.as_ref();
    let bytes = request_body::receive(req.into_body(), account, MAX_BODY_BYTES, BODY_TIMEOUT);
    let bytes = bytes.await.map_err(|error| {
        let status = match error {
            RequestBodyError::ConnectionLost { .. } => 400,
            RequestBodyError::NoRoom => 503,
            RequestBodyError::TimedOut { .. } => 408,
            RequestBodyError::TooLarge { .. } => 413,
        };
        ErrorResponse::new(status, error.to_string())
    })?;
    serde_json::from_slice(&bytes).map_err(|error| ErrorResponse::bad_request(error.to_string()))
}
