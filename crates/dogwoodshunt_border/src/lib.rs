//! Published protocols towards callers, upstreams and the platform.
//!
//! The JSON types in [`generated`] come from the schemas beside this crate's
//! sources; `scripts/generate-border` writes them anew. Everything else here
//! is a narrow wrapper: [`http`] for clients and servers, [`kv`] for the
//! key-value service, [`engine`] for model engines and [`host_list`] for the
//! platform's list of hosts. This crate decides nothing.

pub mod engine;
pub mod generated;
pub mod host_list;
pub mod http;
pub mod kv;

#[cfg(test)]
mod tests;
