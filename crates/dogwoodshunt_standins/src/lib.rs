//! Stand-ins: small fakes of model engines, plain services, the key-value
//! service, the host list and the weight store, for tests and development.
//!
//! Each stand-in implements the published protocol of the component that it
//! replaces. A `POST` of one of the [`faults`] to `/standin/faults` makes an
//! engine or the key-value service violate its protocol. Engines and plain
//! services count every execution of a request ([`run_counts`]), so that tests
//! can compare the counts with the responses that callers received.
//!
//! The stand-ins generate placeholder text instead of running a model, and they
//! never start or route to entries and agents.
//!
//! Modules in reading order: [`serve`] (HTTP listener), [`faults`] and
//! [`run_counts`] (shared types), [`engine`], [`service`], [`kv`],
//! [`host_list`], [`weight_store`].

pub mod engine;
pub mod faults;
pub mod host_list;
pub mod kv;
pub mod run_counts;
pub mod serve;
pub mod service;
pub mod weight_store;

#[cfg(test)]
mod tests;
