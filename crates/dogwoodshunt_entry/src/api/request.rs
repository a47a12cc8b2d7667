//! What a caller asks for.

use crate::api::Limits;
use crate::api::answer::GaveUp;
use crate::control::Wanted;
use bytes::Bytes;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::ReadError;
use dogwoodshunt_routing::retry::Repeatable;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::adapter::is_valid_name;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Map;
use serde_json::Value;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// Header that marks a request that may not be repeated.
const REPEATABLE: &str = "x-dogwoodshunt-repeatable";

/// Header that sets the class of a request.
const PRIORITY: &str = "x-dogwoodshunt-priority";

/// Header that sets the time until the first byte is of no more use.
const DEADLINE_MS: &str = "x-dogwoodshunt-deadline-ms";

/// Header that names a request across repetitions.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Path under which callers reach plain services.
const SERVICES: &str = "/services/";

/// Body of a request.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// Bytes for a plain service, as they came.
    Bytes(Bytes),
    /// JSON object of a completion; its `model` is set once it is known.
    Completion(Map<String, Value>),
}

/// Whether the answer is passed on as it comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// Part by part.
    Streamed,
    /// Once it is whole.
    Whole,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Adapter or service.
    pub wanted: Wanted,
    /// Method towards the upstream.
    pub method: Box<str>,
    /// Path and query towards the upstream.
    pub path: Box<str>,
    /// Media type of the body.
    pub content_type: Option<Box<str>>,
    /// Body of the request.
    pub body: RequestBody,
    /// Whether it may run more than once.
    pub repeatable: Repeatable,
    /// Name of the request across repetitions.
    pub idempotency_key: Option<Box<str>>,
    /// Class of the request.
    pub priority: Priority,
    /// When the first byte is of no more use.
    pub deadline: Instant,
    /// How the answer is passed on.
    pub delivery: Delivery,
}

impl CallerRequest {
    /// Reads a completion request.
    ///
    /// # Errors
    ///
    /// Returns the answer for a malformed or oversized request.
    pub async fn read_completion(
        req: Request<Incoming>,
        limits: &Limits,
        now: Instant,
    ) -> Result<Self, GaveUp> {
        let path = req.uri().path().into();
        let marks = Marks::read(req.headers(), limits, now)?;
        let bytes = read_body(req, limits).await?;
        let body = parse_object(&bytes)?;
        let wanted = wanted_adapter(&body)?;
        let streamed = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(streamed)) => *streamed,
            Some(_) => return Err(GaveUp::bad_field("stream", "must be true or false")),
        };
        Ok(Self {
            wanted,
            method: "POST".into(),
            path,
            content_type: Some("application/json".into()),
            body: RequestBody::Completion(body),
            repeatable: marks.repeatable.unwrap_or(Repeatable::Yes),
            idempotency_key: marks.idempotency_key,
            priority: marks.priority,
            deadline: marks.deadline,
            delivery: if streamed {
                Delivery::Streamed
            } else {
                Delivery::Whole
            },
        })
    }

    /// Reads a call of a plain service, under `/services/NAME/...`.
    ///
    /// Reads (`GET`, `HEAD`, `OPTIONS`) may be repeated, other methods only
    /// where the caller says so.
    ///
    /// # Errors
    ///
    /// Returns the answer for a malformed or oversized request.
    pub async fn read_service_call(
        req: Request<Incoming>,
        limits: &Limits,
        now: Instant,
    ) -> Result<Self, GaveUp> {
        let (name, path) = split_service_path(&req)?;
        let marks = Marks::read(req.headers(), limits, now)?;
        let method: Box<str> = req.method().as_str().into();
        let content_type = text_of(req.headers(), "content-type")?.map(Into::into);
        let by_method = match method.as_ref() {
            "GET" | "HEAD" | "OPTIONS" => Repeatable::Yes,
            _ => Repeatable::No,
        };
        let bytes = read_body(req, limits).await?;
        Ok(Self {
            wanted: Wanted::Service(name),
            method,
            path,
            content_type,
            body: RequestBody::Bytes(bytes),
            repeatable: marks.repeatable.unwrap_or(by_method),
            idempotency_key: marks.idempotency_key,
            priority: marks.priority,
            deadline: marks.deadline,
            delivery: Delivery::Whole,
        })
    }

    /// Returns the body towards an upstream that runs `model`.
    pub fn body_for(&self, model: &str) -> Bytes {
        match &self.body {
            RequestBody::Bytes(bytes) => bytes.clone(),
            RequestBody::Completion(object) => {
                let mut object = object.clone();
                object.insert("model".into(), model.into());
                // PANIC-free: a JSON object always serialises.
                serde_json::to_vec(&object).unwrap_or_default().into()
            }
        }
    }
}

