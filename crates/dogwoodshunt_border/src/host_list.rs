//! Client of the platform's list of live and leaving hosts.

use crate::generated::host_list::Host;
use crate::generated::host_list::HostList;
use crate::generated::host_list::HostState;
use crate::http::Client;
use crate::http::HttpError;
use crate::http::body;
use http_body_util::Full;
use hyper::Request;
use std::time::Duration;

/// Maximum size of the host list, in bytes.
const MAX_HOST_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Fetches the host list from `peer` (`ADDRESS:PORT`) and returns the names of leaving hosts.
///
/// # Errors
///
/// Fails if the head of the response does not arrive within `timeout`, or the list is malformed or
/// larger than 4 MiB. Reading the list has no timeout.
pub async fn leaving_hosts(
    client: &Client,
    peer: &str,
    timeout: Duration,
) -> Result<Vec<Box<str>>, HttpError> {
    const STEP: &str = "fetch host list";
    let response_lost = |message: String| HttpError::Lost {
        step: STEP,
        peer: peer.into(),
        message: message.into(),
    };
    let req = Request::get("/hosts")
        .header(hyper::header::HOST, peer)
        .body(Full::default())
        .map_err(|error| response_lost(error.to_string()))?;
    let response = client.send_with_timeout(timeout, STEP, peer, req).await?;
    let bytes = body::read(response.into_body(), MAX_HOST_LIST_BYTES).await;
    let bytes = bytes.map_err(|error| response_lost(error.to_string()))?;
    let list: HostList =
        serde_json::from_slice(&bytes).map_err(|error| response_lost(error.to_string()))?;
    let is_leaving = |host: &Host| matches!(host.state, HostState::Leaving);
    let hosts = list.hosts.into_iter().filter(is_leaving);
    Ok(hosts.map(|host| host.name.into()).collect())
}
