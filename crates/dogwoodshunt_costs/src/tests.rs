//! Tests of the learners.

mod speed;
