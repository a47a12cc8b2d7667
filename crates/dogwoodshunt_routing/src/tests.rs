//! Tests of the entry's decisions.
