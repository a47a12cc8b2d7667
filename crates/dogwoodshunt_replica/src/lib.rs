//! A node's copy of the catalogue, kept in step with its peers.
//!
//! Every heartbeat carries the sender's revision and what it has heard.
//! Whoever is behind pulls the difference before it trusts the heartbeat. The
//! copy only moves forward. The crate does no I/O and reads no clock.
//!
//! Read [`replica`] first, then [`peer`] and [`standing`].

pub mod peer;
pub mod replica;
pub mod standing;

#[cfg(test)]
mod tests;

pub use crate::peer::PeerKey;
pub use crate::replica::Replica;
pub use crate::standing::Standing;
