//! Whether a node may trust its catalogue, and whether an entry is accepted.
//!
//! A node that cannot reach the key-value service cannot tell an outage of the
//! service from being cut off while the others move on. It therefore counts
//! the age of what it last heard, from the service or from more than half of
//! the *witnesses*, a few nodes per failure domain that the log names. An
//! entry is accepted once the witnesses that may not hold it are no majority.
//! A node that is still fresh after the limit has therefore heard of it.
//!
//! Read [`freshness`] first, then [`electorate`].

pub mod electorate;
pub mod freshness;

#[cfg(test)]
mod tests;

pub use crate::freshness::Freshness;
pub use crate::freshness::Merge;
pub use crate::freshness::Summary;
