//! The operator's command: release notes, planned stops, status and audit.
//!
//! [`cli`] defines the commands, [`commands`] carries them out, [`render`] writes
//! what they found as text, [`audit`] and [`diff`] compare revisions,
//! [`explain`] gathers the story of a request and [`exit`] names the exit codes.

pub mod audit;
pub mod cli;
pub mod commands;
pub mod diff;
pub mod exit;
pub mod explain;
pub mod render;

#[cfg(test)]
mod tests;
