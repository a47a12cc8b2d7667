//! The adapters, planned stops and witnesses as of one revision of the log.

use crate::log::Change;
use crate::log::LogEntry;
use crate::release::AdapterSpec;
use crate::release::NoteProblem;
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

/// Maximum number of log entries kept in memory.
///
/// A peer that lacks only such entries is sent the missing ones; any other peer is sent a
/// snapshot.
pub const MAX_RECENT_ENTRIES: usize = 1024;

/// Number of withdrawn versions remembered per adapter.
///
/// An older withdrawn version resolves as unknown, and a release note may reuse its name.
const MAX_WITHDRAWN_VERSIONS: usize = 32;

/// Reason why an adapter name or version does not resolve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResolveError {
    /// The catalogue has no record of the adapter or version.
    Unknown,
    /// The adapter or version was withdrawn.
    Withdrawn,
}

/// Reason why a log entry cannot be applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// The log entry is not the direct successor of the catalogue's revision.
    OutOfOrder {
        /// Current revision of the catalogue.
        catalogue_revision: Revision,
        /// Revision of the rejected log entry.
        entry_revision: Revision,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder {
                catalogue_revision,
                entry_revision,
            } => {
                write!(
                    f,
                    "log entry {entry_revision} does not directly follow catalogue revision \
                     {catalogue_revision}"
                )
            }
        }
    }
}

impl std::error::Error for ApplyError {}

/// Available and withdrawn versions of one adapter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterVersions {
    /// Version used for requests that name no version; `None` once the whole
    /// adapter is withdrawn.
    #[serde(rename = "in_force")]
    pub active_version: Option<Version>,
    /// Version that was active before [`AdapterVersions::active_version`]; `None` if there
    /// was none or it is withdrawn.
    #[serde(rename = "previous")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_version: Option<Version>,
    /// Versions that requests may name, oldest first.
    pub versions: Vec<AdapterSpec>,
    /// Most recently withdrawn versions, oldest first; at most `MAX_WITHDRAWN_VERSIONS`.
    #[serde(rename = "retired")]
    pub withdrawn_versions: Vec<Version>,
}

impl AdapterVersions {
    fn find_version(&self, version: &str) -> Option<&AdapterSpec> {
        self.versions.iter().find(|spec| *spec.version == *version)
    }

    /// Returns whether `version` is available or is a remembered withdrawn version.
    fn has_had_version(&self, version: &str) -> bool {
        self.find_version(version).is_some()
            || self
                .withdrawn_versions
                .iter()
                .any(|withdrawn| **withdrawn == *version)
    }

    fn withdraw_version(&mut self, version: &str) {
        self.versions.retain(|spec| *spec.version != *version);
        if self.previous_version.as_deref() == Some(version) {
            self.previous_version = None;
        }
        self.withdrawn_versions.push(version.into());
        if self.withdrawn_versions.len() > MAX_WITHDRAWN_VERSIONS {
            self.withdrawn_versions.remove(0);
        }
    }

    fn withdraw_all(&mut self) {
        let versions: Vec<Version> = self
            .versions
            .iter()
            .map(|spec| spec.version.clone())
            .collect();
        for version in versions {
            self.withdraw_version(&version);
        }
        self.active_version = None;
    }
}

/// The configuration as of one revision of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalogue {
    pub(crate) revision: Revision,
    pub(crate) adapters: BTreeMap<AdapterName, AdapterVersions>,
    #[serde(rename = "stops")]
    pub(crate) planned_stops: BTreeSet<Box<str>>,
    pub(crate) witnesses: Vec<NodeId>,
    #[serde(rename = "outgoing")]
    pub(crate) outgoing_witnesses: Vec<NodeId>,
    #[serde(rename = "electorate")]
    pub(crate) witness_set_revision: Revision,
    /// Newest log entries, oldest first; at most [`MAX_RECENT_ENTRIES`].
    #[serde(skip)]
    recent: VecDeque<LogEntry>,
}

impl Catalogue {
    /// Creates an empty catalogue at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last log entry applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all adapters by name, including withdrawn ones.
    pub fn adapters(&self) -> &BTreeMap<AdapterName, AdapterVersions> {
        &self.adapters
    }

