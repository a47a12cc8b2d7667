//! Tests of the ledger, of the entry's side, and of both together in virtual time.

mod allowance;
mod entry;
mod fleet;
mod ledger;
mod simulation;

use crate::messages::QuotaLimits;

/// Limits of a revision.
fn limits(rate: u64, burst: u64, revision: u64) -> QuotaLimits {
    QuotaLimits {
        rate,
        burst,
        revision,
    }
}
