//! A node's copy of the catalogue, kept in sync with its peers.
//!
//! Entry processes and agents are the nodes; the peers of a node are the nodes to which
//! it has an open connection. Every heartbeat carries the sender's revision and its
//! freshness summary. A node that is behind the sender first pulls the missing log
//! entries and only then uses heartbeats to confirm that its copy is fresh. The revision
//! of the copy never decreases.
//!
//! This crate decides which messages to send to peers, how far a log entry has been
//! replicated, and when the witnesses have to be replaced. It does no I/O and never reads
//! the clock; callers pass in the time.
//!
//! Read [`replica`] first, then [`peer`] and [`replication_status`].

pub mod peer;
pub mod replica;
pub mod replication_status;

#[cfg(test)]
mod tests;

pub use crate::peer::PeerKey;
pub use crate::replica::Replica;
pub use crate::replication_status::ReplicationStatus;
