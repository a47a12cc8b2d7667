//! Decides whether a node's copy of the catalogue is fresh, which log entries are
//! accepted, and which nodes are witnesses.
//!
//! A node that cannot reach the key-value service cannot tell an outage of the
//! service from a network partition in which the other nodes accept new log entries.
//! It therefore measures how long ago its catalogue was confirmed to be up to date,
//! either by a read of the service or by more than half of the *witnesses*. The
//! witnesses are a few nodes per failure domain; a log entry names them.
//!
//! The node is *fresh* while that age is below the freshness limit. A log entry is
//! *accepted* once the witnesses that may not hold it are no majority. Those witnesses
//! alone cannot keep a node fresh, so every node that is still fresh one freshness
//! limit after the acceptance holds the entry.
//!
//! This crate does no I/O and never reads the clock; callers pass in the time.
//!
//! Read [`tracker`] first, then [`witness_selection`].

pub mod tracker;
pub mod witness_selection;

#[cfg(test)]
mod tests;

pub use crate::tracker::FreshnessSummary;
pub use crate::tracker::FreshnessTracker;
pub use crate::tracker::MergeOutcome;
