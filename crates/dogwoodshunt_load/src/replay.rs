//! Open-loop replay of a trace against the entries.
//!
//! Each request is sent at its scheduled time, whether or not earlier responses
//! have arrived, and latencies count from the scheduled time. Delays of the load
//! generator itself are thereby included in the measured latencies.

use crate::trace::RequestKind;
use crate::trace::TraceRequest;
use crate::trace::adapter_name;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_proof::cluster::SERVICE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde_json::json;
use smol::Executor;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Time after sending a request at which an incomplete response counts as failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response had status 200 and its body arrived completely.
    Completed,
    /// The response had another status, was incomplete or timed out, or the connection failed.
    Failed,
    /// The entry refused the request and declared that no upstream executed it.
    Refused,
}

/// A request and its outcome.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Request that was sent.
    pub request: TraceRequest,
    /// Time from the scheduled send time to the first byte of the response body; for a failed or
    /// refused request, to its failure or refusal.
    pub time_to_first_byte: Duration,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Entries that receive the requests, and the means to send them.
#[derive(Clone)]
pub struct ReplayTarget {
    /// HTTP client of the callers.
    pub client: Arc<Client>,
    /// Executor on which the requests run.
    pub executor: Arc<Executor<'static>>,
    /// Addresses on which the entries accept callers; used round-robin.
    pub entries: Vec<SocketAddr>,
    /// Deadline for the first byte, sent with each request.
    pub deadline: Duration,
}

/// Sends all requests at their scheduled times after `started_at` and waits for all results.
pub async fn replay_trace(
    target: &ReplayTarget,
    requests: &[TraceRequest],
    started_at: Instant,
) -> Vec<RequestResult> {
    let mut tasks = Vec::with_capacity(requests.len());
    for (index, request) in requests.iter().enumerate() {
        Timer::at(started_at + request.scheduled_at).await;
        let address = target.entries[index % target.entries.len()].to_string();
        let (client, deadline, request) = (target.client.clone(), target.deadline, *request);
        tasks.push(target.executor.spawn(async move {
            let exchange = send_request(
                &client,
                &address,
                index,
                &request,
                deadline,
                started_at + request.scheduled_at,
            );
            let timeout = async {
                Timer::after(RESPONSE_TIMEOUT).await;
                (RESPONSE_TIMEOUT, RequestOutcome::Failed)
            };
            let (time_to_first_byte, outcome) = smol::future::or(exchange, timeout).await;
            RequestResult {
                request,
                time_to_first_byte,
                outcome,
            }
        }));
    }
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        results.push(task.await);
    }
    results
}

async fn send_request(
    client: &Client,
    address: &str,
    index: usize,
    request: &TraceRequest,
    deadline: Duration,
    scheduled_at: Instant,
) -> (Duration, RequestOutcome) {
    let Ok(req) = build_request(index, request, deadline) else {
        return (Duration::ZERO, RequestOutcome::Failed);
    };
    let Ok(response) = client.send("ask", address, req).await else {
        return (scheduled_at.elapsed(), RequestOutcome::Failed);
    };
    if response.status() != StatusCode::OK {
        let header = response.headers().get("x-dogwoodshunt-outcome");
        let refused = header.is_some_and(|value| value == "not-run");
        let outcome = if refused {
            RequestOutcome::Refused
        } else {
            RequestOutcome::Failed
        };
        return (scheduled_at.elapsed(), outcome);
    }
    let mut body = response.into_body();
    let mut time_to_first_byte = None;
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return (scheduled_at.elapsed(), RequestOutcome::Failed);
        }
        time_to_first_byte.get_or_insert_with(|| scheduled_at.elapsed());
    }
    (
        time_to_first_byte.unwrap_or_else(|| scheduled_at.elapsed()),
        RequestOutcome::Completed,
    )
}

fn build_request(
    index: usize,
    request: &TraceRequest,
    deadline: Duration,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let (path, body) = match request.kind {
        RequestKind::Adapter(number) => (
            "/v1/completions".to_owned(),
            json!({"model": adapter_name(number), "prompt": format!("p{index}"),
                "max_tokens": request.max_tokens, "stream": true})
            .to_string(),
        ),
        RequestKind::Service => (format!("/services/{SERVICE}/run"), format!("order-{index}")),
    };
    let deadline = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
    Request::post(path)
        .header("host", "entry")
        .header("x-dogwoodshunt-deadline-ms", deadline)
        .body(Full::new(body.into()))
}
