//! Messages of the operators' interface, and a client for it.
//!
//! [`messages`] are the bodies that an entry serves; [`client::Operator`] is
//! what `dogwoodshunt-ctl` and tests call it with. The crate decides nothing.

pub mod client;
pub mod messages;

pub use crate::client::Operator;
