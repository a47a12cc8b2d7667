//! Process runtime shared by the programs: settings, logs, metrics, executors,
//! signals and connections between processes.
//!
//! This crate decides whether a settings file is valid, whether a peer is
//! authenticated and when a failed takeover of upstreams is retried. It makes no
//! decisions about routing, loading or admission.
//!
//! Read [`program`] first, which starts a process. It uses [`settings`] to read
//! the settings file, [`reload`] to follow changes of the file, [`telemetry`] for
//! logs, [`traffic`] for the threads that carry traffic and [`shutdown`] for
//! termination signals. The processes themselves use [`listen`] to bind addresses,
//! [`link`] to exchange frames, [`limits`] to bound what clients cost, [`ownership`] to take
//! over upstreams, [`metrics`] to expose metrics, [`nondeterminism`] for random numbers and the
//! wall clock, and [`boot_clock`] for times that count the suspension of the machine.

pub mod boot_clock;
pub mod limits;
pub mod link;
pub mod listen;
pub mod metrics;
pub mod nondeterminism;
pub mod ownership;
pub mod program;
pub mod reload;
pub mod settings;
pub mod shutdown;
pub mod telemetry;
pub mod traffic;

#[cfg(test)]
mod tests;
