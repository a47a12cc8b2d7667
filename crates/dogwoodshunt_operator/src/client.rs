//! Client of the operators' interface.

use crate::messages::Appended;
use crate::messages::Checked;
use crate::messages::Fault;
use crate::messages::LogPage;
use crate::messages::Overview;
use crate::messages::StopRequest;
use crate::messages::SubmitRelease;
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

/// Time that an answer may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time between two looks at something that is not there yet.
const POLL: Duration = Duration::from_millis(20);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The entry refused it.
    #[snafu(display("{}", fault.message))]
    Fault {
        /// What the entry says.
        fault: Box<Fault>,
    },
    /// The entry did not answer.
    #[snafu(display("{source}"))]
    Http {
        /// What happened.
        source: HttpError,
    },
}

impl From<HttpError> for CallError {
    fn from(source: HttpError) -> Self {
        Self::Http { source }
    }
}

/// Client of one entry's operators' interface.
#[derive(Clone)]
pub struct Operator {
    client: Arc<Client>,
    peer: Box<str>,
}

impl Operator {
    /// Creates a client of the entry whose operators' address is `address`.
    pub fn new(client: Arc<Client>, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string().into(),
        }
    }

    /// Returns the state of the fleet as the entry sees it.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer.
    pub async fn status(&self) -> Result<Overview, CallError> {
        self.get("/v1/status").await
    }

    /// Returns the whole catalogue.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer.
    pub async fn catalogue(&self) -> Result<Catalogue, CallError> {
        self.get("/v1/catalogue").await
    }

    /// Returns log entries after `after`, a page of them.
    ///
    /// # Errors
    ///
    /// Fails if the entry or the key-value service does not answer.
    pub async fn log(&self, after: Revision) -> Result<LogPage, CallError> {
        self.get(&format!("/v1/log?after={after}")).await
    }

    /// Returns how far a revision has come.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer.
    pub async fn standing(&self, revision: Revision) -> Result<ReplicationStatus, CallError> {
        self.get(&format!("/v1/standing/{revision}")).await
    }

    /// Checks a release note against the fleet's catalogue.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer.
    pub async fn check(&self, submit: &SubmitRelease) -> Result<Checked, CallError> {
        self.post("/v1/releases/check", submit).await
    }

    /// Submits a release note and waits for its acceptance.
    ///
    /// # Errors
    ///
    /// Fails if the note is refused or the entry does not answer.
    pub async fn submit(&self, submit: &SubmitRelease) -> Result<Appended, CallError> {
        self.post("/v1/releases", submit).await
    }

    /// Plans a stop.
    ///
    /// # Errors
    ///
    /// Fails if the stop is refused or the entry does not answer.
    pub async fn plan_stop(&self, stop: &StopRequest) -> Result<Appended, CallError> {
        self.post("/v1/stops", stop).await
    }

    /// Lifts a planned stop.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer.
    pub async fn cancel_stop(&self, stop: &StopRequest) -> Result<Appended, CallError> {
        self.post("/v1/stops/cancel", stop).await
    }

    /// Waits until the entry can serve callers.
    pub async fn wait_ready(&self) {
        while !self.status().await.is_ok_and(|overview| overview.ready) {
            Timer::after(POLL).await;
        }
    }

    /// Waits until a revision is in force, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer.
    pub async fn wait_in_force(
        &self,
        revision: Revision,
        limit: Duration,
    ) -> Result<ReplicationStatus, CallError> {
        let end = std::time::Instant::now() + limit;
        loop {
            let standing = self.standing(revision).await?;
            if standing.in_force || std::time::Instant::now() >= end {
                return Ok(standing);
            }
            Timer::after(POLL).await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let req = Request::get(path)
            .header(hyper::header::HOST, self.peer.as_ref())
            .body(Full::default());
        self.call(req).await
    }

    async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<T, CallError> {
        let bytes = serde_json::to_vec(query).map_err(|error| self.lost(&error))?;
        let req = Request::post(path)
            .header(hyper::header::HOST, self.peer.as_ref())
            .body(Full::new(bytes.into()));
        self.call(req).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        req: Result<Request<Full<Bytes>>, hyper::http::Error>,
    ) -> Result<T, CallError> {
        const STEP: &str = "call entry";
        let req = req.map_err(|error| self.lost(&error))?;
        let sent = self.client.send_within(TIMEOUT, STEP, &self.peer, req);
        let response = sent.await?;
        let status = response.status();
        let bytes = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| self.lost(&error))?;
        if !status.is_success() {
            let fault = serde_json::from_slice(&bytes).map_err(|error| self.lost(&error))?;
            return Err(CallError::Fault { fault });
        }
        Ok(serde_json::from_slice(&bytes).map_err(|error| self.lost(&error))?)
    }

    fn lost(&self, message: &dyn std::fmt::Display) -> HttpError {
        HttpError::Lost {
            step: "call entry",
            peer: self.peer.clone(),
            message: message.to_string().into(),
        }
    }
}
