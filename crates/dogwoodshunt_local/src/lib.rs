//! Entry, agents and stand-ins in one process on loopback.
//!
//! [`fleet::Fleet`] starts them all; the README's first command and the tests
//! of the whole path use it.

pub mod fleet;
pub mod operator;

#[cfg(test)]
mod tests;

pub use crate::fleet::Fleet;
pub use crate::fleet::Plan;
