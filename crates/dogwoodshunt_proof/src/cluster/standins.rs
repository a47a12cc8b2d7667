//! What tests ask and tell the stand-ins of a cluster.

use crate::cluster::Cluster;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_border::http::body;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;

/// Largest answer read from a stand-in, in bytes: it lists every run of a soak.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

impl Cluster {
    /// Posts JSON to a stand-in.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
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

    /// Gets JSON from a stand-in.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn get_standin(&self, address: SocketAddr, path: &str) -> Result<Value, HttpError> {
        let req = Request::get(path).header("host", "standin");
        self.call_standin(address, req.body(Full::default())).await
    }

    /// Sets what the key-value service does wrong.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer.
    pub async fn set_kv_fault(&self, fault: &str) {
        let fault = json!({ "fault": fault });
        let set = self
            .post_standin(self.kv_standin, "/standin/faults", &fault)
            .await;
        assert!(set.is_ok(), "{set:?}");
    }

    /// Returns the reads and writes that the key-value service has answered.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer.
    pub async fn kv_calls(&self) -> (u64, u64) {
        let calls = self.get_standin(self.kv_standin, "/standin/calls").await;
        let calls = calls.unwrap_or_default();
        let count = |name: &str| calls[name].as_u64();
        match (count("reads"), count("writes")) {
            (Some(reads), Some(writes)) => (reads, writes),
            _ => panic!("the key-value service's stand-in does not answer: {calls}"),
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
        let bytes = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| lost(error.to_string()))?;
        Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }
}
