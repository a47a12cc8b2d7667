//! Type aliases for identifiers.

use serde::Deserialize;
use serde::Serialize;

/// Name of an adapter, without its version.
pub type AdapterName = Box<str>;

/// Version of an adapter; an adapter never uses one version name twice.
pub type Version = Box<str>;

/// Name of a process of the system, from its settings.
pub type NodeId = Box<str>;

/// Name of a failure domain, from the settings.
pub type FailureDomain = Box<str>;

/// Name of an upstream, unique among all hosts.
pub type UpstreamName = Box<str>;

/// Name of a plain service, served by one or more upstreams.
pub type ServiceName = Box<str>;

/// Position in the log of configuration changes; 0 precedes the first entry.
pub type Revision = u64;

/// Number that a process draws when it starts; a later boot of a node has a higher one.
pub type BootId = u64;

/// Fencing number of an agent's ownership of its upstreams; it only rises.
pub type Epoch = u64;

/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Identifies one attempt of one request for the lifetime of the system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Boot of the entry that sent the attempt.
    pub entry_boot: BootId,
    /// Number of the attempt within that boot.
    pub number: u64,
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{}", self.entry_boot, self.number)
    }
}
