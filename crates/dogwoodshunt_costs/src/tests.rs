//! Tests of the learners.

mod call_time;
mod speed;
