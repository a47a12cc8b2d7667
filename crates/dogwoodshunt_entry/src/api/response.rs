//! HTTP responses and errors for callers.

use crate::control::RoutingError;
use dogwoodshunt_border::generated::openai::ErrorBody;
use dogwoodshunt_border::generated::openai::ErrorDetail;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_catalogue::ResolveError;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_wire::frame::ResponseHead;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::time::Duration;

/// Response header: adapter version or service that ran the request.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-dogwoodshunt-ran");

/// Response header: ID of the attempt that ran; in a replayed response, the ID under which
/// the earlier request claimed the idempotency key.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-dogwoodshunt-request-id");

/// Response header of errors: whether the request ran, did not run, or may have run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-dogwoodshunt-outcome");

/// Response header: marks a stored response to an earlier request with the same
/// idempotency key.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-dogwoodshunt-replayed");

/// Time after which a request that found no room may be sent again.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error response to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// HTTP status code.
    pub status: StatusCode,
    /// Whether the request ran, did not run, or may have run.
    pub outcome: RequestOutcome,
    /// Cause of the error and, where there is one, its remedy.
    pub message: Box<str>,
    /// Field of the request that caused the error.
    pub field: Option<Box<str>>,
    /// Delay after which the caller may retry; sent as `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error without a field or a retry delay.
    pub fn new(status: StatusCode, outcome: RequestOutcome, message: impl Into<Box<str>>) -> Self {
        Self {
            status,
            outcome,
            message: message.into(),
            field: None,
            retry_after: None,
        }
    }

    /// Creates the error for an invalid field.
    pub fn invalid_field(field: &str, message: &str) -> Self {
        let text = format!("field {field}: {message}");
        Self {
            field: Some(field.into()),
            ..Self::new(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, text)
        }
    }

    /// Creates the error for a body larger than the limit.
    pub fn too_large(message: &str) -> Self {
        Self::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            RequestOutcome::NotRun,
            message,
        )
    }

    /// Creates the error for a body for which the process has no room now.
    pub fn no_room(message: &str) -> Self {
        Self {
            retry_after: Some(NO_ROOM_RETRY_AFTER),
            ..Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                RequestOutcome::NotRun,
                message,
            )
        }
    }

    /// Creates the error for a body that was not received within `timeout`.
    pub fn body_timed_out(timeout: Duration) -> Self {
        let text = format!("the body did not arrive within {timeout:?}");
        Self::new(StatusCode::REQUEST_TIMEOUT, RequestOutcome::NotRun, text)
    }

    /// Creates the error for an unknown method and path.
    pub fn no_such_path(method: &Method, path: &str) -> Self {
        let text = format!("there is no {method} {path}");
        Self::new(StatusCode::NOT_FOUND, RequestOutcome::NotRun, text)
    }

    /// Creates the error for a request that was not run.
    ///
    /// No retry delay is sent for a withdrawn adapter, since a retry cannot succeed.
    pub fn not_run(not_run: NotRun) -> Self {
        let status = match not_run.reason {
            NotRunReason::Overloaded | NotRunReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            NotRunReason::Withdrawn => StatusCode::GONE,
            NotRunReason::Cancelled
            | NotRunReason::CrashesEngines
            | NotRunReason::Deadline
            | NotRunReason::Leaving
            | NotRunReason::KeyUnconfirmed
            | NotRunReason::LoadFailed
            | NotRunReason::NoUpstream
            | NotRunReason::Paused
            | NotRunReason::QuotaUnknown
            | NotRunReason::KeyValueServiceUnreachable
            | NotRunReason::SoftwareGone
            | NotRunReason::SoftwareUnknown
            | NotRunReason::Unreachable
            | NotRunReason::Stale => StatusCode::SERVICE_UNAVAILABLE,
        };
        let text = format!("the request was not run: {}", not_run.reason);
        let retry_after = (status != StatusCode::GONE).then_some(not_run.retry_after);
        Self {
            retry_after,
            ..Self::new(status, RequestOutcome::NotRun, text)
        }
    }

    /// Creates the error for a request that may have run.
    pub fn unknown(message: &str) -> Self {
        let text = format!("it is unknown whether the request ran: {message}");
        Self::new(StatusCode::BAD_GATEWAY, RequestOutcome::Unknown, text)
    }

    /// Converts the error to an HTTP response.
    pub fn into_response(self) -> Response<ResponseBody> {
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
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Some(retry_after) = self.retry_after {
            // The header holds whole seconds; rounding up never invites a retry too early.
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(hyper::header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

impl From<RoutingError> for RequestError {
    fn from(error: RoutingError) -> Self {
        match error {
            RoutingError::Unresolved(ResolveError::Unknown) => Self::new(
                StatusCode::NOT_FOUND,
                RequestOutcome::NotRun,
                "the adapter or version is not in the catalogue; GET /v1/models lists them",
            ),
            RoutingError::Unresolved(ResolveError::Withdrawn) => Self::new(
                StatusCode::GONE,
                RequestOutcome::NotRun,
                "the adapter or version was withdrawn; GET /v1/models lists those in force",
            ),
            RoutingError::NotRun(not_run) => Self::not_run(not_run),
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

/// Builds the HTTP response to a request that ran.
pub fn executed(
    head: &ResponseHead,
    request_id: RequestId,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type = head.content_type.as_deref();
    insert_header(headers, hyper::header::CONTENT_TYPE, content_type);
    insert_header(headers, RAN_HEADER, Some(&head.ran));
    insert_header(headers, REQUEST_ID_HEADER, Some(&request_id.to_string()));
    response
}

fn insert_header(headers: &mut hyper::HeaderMap, name: HeaderName, value: Option<&str>) {
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        headers.insert(name, value);
    }
}
