//! Complete fleet in one process, on the loopback interface.
//!
//! The crate starts real entries and agents together with stand-ins for the
//! engines, the plain service, the key-value service, the weight store and the
//! host list. `dogwoodshunt-local` and the end-to-end tests use the crate, which
//! makes no serving decision itself. A local fleet is not meant for production:
//! its shared key is a constant, and no state survives the process.
//!
//! Suggested reading order: [`fleet`] starts and stops the fleet, [`samples`]
//! provides adapters for it.

pub mod fleet;
pub mod samples;

#[cfg(test)]
mod tests;

pub use crate::fleet::FleetConfig;
pub use crate::fleet::LocalFleet;
