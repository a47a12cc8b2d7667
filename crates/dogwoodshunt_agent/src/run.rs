//! Runs one request on one upstream and relays the response.

use crate::control::ControlEvent;
use crate::response_buffer::RequestCancelled;
use crate::response_buffer::ResponseBuffer;
use crate::sse;
use crate::sse::EventSplitter;
use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_border::generated::openai::AnswerModel;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::StreamEndCheck;
use dogwoodshunt_border::http::body;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::job::RunOutcome;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::frame::ResponseHead;
use dogwoodshunt_wire::frame::Submit;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use smol::future::FutureExt;
use std::sync::Arc;

/// Maximum size of a response that is not streamed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size of an event of a streamed response, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Maximum size of a chunk of a response that is not streamed, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Header in which upstreams name the requests a second, as a decimal number, that they take
/// from all callers together.
const RATE_LIMIT_HEADER: &str = "x-dogwoodshunt-rate-limit";

/// Header that carries the request id to upstreams.
const REQUEST_ID_HEADER: &str = "x-dogwoodshunt-request-id";

/// One execution of a request on one upstream.
pub struct Run {
    /// HTTP client of the call to the upstream.
    pub client: Arc<Client>,
    /// Address of the upstream.
    pub address: Box<str>,
    /// Request to run.
    pub submit: Arc<Submit>,
    /// Receives the response.
    pub response_buffer: Arc<ResponseBuffer>,
    /// Closes when the run is cancelled.
    pub cancel_rx: Receiver<()>,
    /// Upstream that runs the request.
    pub upstream: UpstreamKey,
    /// Whether the upstream is known to limit the rate of requests.
    pub rate_limited: bool,
    /// Sends events to the control thread.
    pub events_tx: Sender<ControlEvent>,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunResult {
    /// Outcome for the scheduler.
    pub outcome: RunOutcome,
    /// Whether the response named another adapter or version than the request.
    pub target_mismatch: bool,
}

/// Reason why a response was not relayed completely.
enum RelayError {
    Cancelled,
    TargetMismatch(Box<str>),
    Interrupted(Box<str>),
}

impl From<RequestCancelled> for RelayError {
    fn from(RequestCancelled: RequestCancelled) -> Self {
        Self::Cancelled
    }
}

impl Run {
    /// Sends the request and relays the response until the run ends or is cancelled.
    pub async fn run(self) -> RunResult {
        let cancellation = async {
            let _ = self.cancel_rx.recv().await;
            self.response_buffer
                .fail(RequestOutcome::Unknown, "request was cancelled");
            RunResult {
                outcome: RunOutcome::Finished,
                target_mismatch: false,
            }
        };
        cancellation.or(self.send_and_relay()).await
    }

    async fn send_and_relay(&self) -> RunResult {
        let finished = |target_mismatch| RunResult {
            outcome: RunOutcome::Finished,
            target_mismatch,
        };
        let response = match self.build_request() {
            Ok(req) => self.client.send("run request", &self.address, req).await,
            Err(error) => {
                self.response_buffer
                    .fail(RequestOutcome::Unknown, error.to_string());
                return finished(false);
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(HttpError::NotSent { .. }) => {
                return RunResult {
                    outcome: RunOutcome::Unreachable,
                    target_mismatch: false,
                };
            }
            Err(error @ HttpError::Lost { .. }) => {
                self.response_buffer
                    .fail(RequestOutcome::Unknown, error.to_string());
                return finished(false);
            }
        };
        self.report_rate_limit(response.headers()).await;
        // An engine that does not know the adapter answers 404 without running the request.
        if response.status() == StatusCode::NOT_FOUND && self.submit.target.adapter().is_some() {
            return RunResult {
                outcome: RunOutcome::AdapterMissing,
                target_mismatch: false,
            };
        }
        match self.relay(response).await {
            Ok(()) => {
                self.response_buffer.complete();
                finished(false)
            }
            Err(RelayError::Cancelled) => finished(false),
            Err(RelayError::Interrupted(message)) => {
                self.response_buffer.fail(RequestOutcome::Unknown, message);
                finished(false)
            }
            Err(RelayError::TargetMismatch(message)) => {
                self.response_buffer.fail(RequestOutcome::Unknown, message);
                finished(true)
            }
        }
    }

    /// Reports the rate limit that a response names, or that it names none any more.
    async fn report_rate_limit(&self, headers: &HeaderMap) {
        let per_second = headers.get(RATE_LIMIT_HEADER);
        let per_second = per_second.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let limit = per_second.and_then(RateLimit::per_second);
        if limit.is_some() || self.rate_limited {
            let upstream = self.upstream;
            let event = ControlEvent::RateLimitNamed { upstream, limit };
            // The channel closes only while the process exits.
            let _ = self.events_tx.send(event).await;
        }
    }

    fn build_request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let submit = &self.submit;
        let mut req = Request::builder()
            .method(submit.method.as_ref())
            .uri(submit.path.as_ref())
            .header(hyper::header::HOST, self.address.as_ref())
            .header(REQUEST_ID_HEADER, submit.request.to_string());
        if let Some(content_type) = &submit.content_type {
            req = req.header(hyper::header::CONTENT_TYPE, content_type.as_ref());
        }
        req.body(Full::new(submit.body.clone()))
    }

