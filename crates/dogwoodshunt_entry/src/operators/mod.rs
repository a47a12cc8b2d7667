//! The operators' HTTP interface.
//!
//! `submit` appends changes to the log and waits for their acceptance;
//! `proposal` turns operators' messages into changes.

mod proposal;
mod submit;

use crate::control::Event;
use crate::control::Inquiry;
use async_channel::Sender;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_operator::messages::Checked;
use dogwoodshunt_operator::messages::Fault;
use dogwoodshunt_operator::messages::LogPage;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_operator::messages::SubmitRelease;
use dogwoodshunt_store::LogStore;
use dogwoodshunt_types::Revision;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use slog::Logger;

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Most log entries in one answer.
const LOG_PAGE: Revision = 500;

/// Answers operators.
pub struct OperatorApi<K> {
    /// The log.
    pub store: LogStore<K>,
    /// Asks the control thread.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

type Answer = Result<Response<AnswerBody>, Fault>;

impl<K: Kv> Handler for OperatorApi<K> {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let path = req.uri().path().to_owned();
        let answered = match (req.method(), path.as_str()) {
            (&Method::GET, "/v1/status") => self.status().await,
            (&Method::GET, "/v1/catalogue") => self.catalogue_answer().await,
            (&Method::GET, "/v1/log") => self.log_page(req).await,
            (&Method::POST, "/v1/releases") => self.submit_release(req).await,
            (&Method::POST, "/v1/releases/check") => self.check_release(req).await,
            (&Method::POST, "/v1/stops") => self.plan_stop(req).await,
            (&Method::POST, "/v1/stops/cancel") => self.cancel_stop(req).await,
            (&Method::GET, path) if path.starts_with("/v1/standing/") => self.standing(path).await,
            (method, path) => Err(Fault::no_such_path(method, path)),
        };
        answered.unwrap_or_else(|fault| server::json(fault.status, &fault))
    }
}

impl<K: Kv> OperatorApi<K> {
    async fn status(&self) -> Answer {
        let overview = self.ask(Inquiry::Overview).await?;
        Ok(server::json(200, &overview))
    }

    async fn catalogue_answer(&self) -> Answer {
        let catalogue = self.catalogue().await?;
        Ok(server::json(200, &catalogue))
    }

    async fn catalogue(&self) -> Result<Catalogue, Fault> {
        self.ask(Inquiry::Catalogue).await
    }

    async fn log_page(&self, req: Request<Incoming>) -> Answer {
        let query = req.uri().query().unwrap_or_default();
        let after = query.strip_prefix("after=").unwrap_or("0");
        let after: Revision = after
            .parse()
            .map_err(|_| Fault::bad("after must be a revision"))?;
        let head = self.store.head().await.map_err(proposal::fault)?.head;
        let kept = dogwoodshunt_catalogue::head::first_retained_revision(head.snapshot_revision);
        let first = (after + 1).max(kept);
        let last = head.revision.min(first + LOG_PAGE - 1);
        let entries = if first > last {
            Vec::new()
        } else {
            self.store
                .entries(first, last)
                .await
                .map_err(proposal::fault)?
        };
        Ok(server::json(
            200,
            &LogPage {
                entries,
                newest: head.revision,
            },
        ))
    }

    async fn standing(&self, path: &str) -> Answer {
        let text = path.rsplit('/').next().unwrap_or_default();
        let revision = text
            .parse()
            .map_err(|_| Fault::bad("the revision must be a number"))?;
        let standing = self.standing_of(revision).await?;
        Ok(server::json(200, &standing))
    }

    async fn check_release(&self, req: Request<Incoming>) -> Answer {
        let submitted: SubmitRelease = read(req).await?;
        let catalogue = self.catalogue().await?;
        let problems = catalogue.validate_note(&submitted.note);
        let revision = catalogue.revision();
        Ok(server::json(200, &Checked { problems, revision }))
    }

    async fn submit_release(&self, req: Request<Incoming>) -> Answer {
        let submitted: SubmitRelease = read(req).await?;
        self.append(proposal::of_release(submitted)).await
    }

    async fn plan_stop(&self, req: Request<Incoming>) -> Answer {
        let stop: StopRequest = read(req).await?;
        let target = stop.target.clone();
        let problems = self
            .ask(|reply| Inquiry::StopProblems { target, reply })
            .await?;
        if !problems.is_empty() && !stop.force {
            return Err(Fault::refused(problems.join("; ")));
        }
        self.append(proposal::of_stop(stop)).await
    }

    async fn cancel_stop(&self, req: Request<Incoming>) -> Answer {
        let stop: StopRequest = read(req).await?;
        self.append(proposal::of_cancel(stop)).await
    }

    async fn ask<T>(&self, inquiry: impl FnOnce(Sender<T>) -> Inquiry) -> Result<T, Fault> {
        let (reply, answer) = async_channel::bounded(1);
        let asked = self.events.send(Event::Inquiry(inquiry(reply))).await;
        asked.map_err(|_| Fault::stopping())?;
        answer.recv().await.map_err(|_| Fault::stopping())
    }
}

async fn read<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, Fault> {
    let bytes = body::read(req.into_body(), MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|error| Fault::bad(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| Fault::bad(error.to_string()))
}
