//! Entry process for platforms that keep their routes and their list of
//! upstreams in a key-value store.
//!
//! An entry accepts callers' HTTP requests and forwards each to an upstream; the
//! type [`Gateway`] is such an entry. The crate decides which upstream each
//! caller's request is sent to, whether a failed request is sent again, and
//! which requests are refused because their response would come too late. Model
//! requests run on engines; beside each engine runs an agent, which admits
//! requests to the engine. Requests to plain services, which have no engines, go
//! to an upstream of the service's pool.
//!
//! The crate never loads adapters, never writes to the platform's store and
//! does not know the platform's wire protocol: implementations of the traits in
//! [`platform`] convert between that protocol and the crate's types.
//! `dogwoodshunt_routing` selects the agent for a model request; route
//! matching, pools of upstreams and admission rules are in
//! `dogwoodshunt_serving`.
//!
//! One thread owns the control state ([`control`]). Traffic threads handle
//! requests ([`call`]), watch the platform's store ([`watch`]) and maintain the
//! connections to agents ([`connector`]). [`currency_gate`] knows whether the configuration is
//! recent enough for requests with keys, and [`proof_requests`] asks the store if the watch does
//! not tell. [`overview`] compares the contents of
//! the store with the metrics of running processes, for operators.
//!
//! Read [`platform`] and [`settings`] first, then [`gateway`], [`control`] and
//! [`call`].

pub mod call;
pub mod connector;
pub mod control;
pub mod currency_gate;
pub mod gateway;
pub mod metrics;
pub mod overview;
pub mod platform;
pub mod proof_requests;
pub mod settings;
pub mod watch;

#[cfg(test)]
mod tests;

pub use crate::gateway::Gateway;
pub use crate::settings::GatewaySettings;
