//! Changes between two revisions.

use crate::audit::SubjectChange;
use crate::audit::VersionTracker;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_types::Revision;
use std::collections::BTreeMap;

/// Returns the net change of each subject from revision `from` to revision `to`.
///
/// `entries` holds the log from the oldest retained entry to `to` or beyond, so
/// that the state at `from` is known.
pub fn diff(entries: &[LogEntry], from: Revision, to: Revision) -> Vec<SubjectChange> {
    let mut tracker = VersionTracker::default();
    let mut merged_changes: BTreeMap<Box<str>, SubjectChange> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.revision <= to) {
        let changes = tracker.apply(entry);
        if entry.revision <= from {
            continue;
        }
        for change in changes {
            let existing = merged_changes.entry(change.subject.clone());
            let merged = existing.or_insert_with(|| change.clone());
            merged.after = change.after;
        }
    }
    merged_changes
        .into_values()
        .filter(|change| change.before != change.after)
        .collect()
}
