//! Load and experiment tool.
//!
//! [`workload`] reads what to ask, [`trace`] draws the requests, [`replay`]
//! asks them at their scheduled times and [`summary`] sums up the answers.
//! [`experiment`] runs one trace against the chosen design and the baselines
//! side by side, [`lower_bound`] computes what no online design can beat and
//! [`report`] and [`plot`] write the results. [`proxy_overhead`] measures what the
//! way through entry and agent adds, [`release_latency`] how fast a note is in force. [`scaling`] measures what docs/CAPACITY.md
//! rests on.

pub mod experiment;
pub mod lower_bound;
pub mod plot;
pub mod proxy_overhead;
pub mod release_latency;
pub mod replay;
pub mod report;
pub mod scaling;
pub mod summary;
pub mod trace;
pub mod workload;

#[cfg(test)]
mod tests;
