//! Log entries as an audit trail: what, who, when, before and after.

use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Version;
use serde::Serialize;
use std::collections::BTreeMap;

/// One change of one thing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Adapter, host or upstream.
    pub subject: Box<str>,
    /// Version or state before.
    pub before: Box<str>,
    /// Version or state after.
    pub after: Box<str>,
}

/// Follows versions from entry to entry.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    in_force: BTreeMap<AdapterName, Version>,
}

impl Follower {
    /// Returns what an entry changed, given the entries before it.
    pub fn steps(&mut self, entry: &LogEntry) -> Vec<Step> {
        match &entry.change {
            Change::CancelStop { target } => vec![step(target, "stopping", "working")],
            Change::PlanStop { target } => vec![step(target, "working", "stopping")],
            Change::Release(note) => self.note_steps(note),
            Change::SettleWitnesses => vec![step("witnesses", "changing", "settled")],
            Change::Witnesses { nodes } => {
                vec![step("witnesses", "settled", &nodes.join(" "))]
            }
        }
    }

    fn note_steps(&mut self, note: &ReleaseNote) -> Vec<Step> {
        let mut steps = Vec::new();
        for spec in note.added.iter().chain(&note.changed) {
            let before = self
                .in_force
                .insert(spec.adapter.clone(), spec.version.clone());
            let before = before.as_deref().unwrap_or("-");
            steps.push(step(&spec.adapter, before, &spec.version));
        }
        for withdrawal in &note.withdrawn {
            match &withdrawal.version {
                Some(version) => {
                    let subject = format!("{}@{version}", withdrawal.adapter);
                    steps.push(step(&subject, "available", "withdrawn"));
                }
                None => {
                    let before = self.in_force.remove(&withdrawal.adapter);
                    let before = before.as_deref().unwrap_or("-");
                    steps.push(step(&withdrawal.adapter, before, "withdrawn"));
                }
            }
        }
        steps
    }
}

fn step(subject: &str, before: &str, after: &str) -> Step {
    Step {
        subject: subject.into(),
        before: before.into(),
        after: after.into(),
    }
}
