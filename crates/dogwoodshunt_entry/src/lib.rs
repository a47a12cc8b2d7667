//! The process that takes callers' requests.
//!
//! One thread holds the control state ([`control`]); traffic threads answer
//! callers ([`api`]) and operators ([`operators`]), carry frames to agents
//! ([`port`]) and watch the platform ([`platform`]). Which agent to use is
//! decided in `dogwoodshunt_routing`.
//!
//! Read [`settings`] first, then [`entry`], [`control`], [`api`] and the rest.

pub mod api;
pub mod control;
pub mod entry;
pub mod operators;
pub mod platform;
pub mod port;
pub mod settings;

#[cfg(test)]
mod tests;

pub use crate::entry::Entry;
pub use crate::settings::EntrySettings;
