//! Learned costs of requests: what the decisions about placement and admission estimate from
//! observed times and lengths.
//!
//! The crate does no I/O and reads no clock; the present time is an argument. Each learner has
//! bounded memory and starts with neutral values, which it returns to when the process that it
//! describes is replaced.
//!
//! [`speed`] learns how fast an engine prefills prompts, apart from its load, and [`call_time`] how
//! long the calls to an upstream of a plain service take.

pub mod call_time;
pub mod speed;

#[cfg(test)]
mod tests;

pub use crate::call_time::CallTime;
pub use crate::speed::EngineSpeed;
