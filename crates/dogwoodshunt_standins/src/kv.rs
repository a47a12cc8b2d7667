//! Stand-in of the key-value service: the JSON gateway of etcd v3 over an
//! in-memory store.

use crate::faults::KvFault;
use crate::faults::KvFaults;
use crate::serve::read_json;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use dogwoodshunt_border::generated::etcd;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_border::kv::memory::MemoryKv;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Delay of every call under [`KvFault::Slow`].
const SLOW_CALL_DELAY: Duration = Duration::from_secs(2);

/// Step named in errors of the in-memory store.
const STEP: &str = "stand-in";

/// Numbers of calls that the service has handled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Range reads.
    pub reads: u64,
    /// Transactions and lease grants.
    pub writes: u64,
}

/// Stand-in of the key-value service.
#[derive(Debug, Default)]
pub struct KvStandin {
    store: MemoryKv,
    fault: Mutex<KvFault>,
}

type ErrorResponse = Response<ResponseBody>;

impl KvStandin {
    /// Creates a key-value service without keys.
    pub fn new() -> Self {
        Self::default()
    }

    fn fault(&self) -> KvFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, ErrorResponse> {
        match req.uri().path() {
            "/v3/kv/range" => self.range(read_json(req).await?).await,
            "/v3/kv/txn" => self.txn(read_json(req).await?).await,
            "/v3/lease/grant" => self.lease(read_json(req).await?).await,
            path => Err(server::text(404, format!("no such path: {path}"))),
        }
    }

    async fn range(
        &self,
        request: etcd::RangeRequest,
    ) -> Result<Response<ResponseBody>, ErrorResponse> {
        let key_range = key_range(&request.key, request.range_end.as_deref());
        let (start, end) = key_range.map_err(bad_request)?;
        let records = self.store.range(STEP, &start, &end).await;
        let records = records.map_err(|error| server::text(503, error.to_string()))?;
        let kvs = records.iter().map(|record| etcd::KeyValue {
            key: STANDARD.encode(record.key.as_ref()),
            value: STANDARD.encode(&record.value),
            mod_revision: record.mod_revision.to_string(),
        });
        let response = etcd::RangeResponse {
            kvs: kvs.collect(),
            more: false,
        };
        Ok(server::json(200, &response))
    }

    async fn txn(
        &self,
        request: etcd::TxnRequest,
    ) -> Result<Response<ResponseBody>, ErrorResponse> {
        let conditions: Result<_, _> = request.compare.iter().map(parse_compare).collect();
        let ops: Result<_, _> = request.success.iter().map(parse_operation).collect();
        let (conditions, ops) = (conditions.map_err(bad_request)?, ops.map_err(bad_request)?);
        let result = self.store.txn(STEP, conditions, ops).await;
        let succeeded = result.map_err(|error| server::text(503, error.to_string()))?;
        if self.fault() == KvFault::AnswerLost {
            return Err(server::text(500, "response lost by an injected fault"));
        }
        Ok(server::json(200, &etcd::TxnResponse { succeeded }))
    }

    async fn lease(
        &self,
        request: etcd::LeaseGrantRequest,
    ) -> Result<Response<ResponseBody>, ErrorResponse> {
        let seconds = request.ttl.parse();
        let seconds =
            seconds.map_err(|_| server::text(400, "lease/grant: TTL is not an integer"))?;
        let lease = self.store.lease(STEP, seconds).await;
        let lease = lease.map_err(|error| server::text(503, error.to_string()))?;
        let response = etcd::LeaseGrantResponse {
            id: lease.to_string(),
        };
        Ok(server::json(200, &response))
    }
}

impl Handler for KvStandin {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        if req.uri().path() == "/standin/calls" {
            let (reads, writes) = self.store.calls();
            return server::json(200, &CallCounts { reads, writes });
        }
        if req.uri().path() == "/standin/faults" {
            return match read_json::<KvFaults>(req).await {
                Ok(faults) => {
                    *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = faults.fault;
                    server::text(200, "ok")
                }
                Err(response) => response,
            };
        }
        match self.fault() {
            KvFault::Down => return server::text(503, "down"),
            KvFault::Slow => {
                Timer::after(SLOW_CALL_DELAY).await;
            }
            KvFault::AnswerLost | KvFault::None => {}
        }
        self.route(req).await.unwrap_or_else(|response| response)
    }
}

/// Description of why a request is invalid.
type InvalidRequest = String;

fn bad_request(message: InvalidRequest) -> ErrorResponse {
    server::text(400, message)
}

fn decode(text: &str) -> Result<Vec<u8>, InvalidRequest> {
    STANDARD.decode(text).map_err(|error| error.to_string())
}

fn decode_text(text: &str) -> Result<String, InvalidRequest> {
    String::from_utf8(decode(text)?).map_err(|error| error.to_string())
}

fn parse_compare(compare: &etcd::Compare) -> Result<Precondition, InvalidRequest> {
    let text = compare.mod_revision.as_deref().unwrap_or("0");
    let mod_revision = text.parse();
    Ok(Precondition {
        key: decode_text(&compare.key)?.into(),
        mod_revision: mod_revision
            .map_err(|_| "txn: mod_revision of a compare is not an integer")?,
    })
}

fn parse_operation(op: &etcd::RequestOp) -> Result<Op, InvalidRequest> {
    if let Some(put) = &op.request_put {
        return Ok(Op::Put {
            key: decode_text(&put.key)?.into(),
            value: decode(&put.value)?,
            lease: None,
        });
    }
    let Some(delete) = &op.request_delete_range else {
        return Err("txn: operation has neither request_put nor request_delete_range".into());
    };
    let (start, end) = key_range(&delete.key, delete.range_end.as_deref())?;
    Ok(Op::DeleteRange {
        start: start.into(),
        end: end.into(),
    })
}

/// Decodes the bounds of a key range; a range without an end holds only `key`.
fn key_range(key: &str, range_end: Option<&str>) -> Result<(String, String), InvalidRequest> {
    let start = decode_text(key)?;
    let end = match range_end {
        Some(end) => decode_text(end)?,
        None => format!("{start}\0"),
    };
    Ok((start, end))
}
