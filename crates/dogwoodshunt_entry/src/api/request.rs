//! Parsing of callers' requests.

use crate::api::RequestLimits;
use crate::api::response::RequestError;
use crate::control::RequestTarget;
use bytes::Bytes;
use dogwoodshunt_border::http::limits::ConnectionAccount;
use dogwoodshunt_border::http::request_body;
use dogwoodshunt_border::http::request_body::RequestBodyError;
use dogwoodshunt_routing::retry::Repeatable;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::adapter::is_valid_name;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Map;
use serde_json::Value;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Maximum deadline that a caller may set; longer ones are shortened.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// Request header: whether the request may be executed more than once.
const REPEATABLE_HEADER: &str = "x-dogwoodshunt-repeatable";

/// Request header: priority class.
const PRIORITY_HEADER: &str = "x-dogwoodshunt-priority";

/// Request header: time until the first response byte is due, in milliseconds from receipt.
const DEADLINE_MS_HEADER: &str = "x-dogwoodshunt-deadline-ms";

/// Request header: key that identifies a request across retries by the caller.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Path prefix of calls to services that are not adapters.
const SERVICES_PREFIX: &str = "/services/";

/// Body of a request.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// Unmodified body of a service call.
    Bytes(Bytes),
    /// JSON object of a completion request; `model` is replaced by the resolved target.
    Completion(Map<String, Value>),
}

/// How the response reaches the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// Chunk by chunk, as received.
    Streamed,
    /// In one piece, once complete.
    Buffered,
}

/// A parsed request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Adapter or service that the request names.
    pub target: RequestTarget,
    /// Method of the HTTP request to the upstream.
    pub method: Box<str>,
    /// Path and query of the HTTP request to the upstream.
    pub path: Box<str>,
    /// Media type of the request body.
    pub content_type: Option<Box<str>>,
    /// Request body.
    pub body: RequestBody,
    /// Whether the request may be executed more than once.
    pub repeatable: Repeatable,
    /// Key that identifies the request across retries by the caller.
    pub idempotency_key: Option<Box<str>>,
    /// Priority class of the request.
    pub priority: Priority,
    /// Time by which the first response byte is due.
    pub deadline: Instant,
    /// How the response reaches the caller.
    pub delivery: Delivery,
}

impl CallerRequest {
    /// Reads and parses a completion request, which may be executed more than once unless
    /// the `x-dogwoodshunt-repeatable` header forbids it.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed, too large or not received in time.
    pub async fn read_completion(
        req: Request<Incoming>,
        limits: &RequestLimits,
        now: Instant,
    ) -> Result<Self, RequestError> {
        let path = req.uri().path().into();
        let headers = RequestHeaders::parse(req.headers(), limits, now)?;
        let bytes = read_body(req, limits).await?;
        let body = parse_json_object(&bytes)?;
        let target = parse_model(&body)?;
        let streamed = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(streamed)) => *streamed,
            Some(_) => {
                return Err(RequestError::invalid_field(
                    "stream",
                    "must be true or false",
                ));
            }
        };
        Ok(Self {
            target,
            method: "POST".into(),
            path,
            content_type: Some("application/json".into()),
            body: RequestBody::Completion(body),
            repeatable: headers.repeatable.unwrap_or(Repeatable::Yes),
            idempotency_key: headers.idempotency_key,
            priority: headers.priority,
            deadline: headers.deadline,
            delivery: if streamed {
                Delivery::Streamed
            } else {
                Delivery::Buffered
            },
        })
    }

    /// Reads and parses a service call, with the path `/services/NAME/...`.
    ///
    /// The methods `GET`, `HEAD` and `OPTIONS` may be executed more than once, others
    /// only if the `x-dogwoodshunt-repeatable` header allows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed, too large or not received in time.
    pub async fn read_service_call(
        req: Request<Incoming>,
        limits: &RequestLimits,
        now: Instant,
    ) -> Result<Self, RequestError> {
        let (name, path) = split_service_path(&req)?;
        let headers = RequestHeaders::parse(req.headers(), limits, now)?;
        let method: Box<str> = req.method().as_str().into();
        let content_type = header_text(req.headers(), "content-type")?.map(Into::into);
        let default_repeatable = match method.as_ref() {
            "GET" | "HEAD" | "OPTIONS" => Repeatable::Yes,
            _ => Repeatable::No,
        };
        let bytes = read_body(req, limits).await?;
        Ok(Self {
            target: RequestTarget::Service(name),
            method,
            path,
            content_type,
            body: RequestBody::Bytes(bytes),
            repeatable: headers.repeatable.unwrap_or(default_repeatable),
            idempotency_key: headers.idempotency_key,
            priority: headers.priority,
            deadline: headers.deadline,
            delivery: Delivery::Buffered,
        })
    }

    /// Returns the request body for an upstream, with `model` set in completion requests.
    pub fn body_for(&self, model: &str) -> Bytes {
        match &self.body {
            RequestBody::Bytes(bytes) => bytes.clone(),
            RequestBody::Completion(object) => {
                let mut object = object.clone();
                object.insert("model".into(), model.into());
                // Serialization of a JSON object does not fail.
                serde_json::to_vec(&object).unwrap_or_default().into()
            }
        }
    }
}

