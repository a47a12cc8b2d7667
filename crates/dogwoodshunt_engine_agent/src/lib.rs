//! The agent of one model engine: admits runs to the engine and orders loads.
//!
//! A *run* is one execution of a request on the engine. Entries ask the agent
//! for admission, and send a request to the engine themselves once the agent
//! has granted the run. All runs pass through this admission, so the agent
//! knows the whole load of its engine. It never relays requests or responses, so
//! its exit interrupts no response. It is the only process that sends its engine
//! *orders*: commands to load an adapter or a base model, or to unload an adapter.
//!
//! `dogwoodshunt_residency` decides which runs to grant and which adapters to
//! load and evict. This crate passes frames from entries and reports from the
//! engine to that scheduler, and carries out its decisions.
//!
//! Read [`settings`] and [`engine`] first, then [`agent`], [`control`] and
//! [`engine_worker`].

pub mod agent;
pub mod control;
pub mod engine;
pub mod engine_worker;
pub mod metrics;
pub mod settings;
pub mod workspace_labels;

#[cfg(test)]
mod tests;

pub use crate::agent::EngineAgent;
pub use crate::settings::EngineAgentSettings;
