//! Limits on what clients may cost a process.
//!
//! This crate decides which connections are admitted, which bytes may be buffered, which connections
//! are closed to make room, and when a body is too slow. It does no I/O, reads no clock and allocates
//! no buffers.
//!
//! Read [`limits`] first, which derives the limits from the memory and the descriptors of the host,
//! then [`budget`], which holds the connections and leases of bytes, and [`progress`], which judges
//! one body.

pub mod budget;
pub mod limits;
pub mod progress;

pub use crate::budget::Budget;
pub use crate::budget::ConnectionKey;
pub use crate::budget::LeaseKey;
pub use crate::budget::Listener;
pub use crate::limits::Limits;
pub use crate::progress::BodyProgress;

#[cfg(test)]
mod tests;
