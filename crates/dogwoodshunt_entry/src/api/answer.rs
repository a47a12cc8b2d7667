//! Answers to callers.

use crate::control::Declined;
use dogwoodshunt_border::generated::openai::ErrorBody;
use dogwoodshunt_border::generated::openai::ErrorDetail;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_catalogue::ResolveError;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::frame::AnswerHead;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::time::Duration;

/// Header that names what ran.
pub const RAN: HeaderName = HeaderName::from_static("x-dogwoodshunt-ran");

/// Header that names the attempt.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-dogwoodshunt-request-id");

/// Header that tells what is known of a request that got an error.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-dogwoodshunt-outcome");

/// Header that marks an answer kept from an earlier request with the same key.
pub const REPLAYED: HeaderName = HeaderName::from_static("x-dogwoodshunt-replayed");

/// Why a request gets an error for an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GaveUp {
    /// HTTP status.
    pub status: StatusCode,
    /// What is known of the request.
    pub outcome: Outcome,
    /// What went wrong and what to do.
    pub message: Box<str>,
    /// Field of the request that caused it.
    pub field: Option<Box<str>>,
    /// When to try again.
    pub retry_after: Option<Duration>,
}

impl GaveUp {
    /// Creates an error without a field or a time to try again.
    pub fn new(status: StatusCode, outcome: Outcome, message: impl Into<Box<str>>) -> Self {
        Self {
            status,
            outcome,
            message: message.into(),
            field: None,
            retry_after: None,
        }
    }

    /// Refuses a request for a bad field.
    pub fn bad_field(field: &str, message: &str) -> Self {
        let text = format!("field {field}: {message}");
        Self {
            field: Some(field.into()),
            ..Self::new(StatusCode::BAD_REQUEST, Outcome::NotRun, text)
        }
    }

    /// Refuses a body over the limit.
    pub fn too_large(message: &str) -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, Outcome::NotRun, message)
    }

    /// Refuses a request whose body did not arrive in time.
    pub fn slow_body(timeout: Duration) -> Self {
        let text = format!("the body did not arrive within {timeout:?}");
        Self::new(StatusCode::REQUEST_TIMEOUT, Outcome::NotRun, text)
    }

    /// Refuses a path that does not exist.
    pub fn no_such_path(method: &Method, path: &str) -> Self {
        let text = format!("there is no {method} {path}");
        Self::new(StatusCode::NOT_FOUND, Outcome::NotRun, text)
    }

    /// Says that a request was not run.
    pub fn not_run(not_run: NotRun) -> Self {
        let status = match not_run.reason {
            NotRunReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            NotRunReason::Withdrawn => StatusCode::GONE,
            NotRunReason::Cancelled
            | NotRunReason::Deadline
            | NotRunReason::Leaving
            | NotRunReason::LoadFailed
            | NotRunReason::NoUpstream
            | NotRunReason::KeyValueServiceUnreachable
            | NotRunReason::Stale => StatusCode::SERVICE_UNAVAILABLE,
        };
        let text = format!("the request was not run: {}", not_run.reason);
        let retry_after = (status != StatusCode::GONE).then_some(not_run.retry_after);
        Self {
            retry_after,
            ..Self::new(status, Outcome::NotRun, text)
        }
    }

    /// Says that it is unknown whether a request ran.
    pub fn unknown(message: &str) -> Self {
        let text = format!("it is unknown whether the request ran: {message}");
        Self::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, text)
    }

    /// Returns the answer.
    pub fn into_response(self) -> Response<AnswerBody> {
        let body = ErrorBody {
            error: ErrorDetail {
                message: self.message.into(),
                type_: error_type(self.status).into(),
                param: self.field.map(Into::into),
                code: Some(self.outcome.as_str().into()),
            },
        };
        let mut response = server::json(self.status.as_u16(), &body);
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(after) = self.retry_after {
            // The header counts whole seconds; rounding up never asks too early.
            let seconds = after.as_millis().div_ceil(1_000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(hyper::header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

impl From<Declined> for GaveUp {
    fn from(declined: Declined) -> Self {
        match declined {
            Declined::Missing(ResolveError::Unknown) => Self::new(
                StatusCode::NOT_FOUND,
                Outcome::NotRun,
                "the adapter or version is not in the catalogue; GET /v1/models lists them",
            ),
            Declined::Missing(ResolveError::Withdrawn) => Self::new(
                StatusCode::GONE,
                Outcome::NotRun,
                "the adapter or version was withdrawn; GET /v1/models lists those in force",
            ),
            Declined::NotRun(not_run) => Self::not_run(not_run),
        }
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT => {
            "invalid_request_error"
        }
        StatusCode::CONFLICT => "conflict_error",
        StatusCode::NOT_FOUND | StatusCode::GONE => "not_found_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        _ => "server_error",
    }
}

/// Returns the answer to a request that ran.
pub fn ran(head: &AnswerHead, request: RequestId, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type = head.content_type.as_deref();
    set(headers, hyper::header::CONTENT_TYPE, content_type);
    set(headers, RAN, Some(&head.ran));
    set(headers, REQUEST_ID, Some(&request.to_string()));
    response
}

fn set(headers: &mut hyper::HeaderMap, name: HeaderName, value: Option<&str>) {
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        headers.insert(name, value);
    }
}
