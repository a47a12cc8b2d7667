//! HTTP caller that classifies the response to each request.

use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use dogwoodshunt_standins::engine::completion;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Timeout for receiving the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A request of a test caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Unique prompt or body, by which the run counts of stand-ins identify the
    /// request.
    pub tag: String,
    /// Adapter as `NAME@VERSION` or `NAME`, or service as `services/NAME`.
    pub target: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to request a streamed response.
    pub stream: bool,
    /// Whether the system may run the request more than once.
    pub repeatable: bool,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<String>,
}

impl CallerRequest {
    /// Creates a repeatable request for a response of 4 tokens, not streamed.
    pub fn for_adapter(tag: impl Into<String>, target: &str) -> Self {
        Self {
            tag: tag.into(),
            target: target.into(),
            max_tokens: 4,
            stream: false,
            repeatable: true,
            idempotency_key: None,
        }
    }

    /// Creates a request to a plain service that must not run more than once.
    pub fn for_service(tag: impl Into<String>, name: &str) -> Self {
        Self {
            target: format!("services/{name}"),
            repeatable: false,
            ..Self::for_adapter(tag, "")
        }
    }
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// A complete response to the request.
    Answered {
        /// Value of the `x-dogwoodshunt-ran` header: the model or service that ran.
        ran: String,
        /// Whether the response was stored for an earlier request with the same
        /// idempotency key.
        replayed: bool,
    },
    /// The connection failed, or the response ended early.
    Incomplete,
    /// An error which states that the request was not run.
    NotRun {
        /// HTTP status.
        status: u16,
        /// Value of the `retry-after` header, in seconds.
        retry_after: Option<u64>,
    },
    /// An error which states that the request ran, but not its result.
    Ran,
    /// An error that leaves open whether the request ran.
    Unknown,
    /// A response with status 200 whose body, given here, does not belong to the
    /// request.
    Mismatched(String),
}

impl CallerOutcome {
    /// Returns whether the caller received a complete response.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }
}

/// A caller that sends requests to one entry.
#[derive(Clone)]
pub struct Caller {
    client: Arc<Client>,
    peer: String,
}

impl Caller {
    /// Creates a caller that sends requests to the entry at `address`.
    pub fn new(client: Arc<Client>, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string(),
        }
    }

    /// Sends a request and returns its outcome.
    pub async fn send(&self, request: &CallerRequest) -> CallerOutcome {
        match self.try_send(request).await {
            Ok(outcome) => outcome,
            Err(HttpError::Lost { .. } | HttpError::NotSent { .. }) => CallerOutcome::Incomplete,
        }
    }

    async fn try_send(&self, request: &CallerRequest) -> Result<CallerOutcome, HttpError> {
        const STEP: &str = "ask";
        let req = http_request(request).map_err(|error| HttpError::NotSent {
            step: STEP,
            peer: self.peer.as_str().into(),
            message: error.to_string().into(),
        })?;
        let response = self
            .client
            .send_with_timeout(RESPONSE_TIMEOUT, STEP, &self.peer, req);
        let response = response.await?;
        let (head, incoming) = response.into_parts();
        let Ok(bytes) = body::read(incoming, MAX_RESPONSE_BYTES).await else {
            return Ok(CallerOutcome::Incomplete);
        };
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        if head.status != StatusCode::OK {
            return Ok(match header("x-dogwoodshunt-outcome").as_deref() {
                Some("not-run") => CallerOutcome::NotRun {
                    status: head.status.as_u16(),
                    retry_after: header("retry-after").and_then(|text| text.parse().ok()),
                },
                Some("ran") => CallerOutcome::Ran,
                _ => CallerOutcome::Unknown,
            });
        }
        let text = String::from_utf8_lossy(&bytes);
        if !is_expected_body(request, &text) {
            return Ok(CallerOutcome::Mismatched(text.into_owned()));
        }
        Ok(CallerOutcome::Answered {
            ran: header("x-dogwoodshunt-ran").unwrap_or_default(),
            replayed: header("x-dogwoodshunt-replayed").is_some(),
        })
    }
}

fn http_request(
    request: &CallerRequest,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let service = request.target.strip_prefix("services/");
    let (path, body) = match service {
        Some(name) => (format!("/services/{name}/run"), request.tag.clone()),
        None => (
            "/v1/completions".to_owned(),
            json!({"model": request.target, "prompt": request.tag, "stream": request.stream,
                "max_tokens": request.max_tokens})
            .to_string(),
        ),
    };
    let mut req = Request::post(path)
        .header("host", "entry")
        .header("x-dogwoodshunt-repeatable", request.repeatable.to_string());
    if let Some(key) = &request.idempotency_key {
        req = req.header("idempotency-key", key);
    }
    req.body(Full::new(body.into()))
}

fn is_expected_body(request: &CallerRequest, text: &str) -> bool {
    if request.target.starts_with("services/") {
        return text.ends_with(&format!(" {}", request.tag));
    }
    let expected = completion::completion_text(&request.tag, request.max_tokens);
    if request.stream {
        return streamed_text(text) == Some(expected);
    }
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value["choices"][0]["text"] == expected
}

fn streamed_text(body: &str) -> Option<String> {
    let mut text = String::new();
    for event in body.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ")?;
        if data == "[DONE]" {
            return Some(text);
        }
        let value: Value = serde_json::from_str(data).ok()?;
        text.push_str(value["choices"][0]["text"].as_str()?);
    }
    None
}
