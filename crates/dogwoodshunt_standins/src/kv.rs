//! Key-value service: the JSON gateway of etcd v3 over a store in memory.

use crate::faults::KvFault;
use crate::faults::KvFaults;
use crate::serve::read_json;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use dogwoodshunt_border::generated::etcd;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Unchanged;
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

/// Delay of every call while the service is slow.
const SLOW: Duration = Duration::from_secs(2);

/// Step named in errors of the store in memory, which has no faults of its own.
const STEP: &str = "stand-in";

/// Calls that the service has answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// Key-value service.
#[derive(Debug, Default)]
pub struct KvStandin {
    store: MemoryKv,
    fault: Mutex<KvFault>,
}

type Refusal = Response<AnswerBody>;

impl KvStandin {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    fn fault(&self) -> KvFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<AnswerBody>, Refusal> {
        match req.uri().path() {
            "/v3/kv/range" => self.range(read_json(req).await?).await,
            "/v3/kv/txn" => self.txn(read_json(req).await?).await,
            "/v3/lease/grant" => self.lease(read_json(req).await?).await,
            path => Err(server::text(404, format!("no such path: {path}"))),
        }
    }

    async fn range(&self, query: etcd::RangeRequest) -> Result<Response<AnswerBody>, Refusal> {
        let bounds = bounds(&query.key, query.range_end.as_deref());
        let (start, end) = bounds.map_err(malformed)?;
        let records = self.store.range(STEP, &start, &end).await;
        let records = records.map_err(|error| server::text(503, error.to_string()))?;
        let kvs = records.iter().map(|record| etcd::KeyValue {
            key: STANDARD.encode(record.key.as_ref()),
            value: STANDARD.encode(&record.value),
            mod_revision: record.mod_revision.to_string(),
        });
        let answer = etcd::RangeResponse {
            kvs: kvs.collect(),
            more: false,
        };
        Ok(server::json(200, &answer))
    }

    async fn txn(&self, query: etcd::TxnRequest) -> Result<Response<AnswerBody>, Refusal> {
        let unchanged: Result<_, _> = query.compare.iter().map(condition).collect();
        let ops: Result<_, _> = query.success.iter().map(operation).collect();
        let (unchanged, ops) = (unchanged.map_err(malformed)?, ops.map_err(malformed)?);
        let done = self.store.txn(STEP, unchanged, ops).await;
        let succeeded = done.map_err(|error| server::text(503, error.to_string()))?;
        if self.fault() == KvFault::AnswerLost {
            return Err(server::text(500, "answer lost"));
        }
        Ok(server::json(200, &etcd::TxnResponse { succeeded }))
    }

    async fn lease(&self, query: etcd::LeaseGrantRequest) -> Result<Response<AnswerBody>, Refusal> {
        let seconds = query.ttl.parse();
        let seconds = seconds.map_err(|_| server::text(400, "TTL is no number"))?;
        let lease = self.store.lease(STEP, seconds).await;
        let lease = lease.map_err(|error| server::text(503, error.to_string()))?;
        let answer = etcd::LeaseGrantResponse {
            id: lease.to_string(),
        };
        Ok(server::json(200, &answer))
    }
}

impl Handler for KvStandin {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        if req.uri().path() == "/standin/calls" {
            let (reads, writes) = self.store.calls();
            return server::json(200, &Calls { reads, writes });
        }
        if req.uri().path() == "/standin/faults" {
            return match read_json::<KvFaults>(req).await {
                Ok(faults) => {
                    *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = faults.fault;
                    server::text(200, "ok")
                }
                Err(refusal) => refusal,
            };
        }
        match self.fault() {
            KvFault::Down => return server::text(503, "down"),
            KvFault::Slow => {
                Timer::after(SLOW).await;
            }
            KvFault::AnswerLost | KvFault::None => {}
        }
        self.answer(req).await.unwrap_or_else(|refusal| refusal)
    }
}

/// What is wrong with a call.
type Malformed = String;

fn malformed(message: Malformed) -> Refusal {
    server::text(400, message)
}

fn decode(text: &str) -> Result<Vec<u8>, Malformed> {
    STANDARD.decode(text).map_err(|error| error.to_string())
}

fn decode_text(text: &str) -> Result<String, Malformed> {
    String::from_utf8(decode(text)?).map_err(|error| error.to_string())
}

fn condition(compare: &etcd::Compare) -> Result<Unchanged, Malformed> {
    let text = compare.mod_revision.as_deref().unwrap_or("0");
    let mod_revision = text.parse();
    Ok(Unchanged {
        key: decode_text(&compare.key)?.into(),
        mod_revision: mod_revision.map_err(|_| "mod_revision is no number")?,
    })
}

fn operation(op: &etcd::RequestOp) -> Result<Op, Malformed> {
    if let Some(put) = &op.request_put {
        return Ok(Op::Put {
            key: decode_text(&put.key)?.into(),
            value: decode(&put.value)?,
            lease: None,
        });
    }
    let Some(delete) = &op.request_delete_range else {
        return Err("an operation is empty".into());
    };
    let (start, end) = bounds(&delete.key, delete.range_end.as_deref())?;
    Ok(Op::DeleteRange {
        start: start.into(),
        end: end.into(),
    })
}

/// Returns the bounds of a range; one without an end holds one key.
fn bounds(key: &str, range_end: Option<&str>) -> Result<(String, String), Malformed> {
    let start = decode_text(key)?;
    let end = match range_end {
        Some(end) => decode_text(end)?,
        None => format!("{start}\0"),
    };
    Ok((start, end))
}
