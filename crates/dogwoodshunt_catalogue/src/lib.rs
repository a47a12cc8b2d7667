//! Release notes, the configuration log and the adapter catalogue built from the log.
//!
//! Operators change the configuration by submitting release notes and by planning
//! stops, which drain a host or an upstream. Each change is one entry of a totally
//! ordered log, and the position of an entry is its *revision*. The catalogue is
//! the result of applying all log entries up to a revision in order.
//!
//! This crate decides which release notes are valid, which notes conflict, and
//! which adapter versions are available at a revision. It does no I/O: other
//! crates read and write the log in the key-value service.
//!
//! Read [`release`], [`log`] and [`catalogue`] first, then [`admission`],
//! [`snapshot`] and [`head`].

pub mod admission;
pub mod catalogue;
pub mod head;
pub mod log;
pub mod release;
pub mod snapshot;

#[cfg(test)]
mod tests;

pub use crate::catalogue::Catalogue;
pub use crate::catalogue::ResolveError;
pub use crate::log::Change;
pub use crate::log::LogEntry;
pub use crate::release::AdapterSpec;
pub use crate::release::ReleaseNote;
