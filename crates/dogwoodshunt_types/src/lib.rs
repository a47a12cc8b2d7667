//! Identifiers and value types shared by every dogwoodshunt crate.
//!
//! The crate defines which names are valid, how rendezvous hashing ranks
//! candidates and how violations of invariants are counted. The crate makes no
//! serving decisions, does no I/O and reads no clock.
//!
//! Read [`id`] first, then [`adapter`], [`boot_time`], [`outcome`], [`rate_limit`],
//! [`rendezvous`] and [`invariant`].

pub mod adapter;
pub mod boot_time;
pub mod id;
pub mod invariant;
pub mod outcome;
pub mod rate_limit;
pub mod rendezvous;

#[cfg(test)]
mod tests;

pub use crate::adapter::AdapterRef;
pub use crate::boot_time::BootTime;
pub use crate::id::AdapterName;
pub use crate::id::BootId;
pub use crate::id::Epoch;
pub use crate::id::FailureDomain;
pub use crate::id::NodeId;
pub use crate::id::RequestFingerprint;
pub use crate::id::RequestId;
pub use crate::id::Revision;
pub use crate::id::ServiceName;
pub use crate::id::SoftwareVersion;
pub use crate::id::StoreEra;
pub use crate::id::StreamId;
pub use crate::id::UnixMillis;
pub use crate::id::UpstreamName;
pub use crate::id::Version;
pub use crate::id::WorkspaceName;
pub use crate::id::stream_id;
pub use crate::outcome::NotRun;
pub use crate::outcome::NotRunReason;
pub use crate::outcome::Priority;
pub use crate::outcome::RequestOutcome;
pub use crate::rate_limit::RateLimit;
