//! Messages and HTTP client of the operator API, which every entry serves.
//!
//! The crate defines the JSON bodies and the calls. It decides nothing: entries
//! validate and execute the requests, and `dogwoodshunt-ctl` and tests send
//! them.
//!
//! Suggested reading order: [`messages`] defines the bodies, [`client`] the
//! calls with their paths.

pub mod client;
pub mod messages;

pub use crate::client::OperatorClient;
