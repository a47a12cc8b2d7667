//! Asking the requests of a trace at their scheduled times.

use crate::trace::Kind;
use crate::trace::Shot;
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

/// Time after which a caller gives an answer up.
const TIMEOUT: Duration = Duration::from_secs(60);

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer came.
    Answered,
    /// The answer broke off or never came.
    Failed,
    /// The request was refused as not run.
    Refused,
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The request.
    pub shot: Shot,
    /// Time from the scheduled start to the first byte of the body.
    pub first_byte: Duration,
    /// How it ended.
    pub end: End,
}

/// Where requests go.
#[derive(Clone)]
pub struct Target {
    /// Client that carries the calls.
    pub client: Arc<Client>,
    /// Executor of the calls.
    pub executor: Arc<Executor<'static>>,
    /// Callers' addresses of the entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Time until the first byte is of no more use.
    pub deadline: Duration,
}

/// Asks all requests; late answers do not delay later requests.
pub async fn drive(target: &Target, shots: &[Shot], begun: Instant) -> Vec<Sample> {
    let mut asked = Vec::with_capacity(shots.len());
    for (index, shot) in shots.iter().enumerate() {
        Timer::at(begun + shot.at).await;
        let peer = target.entries[index % target.entries.len()].to_string();
        let (client, deadline, shot) = (target.client.clone(), target.deadline, *shot);
        asked.push(target.executor.spawn(async move {
            let asking = ask(&client, &peer, index, &shot, deadline, begun + shot.at);
            let late = async {
                Timer::after(TIMEOUT).await;
                (TIMEOUT, End::Failed)
            };
            let (first_byte, end) = smol::future::or(asking, late).await;
            Sample {
                shot,
                first_byte,
                end,
            }
        }));
    }
    let mut samples = Vec::with_capacity(asked.len());
    for task in asked {
        samples.push(task.await);
    }
    samples
}

async fn ask(
    client: &Client,
    peer: &str,
    index: usize,
    shot: &Shot,
    deadline: Duration,
    scheduled: Instant,
) -> (Duration, End) {
    let Ok(req) = request(index, shot, deadline) else {
        return (Duration::ZERO, End::Failed);
    };
    let Ok(response) = client.send("ask", peer, req).await else {
        return (scheduled.elapsed(), End::Failed);
    };
    if response.status() != StatusCode::OK {
        let refused = response.headers().get("x-dogwoodshunt-outcome");
        let refused = refused.is_some_and(|outcome| outcome == "not-run");
        let end = if refused { End::Refused } else { End::Failed };
        return (scheduled.elapsed(), end);
    }
    let mut body = response.into_body();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return (scheduled.elapsed(), End::Failed);
        }
        first_byte.get_or_insert_with(|| scheduled.elapsed());
    }
    (
        first_byte.unwrap_or_else(|| scheduled.elapsed()),
        End::Answered,
    )
}

fn request(
    index: usize,
    shot: &Shot,
    deadline: Duration,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let (path, body) = match shot.kind {
        Kind::Adapter(number) => (
            "/v1/completions".to_owned(),
            json!({"model": adapter_name(number), "prompt": format!("p{index}"),
                "max_tokens": shot.tokens, "stream": true})
            .to_string(),
        ),
        Kind::Service => (format!("/services/{SERVICE}/run"), format!("order-{index}")),
    };
    let deadline = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
    Request::post(path)
        .header("host", "entry")
        .header("x-dogwoodshunt-deadline-ms", deadline)
        .body(Full::new(body.into()))
}