    async fn relay(&self, response: Response<Incoming>) -> Result<(), RelayError> {
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
        let is_success = response.status().is_success();
        let end_check = StreamEndCheck::new(response.headers(), false);
        match &self.submit.target {
            Target::Adapter { .. } | Target::BaseModel(_) if is_success && is_stream => {
                self.relay_events(head, response.into_body()).await
            }
            Target::Adapter { .. } | Target::BaseModel(_) => {
                self.relay_buffered(head, response.into_body(), is_success)
                    .await
            }
            Target::Service(_) => {
                self.relay_bytes(head, response.into_body(), end_check)
                    .await
            }
        }
    }

    /// Relays a response that is not streamed. Reads the complete body first, so that
    /// nothing is sent to the entry before the model name is checked.
    async fn relay_buffered(
        &self,
        head: ResponseHead,
        incoming: Incoming,
        is_success: bool,
    ) -> Result<(), RelayError> {
        let bytes = body::read(incoming, MAX_BUFFERED_RESPONSE_BYTES).await;
        let mut bytes = bytes.map_err(|error| RelayError::Interrupted(error.to_string().into()))?;
        if is_success {
            self.check_model_name(&bytes)?;
        }
        self.response_buffer.send_head(head);
        while !bytes.is_empty() {
            let length = bytes.len().min(CHUNK_BYTES);
            self.response_buffer
                .send_chunk(bytes.split_to(length))
                .await?;
        }
        Ok(())
    }

    /// Relays a stream of events and checks the model name in each event. The head is sent
    /// with the first event, so that nothing is sent before the first check.
    async fn relay_events(&self, head: ResponseHead, incoming: Incoming) -> Result<(), RelayError> {
        let mut incoming = incoming;
        let mut events = EventSplitter::default();
        let mut is_done = false;
        let mut head = Some(head);
        while let Some(data) = next_body_data(&mut incoming).await? {
            events.push(&data);
            while let Some(event) = events.next_event() {
                is_done |= self.check_event(&event)?;
                if let Some(head) = head.take() {
                    self.response_buffer.send_head(head);
                }
                self.response_buffer.send_chunk(event).await?;
            }
            if events.pending_bytes() > MAX_EVENT_BYTES {
                return Err(RelayError::Interrupted(
                    "upstream sent an event of more than 1 MiB".into(),
                ));
            }
        }
        if is_done && events.pending_bytes() == 0 {
            return Ok(());
        }
        Err(RelayError::Interrupted(
            "event stream of the upstream ended before its last event".into(),
        ))
    }

    /// Relays the response of a service as the bytes arrive. Only its end is checked.
    async fn relay_bytes(
        &self,
        head: ResponseHead,
        incoming: Incoming,
        end_check: StreamEndCheck,
    ) -> Result<(), RelayError> {
        let (mut incoming, mut end_check) = (incoming, end_check);
        self.response_buffer.send_head(head);
        while let Some(data) = next_body_data(&mut incoming).await? {
            end_check.advance(&data);
            self.response_buffer.send_chunk(data).await?;
        }
        end_check
            .check_end()
            .map_err(|cut| RelayError::Interrupted(cut.to_string().into()))
    }

    /// Checks the model name in an event and returns whether the event is the last one.
    fn check_event(&self, event: &[u8]) -> Result<bool, RelayError> {
        let Some(data) = sse::event_data(event) else {
            return Ok(false);
        };
        if sse::is_done(data) {
            return Ok(true);
        }
        self.check_model_name(data)?;
        Ok(false)
    }

    /// Checks that a response names the target of the request, including the version.
    fn check_model_name(&self, json: &[u8]) -> Result<(), RelayError> {
        let expected = self.submit.target.to_string();
        let model: Result<AnswerModel, _> = serde_json::from_slice(json);
        let actual = model.map(|response| response.model);
        let actual = actual.map_err(|error| RelayError::Interrupted(error.to_string().into()))?;
        if actual == expected {
            return Ok(());
        }
        let invariant = Invariant::RanAsNamed;
        let message =
            format!("{invariant}: response names model {actual}, request was for {expected}");
        Err(RelayError::TargetMismatch(message.into()))
    }
}

async fn next_body_data(incoming: &mut Incoming) -> Result<Option<Bytes>, RelayError> {
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| RelayError::Interrupted(error.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
