//! Which software version began each stream.
//!
//! Streams of two software versions do not fit together, so a stream that broke off goes on only at
//! an upstream of the version that began it. Callers take a stream up at any entry, also after all
//! entries have lost power, and entries have no disk. So an entry that relays the first event of a
//! stream tells a few agents in different failure domains, and an entry that does not know a stream
//! asks the agents that may have been told.
//!
//! The crate keeps that memory, chooses the agents and follows the questions. It does no I/O and
//! reads no clock.
//!
//! Read [`memory`] first, then [`holders`] and [`lookups`].

pub mod holders;
pub mod lookups;
pub mod memory;

#[cfg(test)]
mod tests;

pub use crate::lookups::Lookups;
pub use crate::memory::StreamMemory;
