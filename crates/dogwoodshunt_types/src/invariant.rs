//! Names of the invariants that the programs assert.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// A promise to the users that a slice checks where its state changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// A request marked as not repeatable runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work.
    LeavingTakesNoWork,
    /// A request reported as not run has not run.
    NotRunMeansNotRun,
    /// An adapter in use is never evicted.
    PinnedNeverEvicted,
    /// A planned stop cuts off no request.
    PlannedStopCutsNothing,
    /// Every request runs on the adapter and version it named.
    RanAsNamed,
    /// A revision once in force never reverts.
    RevisionNeverReverts,
    /// A caller receives the whole answer to its own request.
    WholeAnswerToItsCaller,
}

impl Invariant {
    /// Returns the name used in logs, metrics and docs/PROOF.md.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at_most_once",
            Self::LeavingTakesNoWork => "leaving_takes_no_work",
            Self::NotRunMeansNotRun => "not_run_means_not_run",
            Self::PinnedNeverEvicted => "pinned_never_evicted",
            Self::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Self::RanAsNamed => "ran_as_named",
            Self::RevisionNeverReverts => "revision_never_reverts",
            Self::WholeAnswerToItsCaller => "whole_answer_to_its_caller",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Returns how many violations this process has seen since it started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Checks `invariant` and returns whether it holds.
///
/// A violation is counted. Builds with debug assertions stop at once, so that
/// no test passes over it; other builds return `false`, and the caller turns
/// the operation into a refusal.
///
/// # Panics
///
/// Panics if `holds` is false and debug assertions are on.
#[must_use]
pub fn check(invariant: Invariant, holds: bool, detail: &dyn fmt::Display) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        debug_assert!(holds, "invariant {invariant} violated: {detail}");
    }
    holds
}
