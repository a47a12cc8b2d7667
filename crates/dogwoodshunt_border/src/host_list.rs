//! Client of the platform's list of live and leaving hosts.

use crate::generated::host_list::Host;
use crate::generated::host_list::HostState;
use crate::http::Client;
use crate::http::HttpError;
use crate::http::body;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;

/// Maximum size of the host list, in bytes.
const MAX_HOST_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Host list whose hosts are read one by one, so that an odd one does not affect the others.
#[derive(Deserialize)]
struct UnreadHostList<'a> {
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

/// Hosts that a host list shows as leaving.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeavingHosts {
    /// Names of the leaving hosts.
    pub names: Vec<Box<str>>,
    /// Number of hosts in the list that cannot be read.
    pub unreadable: usize,
}

/// Fetches the host list from `peer` (`ADDRESS:PORT`) and returns the leaving hosts. A host
/// that cannot be read is left out.
///
/// # Errors
///
/// Fails if the head of the response does not arrive within `timeout`, or the list is malformed or
/// larger than 4 MiB. Reading the list has no timeout.
pub async fn leaving_hosts(
    client: &Client,
    peer: &str,
    timeout: Duration,
) -> Result<LeavingHosts, HttpError> {
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
    decode(&bytes).map_err(|error| response_lost(error.to_string()))
}

/// Decodes a host list.
pub(crate) fn decode(bytes: &[u8]) -> Result<LeavingHosts, serde_json::Error> {
    let list: UnreadHostList<'_> = serde_json::from_slice(bytes)?;
    let mut leaving = LeavingHosts::default();
    for host in list.hosts {
        match serde_json::from_str::<Host>(host.get()) {
            Ok(host) => match host.state {
                HostState::Leaving => leaving.names.push(host.name.into()),
                HostState::Live => {}
            },
            Err(_) => leaving.unreadable += 1,
        }
    }
    Ok(leaving)
}
