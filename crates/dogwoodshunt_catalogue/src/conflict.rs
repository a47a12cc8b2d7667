//! Whether a note written against an older revision may still be accepted.

use crate::catalogue::Catalogue;
use crate::log::Change;
use crate::log::LogEntry;
use crate::release::Problem;
use crate::release::ReleaseNote;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Revision;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Whether a note may be moved onto a later revision.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rebase {
    /// Moves the note where no later note touches its adapters.
    Allowed,
    /// Refuses a note that is not based on the operators' newest change.
    #[default]
    Forbidden,
}

/// Why a note is refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A later note touches the same adapters.
    Conflict {
        /// Id of the refused note.
        note: Box<str>,
        /// Id of the note that was accepted first.
        accepted: Box<str>,
        /// Adapters that both notes touch.
        adapters: Vec<AdapterName>,
    },
    /// The note has problems of its own.
    Invalid {
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// The note is based on an older revision and may not be moved.
    NotNewest {
        /// Revision that the note is based on.
        based_on: Revision,
        /// Newest revision.
        newest: Revision,
    },
    /// The entries since the note's revision are no longer kept.
    TooOld {
        /// Revision that the note is based on.
        based_on: Revision,
        /// Newest revision.
        newest: Revision,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                note,
                accepted,
                adapters,
            } => write!(
                f,
                "note {note} conflicts with accepted note {accepted} on {}",
                adapters.join(", ")
            ),
            Self::Invalid { problems } => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                write!(f, "the note is invalid: {}", lines.join("; "))
            }
            Self::NotNewest { based_on, newest } => write!(
                f,
                "the note is based on revision {based_on}, the newest is {newest}; \
                 review it and set based_on, or submit with --rebase"
            ),
            Self::TooOld { based_on, newest } => write!(
                f,
                "the note is based on revision {based_on}, too far behind {newest}; \
                 review it and set based_on"
            ),
        }
    }
}

/// Decides whether `note` may follow the newest entry of `catalogue`.
///
/// # Errors
///
/// Returns the first of: a conflict, a missing rebase, problems of the note.
pub fn admit(catalogue: &Catalogue, note: &ReleaseNote, rebase: Rebase) -> Result<(), Refusal> {
    let later = later_entries(catalogue, note)?;
    check_conflict(&later, note)?;
    let newest = catalogue.revision();
    let moved = later.iter().any(|entry| entry.change.is_operators());
    if moved && rebase == Rebase::Forbidden {
        return Err(Refusal::NotNewest {
            based_on: note.based_on,
            newest,
        });
    }
    let problems = catalogue.problems_with(note);
    if problems.is_empty() {
        return Ok(());
    }
    Err(Refusal::Invalid { problems })
}

/// Returns the entries that the author of `note` has not seen.
fn later_entries(catalogue: &Catalogue, note: &ReleaseNote) -> Result<Vec<LogEntry>, Refusal> {
    let newest = catalogue.revision();
    if note.based_on > newest {
        let message = format!("revision {} does not exist yet", note.based_on);
        let problems = vec![Problem::new("based_on", message)];
        return Err(Refusal::Invalid { problems });
    }
    let later = catalogue.entries_after(note.based_on);
    later.ok_or(Refusal::TooOld {
        based_on: note.based_on,
        newest,
    })
}

fn check_conflict(later: &[LogEntry], note: &ReleaseNote) -> Result<(), Refusal> {
    match later.iter().find_map(|entry| overlap(entry, note)) {
        Some(refusal) => Err(refusal),
        None => Ok(()),
    }
}

fn overlap(entry: &LogEntry, note: &ReleaseNote) -> Option<Refusal> {
    let Change::Release(accepted) = &entry.change else {
        return None;
    };
    let touched = note.touched();
    let adapters: Vec<AdapterName> = accepted
        .touched()
        .intersection(&touched)
        .map(|name| (*name).into())
        .collect();
    (!adapters.is_empty()).then(|| Refusal::Conflict {
        note: note.id.clone(),
        accepted: accepted.id.clone(),
        adapters,
    })
}