/// Values of the request headers that the entry interprets.
struct RequestHeaders {
    repeatable: Option<Repeatable>,
    idempotency_key: Option<Box<str>>,
    priority: Priority,
    deadline: Instant,
}

impl RequestHeaders {
    fn parse(
        headers: &HeaderMap,
        limits: &RequestLimits,
        now: Instant,
    ) -> Result<Self, RequestError> {
        let time_left: Option<u64> = parse_header(
            headers,
            DEADLINE_MS_HEADER,
            "must be a number of milliseconds",
        )?;
        let time_left = time_left.map_or(limits.default_deadline, Duration::from_millis);
        Ok(Self {
            repeatable: parse_repeatable(headers)?,
            idempotency_key: parse_idempotency_key(headers)?,
            priority: parse_priority(headers)?,
            deadline: now + time_left.min(MAX_DEADLINE),
        })
    }
}

fn parse_repeatable(headers: &HeaderMap) -> Result<Option<Repeatable>, RequestError> {
    let repeatable: Option<bool> =
        parse_header(headers, REPEATABLE_HEADER, "must be true or false")?;
    Ok(repeatable.map(|repeatable| {
        if repeatable {
            Repeatable::Yes
        } else {
            Repeatable::No
        }
    }))
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, RequestError> {
    let key = header_text(headers, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        let message = format!("must hold 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(RequestError::invalid_field(
            IDEMPOTENCY_KEY_HEADER,
            &message,
        ));
    }
    Ok(key.map(Into::into))
}

fn parse_priority(headers: &HeaderMap) -> Result<Priority, RequestError> {
    let Some(text) = header_text(headers, PRIORITY_HEADER)? else {
        return Ok(Priority::default());
    };
    let priority = Priority::parse(text);
    priority
        .ok_or_else(|| RequestError::invalid_field(PRIORITY_HEADER, "must be low, normal or high"))
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    name: &str,
    message: &str,
) -> Result<Option<T>, RequestError> {
    let text = header_text(headers, name)?;
    let parsed = text.map(str::parse).transpose();
    parsed.map_err(|_| RequestError::invalid_field(name, message))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let text = headers.get(name).map(|value| value.to_str()).transpose();
    text.map_err(|_| RequestError::invalid_field(name, "must be ASCII text"))
}

async fn read_body(req: Request<Incoming>, limits: &RequestLimits) -> Result<Bytes, RequestError> {
    let account = req.extensions().get::<Arc<ConnectionAccount>>().cloned();
    let (limit, timeout) = (limits.max_body_bytes, limits.body_timeout);
    let received = request_body::receive(req.into_body(), account.as_ref(), limit, timeout).await;
    received.map_err(|error| match error {
        RequestBodyError::ConnectionLost { .. } => {
            RequestError::invalid_field("body", &error.to_string())
        }
        RequestBodyError::NoRoom => RequestError::no_room(&error.to_string()),
        RequestBodyError::TimedOut { timeout } => RequestError::body_timed_out(timeout),
        RequestBodyError::TooLarge { .. } => RequestError::too_large(&error.to_string()),
    })
}

fn parse_json_object(bytes: &[u8]) -> Result<Map<String, Value>, RequestError> {
    let parsed: Result<Map<String, Value>, _> = serde_json::from_slice(bytes);
    parsed.map_err(|error| {
        RequestError::invalid_field("body", &format!("is no JSON object: {error}"))
    })
}

fn parse_model(body: &Map<String, Value>) -> Result<RequestTarget, RequestError> {
    let invalid_model = |message| RequestError::invalid_field("model", message);
    let model = body.get("model");
    let model = model
        .ok_or_else(|| invalid_model("is missing; name an adapter as NAME or NAME@VERSION"))?;
    let text = model
        .as_str()
        .ok_or_else(|| invalid_model("must be text"))?;
    let (name, version) = match text.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (text, None),
    };
    if !is_valid_name(name) || version.is_some_and(|version| !is_valid_name(version)) {
        return Err(invalid_model("must be NAME or NAME@VERSION"));
    }
    Ok(RequestTarget::Adapter {
        name: name.into(),
        version: version.map(Into::into),
    })
}

/// Splits `/services/NAME/...` into the service name and the path and query for the
/// upstream.
fn split_service_path(req: &Request<Incoming>) -> Result<(Box<str>, Box<str>), RequestError> {
    let path = req.uri().path();
    let name_and_path = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, inner) = name_and_path.split_once('/').unwrap_or((name_and_path, ""));
    if !is_valid_name(name) {
        return Err(RequestError::invalid_field(
            "path",
            "must be /services/NAME/...",
        ));
    }
    let query = req.uri().query();
    let query = query.map_or_else(String::new, |query| format!("?{query}"));
    Ok((name.into(), format!("/{inner}{query}").into()))
}
