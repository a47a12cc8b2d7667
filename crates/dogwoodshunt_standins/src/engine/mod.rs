//! Model engine: continuous batching, adapter slots, orders and their faults.
//!
//! [`state`] holds what is loaded and what runs, [`handler`] the HTTP side and
//! [`answer`] the bodies of completions.

pub mod answer;
pub mod handler;
pub mod state;

pub use crate::engine::handler::EngineStandin;
pub use crate::engine::state::Shape;
pub use crate::engine::state::Stats;
