//! Entry, agents and stand-ins in one process on loopback.
//!
//! [`fleet::Fleet`] starts them all; the README's first command and the tests
//! of the whole path use it; [`samples`] makes adapters for them.

pub mod fleet;
pub mod samples;

#[cfg(test)]
mod tests;

pub use crate::fleet::Fleet;
pub use crate::fleet::Plan;
