//! The control point of one engine: grants runs to entries and orders loads.
//!
//! Entries send requests to the engine themselves, once this process has
//! granted them room. So it sees the engine's whole load, and its own end cuts
//! off no answer. It is the only process that orders its engine. What to
//! grant, load and evict is decided in `dogwoodshunt_residency`.
//!
//! Read [`settings`] and [`engine`] first, then [`steward`], [`control`] and
//! [`worker`].

pub mod control;
pub mod engine;
pub mod metrics;
pub mod settings;
pub mod steward;
pub mod worker;

#[cfg(test)]
mod tests;

pub use crate::settings::StewardSettings;
pub use crate::steward::Steward;
