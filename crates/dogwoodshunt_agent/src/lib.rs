//! The agent process, which runs beside the engines and services of one host.
//!
//! All requests to the upstreams of a host pass through its agent. The agent queues
//! requests, relays responses to the entries, sends load and unload orders to
//! engines, and reports its load to the entries. The agent never decides what to run,
//! load or evict; `dogwoodshunt_residency` does. The agent sends orders only while its
//! ownership of the upstreams is confirmed.
//!
//! One thread owns the control state ([`control`]). Traffic threads run requests on
//! upstreams ([`run`]), send orders and probes ([`upstream_worker`]) and send
//! responses to entries ([`response_buffer`]).
//!
//! Read [`settings`] first, then [`agent`], [`control`], [`run`],
//! [`response_buffer`] and [`upstream_worker`].

pub mod agent;
pub mod control;
pub mod response_buffer;
pub mod run;
pub mod settings;
mod sse;
pub mod upstream_worker;

#[cfg(test)]
mod tests;

pub use crate::agent::Agent;
pub use crate::settings::AgentSettings;
