//! Identifiers of adapters, processes, upstreams, revisions and requests.

use crate::rendezvous;
use serde::Deserialize;
use serde::Serialize;

/// Adapter name without the version.
pub type AdapterName = Box<str>;

/// Version of an adapter. An adapter never uses the same version twice.
pub type Version = Box<str>;

/// Name of an entry or agent process, as configured in the `node` settings of the process.
pub type NodeId = Box<str>;

/// Name of a failure domain, as configured in the `node` settings of a process.
pub type FailureDomain = Box<str>;

/// Name of an upstream, unique across all hosts.
pub type UpstreamName = Box<str>;

/// Version of the software of an upstream, with no order among versions. Streams of two versions do
/// not fit together.
pub type SoftwareVersion = Box<str>;

/// Name of a service. One or more upstreams serve a service.
pub type ServiceName = Box<str>;

/// Name of a workspace, the account of a customer.
pub type WorkspaceName = Box<str>;

/// Position in the log of configuration changes. Revision 0 precedes the first log entry.
pub type Revision = u64;

/// Identifies one start of a process. A process chooses its boot ID when it starts,
/// and a later start of the same node has a higher boot ID.
pub type BootId = u64;

/// Fencing token of an agent's ownership of its upstreams. Each new ownership has a
/// higher epoch than the previous one.
pub type Epoch = u64;

/// Counts how often the key-value service has been restored from an older copy of its data.
///
/// A restore discards acknowledged writes, and the revisions of these writes are assigned again.
/// So revisions are comparable only within one era. Services that are never restored in this way
/// stay in era 0.
pub type StoreEra = u32;

/// Identifies requests that are the same but for their ids.
pub type RequestFingerprint = u64;

/// Identifies a stream by the id of the caller's request that brought its first event.
pub type StreamId = u64;

/// Returns the id of the stream whose first event the response to the caller's request `request_id`
/// has brought.
pub fn stream_id(request_id: &str) -> StreamId {
    rendezvous::hash(request_id.as_bytes(), 0)
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Identifies one attempt of a request. No two attempts ever share an ID.
///
/// A retry of the same caller request gets a new ID.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Boot ID of the entry that made the attempt.
    pub entry_boot: BootId,
    /// Number of the attempt, unique within that boot of the entry.
    pub number: u64,
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{}", self.entry_boot, self.number)
    }
}
