//! Workspaces: the accounts of customers, and the keys by which their callers identify
//! themselves.
//!
//! The crate decides to which workspace a caller's key belongs, and whether the configuration is
//! known to be recent enough to run a request with a key or to refuse one. It never holds a key,
//! only its digest, and does no I/O.
//!
//! Read [`key`] first, then [`workspace`], [`currency`] and [`key_changes`].

pub mod currency;
pub mod key;
pub mod key_changes;
pub mod workspace;

#[cfg(test)]
mod tests;

pub use crate::currency::Currency;
pub use crate::currency::RevocationLimit;
pub use crate::key::KeyDigest;
pub use crate::key_changes::KeyChanges;
pub use crate::workspace::CallerIdentity;
pub use crate::workspace::Quota;
pub use crate::workspace::Workspace;
pub use crate::workspace::WorkspaceTable;
