//! Bodies of the operators' interface.

use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::admission::Refusal;
use dogwoodshunt_catalogue::release::Problem;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

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
    pub standing: ReplicationStatus,
}

/// Answer to a check.
#[derive(Clone, Debug, Deserialize, Serialize)]
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
#[derive(Clone, Debug, Deserialize, Serialize)]
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
    /// Creates a fault with a status and a message.
    pub fn new(status: u16, message: impl Into<String>) -> Self {
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

/// State of the fleet as one entry sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Overview {
    /// Name of the entry.
    pub entry: NodeId,
    /// Revision of its catalogue.
    pub revision: Revision,
    /// Whether it trusts its catalogue.
    pub fresh: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it can serve callers: fresh, not leaving, with an agent to use.
    pub ready: bool,
    /// Adapters in force.
    pub adapters: usize,
    /// Hosts and upstreams with a planned stop.
    pub stops: Vec<Box<str>>,
    /// The agents.
    pub agents: Vec<AgentState>,
}

/// State of one agent as an entry sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentState {
    /// Name of the agent; empty until it has connected.
    pub node: NodeId,
    /// Whether a connection is open.
    pub connected: bool,
    /// Whether the agent trusts its catalogue.
    pub fresh: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether nothing waits or runs on it.
    pub empty: bool,
    /// Fencing number of its orders; 0 while it may not give any.
    pub epoch: Epoch,
    /// Revision of its catalogue.
    pub revision: Revision,
    /// Names of its upstreams.
    pub upstreams: Vec<Box<str>>,
}
