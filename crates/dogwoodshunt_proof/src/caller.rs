//! A caller that notes what it was told.

use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use dogwoodshunt_standins::engine::answer;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time that a caller waits for the head of an answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What to ask for.
#[derive(Clone, Debug)]
pub struct Question {
    /// Unique text by which the run is found in a ledger.
    pub tag: String,
    /// `NAME@VERSION`, `NAME`, or `services/NAME`.
    pub what: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Whether to ask for a streamed answer.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Idempotency key.
    pub key: Option<String>,
}

impl Question {
    /// Creates a question for an adapter.
    pub fn adapter(tag: impl Into<String>, what: &str) -> Self {
        Self {
            tag: tag.into(),
            what: what.into(),
            tokens: 4,
            stream: false,
            repeatable: true,
            key: None,
        }
    }

    /// Creates a call of a plain service that may not be repeated.
    pub fn service(tag: impl Into<String>, name: &str) -> Self {
        Self {
            what: format!("services/{name}"),
            repeatable: false,
            ..Self::adapter(tag, "")
        }
    }
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// The whole answer came; what it says ran.
    Answered {
        /// Value of the `x-dogwoodshunt-ran` header.
        ran: String,
        /// Whether it was kept from an earlier request with the same key.
        replayed: bool,
    },
    /// The connection broke, or an answer broke off.
    BrokenOff,
    /// An error that says the request was not run.
    NotRun {
        /// HTTP status.
        status: u16,
        /// Seconds after which to try again.
        retry_after: Option<u64>,
    },
    /// An error that says the request ran, without its answer.
    Ran,
    /// An error that says it is unknown whether the request ran.
    Unknown,
    /// An answer that is not the one to the question.
    Wrong(String),
}

impl Told {
    /// Returns whether the whole answer came.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }
}

/// A caller of one entry.
#[derive(Clone)]
pub struct Caller {
    client: Arc<Client>,
    peer: String,
}

impl Caller {
    /// Creates a caller of the entry at `address`.
    pub fn new(client: Arc<Client>, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string(),
        }
    }

    /// Asks, and returns what it was told.
    pub async fn ask(&self, question: &Question) -> Told {
        match self.try_ask(question).await {
            Ok(told) => told,
            Err(HttpError::Lost { .. } | HttpError::Unreached { .. }) => Told::BrokenOff,
        }
    }

    async fn try_ask(&self, question: &Question) -> Result<Told, HttpError> {
        const STEP: &str = "ask";
        let req = request(question).map_err(|error| HttpError::Unreached {
            step: STEP,
            peer: self.peer.as_str().into(),
            message: error.to_string().into(),
        })?;
        let sent = self.client.send_within(TIMEOUT, STEP, &self.peer, req);
        let response = sent.await?;
        let (head, incoming) = response.into_parts();
        let Ok(bytes) = body::read(incoming, MAX_ANSWER_BYTES).await else {
            return Ok(Told::BrokenOff);
        };
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        if head.status != StatusCode::OK {
            return Ok(match header("x-dogwoodshunt-outcome").as_deref() {
                Some("not-run") => Told::NotRun {
                    status: head.status.as_u16(),
                    retry_after: header("retry-after").and_then(|text| text.parse().ok()),
                },
                Some("ran") => Told::Ran,
                _ => Told::Unknown,
            });
        }
        let text = String::from_utf8_lossy(&bytes);
        if !is_whole(question, &text) {
            return Ok(Told::Wrong(text.into_owned()));
        }
        Ok(Told::Answered {
            ran: header("x-dogwoodshunt-ran").unwrap_or_default(),
            replayed: header("x-dogwoodshunt-replayed").is_some(),
        })
    }
}

fn request(question: &Question) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let service = question.what.strip_prefix("services/");
    let (path, body) = match service {
        Some(name) => (format!("/services/{name}/run"), question.tag.clone()),
        None => (
            "/v1/completions".to_owned(),
            json!({"model": question.what, "prompt": question.tag, "stream": question.stream,
                "max_tokens": question.tokens})
            .to_string(),
        ),
    };
    let mut req = Request::post(path)
        .header("host", "entry")
        .header("x-dogwoodshunt-repeatable", question.repeatable.to_string());
    if let Some(key) = &question.key {
        req = req.header("idempotency-key", key);
    }
    req.body(Full::new(body.into()))
}

fn is_whole(question: &Question, text: &str) -> bool {
    if question.what.starts_with("services/") {
        return text.ends_with(&format!(" {}", question.tag));
    }
    let expected = answer::text(&question.tag, question.tokens);
    if question.stream {
        return streamed_text(text) == Some(expected);
    }
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value["choices"][0]["text"] == expected
}

fn streamed_text(text: &str) -> Option<String> {
    let mut whole = String::new();
    for event in text.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ")?;
        if data == "[DONE]" {
            return Some(whole);
        }
        let value: Value = serde_json::from_str(data).ok()?;
        whole.push_str(value["choices"][0]["text"].as_str()?);
    }
    None
}
