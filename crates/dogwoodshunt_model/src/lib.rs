//! A model of engines under load, and experiments with placing and admission.
//!
//! [`engine`] models one engine: batches, prompts read in pieces, the KV
//! cache, places for adapters. [`host`] joins it with its agent,
//! [`weight_store`] models the store that adapters come from, [`workload`] draws requests, and [`simulation`] plays a load against the real
//! decisions of `dogwoodshunt_routing` and `dogwoodshunt_residency`. It says
//! what callers get in [`outcome`]. Nothing sleeps: a minute is played in less
//! than a second.

pub mod engine;
pub mod host;
pub mod outcome;
pub mod simulation;
pub mod weight_store;
pub mod workload;

#[cfg(test)]
mod tests;

pub use crate::host::Fleet;
pub use crate::outcome::Outcome;
pub use crate::simulation::World;
pub use crate::workload::Load;
