//! Load generator and benchmark tool.
//!
//! This crate measures the serving layer on one machine: real entry and agent
//! processes run against simulated engines and services, and the results are
//! printed or written to files. It decides nothing at run time: no entry or agent
//! depends on it.
//!
//! An experiment compares routing policies and reads best in this order:
//! [`workload`] holds the settings, [`trace`] generates the requests from a seed,
//! [`replay`] sends them at their scheduled times, [`summary`] computes the
//! statistics, [`lower_bound`] the minimum number of adapter loads,
//! [`experiment`] runs all policies and [`report`] and [`plot`] write the results.
//!
//! Three further measurements stand alone: [`proxy_overhead`] measures what entry
//! and agent add to the latency of a call, [`release_latency`] how long a release
//! note takes to be in force, and [`scaling`] how memory, message sizes, processor
//! time and key-value calls grow, on which docs/CAPACITY.md is based.

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
