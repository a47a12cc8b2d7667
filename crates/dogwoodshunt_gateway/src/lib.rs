//! The entry of platforms that configure routes and list upstreams.
//!
//! Callers' requests come in typed, through an adapter to the platform's
//! protocol ([`ports`]). One thread holds the control state ([`control`]);
//! traffic threads carry requests ([`call`]), follow the platform's store
//! ([`watch`]) and keep the connections to agents ([`connector`]). Which agent
//! runs a model request is decided in `dogwoodshunt_routing`, the rest in
//! `dogwoodshunt_serving`. [`overview`] compares the store with what processes
//! serve, for operators.
//!
//! Read [`ports`] and [`settings`] first, then [`gateway`], [`control`] and
//! [`call`].

pub mod call;
pub mod connector;
pub mod control;
pub mod gateway;
pub mod metrics;
pub mod overview;
pub mod ports;
pub mod settings;
pub mod watch;

#[cfg(test)]
mod tests;

pub use crate::gateway::Gateway;
pub use crate::settings::GatewaySettings;
