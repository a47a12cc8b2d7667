//! Tests of the runtime.
