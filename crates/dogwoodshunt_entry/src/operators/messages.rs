//! Bodies of the operators' interface.

use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::conflict::Rebase;
use dogwoodshunt_catalogue::conflict::Refusal;
use dogwoodshunt_catalogue::release::Problem;
use dogwoodshunt_replica::Standing;
use dogwoodshunt_store::log::Proposal;
use dogwoodshunt_store::log::StoreError;
use dogwoodshunt_types::Revision;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

/// Seconds after which an operator may try again while the service is out.
const RETRY_SECONDS: u64 = 2;

/// A release note to submit or to check.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRelease {
    /// The note.
    pub note: ReleaseNote,
    /// Whether it may be moved onto a later revision.
    #[serde(default)]
    pub rebase: Rebase,
}

/// A planned stop, or its cancellation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StopRequest {
    /// Chosen by the operator; submitting one id twice makes one change.
    pub id: Box<str>,
    /// Who asks.
    pub author: Box<str>,
    /// Host or upstream.
    pub target: Box<str>,
    /// Whether to stop even what nothing else serves.
    #[serde(default)]
    pub force: bool,
}

/// Answer to a change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Appended {
    /// Entry of the change in the log.
    pub entry: LogEntry,
    /// How far it has come.
    pub standing: Standing,
}

/// Answer to a check.
#[derive(Clone, Debug, Serialize)]
pub struct Checked {
    /// All problems of the note.
    pub problems: Vec<Problem>,
    /// Revision that it was checked against.
    pub revision: Revision,
}

/// A part of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogPage {
    /// Entries in order.
    pub entries: Vec<LogEntry>,
    /// Revision of the newest entry.
    pub newest: Revision,
}

/// Why a change or a question is refused.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// HTTP status.
    pub status: u16,
    /// What went wrong and what to do.
    pub message: String,
    /// Whether the change may stand in the log all the same.
    pub unsure: bool,
    /// Seconds after which to try again.
    pub retry_after: Option<u64>,
    /// Why a note is refused.
    pub refusal: Option<Refusal>,
}

impl Fault {
    fn new(status: u16, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
            unsure: false,
            retry_after: None,
            refusal: None,
        }
    }

    /// Refuses a malformed request.
    pub fn bad(message: impl Into<String>) -> Self {
        Self::new(400, message)
    }

    /// Refuses a path that does not exist.
    pub fn no_such_path(method: &Method, path: &str) -> Self {
        Self::new(404, format!("there is no {method} {path}"))
    }

    /// Refuses a change that would do harm.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::new(409, message)
    }

    /// Refuses since this entry is stopping.
    pub fn stopping() -> Self {
        Self::new(503, "this entry is stopping; use another")
    }
}

impl From<StoreError> for Fault {
    fn from(error: StoreError) -> Self {
        let unsure = error.is_unsure();
        let message = if unsure {
            format!("{error}; the change may stand: submit it again with the same id")
        } else {
            error.to_string()
        };
        match error {
            StoreError::Refused { refusal } => Self {
                refusal: Some(refusal),
                ..Self::new(409, message)
            },
            StoreError::Apply { .. }
            | StoreError::Assemble { .. }
            | StoreError::Contended
            | StoreError::Decode { .. }
            | StoreError::Encode { .. }
            | StoreError::Kv { .. } => Self {
                unsure,
                retry_after: Some(RETRY_SECONDS),
                ..Self::new(503, message)
            },
        }
    }
}

impl SubmitRelease {
    /// Returns the change to append.
    pub fn into_proposal(self) -> Proposal {
        Proposal {
            id: self.note.id.clone(),
            author: self.note.author.clone(),
            change: Change::Release(self.note),
            rebase: self.rebase,
        }
    }
}

impl StopRequest {
    /// Returns the change that plans the stop.
    pub fn into_plan(self) -> Proposal {
        let target = self.target.clone();
        self.into_proposal(Change::PlanStop { target })
    }

    /// Returns the change that lifts the stop.
    pub fn into_cancel(self) -> Proposal {
        let target = self.target.clone();
        self.into_proposal(Change::CancelStop { target })
    }

    fn into_proposal(self, change: Change) -> Proposal {
        Proposal {
            id: self.id,
            author: self.author,
            change,
            rebase: Rebase::Allowed,
        }
    }
}
