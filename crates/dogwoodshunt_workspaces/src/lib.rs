//! Workspaces: the accounts of customers, and the keys by which their callers identify
//! themselves.
//!
//! The crate decides to which workspace a caller's key belongs. It never holds a key, only its
//! digest, and does no I/O.
//!
//! Read [`key`] first, then [`workspace`].

pub mod key;
pub mod workspace;

#[cfg(test)]
mod tests;

pub use crate::key::KeyDigest;
pub use crate::workspace::CallerIdentity;
pub use crate::workspace::Quota;
pub use crate::workspace::Workspace;
pub use crate::workspace::WorkspaceTable;
