//! The entry process: accepts callers' HTTP requests, forwards each to an agent
//! and returns the agent's response.
//!
//! The crate decides which version a bare adapter name resolves to during a
//! version switch, which fleet-wide roles this entry holds, such as compacting
//! the change log, and whether a failed request is reported to the caller as not
//! run or as possibly run. `dogwoodshunt_routing` chooses the agent and decides
//! on retries. The crate never calls an engine and never loads or unloads an
//! adapter; agents do both.
//!
//! One thread owns the control state ([`control`]). Traffic threads serve
//! callers ([`api`]) and operators ([`operators`]), exchange frames with agents
//! ([`agent_connection`]) and poll the change log and the host list
//! ([`watchers`]).
//!
//! Read [`settings`] first, then [`entry`], [`control`], [`api`],
//! [`agent_connection`], [`operators`] and [`watchers`].

pub mod agent_connection;
pub mod api;
pub mod control;
pub mod entry;
pub mod operators;
pub mod settings;
pub mod watchers;

#[cfg(test)]
mod tests;

pub use crate::entry::Entry;
pub use crate::settings::EntrySettings;
