//! Number of entries and the place of this one among them, as agents report it.

use dogwoodshunt_serving::rate_share::EntryPlace;
use std::time::Duration;
use std::time::Instant;

/// Number of entries assumed until an agent reports their number; a high value
/// makes the share of this entry too small rather than too large.
const INITIAL_ENTRY_COUNT: u32 = 16;

/// Time for which the highest reported number of entries remains valid: an
/// entry that is cut off continues to use its own share.
const ENTRY_COUNT_TTL: Duration = Duration::from_secs(30);

/// Number of entries that share what holds for all of them together.
#[derive(Debug)]
pub(super) struct Entries {
    place: EntryPlace,
    reported_at: Option<Instant>,
}

impl Default for Entries {
    fn default() -> Self {
        Self {
            place: EntryPlace {
                entries: INITIAL_ENTRY_COUNT,
                rank: None,
            },
            reported_at: None,
        }
    }
}

impl Entries {
    /// Applies the number of entries that an agent reports, and the rank of this one among them.
    /// A lower number than the present one is applied only after [`ENTRY_COUNT_TTL`].
    pub(super) fn on_report(&mut self, now: Instant, entries: u32, rank: Option<u32>) {
        let age = self.reported_at.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age >= ENTRY_COUNT_TTL) || entries >= self.place.entries {
            self.place = EntryPlace {
                entries: entries.max(1),
                rank,
            };
            self.reported_at = Some(now);
        }
    }

    pub(super) fn count(&self) -> u32 {
        self.place.entries
    }

    pub(super) fn place(&self) -> EntryPlace {
        self.place
    }
}
