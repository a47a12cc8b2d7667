//! The adapters and planned stops in force at one revision.

use crate::log::Change;
use crate::log::LogEntry;
use crate::release::AdapterSpec;
use crate::release::Problem;
use crate::release::ReleaseNote;
use crate::release::Withdrawal;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::Version;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;

/// Log entries kept in memory for peers that are a little behind.
pub const RECENT_ENTRIES: usize = 1024;

/// Withdrawn versions remembered per adapter.
const MAX_RETIRED: usize = 32;

/// Why a name does not resolve to a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missing {
    /// The catalogue has never held the adapter or version.
    Unknown,
    /// The adapter or version was withdrawn.
    Withdrawn,
}

/// Why a log entry cannot be applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// The entry does not follow the catalogue's revision.
    OutOfOrder {
        /// Revision of the catalogue.
        held: Revision,
        /// Revision of the entry.
        found: Revision,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder { held, found } => {
                write!(f, "log entry {found} does not follow revision {held}")
            }
        }
    }
}

impl std::error::Error for ApplyError {}

/// All versions of one adapter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adapter {
    /// Version that the bare name stands for; `None` once withdrawn whole.
    pub in_force: Option<Version>,
    /// Version that the bare name stood for before, while it may be named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Version>,
    /// Versions that may be named, oldest first.
    pub versions: Vec<AdapterSpec>,
    /// Versions that were withdrawn, oldest first.
    pub retired: Vec<Version>,
}

impl Adapter {
    fn version(&self, version: &str) -> Option<&AdapterSpec> {
        self.versions.iter().find(|spec| *spec.version == *version)
    }

    fn knows(&self, version: &str) -> bool {
        self.version(version).is_some() || self.retired.iter().any(|old| **old == *version)
    }

    fn retire(&mut self, version: &str) {
        self.versions.retain(|spec| *spec.version != *version);
        if self.previous.as_deref() == Some(version) {
            self.previous = None;
        }
        self.retired.push(version.into());
        if self.retired.len() > MAX_RETIRED {
            self.retired.remove(0);
        }
    }

    fn retire_all(&mut self) {
        let versions: Vec<Version> = self.versions.iter().map(|s| s.version.clone()).collect();
        for version in versions {
            self.retire(&version);
        }
        self.in_force = None;
    }
}

/// The configuration in force at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalogue {
    pub(crate) revision: Revision,
    pub(crate) adapters: BTreeMap<AdapterName, Adapter>,
    pub(crate) stops: BTreeSet<Box<str>>,
    pub(crate) witnesses: Vec<NodeId>,
    pub(crate) outgoing: Vec<NodeId>,
    pub(crate) electorate: Revision,
    #[serde(skip)]
    recent: VecDeque<LogEntry>,
}

impl Catalogue {
    /// Creates the empty catalogue of revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last entry applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the adapters by name, withdrawn ones included.
    pub fn adapters(&self) -> &BTreeMap<AdapterName, Adapter> {
        &self.adapters
    }

    /// Returns how many adapters have a version in force.
    pub fn in_force_len(&self) -> usize {
        let adapters = self.adapters.values();
        adapters
            .filter(|adapter| adapter.in_force.is_some())
            .count()
    }

    /// Returns the hosts and upstreams with a planned stop.
    pub fn stops(&self) -> &BTreeSet<Box<str>> {
        &self.stops
    }

    /// Returns the witnesses whose majority confirms an entry.
    pub fn witnesses(&self) -> &[NodeId] {
        &self.witnesses
    }

    /// Returns the witnesses that are being replaced.
    pub fn outgoing(&self) -> &[NodeId] {
        &self.outgoing
    }

    /// Returns the revision of the entry that named the witnesses.
    pub fn electorate(&self) -> Revision {
        self.electorate
    }

    /// Returns whether a planned stop covers `target`.
    pub fn is_stopped(&self, target: &str) -> bool {
        self.stops.contains(target)
    }

    /// Finds version `version` of adapter `name`, or the version in force.
    ///
    /// # Errors
    ///
    /// Tells an adapter or version that never was from one that was withdrawn.
    pub fn resolve(&self, name: &str, version: Option<&str>) -> Result<&AdapterSpec, Missing> {
        let adapter = self.adapters.get(name).ok_or(Missing::Unknown)?;
        let wanted = match (version, &adapter.in_force) {
            (Some(version), _) => version,
            (None, Some(in_force)) => in_force,
            (None, None) => return Err(Missing::Withdrawn),
        };
        match adapter.version(wanted) {
            Some(spec) => Ok(spec),
            None if adapter.knows(wanted) => Err(Missing::Withdrawn),
            None => Err(Missing::Unknown),
        }
    }

    /// Returns the version that the bare name `name` stood for before, if it may be named.
    pub fn previous(&self, name: &str) -> Option<&AdapterSpec> {
        let adapter = self.adapters.get(name)?;
        adapter.version(adapter.previous.as_deref()?)
    }

    /// Returns the recent entry with id `id`, if it is still in memory.
    pub fn recent_by_id(&self, id: &str) -> Option<&LogEntry> {
        self.recent.iter().find(|entry| *entry.id == *id)
    }

    /// Returns the entries after `revision`, or `None` if some are no longer in memory.
    pub fn entries_after(&self, revision: Revision) -> Option<Vec<LogEntry>> {
        let oldest = self.revision + 1 - self.recent.len() as Revision;
        if revision + 1 < oldest {
            return None;
        }
        let newer = self.recent.iter().filter(|e| e.revision > revision);
        Some(newer.cloned().collect())
    }

