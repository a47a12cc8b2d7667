//! Audit trail: the changes that log entries make, with the states before and after.

use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Version;
use serde::Serialize;
use std::collections::BTreeMap;

/// Change of one adapter, host, upstream or witness set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SubjectChange {
    /// Name of the adapter, host or upstream, or `witnesses`.
    pub subject: Box<str>,
    /// Version or state before the change; `-` if there was none.
    pub before: Box<str>,
    /// Version or state after the change.
    pub after: Box<str>,
}

/// Tracks the active version of each adapter from log entry to log entry.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    active_versions: BTreeMap<AdapterName, Version>,
}

impl VersionTracker {
    /// Applies a log entry and returns its changes.
    ///
    /// Log entries must be applied in the order of their revisions.
    pub fn apply(&mut self, entry: &LogEntry) -> Vec<SubjectChange> {
        match &entry.change {
            Change::CancelStop { target } => vec![subject_change(target, "stopping", "working")],
            Change::PlanStop { target } => vec![subject_change(target, "working", "stopping")],
            Change::Release(note) => self.apply_note(note),
            Change::SettleWitnesses => vec![subject_change("witnesses", "changing", "settled")],
            Change::Witnesses { nodes } => {
                vec![subject_change("witnesses", "settled", &nodes.join(" "))]
            }
        }
    }

    fn apply_note(&mut self, note: &ReleaseNote) -> Vec<SubjectChange> {
        let mut changes = Vec::new();
        for spec in note.added.iter().chain(&note.changed) {
            let before = self
                .active_versions
                .insert(spec.adapter.clone(), spec.version.clone());
            let before = before.as_deref().unwrap_or("-");
            changes.push(subject_change(&spec.adapter, before, &spec.version));
        }
        for withdrawal in &note.withdrawn {
            match &withdrawal.version {
                Some(version) => {
                    let subject = format!("{}@{version}", withdrawal.adapter);
                    changes.push(subject_change(&subject, "available", "withdrawn"));
                }
                None => {
                    let before = self.active_versions.remove(&withdrawal.adapter);
                    let before = before.as_deref().unwrap_or("-");
                    changes.push(subject_change(&withdrawal.adapter, before, "withdrawn"));
                }
            }
        }
        changes
    }
}

fn subject_change(subject: &str, before: &str, after: &str) -> SubjectChange {
    SubjectChange {
        subject: subject.into(),
        before: before.into(),
        after: after.into(),
    }
}
