//! Tests of the whole path in one process, and of the examples.

mod examples;
mod path;
