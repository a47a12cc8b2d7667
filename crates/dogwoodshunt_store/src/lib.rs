//! Shared state in the key-value service: the configuration log and its snapshots,
//! ownership of upstreams and claims of idempotency keys.
//!
//! This crate decides which of several concurrent writers wins, by one
//! compare-and-swap per decision. After a lost response it reads the record back
//! before it reports a result. It caches nothing and sends no requests to upstreams.
//!
//! Read [`log`] for configuration changes and [`compaction`] for snapshots, then
//! [`ownership`] for fencing tokens and [`claim`] for idempotency keys.

mod base64_bytes;
pub mod claim;
pub mod compaction;
pub mod log;
pub mod ownership;

#[cfg(test)]
mod tests;

pub use crate::log::LogStore;
