//! Load and experiment tool.
//!
//! [`workload`] reads what to ask, [`trace`] draws the requests, [`drive`]
//! asks them at their scheduled times and [`measure`] sums up the answers.
//! [`experiment`] runs one trace against the chosen design and the baselines
//! side by side, [`bound`] computes what no online design can beat and
//! [`report`] and [`plot`] write the results. [`path_cost`] measures what the
//! way through entry and agent adds, [`notes`] how fast a note is in force. [`slopes`] measures what docs/CAPACITY.md
//! rests on.

pub mod bound;
pub mod drive;
pub mod experiment;
pub mod measure;
pub mod notes;
pub mod path_cost;
pub mod plot;
pub mod report;
pub mod slopes;
pub mod trace;
pub mod workload;

#[cfg(test)]
mod tests;
