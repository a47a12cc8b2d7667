//! Run of one request on one upstream.

use crate::output::GivenUp;
use crate::output::Output;
use crate::sse;
use crate::sse::EventSplitter;
use async_channel::Receiver;
use bytes::Bytes;
use dogwoodshunt_border::generated::openai::AnswerModel;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::RunOutcome;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::frame::ResponseHead;
use dogwoodshunt_wire::frame::Submit;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use smol::future::FutureExt;
use std::sync::Arc;

/// Largest answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Largest event of a streamed answer, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of a whole answer that go into one chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Header by which upstreams learn the request's id.
const REQUEST_ID_HEADER: &str = "x-dogwoodshunt-request-id";

/// Run of one request on one upstream.
pub struct Run {
    /// Client that carries the call.
    pub client: Arc<Client>,
    /// Address of the upstream.
    pub peer: Box<str>,
    /// The request.
    pub submit: Arc<Submit>,
    /// Where the answer goes.
    pub output: Arc<Output>,
    /// Closes when the run must stop.
    pub cancelled: Receiver<()>,
}

/// How a run ended, and whether the upstream answered as something else.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ended {
    /// How the run ended.
    pub end: RunOutcome,
    /// Whether the answer named another adapter or version.
    pub impostor: bool,
}

/// Why an answer was not passed on whole.
enum Broken {
    GivenUp,
    Impostor(Box<str>),
    Lost(Box<str>),
}

impl From<GivenUp> for Broken {
    fn from(GivenUp: GivenUp) -> Self {
        Self::GivenUp
    }
}

impl Run {
    /// Sends the request and passes the answer on.
    pub async fn run(self) -> Ended {
        let stopped = async {
            let _ = self.cancelled.recv().await;
            self.output
                .fail(Outcome::Unknown, "the request was cancelled");
            Ended {
                end: RunOutcome::Finished,
                impostor: false,
            }
        };
        stopped.or(self.send()).await
    }

    async fn send(&self) -> Ended {
        let over = |impostor| Ended {
            end: RunOutcome::Finished,
            impostor,
        };
        let response = match self.request() {
            Ok(req) => self.client.send("run request", &self.peer, req).await,
            Err(error) => {
                self.output.fail(Outcome::Unknown, error.to_string());
                return over(false);
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(HttpError::NotSent { .. }) => {
                return Ended {
                    end: RunOutcome::Unreachable,
                    impostor: false,
                };
            }
            Err(error @ HttpError::Lost { .. }) => {
                self.output.fail(Outcome::Unknown, error.to_string());
                return over(false);
            }
        };
        // An engine answers 404 before it runs anything: the name is unknown to it.
        if response.status() == StatusCode::NOT_FOUND && self.submit.target.adapter().is_some() {
            return Ended {
                end: RunOutcome::AdapterMissing,
                impostor: false,
            };
        }
        match self.pass_on(response).await {
            Ok(()) => {
                self.output.end();
                over(false)
            }
            Err(Broken::GivenUp) => over(false),
            Err(Broken::Lost(message)) => {
                self.output.fail(Outcome::Unknown, message);
                over(false)
            }
            Err(Broken::Impostor(message)) => {
                self.output.fail(Outcome::Unknown, message);
                over(true)
            }
        }
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let submit = &self.submit;
        let mut req = Request::builder()
            .method(submit.method.as_ref())
            .uri(submit.path.as_ref())
            .header(hyper::header::HOST, self.peer.as_ref())
            .header(REQUEST_ID_HEADER, submit.request.to_string());
        if let Some(content_type) = &submit.content_type {
            req = req.header(hyper::header::CONTENT_TYPE, content_type.as_ref());
        }
        req.body(Full::new(submit.body.clone()))
    }

    async fn pass_on(&self, response: Response<Incoming>) -> Result<(), Broken> {
        let content_type = response.headers().get(hyper::header::CONTENT_TYPE);
        let content_type: Option<Box<str>> =
            content_type.and_then(|value| value.to_str().ok().map(Into::into));
        let is_stream = content_type
            .as_deref()
            .is_some_and(|kind| kind.starts_with("text/event-stream"));
        let head = ResponseHead {
            status: response.status().as_u16(),
            content_type,
            ran: self.submit.target.to_string().into(),
        };
        let success = response.status().is_success();
        match &self.submit.target {
            Target::Adapter { .. } | Target::BaseModel(_) if success && is_stream => {
                self.pass_on_events(head, response.into_body()).await
            }
            Target::Adapter { .. } | Target::BaseModel(_) => {
                self.pass_on_whole(head, response.into_body(), success)
                    .await
            }
            Target::Service(_) => self.pass_on_bytes(head, response.into_body()).await,
        }
    }

    async fn pass_on_whole(
        &self,
        head: ResponseHead,
        incoming: Incoming,
        success: bool,
    ) -> Result<(), Broken> {
        let bytes = body::read(incoming, MAX_ANSWER_BYTES).await;
        let mut bytes = bytes.map_err(|error| Broken::Lost(error.to_string().into()))?;
        if success {
            self.check_ran(&bytes)?;
        }
        self.output.head(head);
        while !bytes.is_empty() {
            let length = bytes.len().min(CHUNK_BYTES);
            self.output.chunk(bytes.split_to(length)).await?;
        }
        Ok(())
    }

    async fn pass_on_events(&self, head: ResponseHead, incoming: Incoming) -> Result<(), Broken> {
        let mut incoming = incoming;
        let mut events = EventSplitter::default();
        let mut done = false;
        let mut head = Some(head);
        while let Some(data) = next_data(&mut incoming).await? {
            events.push(&data);
            while let Some(event) = events.next_event() {
                done |= self.check_event(&event)?;
                if let Some(head) = head.take() {
                    self.output.head(head);
                }
                self.output.chunk(event).await?;
            }
            if events.pending() > MAX_EVENT_BYTES {
                return Err(Broken::Lost("an event is over the limit".into()));
            }
        }
        if done && events.pending() == 0 {
            return Ok(());
        }
        Err(Broken::Lost(
            "the stream ended before its last event".into(),
        ))
    }

    async fn pass_on_bytes(&self, head: ResponseHead, incoming: Incoming) -> Result<(), Broken> {
        let mut incoming = incoming;
        self.output.head(head);
        while let Some(data) = next_data(&mut incoming).await? {
            self.output.chunk(data).await?;
        }
        Ok(())
    }

    /// Checks what an event says ran; returns whether it is the last event.
    fn check_event(&self, event: &[u8]) -> Result<bool, Broken> {
        let Some(data) = sse::data(event) else {
            return Ok(false);
        };
        if sse::is_done(data) {
            return Ok(true);
        }
        self.check_ran(data)?;
        Ok(false)
    }

    /// Checks that an answer names the adapter and version of the request.
    fn check_ran(&self, json: &[u8]) -> Result<(), Broken> {
        let wanted = self.submit.target.to_string();
        let answer: Result<AnswerModel, _> = serde_json::from_slice(json);
        let found = answer.map(|answer| answer.model);
        let found = found.map_err(|error| Broken::Lost(error.to_string().into()))?;
        if found == wanted {
            return Ok(());
        }
        let invariant = Invariant::RanAsNamed;
        let message = format!("{invariant}: the upstream answered as {found}, not as {wanted}");
        Err(Broken::Impostor(message.into()))
    }
}

async fn next_data(incoming: &mut Incoming) -> Result<Option<Bytes>, Broken> {
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| Broken::Lost(error.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
