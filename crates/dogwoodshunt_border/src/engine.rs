//! Client of the HTTP API of a model engine: loads, unloads and probes.

use crate::generated::engine::LoadLoraAdapter;
use crate::generated::engine::UnloadLoraAdapter;
use crate::generated::openai::ModelList;
use crate::http::Client;
use crate::http::HttpError;
use crate::http::body;
use bytes::Bytes;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use std::time::Duration;

/// Response header that carries the boot id of the engine.
pub const BOOT_HEADER: &str = "x-engine-boot";

/// Request header that carries the fencing token of an order.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Adapter name that no engine has loaded, so that an order to unload it has no effect.
const PROBE_ADAPTER: &str = "dogwoodshunt-probe@none";

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Result of an order that the engine responded to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The engine has carried out the order, now or earlier.
    Done,
    /// The engine rejected the order because its fencing token is outdated.
    Fenced,
    /// The engine responded with any other error status.
    Failed,
}

/// Whether an engine rejects orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// The engine rejects such orders.
    Checked,
    /// The engine carries out such orders.
    Ignored,
}

/// Adapters loaded on an engine, as listed by the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedAdapters {
    /// Boot id of the engine; 0 if the response carries none.
    pub boot: BootId,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterRef>,
}

/// Client of one engine.
pub struct Engine<'a> {
    /// HTTP client that sends the requests.
    pub client: &'a Client,
    /// Address of the engine (`ADDRESS:PORT`).
    pub peer: &'a str,
    /// Timeout for the head of a response; reading the body has no timeout.
    pub timeout: Duration,
}

impl Engine<'_> {
    /// Lists the adapters that are loaded on the engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not respond in time, or responds with an error status or a
    /// malformed body.
    pub async fn list_adapters(&self) -> Result<LoadedAdapters, HttpError> {
        const STEP: &str = "list adapters";
        let req = Request::get("/v1/models")
            .header(hyper::header::HOST, self.peer)
            .body(Full::default());
        let req = req.map_err(|error| self.response_lost(STEP, &error))?;
        let sent = self
            .client
            .send_with_timeout(self.timeout, STEP, self.peer, req);
        let response = sent.await?;
        let boot = boot_id_from_headers(response.headers());
        if !response.status().is_success() {
            return Err(
                self.response_lost(STEP, &format!("unexpected status {}", response.status()))
            );
        }
        let bytes = body::read(response.into_body(), MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|error| self.response_lost(STEP, &error))?;
        let list: ModelList =
            serde_json::from_slice(&bytes).map_err(|error| self.response_lost(STEP, &error))?;
        let models = list.data.iter();
        Ok(LoadedAdapters {
            boot,
            adapters: models
                .filter_map(|model| AdapterRef::parse(&model.id))
                .collect(),
        })
    }

    /// Orders the engine to load `adapter` from `source`, with the fencing token `epoch`.
    ///
    /// # Errors
    ///
    /// Fails if the head of the response does not arrive in time; the engine may still carry out
    /// the order.
    pub async fn load(
        &self,
        adapter: &AdapterRef,
        source: &str,
        epoch: Epoch,
    ) -> Result<OrderResult, HttpError> {
        let order = LoadLoraAdapter {
            lora_name: adapter.to_string(),
            lora_path: source.into(),
        };
        let path = "/v1/load_lora_adapter";
        let status = self.send_order("load adapter", path, &order, epoch).await?;
        Ok(classify_status(status))
    }

    /// Orders the engine to unload `adapter`, with the fencing token `epoch`.
    ///
    /// Status 404 counts as [`OrderResult::Done`], since the adapter is then not loaded.
    ///
    /// # Errors
    ///
    /// Fails if the head of the response does not arrive in time; the engine may still carry out
    /// the order.
    pub async fn unload(
        &self,
        adapter: &AdapterRef,
        epoch: Epoch,
    ) -> Result<OrderResult, HttpError> {
        let order = UnloadLoraAdapter {
            lora_name: adapter.to_string(),
        };
        let path = "/v1/unload_lora_adapter";
        let status = self
            .send_order("unload adapter", path, &order, epoch)
            .await?;
        Ok(match status {
            StatusCode::NOT_FOUND => OrderResult::Done,
            status => classify_status(status),
        })
    }

    /// Probes whether the engine checks fencing tokens.
    ///
    /// The probe orders an unload with token 0, which is older than any assigned token, and
    /// names an adapter that no engine has loaded. It therefore has no effect whether or not the
    /// engine checks tokens. Any status other than 412 counts as [`Fencing::Ignored`].
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time.
    pub async fn probe_fencing(&self) -> Result<Fencing, HttpError> {
        let order = UnloadLoraAdapter {
            lora_name: PROBE_ADAPTER.into(),
        };
        let path = "/v1/unload_lora_adapter";
        let status = self.send_order("probe fencing", path, &order, 0).await?;
        Ok(match classify_status(status) {
            OrderResult::Fenced => Fencing::Checked,
            OrderResult::Done | OrderResult::Failed => Fencing::Ignored,
        })
    }

    async fn send_order<T: Serialize>(
        &self,
        step: &'static str,
        path: &str,
        order: &T,
        epoch: Epoch,
    ) -> Result<StatusCode, HttpError> {
        let bytes = serde_json::to_vec(order).map_err(|error| self.response_lost(step, &error))?;
        let req = Request::post(path)
            .header(hyper::header::HOST, self.peer)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .header(FENCING_HEADER, epoch)
            .body(Full::new(Bytes::from(bytes)));
        let req = req.map_err(|error| self.response_lost(step, &error))?;
        let sent = self
            .client
            .send_with_timeout(self.timeout, step, self.peer, req);
        let response = sent.await?;
        let status = response.status();
        let _ = body::read(response.into_body(), MAX_RESPONSE_BYTES).await;
        Ok(status)
    }

    fn response_lost(&self, step: &'static str, message: &dyn std::fmt::Display) -> HttpError {
        HttpError::Lost {
            step,
            peer: self.peer.into(),
            message: message.to_string().into(),
        }
    }
}

/// Returns the boot id in the response headers of an engine; 0 if it is absent or malformed.
pub fn boot_id_from_headers(headers: &HeaderMap) -> BootId {
    let value = headers.get(BOOT_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn classify_status(status: StatusCode) -> OrderResult {
    match status {
        StatusCode::PRECONDITION_FAILED => OrderResult::Fenced,
        status if status.is_success() => OrderResult::Done,
        _ => OrderResult::Failed,
    }
}
