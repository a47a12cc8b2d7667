//! Command-line tool for operators: release notes, planned stops, status and audit.
//!
//! The crate parses arguments, calls the operator API of one entry, and formats
//! the responses. It decides nothing about the fleet and never reads or writes
//! the key-value service itself.
//!
//! Suggested reading order: [`cli`] defines the subcommands, [`commands`]
//! executes them, [`audit`] and [`diff`] derive changes from log entries,
//! [`explain`] collects the log lines of one request, [`render`] formats results
//! as text, and [`exit`] defines the exit codes.

pub mod audit;
pub mod cli;
pub mod commands;
pub mod diff;
pub mod exit;
pub mod explain;
pub mod render;

#[cfg(test)]
mod tests;
