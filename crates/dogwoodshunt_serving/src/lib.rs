//! Decisions of an entry about routes, upstreams and admission.
//!
//! The crate finds the route and the service of a request, keeps the list of
//! upstreams, chooses an upstream for a call of a plain service, and computes how
//! long a request may wait before it is better refused. It does not choose engines
//! for model requests, does no I/O and reads no clock: the time is an argument.
//!
//! A *plain service* has upstreams that run any of its requests; the upstreams of
//! other services are model engines.
//!
//! Read [`config`] first, then [`registry`], [`pool`] and [`admission`].

pub mod admission;
pub mod config;
pub mod pool;
pub mod registry;

#[cfg(test)]
mod tests;

pub use crate::config::Config;
pub use crate::config::Route;
pub use crate::pool::UpstreamPool;
pub use crate::registry::UpstreamRegistry;
