//! The process beside an upstream host's engines and services.
//!
//! The agent is the only way to its host's upstreams. One thread holds the
//! control state ([`control`]); traffic threads carry requests to upstreams
//! ([`run`]), orders to engines ([`orders`]) and answers back ([`output`]).
//! What to run, load and evict is decided in `dogwoodshunt_residency`.
//!
//! Read [`settings`] first, then [`agent`], [`control`] and the rest.

pub mod agent;
pub mod control;
pub mod orders;
pub mod output;
pub mod run;
pub mod settings;
mod sse;

#[cfg(test)]
mod tests;

pub use crate::agent::Agent;
pub use crate::settings::AgentSettings;
