//! Fleet-wide scheduling of adapter loads from the weight store.
//!
//! The weight store sustains only a few adapter loads per second, which makes
//! loads the scarcest resource of the fleet. One entry, the granter, collects
//! the load demand of all agents from their reports and decides which agent may
//! load which adapter next. The granter rebuilds its state from the reports, so
//! another entry can take over at any time. Two granters that are active at
//! once slow loads down, but cause no incorrect results. An agent that receives no
//! messages from a granter falls back to a low load rate of its own.
//!
//! The crate does no I/O, reads no clock and never loads or evicts an adapter
//! itself. Its only module is [`granter`].

pub mod granter;

#[cfg(test)]
mod tests;

pub use crate::granter::Grant;
pub use crate::granter::Granter;
pub use crate::granter::GranterSettings;
