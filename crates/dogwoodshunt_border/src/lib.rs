//! External protocols: HTTP towards callers and upstreams, the engines' API, etcd
//! and the platform's host list.
//!
//! This crate turns calls into messages of these protocols and classifies their
//! failures, above all whether a request can have reached its peer. It never
//! retries a request that may have been sent and makes no decisions about
//! routing, loading or ownership.
//!
//! The JSON types in [`generated`] come from the schemas in `schemas/`;
//! `scripts/generate-border` regenerates them.
//!
//! Read [`http`] for the client and the server, then [`kv`] for the key-value
//! service, [`engine`] for model engines and [`host_list`] for the platform's list
//! of hosts.

pub mod engine;
pub mod generated;
pub mod host_list;
pub mod http;
pub mod kv;

#[cfg(test)]
mod tests;
