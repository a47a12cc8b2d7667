//! Settings, logs, metrics, threads and links that the programs share.
//!
//! This crate holds no decisions. [`settings`] reads files, [`reload`] follows
//! them, [`telemetry`] writes logs and metrics, [`traffic`] runs the traffic
//! threads, [`listen`] takes addresses, [`link`] carries frames between
//! processes, [`ownership`] takes over upstreams, [`shutdown`] waits for signals
//! and [`program`] is what the mains share.

pub mod boot;
pub mod link;
pub mod listen;
pub mod metrics;
pub mod ownership;
pub mod program;
pub mod reload;
pub mod settings;
pub mod shutdown;
pub mod telemetry;
pub mod traffic;

#[cfg(test)]
mod tests;
