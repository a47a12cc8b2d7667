//! The log, its snapshots, ownership and claims in the key-value service.
//!
//! Everything that must be agreed or kept lives here, and each agreement is
//! one compare-and-swap. An answer that was lost is read back before anything
//! is decided on it.
//!
//! Read [`log`] for configuration changes and [`compact`] for snapshots, then
//! [`ownership`] for fencing numbers and [`claim`] for idempotency keys.

mod base64_bytes;
pub mod claim;
pub mod compact;
pub mod log;
pub mod ownership;

#[cfg(test)]
mod tests;

pub use crate::log::LogStore;
