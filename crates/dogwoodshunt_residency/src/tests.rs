//! Tests of the agent's decisions.
