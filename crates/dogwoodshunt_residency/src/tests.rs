//! Tests of the scheduler.

mod decisions;
mod engine_limits;
mod load_window;
mod rate_limits;
mod state_machine;
