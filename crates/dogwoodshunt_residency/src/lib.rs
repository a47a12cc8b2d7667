//! An agent's decisions: queue, adapter residency, pins, loads and drain.
//!
//! [`Residency`] holds the state of one agent's upstreams and of the jobs that
//! entries have submitted to it. Events go in with the present time, actions
//! come out. The crate does no I/O, reads no clock and takes no lock.
//!
//! Read [`job`], [`demand`] and [`upstream`] for the state, [`residency`] and
//! [`orders`] for the events, then [`plan`] and `loads` for the decisions;
//! [`budget`], [`load_window`], [`popularity`] and [`prefix`] serve them.

pub mod action;
pub mod budget;
pub mod demand;
pub mod job;
pub mod load_window;
mod loads;
pub mod orders;
pub mod pace;
pub mod plan;
pub mod popularity;
pub mod prefix;
pub mod report;
pub mod residency;
pub mod settings;
pub mod upstream;

#[cfg(test)]
mod tests;

pub use crate::action::Action;
pub use crate::demand::Demand;
pub use crate::job::JobKey;
pub use crate::job::Target;
pub use crate::plan::Gate;
pub use crate::prefix::PrefixRecord;
pub use crate::report::LoadWant;
pub use crate::report::Report;
pub use crate::residency::Residency;
pub use crate::settings::Settings;
pub use crate::upstream::UpstreamKey;
