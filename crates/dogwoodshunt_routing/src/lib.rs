//! An entry's decisions: candidates, attempts, retries and their budget.
//!
//! [`Router`] holds what an entry knows of the agents and picks one for each
//! attempt. [`attempt`] follows one attempt so that a request that may not be
//! repeated is handed out once. The crate does no I/O and reads no clock.
//!
//! Read [`agent`], [`near`], [`cost`] and [`router`] for the choice, then [`attempt`]
//! and [`retry`] for what follows a failure.

pub mod agent;
pub mod attempt;
pub mod cost;
pub mod near;
pub mod retry;
pub mod router;
pub mod settings;

#[cfg(test)]
mod tests;

pub use crate::agent::AgentKey;
pub use crate::attempt::Attempt;
pub use crate::router::Ask;
pub use crate::router::Router;
pub use crate::settings::Policy;
pub use crate::settings::Settings;
