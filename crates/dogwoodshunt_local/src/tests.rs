//! End-to-end tests in one process, and tests of the example files.

mod end_to_end;
mod examples;
