//! Admission of release notes to the log, including notes that are based on an
//! older revision than the newest one.

use crate::catalogue::Catalogue;
use crate::log::Change;
use crate::log::LogEntry;
use crate::release::NoteProblem;
use crate::release::ReleaseNote;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Revision;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Whether a release note may be rebased onto a later revision than the one it was
/// written against.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rebase {
    /// The note is rebased if no release note after its base revision has an adapter in
    /// common with it.
    Allowed,
    /// The note is rejected if operators made a change after the note's base revision.
    #[default]
    Forbidden,
}

/// Reason why a release note is rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseRefusal {
    /// A release note in the log, after this note's base revision, has adapters in common
    /// with this note.
    Conflict {
        /// Id of the rejected note.
        note: Box<str>,
        /// Id of the conflicting note in the log.
        #[serde(rename = "accepted")]
        existing: Box<str>,
        /// Adapters that both notes add, change or withdraw.
        adapters: Vec<AdapterName>,
    },
    /// The note fails validation.
    Invalid {
        /// All validation problems found.
        problems: Vec<NoteProblem>,
    },
    /// Operators made a change after the note's base revision, and rebasing is forbidden.
    #[serde(rename = "not_newest")]
    OutdatedBase {
        /// Base revision of the note.
        based_on: Revision,
        /// Newest revision of the catalogue.
        newest: Revision,
    },
    /// Conflicts cannot be checked, since some of the log entries after the note's base
    /// revision are no longer in memory.
    #[serde(rename = "too_old")]
    BaseTooOld {
        /// Base revision of the note.
        based_on: Revision,
        /// Newest revision of the catalogue.
        newest: Revision,
    },
}

impl fmt::Display for ReleaseRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                note,
                existing,
                adapters,
            } => write!(
                f,
                "note {note} conflicts with note {existing} in the log on adapters {}",
                adapters.join(", ")
            ),
            Self::Invalid { problems } => {
                let messages: Vec<String> = problems.iter().map(ToString::to_string).collect();
                write!(f, "the note is invalid: {}", messages.join("; "))
            }
            Self::OutdatedBase { based_on, newest } => write!(
                f,
                "the note is based on revision {based_on}, but the newest revision is {newest}; \
                 review the note and set based_on to {newest}, or submit it with --rebase"
            ),
            Self::BaseTooOld { based_on, newest } => write!(
                f,
                "the note is based on revision {based_on}, too far behind revision {newest} to be \
                 checked for conflicts; review the note and set based_on to {newest}"
            ),
        }
    }
}

/// Checks whether `note` may be appended to the log after the newest revision of
/// `catalogue`.
///
/// # Errors
///
/// Returns the first reason for rejection, checked in this order: a base revision that
/// does not exist or is too old, a conflict, a forbidden rebase, validation problems.
pub fn check(
    catalogue: &Catalogue,
    note: &ReleaseNote,
    rebase: Rebase,
) -> Result<(), ReleaseRefusal> {
    let later = entries_since_base(catalogue, note)?;
    check_conflict(&later, note)?;
    let newest = catalogue.revision();
    let needs_rebase = later.iter().any(|entry| entry.change.is_operator_change());
    if needs_rebase && rebase == Rebase::Forbidden {
        return Err(ReleaseRefusal::OutdatedBase {
            based_on: note.based_on,
            newest,
        });
    }
    let problems = catalogue.validate_note(note);
    if problems.is_empty() {
        return Ok(());
    }
    Err(ReleaseRefusal::Invalid { problems })
}

/// Returns the log entries after the base revision of `note`.
///
/// # Errors
///
/// Returns a refusal if the base revision does not exist, or if some of those entries are
/// no longer in memory.
fn entries_since_base(
    catalogue: &Catalogue,
    note: &ReleaseNote,
) -> Result<Vec<LogEntry>, ReleaseRefusal> {
    let newest = catalogue.revision();
    if note.based_on > newest {
        let message = format!("revision {} does not exist yet", note.based_on);
        let problems = vec![NoteProblem::new("based_on", message)];
        return Err(ReleaseRefusal::Invalid { problems });
    }
    let later = catalogue.entries_after(note.based_on);
    later.ok_or(ReleaseRefusal::BaseTooOld {
        based_on: note.based_on,
        newest,
    })
}

fn check_conflict(later: &[LogEntry], note: &ReleaseNote) -> Result<(), ReleaseRefusal> {
    match later
        .iter()
        .find_map(|entry| conflict_with_entry(entry, note))
    {
        Some(conflict) => Err(conflict),
        None => Ok(()),
    }
}

fn conflict_with_entry(entry: &LogEntry, note: &ReleaseNote) -> Option<ReleaseRefusal> {
    let Change::Release(existing) = &entry.change else {
        return None;
    };
    let note_adapters = note.adapter_names();
    let adapters: Vec<AdapterName> = existing
        .adapter_names()
        .intersection(&note_adapters)
        .map(|name| (*name).into())
        .collect();
    (!adapters.is_empty()).then(|| ReleaseRefusal::Conflict {
        note: note.id.clone(),
        existing: existing.id.clone(),
        adapters,
    })
}
