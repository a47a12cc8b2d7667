//! Decisions of an entry about routes, upstreams and admission.
//!
//! The crate finds the route and the service of a request, keeps the list of
//! upstreams, chooses an upstream for a call of a plain service, and computes the
//! longest expected wait with which a request is still admitted, and which prompts are
//! refused since they crash engines. It does not choose
//! engines for model requests, does no I/O and reads no clock: the time is an argument.
//!
//! Each upstream of a *plain service* can run any request of the service. The
//! upstreams of other services are model engines, which need the base model and the
//! adapter of a request.
//!
//! Read [`config`] first, then [`registry`], [`pool`] with [`rate_share`] and [`fair_calls`], [`admission`],
//! [`quarantine`] and [`request_quarantine`].

pub mod admission;
pub mod config;
pub mod fair_calls;
pub mod pool;
pub mod quarantine;
pub mod rate_share;
pub mod registry;
pub mod request_quarantine;

#[cfg(test)]
mod tests;

pub use crate::config::Config;
pub use crate::config::Route;
pub use crate::pool::UpstreamPool;
pub use crate::quarantine::PromptQuarantine;
pub use crate::registry::UpstreamRegistry;
pub use crate::request_quarantine::RequestQuarantine;