    /// Returns the number of adapters that have an active version.
    pub fn active_adapter_count(&self) -> usize {
        let adapters = self.adapters.values();
        adapters
            .filter(|adapter| adapter.active_version.is_some())
            .count()
    }

    /// Returns the hosts and upstreams that have a planned stop.
    pub fn planned_stops(&self) -> &BTreeSet<Box<str>> {
        &self.planned_stops
    }

    /// Returns the witness ids of the current witnesses: the nodes whose revisions
    /// decide whether a log entry is accepted.
    pub fn witnesses(&self) -> &[NodeId] {
        &self.witnesses
    }

    /// Returns the witness ids of the former witnesses, until their replacement is complete.
    pub fn outgoing_witnesses(&self) -> &[NodeId] {
        &self.outgoing_witnesses
    }

    /// Returns the revision of the log entry that set the current witnesses.
    pub fn witness_set_revision(&self) -> Revision {
        self.witness_set_revision
    }

    /// Returns whether the host or upstream `target` has a planned stop.
    pub fn has_planned_stop(&self, target: &str) -> bool {
        self.planned_stops.contains(target)
    }

    /// Returns version `version` of adapter `name`, or the active version if
    /// `version` is `None`.
    ///
    /// # Errors
    ///
    /// Returns [`ResolveError::Withdrawn`] if the adapter or version was withdrawn, and
    /// [`ResolveError::Unknown`] if the catalogue has no record of it.
    pub fn resolve(&self, name: &str, version: Option<&str>) -> Result<&AdapterSpec, ResolveError> {
        let adapter = self.adapters.get(name).ok_or(ResolveError::Unknown)?;
        let requested = match (version, &adapter.active_version) {
            (Some(version), _) => version,
            (None, Some(active)) => active,
            (None, None) => return Err(ResolveError::Withdrawn),
        };
        match adapter.find_version(requested) {
            Some(spec) => Ok(spec),
            None if adapter.has_had_version(requested) => Err(ResolveError::Withdrawn),
            None => Err(ResolveError::Unknown),
        }
    }

    /// Returns the previously active version of adapter `name`, unless it is withdrawn.
    pub fn previous_version(&self, name: &str) -> Option<&AdapterSpec> {
        let adapter = self.adapters.get(name)?;
        adapter.find_version(adapter.previous_version.as_deref()?)
    }

    /// Returns the log entry with id `id` if the entry is still in memory.
    pub fn find_recent_entry(&self, id: &str) -> Option<&LogEntry> {
        self.recent.iter().find(|entry| *entry.id == *id)
    }

    /// Returns the log entries after `revision`, or `None` if any of them is no
    /// longer in memory.
    pub fn entries_after(&self, revision: Revision) -> Option<Vec<LogEntry>> {
        let oldest_revision = self.revision + 1 - self.recent.len() as Revision;
        if revision + 1 < oldest_revision {
            return None;
        }
        let later = self.recent.iter().filter(|entry| entry.revision > revision);
        Some(later.cloned().collect())
    }

