//! What changed between two revisions.

use crate::audit::Follower;
use crate::audit::Step;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_types::Revision;
use std::collections::BTreeMap;

/// Returns what `entries` changed from revision `from` to revision `to`.
///
/// `entries` hold the log from its oldest kept entry up to `to`.
pub fn diff(entries: &[LogEntry], from: Revision, to: Revision) -> Vec<Step> {
    let mut follower = Follower::default();
    let mut changed: BTreeMap<Box<str>, Step> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.revision <= to) {
        let steps = follower.steps(entry);
        if entry.revision <= from {
            continue;
        }
        for step in steps {
            let first = changed.entry(step.subject.clone());
            let merged = first.or_insert_with(|| step.clone());
            merged.after = step.after;
        }
    }
    changed
        .into_values()
        .filter(|step| step.before != step.after)
        .collect()
}
