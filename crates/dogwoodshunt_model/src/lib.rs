//! Discrete-event simulation of entries, agents and engines under a workload.
//!
//! The simulation runs the production decisions of `dogwoodshunt_routing` and
//! `dogwoodshunt_residency` on simulated time, against simulated engines, and
//! reports what callers observe. Experiments use it to compare settings: it
//! decides nothing itself, opens no connection and never sleeps, so that a
//! minute of traffic takes less than a second.
//!
//! Suggested reading order:
//!
//! 1. [`workload`] generates the requests.
//! 2. [`engine`] simulates one engine: its batch, chunked prefill, KV cache and
//!    adapter slots.
//! 3. [`weight_store`] simulates the store that adapters are loaded from.
//! 4. [`host`] joins an engine with the agent that controls it.
//! 5. [`simulation`] processes the events.
//! 6. [`outcome`] counts the results.

pub mod engine;
pub mod host;
pub mod outcome;
pub mod simulation;
pub mod weight_store;
pub mod workload;

#[cfg(test)]
mod tests;

pub use crate::host::FleetConfig;
pub use crate::outcome::Outcome;
pub use crate::simulation::Simulation;
pub use crate::workload::Workload;
