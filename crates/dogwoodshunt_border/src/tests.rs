//! Tests of the border.

mod exchange;
