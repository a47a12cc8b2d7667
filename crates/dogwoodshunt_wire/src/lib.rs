//! Messages between entries and agents, their encoding and the handshake.
//!
//! An entry opens a connection to every agent that it uses. Both sides prove
//! that they hold the shared key and then exchange [`frame::Frame`]s, each
//! encoded as one CBOR value in one WebSocket message.
//!
//! This crate defines the protocol and checks proofs and encodings. It opens no
//! connections and does not act on frames.
//!
//! Read [`frame`] for the messages, then [`codec`] for their encoding and
//! [`handshake`] for the mutual authentication.

pub mod codec;
pub mod frame;
pub mod handshake;

#[cfg(test)]
mod tests;

pub use crate::frame::Frame;
