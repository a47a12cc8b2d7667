//! Release notes, the ordered log and the catalogue that it yields.
//!
//! The catalogue is the outcome of applying every log entry in order. This
//! crate decides which notes are valid, which conflict and what is in force at
//! a revision. It does no I/O: reading and writing the key-value service is up
//! to the runtime.
//!
//! Read [`release`], [`log`] and [`catalogue`] first, then [`conflict`],
//! [`snapshot`] and [`head`].

pub mod catalogue;
pub mod conflict;
pub mod head;
pub mod log;
pub mod release;
pub mod snapshot;

#[cfg(test)]
mod tests;

pub use crate::catalogue::Catalogue;
pub use crate::catalogue::Missing;
pub use crate::log::Change;
pub use crate::log::LogEntry;
pub use crate::release::AdapterSpec;
pub use crate::release::ReleaseNote;
