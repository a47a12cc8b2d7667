//! A model of engines under load, and experiments with placing and admission.
//!
//! [`engine`] models one engine: batches, prompts read in pieces, the KV
//! cache, places for adapters. [`host`] joins it with its agent,
//! [`weights`] models the store that adapters come from, [`load`] draws requests, and [`world`] plays a load against the real
//! decisions of `dogwoodshunt_routing` and `dogwoodshunt_residency`. It says
//! what callers get in [`outcome`]. Nothing sleeps: a minute is played in less
//! than a second.

pub mod engine;
pub mod host;
pub mod load;
pub mod outcome;
pub mod weights;
pub mod world;

#[cfg(test)]
mod tests;

pub use crate::host::Fleet;
pub use crate::load::Load;
pub use crate::outcome::Outcome;
pub use crate::world::World;
