//! Frames between dogwoodshunt processes and their codec.
//!
//! An entry connects to every agent it uses. Both sides prove that they hold
//! the shared key ([`handshake`]) and then exchange [`frame::Frame`]s, each one
//! CBOR value in one WebSocket message ([`codec`]).

pub mod codec;
pub mod frame;
pub mod handshake;

#[cfg(test)]
mod tests;

pub use crate::frame::Frame;
