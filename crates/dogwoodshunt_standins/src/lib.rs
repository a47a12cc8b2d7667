//! Small stand-ins for engines, services and the platform.
//!
//! Each honours the published protocol of what it stands for and breaks it on
//! demand, by a `POST` of [`faults`] to `/standin/faults`. What really ran is
//! counted, so that tests can compare it with what callers were told.

pub mod engine;
pub mod faults;
pub mod host_list;
pub mod kv;
pub mod ledger;
pub mod serve;
pub mod service;
pub mod weight_store;

#[cfg(test)]
mod tests;
