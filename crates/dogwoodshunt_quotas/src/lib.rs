//! Quotas of workspaces: limits on the cost of the requests of a customer over all entries
//! together.
//!
//! For each workspace one agent keeps a token bucket, the [`Ledger`]. Entries take tokens from it
//! in small advances and pay requests with them ([`EntryQuotas`]). The crate decides which agent is
//! the ledger, how many tokens are granted, which requests wait or are refused, and when a refused
//! one will fit. It does no I/O and takes the present time as an argument.
//!
//! Read [`messages`] first, then [`ledger`] and [`entry`]. The design and the arithmetic of the
//! bound are in `docs/design/workspace-quotas.md`.

pub mod bucket;
pub mod entry;
pub mod ledger;
pub mod messages;

#[cfg(test)]
mod tests;

pub use crate::entry::EntryQuotas;
pub use crate::ledger::Ledger;
pub use crate::messages::QuotaAllowance;
pub use crate::messages::QuotaGrant;
pub use crate::messages::QuotaLimits;
pub use crate::messages::QuotaRequest;

use std::time::Duration;

/// Interval at which an entry renews its registrations.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which the registration of an entry ends.
pub const REGISTRATION_TTL: Duration = Duration::from_millis(1_500);

/// Longest time for which a request waits for tokens.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// Window over which the cost of the requests of a workspace is bounded (`quota_window_s` of the
/// platform).
pub const QUOTA_WINDOW: Duration = Duration::from_secs(8);