    /// Applies the next log entry.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError::OutOfOrder`] if the revision of `entry` is not the
    /// catalogue's revision plus 1.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), ApplyError> {
        if entry.revision != self.revision + 1 {
            return Err(ApplyError::OutOfOrder {
                catalogue_revision: self.revision,
                entry_revision: entry.revision,
            });
        }
        match &entry.change {
            Change::CancelStop { target } => {
                self.planned_stops.remove(target);
            }
            Change::PlanStop { target } => {
                self.planned_stops.insert(target.clone());
            }
            Change::Release(note) => self.apply_release(note),
            Change::SettleWitnesses => self.outgoing_witnesses.clear(),
            Change::Witnesses { nodes } => {
                self.outgoing_witnesses = std::mem::replace(&mut self.witnesses, nodes.clone());
                self.witness_set_revision = entry.revision;
            }
        }
        self.revision = entry.revision;
        self.push_recent_entry(entry.clone());
        Ok(())
    }

    /// Replaces this catalogue with `newer` if `newer` has a higher revision.
    ///
    /// Returns whether the catalogue was replaced.
    pub fn replace_if_newer(&mut self, newer: Self) -> bool {
        let current = self.revision;
        if newer.revision <= current {
            return false;
        }
        *self = newer;
        invariant::check(
            Invariant::RevisionNeverReverts,
            self.revision > current,
            &format_args!("revision {} after {current}", self.revision),
        )
    }

    /// Returns all validation problems of `note`, both those that [`ReleaseNote::validate`]
    /// finds and those of applying the note to this catalogue.
    pub fn validate_note(&self, note: &ReleaseNote) -> Vec<NoteProblem> {
        let mut problems = note.validate();
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

    fn push_recent_entry(&mut self, entry: LogEntry) {
        self.recent.push_back(entry);
        if self.recent.len() > MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
    }

    fn apply_release(&mut self, note: &ReleaseNote) {
        for spec in note.added.iter().chain(&note.changed) {
            let adapter = self.adapters.entry(spec.adapter.clone()).or_default();
            adapter.versions.push(spec.clone());
            adapter.previous_version = adapter.active_version.replace(spec.version.clone());
        }
        for withdrawal in &note.withdrawn {
            let Some(adapter) = self.adapters.get_mut(&withdrawal.adapter) else {
                continue;
            };
            match &withdrawal.version {
                Some(version) => adapter.withdraw_version(version),
                None => adapter.withdraw_all(),
            }
        }
    }

    fn check_added(&self, index: usize, spec: &AdapterSpec, problems: &mut Vec<NoteProblem>) {
        let Some(adapter) = self.adapters.get(&spec.adapter) else {
            return;
        };
        if adapter.active_version.is_some() {
            problems.push(NoteProblem::new(
                format_args!("added[{index}].adapter"),
                format_args!(
                    "adapter {} is already in the catalogue; list it under changed",
                    spec.adapter
                ),
            ));
        }
        check_version_unused("added", index, adapter, spec, problems);
    }

    fn check_changed(&self, index: usize, spec: &AdapterSpec, problems: &mut Vec<NoteProblem>) {
        let adapter = self.adapters.get(&spec.adapter);
        let Some(adapter) = adapter.filter(|adapter| adapter.active_version.is_some()) else {
            problems.push(NoteProblem::new(
                format_args!("changed[{index}].adapter"),
                format_args!(
                    "adapter {} is not in the catalogue; list it under added",
                    spec.adapter
                ),
            ));
            return;
        };
        check_version_unused("changed", index, adapter, spec, problems);
    }

    fn check_withdrawn(
        &self,
        index: usize,
        withdrawal: &Withdrawal,
        note: &ReleaseNote,
        problems: &mut Vec<NoteProblem>,
    ) {
        let name = &withdrawal.adapter;
        let adapter = self.adapters.get(name);
        let Some(adapter) = adapter.filter(|adapter| adapter.active_version.is_some()) else {
            problems.push(NoteProblem::new(
                format_args!("withdrawn[{index}].adapter"),
                format_args!("adapter {name} is not in the catalogue; remove the line"),
            ));
            return;
        };
        let changed = note.changed.iter().any(|spec| spec.adapter == *name);
        let Some(version) = &withdrawal.version else {
            if changed {
                problems.push(NoteProblem::new(
                    format_args!("withdrawn[{index}]"),
                    format_args!("adapter {name} is both changed and withdrawn; keep one"),
                ));
            }
            return;
        };
        if adapter.find_version(version).is_none() {
            problems.push(NoteProblem::new(
                format_args!("withdrawn[{index}].version"),
                format_args!("{name}@{version} is not in the catalogue; remove the line"),
            ));
        } else if adapter.active_version.as_ref() == Some(version) && !changed {
            problems.push(NoteProblem::new(
                format_args!("withdrawn[{index}].version"),
                format_args!(
                    "{name}@{version} is the version in force; change the adapter in the same \
                     note, or leave out the version to withdraw it whole"
                ),
            ));
        }
    }
}

fn check_version_unused(
    list: &str,
    index: usize,
    adapter: &AdapterVersions,
    spec: &AdapterSpec,
    problems: &mut Vec<NoteProblem>,
) {
    if adapter.has_had_version(&spec.version) {
        problems.push(NoteProblem::new(
            format_args!("{list}[{index}].version"),
            format_args!(
                "{}@{} was used before; a version name is never used twice",
                spec.adapter, spec.version
            ),
        ));
    }
}
