//! Request routing of an entry.
//!
//! The crate decides which agent gets each attempt of a request, whether a
//! request is refused because no agent can meet its deadline, and whether a
//! failed attempt is retried. [`Router`] holds the state of all agents and makes
//! these decisions. [`Attempt`] is a typestate: sending an attempt consumes it, so
//! the compiler rejects code that sends the same attempt twice, which would let a
//! request run twice that must not.
//!
//! The crate does no I/O and reads no clock; it neither sends requests nor loads
//! adapters.
//!
//! Read [`settings`], [`agent`], [`adapter_index`], [`reachability`], [`cost`] and
//! [`router`] for the choice of an agent, then [`attempt`] and [`retry`] for the handling of
//! failures.

pub mod adapter_index;
pub mod agent;
pub mod attempt;
pub mod cost;
pub mod partition;
pub mod reachability;
pub mod retry;
pub mod router;
pub mod settings;
pub mod stream_loss;

#[cfg(test)]
mod tests;

pub use crate::agent::AgentKey;
pub use crate::attempt::Attempt;
pub use crate::reachability::UnreachedCause;
pub use crate::router::RouteRequest;
pub use crate::router::Router;
pub use crate::settings::Policy;
pub use crate::settings::RouterSettings;
