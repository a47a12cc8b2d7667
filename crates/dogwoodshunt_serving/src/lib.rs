//! What an entry decides where operators configure routes and services.
//!
//! [`config`] holds what is in force and finds the route of a request,
//! [`registry`] which upstreams there are, [`pool`] chooses among those of a
//! plain service, and [`admission`] says whether a request is worth its place.
//! The crate does no I/O and reads no clock.

pub mod admission;
pub mod config;
pub mod pool;
pub mod registry;

#[cfg(test)]
mod tests;

pub use crate::config::Config;
pub use crate::config::Route;
pub use crate::pool::Pool;
pub use crate::registry::Registry;
