//! Tests of the agent's decisions.

mod focused;
mod load_window;
mod randomised;
mod tokens;
