//! Tests of the border.
