//! Orders and probes of a model engine.

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

/// Header by which an engine names its boot.
pub const BOOT_HEADER: &str = "x-engine-boot";

/// Header by which an order carries its fencing number.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Adapter name that no engine holds; an order for it changes nothing.
const NO_SUCH_ADAPTER: &str = "dogwoodshunt-probe@none";

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine carried the order out, or had done so before.
    Done,
    /// The engine refused the order for its old fencing number.
    Fenced,
    /// The engine failed to carry the order out.
    Failed,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It carries them out.
    Ignored,
}

/// What an engine says it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holdings {
    /// Boot of the engine; 0 where it names none.
    pub boot: BootId,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterRef>,
}

/// One engine as an agent reaches it.
pub struct Engine<'a> {
    /// Client that carries the calls.
    pub client: &'a Client,
    /// Address of the engine.
    pub peer: &'a str,
    /// How long an answer may take.
    pub timeout: Duration,
}

impl Engine<'_> {
    /// Asks what the engine holds.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer or its answer cannot be understood.
    pub async fn holdings(&self) -> Result<Holdings, HttpError> {
        const STEP: &str = "list adapters";
        let req = Request::get("/v1/models")
            .header(hyper::header::HOST, self.peer)
            .body(Full::default());
        let req = req.map_err(|error| self.lost(STEP, &error))?;
        let sent = self.client.send_within(self.timeout, STEP, self.peer, req);
        let response = sent.await?;
        let boot = boot_of(response.headers());
        if !response.status().is_success() {
            return Err(self.lost(STEP, &format!("status {}", response.status())));
        }
        let bytes = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| self.lost(STEP, &error))?;
        let list: ModelList =
            serde_json::from_slice(&bytes).map_err(|error| self.lost(STEP, &error))?;
        let ids = list.data.iter();
        Ok(Holdings {
            boot,
            adapters: ids
                .filter_map(|model| AdapterRef::parse(&model.id))
                .collect(),
        })
    }

    /// Orders the engine to load `adapter` from `source`.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not come; the engine may carry the order out.
    pub async fn load(
        &self,
        adapter: &AdapterRef,
        source: &str,
        epoch: Epoch,
    ) -> Result<OrderAnswer, HttpError> {
        let order = LoadLoraAdapter {
            lora_name: adapter.to_string(),
            lora_path: source.into(),
        };
        let path = "/v1/load_lora_adapter";
        let status = self.order("load adapter", path, &order, epoch).await?;
        Ok(order_answer(status))
    }

    /// Orders the engine to unload `adapter`.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not come; the engine may carry the order out.
    pub async fn unload(
        &self,
        adapter: &AdapterRef,
        epoch: Epoch,
    ) -> Result<OrderAnswer, HttpError> {
        let order = UnloadLoraAdapter {
            lora_name: adapter.to_string(),
        };
        let path = "/v1/unload_lora_adapter";
        let status = self.order("unload adapter", path, &order, epoch).await?;
        Ok(match status {
            StatusCode::NOT_FOUND => OrderAnswer::Done,
            status => order_answer(status),
        })
    }

    /// Finds out whether the engine checks fencing numbers.
    ///
    /// The order carries the oldest number there is and names an adapter that
    /// no engine holds, so it changes nothing either way.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer.
    pub async fn probe_fencing(&self) -> Result<Fencing, HttpError> {
        let order = UnloadLoraAdapter {
            lora_name: NO_SUCH_ADAPTER.into(),
        };
        let path = "/v1/unload_lora_adapter";
        let status = self.order("probe fencing", path, &order, 0).await?;
        Ok(match order_answer(status) {
            OrderAnswer::Fenced => Fencing::Checked,
            OrderAnswer::Done | OrderAnswer::Failed => Fencing::Ignored,
        })
    }

    async fn order<T: Serialize>(
        &self,
        step: &'static str,
        path: &str,
        order: &T,
        epoch: Epoch,
    ) -> Result<StatusCode, HttpError> {
        let bytes = serde_json::to_vec(order).map_err(|error| self.lost(step, &error))?;
        let req = Request::post(path)
            .header(hyper::header::HOST, self.peer)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .header(FENCING_HEADER, epoch)
            .body(Full::new(Bytes::from(bytes)));
        let req = req.map_err(|error| self.lost(step, &error))?;
        let sent = self.client.send_within(self.timeout, step, self.peer, req);
        let response = sent.await?;
        let status = response.status();
        let _ = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
        Ok(status)
    }

    fn lost(&self, step: &'static str, message: &dyn std::fmt::Display) -> HttpError {
        HttpError::Lost {
            step,
            peer: self.peer.into(),
            message: message.to_string().into(),
        }
    }
}

/// Returns the boot that an answer names, or 0.
pub fn boot_of(headers: &HeaderMap) -> BootId {
    let value = headers.get(BOOT_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn order_answer(status: StatusCode) -> OrderAnswer {
    match status {
        StatusCode::PRECONDITION_FAILED => OrderAnswer::Fenced,
        status if status.is_success() => OrderAnswer::Done,
        _ => OrderAnswer::Failed,
    }
}
