//! Number of entries, as agents report it.

use std::time::Duration;
use std::time::Instant;

/// Time for which the highest reported number of entries remains valid. Longer than a network
/// partition usually lasts: in a partition, agents see fewer entries, and the entries of both sides
/// would together spend more than the rate if they believed that.
const ENTRY_COUNT_TTL: Duration = Duration::from_secs(120);

/// Highest number of entries reported lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownEntries {
    highest: Option<(u32, Instant)>,
}

impl KnownEntries {
    /// Applies the number that an agent reports. A lower one is applied only after
    /// [`ENTRY_COUNT_TTL`].
    pub(crate) fn on_report(&mut self, now: Instant, entries: u32) {
        if entries == 0 {
            return;
        }
        let is_applied = self.highest.is_none_or(|(highest, at)| {
            entries >= highest || now.saturating_duration_since(at) >= ENTRY_COUNT_TTL
        });
        if is_applied {
            self.highest = Some((entries, now));
        }
    }

    /// Returns the number of entries; `None` if no agent has ever reported it.
    pub(crate) fn count(&self) -> Option<u32> {
        self.highest.map(|(entries, _)| entries)
    }
}
