//! Stand-in of a model engine with continuous batching, adapter slots, load
//! and unload orders and injected faults.
//!
//! Modules in reading order: [`state`] (loaded adapters and running requests),
//! [`completion`] (requests and responses of completions), [`handler`] (HTTP
//! endpoints).

pub mod completion;
pub mod handler;
pub mod state;

pub use crate::engine::handler::EngineStandin;
pub use crate::engine::state::EngineConfig;
pub use crate::engine::state::EngineStats;
