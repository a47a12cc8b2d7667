//! Invariants that the programs check at run time, and the violation counter.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Violations detected by this process.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Guarantee to users. The programs check each invariant at run time where the state
/// changes that the invariant concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// A request that is marked as not repeatable runs at most once.
    AtMostOnce,
    /// An upstream that is leaving receives no new requests.
    LeavingTakesNoWork,
    /// A request that is reported as not run has not run.
    NotRunMeansNotRun,
    /// An adapter that a request uses (a pinned adapter) is never evicted.
    PinnedNeverEvicted,
    /// A planned stop of a host interrupts no request.
    PlannedStopCutsNothing,
    /// Every request runs on the adapter and the version that the request names.
    RanAsNamed,
    /// The revision in force on a node never decreases.
    RevisionNeverReverts,
    /// A caller receives the complete response to its own request, and no other response.
    WholeAnswerToItsCaller,
}

impl Invariant {
    /// Returns the name of the invariant in logs, metrics and docs/PROOF.md.
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

/// Returns the number of violations that this process has detected since its start.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Checks `invariant` and returns whether it holds.
///
/// Every violation increments the counter behind [`violation_count`]. Builds with
/// debug assertions then panic, so that no test ignores the violation. Other
/// builds return `false`, and the calling code refuses the operation.
///
/// # Panics
///
/// Panics if `holds` is `false` and debug assertions are enabled.
#[must_use]
pub fn check(invariant: Invariant, holds: bool, detail: &dyn fmt::Display) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        debug_assert!(holds, "invariant {invariant} violated: {detail}");
    }
    holds
}
