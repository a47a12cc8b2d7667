//! The order of loads across all runners.
//!
//! The weight store carries a few loads a second, which makes loads the
//! scarcest resource of the fleet. One entry, the granter, sees the demand of
//! all agents in their reports and says which load comes next. Its state is
//! rebuilt from those reports, so another entry can take over at any time. Two
//! granters at once cost slower loads and nothing else.
//!
//! The crate does no I/O and reads no clock. Read [`granter`].

pub mod granter;

#[cfg(test)]
mod tests;

pub use crate::granter::Grant;
pub use crate::granter::Granter;
pub use crate::granter::Settings;
