//! Tests of the scheduler.

mod decisions;
mod engine_limits;
mod fair_share;
mod load_window;
mod prefill_pacing;
mod rate_limits;
mod state_machine;
