//! Tests of the agent's decisions.

mod focused;
mod randomised;
mod tokens;