    /// Applies the next log entry.
    ///
    /// # Errors
    ///
    /// Refuses an entry that does not follow the catalogue's revision.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), ApplyError> {
        if entry.revision != self.revision + 1 {
            return Err(ApplyError::OutOfOrder {
                held: self.revision,
                found: entry.revision,
            });
        }
        match &entry.change {
            Change::CancelStop { target } => {
                self.stops.remove(target);
            }
            Change::PlanStop { target } => {
                self.stops.insert(target.clone());
            }
            Change::Release(note) => self.apply_note(note),
            Change::SettleWitnesses => self.outgoing.clear(),
            Change::Witnesses { nodes } => {
                self.outgoing = std::mem::replace(&mut self.witnesses, nodes.clone());
                self.electorate = entry.revision;
            }
        }
        self.revision = entry.revision;
        self.remember(entry.clone());
        Ok(())
    }

    /// Replaces this catalogue by `newer`; an older one is ignored.
    ///
    /// Returns whether the catalogue was replaced.
    pub fn advance_to(&mut self, newer: Self) -> bool {
        let held = self.revision;
        if newer.revision <= held {
            return false;
        }
        *self = newer;
        invariant::check(
            Invariant::RevisionNeverReverts,
            self.revision > held,
            &format_args!("revision {} after {held}", self.revision),
        )
    }

    /// Returns every problem that `note` has against this catalogue.
    pub fn problems_with(&self, note: &ReleaseNote) -> Vec<Problem> {
        let mut problems = note.problems();
        for (index, spec) in note.added.iter().enumerate() {
            self.check_added(index, spec, &mut problems);
        }
        for (index, spec) in note.changed.iter().enumerate() {
            self.check_changed(index, spec, &mut problems);
        }
        for (index, withdrawal) in note.withdrawn.iter().enumerate() {
            self.check_withdrawn(index, withdrawal, note, &mut problems);
        }
        problems
    }

    fn remember(&mut self, entry: LogEntry) {
        self.recent.push_back(entry);
        if self.recent.len() > RECENT_ENTRIES {
            self.recent.pop_front();
        }
    }

    fn apply_note(&mut self, note: &ReleaseNote) {
        for spec in note.added.iter().chain(&note.changed) {
            let adapter = self.adapters.entry(spec.adapter.clone()).or_default();
            adapter.versions.push(spec.clone());
            adapter.previous = adapter.in_force.replace(spec.version.clone());
        }
        for withdrawal in &note.withdrawn {
            let Some(adapter) = self.adapters.get_mut(&withdrawal.adapter) else {
                continue;
            };
            match &withdrawal.version {
                Some(version) => adapter.retire(version),
                None => adapter.retire_all(),
            }
        }
    }

    fn check_added(&self, index: usize, spec: &AdapterSpec, problems: &mut Vec<Problem>) {
        let Some(adapter) = self.adapters.get(&spec.adapter) else {
            return;
        };
        if adapter.in_force.is_some() {
            problems.push(Problem::new(
                format_args!("added[{index}].adapter"),
                format_args!(
                    "adapter {} is already in the catalogue; list it under changed",
                    spec.adapter
                ),
            ));
        }
        check_reuse("added", index, adapter, spec, problems);
    }

    fn check_changed(&self, index: usize, spec: &AdapterSpec, problems: &mut Vec<Problem>) {
        let adapter = self.adapters.get(&spec.adapter);
        let Some(adapter) = adapter.filter(|adapter| adapter.in_force.is_some()) else {
            problems.push(Problem::new(
                format_args!("changed[{index}].adapter"),
                format_args!(
                    "adapter {} is not in the catalogue; list it under added",
                    spec.adapter
                ),
            ));
            return;
        };
        check_reuse("changed", index, adapter, spec, problems);
    }

    fn check_withdrawn(
        &self,
        index: usize,
        withdrawal: &Withdrawal,
        note: &ReleaseNote,
        problems: &mut Vec<Problem>,
    ) {
        let name = &withdrawal.adapter;
        let adapter = self.adapters.get(name);
        let Some(adapter) = adapter.filter(|adapter| adapter.in_force.is_some()) else {
            problems.push(Problem::new(
                format_args!("withdrawn[{index}].adapter"),
                format_args!("adapter {name} is not in the catalogue; remove the line"),
            ));
            return;
        };
        let changed = note.changed.iter().any(|spec| spec.adapter == *name);
        let Some(version) = &withdrawal.version else {
            if changed {
                problems.push(Problem::new(
                    format_args!("withdrawn[{index}]"),
                    format_args!("adapter {name} is both changed and withdrawn; keep one"),
                ));
            }
            return;
        };
        if adapter.version(version).is_none() {
            problems.push(Problem::new(
                format_args!("withdrawn[{index}].version"),
                format_args!("{name}@{version} is not in the catalogue; remove the line"),
            ));
        } else if adapter.in_force.as_ref() == Some(version) && !changed {
            problems.push(Problem::new(
                format_args!("withdrawn[{index}].version"),
                format_args!(
                    "{name}@{version} is the version in force; change the adapter in the same \
                     note, or leave out the version to withdraw it whole"
                ),
            ));
        }
    }
}

fn check_reuse(
    list: &str,
    index: usize,
    adapter: &Adapter,
    spec: &AdapterSpec,
    problems: &mut Vec<Problem>,
) {
    if adapter.knows(&spec.version) {
        problems.push(Problem::new(
            format_args!("{list}[{index}].version"),
            format_args!(
                "{}@{} was used before; a version name is never used twice",
                spec.adapter, spec.version
            ),
        ));
    }
}
