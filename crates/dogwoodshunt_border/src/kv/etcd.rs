//! Client of the JSON gateway of etcd v3.

use crate::generated::etcd;
use crate::http::Client;
use crate::http::HttpError;
use crate::http::body;
use crate::kv::Kv;
use crate::kv::KvError;
use crate::kv::LeaseId;
use crate::kv::Op;
use crate::kv::Precondition;
use crate::kv::Record;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the JSON gateway of etcd v3.
pub struct Etcd {
    client: Arc<Client>,
    peer: Box<str>,
    timeout: Duration,
}

impl Etcd {
    /// Creates a client of the gateway at `peer` (`ADDRESS:PORT`).
    pub fn new(client: Arc<Client>, peer: &str, timeout: Duration) -> Self {
        Self {
            client,
            peer: peer.into(),
            timeout,
        }
    }

    async fn call<Req, Res>(
        &self,
        step: &'static str,
        path: &str,
        request: &Req,
    ) -> Result<Res, KvError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        let timed_out = async {
            Timer::after(self.timeout).await;
            Err(KvError::OutcomeUnknown {
                step,
                message: format!("no response within {:?}", self.timeout).into(),
            })
        };
        self.call_without_timeout(step, path, request)
            .or(timed_out)
            .await
    }

    async fn call_without_timeout<Req, Res>(
        &self,
        step: &'static str,
        path: &str,
        request: &Req,
    ) -> Result<Res, KvError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        let req = self.build_request(step, path, request)?;
        let response = self.client.send(step, &self.peer, req).await;
        let response = response.map_err(|error| kv_error_from_http(step, &error))?;
        let status = response.status();
        let bytes = body::read(response.into_body(), MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|error| KvError::OutcomeUnknown {
            step,
            message: error.to_string().into(),
        })?;
        if !status.is_success() {
            return Err(kv_error_from_status(step, status));
        }
        serde_json::from_slice(&bytes).map_err(|error| KvError::Malformed {
            step,
            message: error.to_string().into(),
        })
    }

    fn build_request<Req: Serialize>(
        &self,
        step: &'static str,
        path: &str,
        request: &Req,
    ) -> Result<Request<Full<Bytes>>, KvError> {
        let unavailable = |message: String| KvError::Unavailable {
            step,
            message: message.into(),
        };
        let bytes = serde_json::to_vec(request).map_err(|error| unavailable(error.to_string()))?;
        Request::post(path)
            .header(hyper::header::HOST, self.peer.as_ref())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(bytes.into()))
            .map_err(|error| unavailable(error.to_string()))
    }
}

impl Kv for Etcd {
    async fn range(
        &self,
        step: &'static str,
        start: &str,
        end: &str,
    ) -> Result<Vec<Record>, KvError> {
        let request = etcd::RangeRequest {
            key: STANDARD.encode(start),
            range_end: Some(STANDARD.encode(end)),
            limit: None,
        };
        let response: etcd::RangeResponse = self.call(step, "/v3/kv/range", &request).await?;
        response
            .kvs
            .iter()
            .map(|kv| decode_record(step, kv))
            .collect()
    }

    async fn txn(
        &self,
        step: &'static str,
        preconditions: Vec<Precondition>,
        ops: Vec<Op>,
    ) -> Result<bool, KvError> {
        let request = etcd::TxnRequest {
            compare: preconditions.iter().map(encode_precondition).collect(),
            success: ops.into_iter().map(encode_op).collect(),
        };
        let response: etcd::TxnResponse = self.call(step, "/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    async fn lease(&self, step: &'static str, seconds: u64) -> Result<LeaseId, KvError> {
        let request = etcd::LeaseGrantRequest {
            ttl: seconds.to_string(),
        };
        let response: etcd::LeaseGrantResponse =
            self.call(step, "/v3/lease/grant", &request).await?;
        response.id.parse().map_err(|_| KvError::Malformed {
            step,
            message: format!("{:?} is not a lease id", response.id).into(),
        })
    }
}

fn kv_error_from_http(step: &'static str, error: &HttpError) -> KvError {
    let message = error.to_string().into();
    match error {
        HttpError::Lost { .. } => KvError::OutcomeUnknown { step, message },
        HttpError::NotSent { .. } => KvError::Unavailable { step, message },
    }
}

fn kv_error_from_status(step: &'static str, status: hyper::StatusCode) -> KvError {
    let message = format!("unexpected status {status}").into();
    // Server errors other than 503 may be reported after a write took effect.
    if status.is_server_error() && status != hyper::StatusCode::SERVICE_UNAVAILABLE {
        return KvError::OutcomeUnknown { step, message };
    }
    KvError::Unavailable { step, message }
}

fn encode_precondition(precondition: &Precondition) -> etcd::Compare {
    etcd::Compare {
        key: STANDARD.encode(precondition.key.as_ref()),
        target: "MOD".into(),
        result: "EQUAL".into(),
        mod_revision: Some(precondition.mod_revision.to_string()),
    }
}

fn encode_op(op: Op) -> etcd::RequestOp {
    match op {
        Op::DeleteRange { start, end } => etcd::RequestOp {
            request_put: None,
            request_delete_range: Some(etcd::DeleteRangeRequest {
                key: STANDARD.encode(start.as_ref()),
                range_end: Some(STANDARD.encode(end.as_ref())),
            }),
        },
        Op::Put { key, value, lease } => etcd::RequestOp {
            request_put: Some(etcd::PutRequest {
                key: STANDARD.encode(key.as_ref()),
                value: STANDARD.encode(value),
                lease: lease.map(|lease| lease.to_string()),
            }),
            request_delete_range: None,
        },
    }
}

fn decode_record(step: &'static str, kv: &etcd::KeyValue) -> Result<Record, KvError> {
    let malformed = |message: String| KvError::Malformed {
        step,
        message: message.into(),
    };
    let decode = |text: &str| {
        let decoded = STANDARD.decode(text);
        decoded.map_err(|error| malformed(error.to_string()))
    };
    let key = String::from_utf8(decode(&kv.key)?);
    let mod_revision = kv.mod_revision.parse();
    Ok(Record {
        key: key.map_err(|error| malformed(error.to_string()))?.into(),
        value: decode(&kv.value)?,
        mod_revision: mod_revision.map_err(|_| malformed("mod_revision is not a number".into()))?,
        // etcd does not announce that it was restored.
        era: 0,
    })
}
