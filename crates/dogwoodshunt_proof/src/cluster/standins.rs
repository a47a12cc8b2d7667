//! Calls of tests to the stand-ins of a cluster.

use crate::cluster::Cluster;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;

/// Maximum size of a stand-in's response, in bytes. The run counts of a soak list
/// every request.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

impl Cluster {
    /// Sends a `POST` request with a JSON body to a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is incomplete.
    pub async fn post_standin(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<(), HttpError> {
        let req = Request::post(path).header("host", "standin");
        let req = req.body(Full::new(value.to_string().into()));
        self.call_standin(address, req).await.map(drop)
    }

    /// Sends a `GET` request to a stand-in and returns the JSON of the response, or
    /// null if the body is not JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is incomplete.
    pub async fn get_standin(&self, address: SocketAddr, path: &str) -> Result<Value, HttpError> {
        let req = Request::get(path).header("host", "standin");
        self.call_standin(address, req.body(Full::default())).await
    }

    /// Sets the fault of the key-value service, by the name of a `KvFault`.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not respond.
    pub async fn set_kv_fault(&self, fault: &str) {
        let fault = json!({ "fault": fault });
        let result = self
            .post_standin(self.kv_address, "/standin/faults", &fault)
            .await;
        assert!(
            result.is_ok(),
            "set {fault} on the key-value service: {result:?}"
        );
    }

    /// Returns the numbers of reads and writes that the key-value service has
    /// handled.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not respond with both counts.
    pub async fn kv_calls(&self) -> (u64, u64) {
        let calls = self.get_standin(self.kv_address, "/standin/calls").await;
        let calls = calls.unwrap_or_default();
        let count = |name: &str| calls[name].as_u64();
        match (count("reads"), count("writes")) {
            (Some(reads), Some(writes)) => (reads, writes),
            _ => panic!("key-value service: response without reads and writes: {calls}"),
        }
    }

    async fn call_standin(
        &self,
        address: SocketAddr,
        req: Result<Request<Full<bytes::Bytes>>, hyper::http::Error>,
    ) -> Result<Value, HttpError> {
        const STEP: &str = "call stand-in";
        let peer = address.to_string();
        let lost = |message: String| HttpError::Lost {
            step: STEP,
            peer: peer.as_str().into(),
            message: message.into(),
        };
        let req = req.map_err(|error| lost(error.to_string()))?;
        let response = self.client.send(STEP, &peer, req).await?;
        let bytes = body::read(response.into_body(), MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|error| lost(error.to_string()))?;
        Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }
}
