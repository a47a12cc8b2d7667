//! Calls of the operators' interface, as `dogwoodshunt-ctl` makes them.

use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::ReleaseNote;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an answer may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks at an entry that is not ready.
const POLL: Duration = Duration::from_millis(20);

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Status and body of an answer.
pub type Answered = (u16, Value);

/// Posts JSON to a path of the operators' interface.
///
/// # Errors
///
/// Fails if the entry does not answer.
pub async fn post(
    client: &Client,
    operators: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Answered, HttpError> {
    let req = Request::post(path)
        .header(hyper::header::HOST, operators.to_string())
        .body(Full::new(body.to_string().into()));
    call(client, operators, req).await
}

/// Gets a path of the operators' interface.
///
/// # Errors
///
/// Fails if the entry does not answer.
pub async fn get(
    client: &Client,
    operators: SocketAddr,
    path: &str,
) -> Result<Answered, HttpError> {
    let req = Request::get(path)
        .header(hyper::header::HOST, operators.to_string())
        .body(Full::default());
    call(client, operators, req).await
}

/// Waits until an entry can serve callers.
pub async fn wait_ready(client: &Client, operators: SocketAddr) {
    loop {
        let status = get(client, operators, "/v1/status").await;
        if status.is_ok_and(|(_, overview)| overview["ready"] == true) {
            return;
        }
        Timer::after(POLL).await;
    }
}

/// Submits a note that adds `adapters` at `version`.
///
/// # Errors
///
/// Fails if the entry does not answer.
pub async fn add(
    client: &Client,
    operators: SocketAddr,
    id: &str,
    adapters: &[&str],
    version: &str,
) -> Result<Answered, HttpError> {
    let (_, status) = get(client, operators, "/v1/status").await?;
    let specs = adapters.iter().map(|adapter| spec(adapter, version));
    let note = ReleaseNote::builder()
        .id(id)
        .author("local")
        .based_on(status["revision"].as_u64().unwrap_or(0))
        .added(specs.collect::<Vec<_>>())
        .build();
    let submit = json!({"note": note, "rebase": "allowed"});
    post(client, operators, "/v1/releases", &submit).await
}

/// Returns a sample adapter of the base model `base`.
pub fn spec(adapter: &str, version: &str) -> AdapterSpec {
    AdapterSpec::builder()
        .adapter(adapter)
        .version(version)
        .base_model("base")
        .source(format!("weights/{adapter}/{version}"))
        .digest("sha256:sample")
        .build()
}

async fn call(
    client: &Client,
    operators: SocketAddr,
    req: Result<Request<Full<bytes::Bytes>>, hyper::http::Error>,
) -> Result<Answered, HttpError> {
    const STEP: &str = "call operators' interface";
    let peer = operators.to_string();
    let lost = |message: String| HttpError::Lost {
        step: STEP,
        peer: peer.as_str().into(),
        message: message.into(),
    };
    let req = req.map_err(|error| lost(error.to_string()))?;
    let response = client.send_within(TIMEOUT, STEP, &peer, req).await?;
    let status = response.status().as_u16();
    let bytes = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
    let bytes = bytes.map_err(|error| lost(error.to_string()))?;
    let value = serde_json::from_slice(&bytes).map_err(|error| lost(error.to_string()))?;
    Ok((status, value))
}
