//! HTTP client of the operator API.

use crate::messages::ChangeResponse;
use crate::messages::CheckResponse;
use crate::messages::ErrorResponse;
use crate::messages::FleetStatus;
use crate::messages::LogPage;
use crate::messages::ReleaseRequest;
use crate::messages::StopRequest;
use bytes::Bytes;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_types::Revision;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time from sending a request until the response head arrives.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Interval at which the `wait_*` methods repeat their request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error of a call to the operator API.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The entry responded with an error.
    #[snafu(display("{}", response.message))]
    Api {
        /// Body of the error response.
        response: Box<ErrorResponse>,
    },
    /// The entry did not respond, or its response is invalid.
    #[snafu(display("{source}"))]
    Http {
        /// Error of the HTTP exchange.
        source: HttpError,
    },
}

impl From<HttpError> for ClientError {
    fn from(source: HttpError) -> Self {
        Self::Http { source }
    }
}

/// Client of the operator API of one entry.
#[derive(Clone)]
pub struct OperatorClient {
    client: Arc<Client>,
    peer: Box<str>,
}

impl OperatorClient {
    /// Creates a client of the entry that listens for operators on `address`.
    pub fn new(client: Arc<Client>, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string().into(),
        }
    }

    /// Fetches the state of the fleet as known to the entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn status(&self) -> Result<FleetStatus, ClientError> {
        self.get("/v1/status").await
    }

    /// Fetches the whole catalogue.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn catalogue(&self) -> Result<Catalogue, ClientError> {
        self.get("/v1/catalogue").await
    }

    /// Fetches one page of the log entries after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry or the key-value service does not respond.
    pub async fn log_page(&self, after: Revision) -> Result<LogPage, ClientError> {
        self.get(&format!("/v1/log?after={after}")).await
    }

    /// Fetches the replication status of a revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn replication_status(
        &self,
        revision: Revision,
    ) -> Result<ReplicationStatus, ClientError> {
        self.get(&format!("/v1/standing/{revision}")).await
    }

    /// Validates a release note against the entry's catalogue, without submitting it.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn check_release(
        &self,
        release: &ReleaseRequest,
    ) -> Result<CheckResponse, ClientError> {
        self.post("/v1/releases/check", release).await
    }

    /// Submits a release note.
    ///
    /// The entry responds once the note is accepted, or after a timeout with a status
    /// in which it is not accepted yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the note is refused or the entry does not respond.
    pub async fn submit_release(
        &self,
        release: &ReleaseRequest,
    ) -> Result<ChangeResponse, ClientError> {
        self.post("/v1/releases", release).await
    }

    /// Plans a stop of a host or upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stop is refused or the entry does not respond.
    pub async fn plan_stop(&self, stop: &StopRequest) -> Result<ChangeResponse, ClientError> {
        self.post("/v1/stops", stop).await
    }

    /// Cancels a planned stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn cancel_stop(&self, stop: &StopRequest) -> Result<ChangeResponse, ClientError> {
        self.post("/v1/stops/cancel", stop).await
    }

    /// Waits, without a time limit, until the entry is ready to serve callers.
    pub async fn wait_until_ready(&self) {
        while !self.status().await.is_ok_and(|fleet| fleet.ready) {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until a revision is in force or `timeout` has elapsed, and returns the
    /// last status.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn wait_until_in_force(
        &self,
        revision: Revision,
        timeout: Duration,
    ) -> Result<ReplicationStatus, ClientError> {
        let deadline = std::time::Instant::now() + timeout;
        loop {
            let status = self.replication_status(revision).await?;
            if status.in_force || std::time::Instant::now() >= deadline {
                return Ok(status);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let req = Request::get(path)
            .header(hyper::header::HOST, self.peer.as_ref())
            .body(Full::default());
        self.call(req).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        payload: &B,
    ) -> Result<T, ClientError> {
        let bytes = serde_json::to_vec(payload).map_err(|error| self.call_error(&error))?;
        let req = Request::post(path)
            .header(hyper::header::HOST, self.peer.as_ref())
            .body(Full::new(bytes.into()));
        self.call(req).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        req: Result<Request<Full<Bytes>>, hyper::http::Error>,
    ) -> Result<T, ClientError> {
        const STEP: &str = "call entry";
        let req = req.map_err(|error| self.call_error(&error))?;
        let pending_response =
            self.client
                .send_with_timeout(RESPONSE_TIMEOUT, STEP, &self.peer, req);
        let response = pending_response.await?;
        let status = response.status();
        let bytes = body::read(response.into_body(), MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|error| self.call_error(&error))?;
        if !status.is_success() {
            let response =
                serde_json::from_slice(&bytes).map_err(|error| self.call_error(&error))?;
            return Err(ClientError::Api { response });
        }
        Ok(serde_json::from_slice(&bytes).map_err(|error| self.call_error(&error))?)
    }

    fn call_error(&self, message: &dyn std::fmt::Display) -> HttpError {
        HttpError::Lost {
            step: "call entry",
            peer: self.peer.clone(),
            message: message.to_string().into(),
        }
    }
}