/// What the headers say of a request.
struct Marks {
    repeatable: Option<Repeatable>,
    idempotency_key: Option<Box<str>>,
    priority: Priority,
    deadline: Instant,
}

impl Marks {
    fn read(headers: &HeaderMap, limits: &Limits, now: Instant) -> Result<Self, GaveUp> {
        let left: Option<u64> = parsed(headers, DEADLINE_MS, "must be a number of milliseconds")?;
        let left = left.map_or(limits.default_deadline, Duration::from_millis);
        Ok(Self {
            repeatable: repeatable(headers)?,
            idempotency_key: idempotency_key(headers)?,
            priority: priority(headers)?,
            deadline: now + left.min(MAX_DEADLINE),
        })
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<Repeatable>, GaveUp> {
    let marked: Option<bool> = parsed(headers, REPEATABLE, "must be true or false")?;
    Ok(marked.map(|repeatable| {
        if repeatable {
            Repeatable::Yes
        } else {
            Repeatable::No
        }
    }))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, GaveUp> {
    let key = text_of(headers, IDEMPOTENCY_KEY)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let message = format!("must hold 1 to {MAX_KEY_BYTES} bytes");
        return Err(GaveUp::bad_field(IDEMPOTENCY_KEY, &message));
    }
    Ok(key.map(Into::into))
}

fn priority(headers: &HeaderMap) -> Result<Priority, GaveUp> {
    let Some(text) = text_of(headers, PRIORITY)? else {
        return Ok(Priority::default());
    };
    let priority = Priority::parse(text);
    priority.ok_or_else(|| GaveUp::bad_field(PRIORITY, "must be low, normal or high"))
}

fn parsed<T: FromStr>(headers: &HeaderMap, name: &str, message: &str) -> Result<Option<T>, GaveUp> {
    let text = text_of(headers, name)?;
    let parsed = text.map(str::parse).transpose();
    parsed.map_err(|_| GaveUp::bad_field(name, message))
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, GaveUp> {
    let text = headers.get(name).map(|value| value.to_str()).transpose();
    text.map_err(|_| GaveUp::bad_field(name, "must be ASCII text"))
}

async fn read_body(req: Request<Incoming>, limits: &Limits) -> Result<Bytes, GaveUp> {
    let (body, limit) = (req.into_body(), limits.max_body_bytes);
    let Some(read) = body::read_within(body, limit, limits.body_timeout).await else {
        return Err(GaveUp::slow_body(limits.body_timeout));
    };
    read.map_err(|error| match error {
        ReadError::Lost { .. } => GaveUp::bad_field("body", &error.to_string()),
        ReadError::TooLarge { .. } => GaveUp::too_large(&error.to_string()),
    })
}

fn parse_object(bytes: &[u8]) -> Result<Map<String, Value>, GaveUp> {
    let parsed: Result<Map<String, Value>, _> = serde_json::from_slice(bytes);
    parsed.map_err(|error| GaveUp::bad_field("body", &format!("is no JSON object: {error}")))
}

fn wanted_adapter(body: &Map<String, Value>) -> Result<Wanted, GaveUp> {
    let wrong = |message| GaveUp::bad_field("model", message);
    let model = body.get("model");
    let model =
        model.ok_or_else(|| wrong("is missing; name an adapter as NAME or NAME@VERSION"))?;
    let text = model.as_str().ok_or_else(|| wrong("must be text"))?;
    let (name, version) = match text.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (text, None),
    };
    if !is_valid_name(name) || version.is_some_and(|version| !is_valid_name(version)) {
        return Err(wrong("must be NAME or NAME@VERSION"));
    }
    Ok(Wanted::Adapter {
        name: name.into(),
        version: version.map(Into::into),
    })
}

fn split_service_path(req: &Request<Incoming>) -> Result<(Box<str>, Box<str>), GaveUp> {
    let path = req.uri().path();
    let rest = path.strip_prefix(SERVICES).unwrap_or_default();
    let (name, inner) = rest.split_once('/').unwrap_or((rest, ""));
    if !is_valid_name(name) {
        return Err(GaveUp::bad_field("path", "must be /services/NAME/..."));
    }
    let query = req.uri().query();
    let query = query.map_or_else(String::new, |query| format!("?{query}"));
    Ok((name.into(), format!("/{inner}{query}").into()))
}
