//! JSON bodies of the operator API.

use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::admission::ReleaseRefusal;
use dogwoodshunt_catalogue::release::NoteProblem;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

/// Request to submit or to check a release note.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseRequest {
    /// Release note.
    pub note: ReleaseNote,
    /// Whether the note may be rebased onto a later revision.
    #[serde(default)]
    pub rebase: Rebase,
}

/// Request to plan a stop, or to cancel a planned stop.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StopRequest {
    /// Id of the change, chosen by the operator; a second request with the same id has no
    /// effect.
    pub id: Box<str>,
    /// Author of the change.
    pub author: Box<str>,
    /// Name of the host or upstream to stop.
    pub target: Box<str>,
    /// Whether to stop the target even if no other host or upstream serves the same
    /// base model or service.
    #[serde(default)]
    pub force: bool,
}

/// Response to a change that was appended to the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeResponse {
    /// Log entry of the change.
    pub entry: LogEntry,
    /// Replication status of the log entry.
    #[serde(rename = "standing")]
    pub replication_status: ReplicationStatus,
}

/// Response to a check of a release note.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CheckResponse {
    /// All problems of the release note.
    pub problems: Vec<NoteProblem>,
    /// Revision of the catalogue that the note was checked against.
    pub revision: Revision,
}

/// Page of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogPage {
    /// Consecutive log entries, oldest first.
    pub entries: Vec<LogEntry>,
    /// Revision of the newest log entry, which may be on a later page.
    pub newest: Revision,
}

/// Response to a request that failed or was refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Description of the error, and what the operator can do.
    pub message: String,
    /// Whether the change may be in the log despite the error.
    #[serde(rename = "unsure")]
    pub outcome_unknown: bool,
    /// Time after which to retry, in seconds.
    pub retry_after: Option<u64>,
    /// Reason why a release note was refused.
    pub refusal: Option<ReleaseRefusal>,
}

impl ErrorResponse {
    /// Creates an error response that carries only a status and a message.
    pub fn new(status: u16, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
            outcome_unknown: false,
            retry_after: None,
            refusal: None,
        }
    }

    /// Creates the response to a malformed request.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(400, message)
    }

    /// Creates the response to an unknown method or path.
    pub fn unknown_path(method: &Method, path: &str) -> Self {
        Self::new(404, format!("there is no {method} {path}"))
    }

    /// Creates the response to a change that conflicts with the state of the fleet.
    pub fn conflict(message: impl Into<String>) -> Self {
        Self::new(409, message)
    }

    /// Creates the response of an entry that is shutting down.
    pub fn shutting_down() -> Self {
        Self::new(503, "this entry is stopping; use another")
    }
}

/// State of the fleet as known to one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetStatus {
    /// Name of the entry.
    pub entry: NodeId,
    /// Revision of the entry's catalogue.
    pub revision: Revision,
    /// Whether the entry's catalogue is confirmed as current.
    pub fresh: bool,
    /// Whether the entry is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Whether the entry can serve callers: fresh, not leaving, and with at least
    /// one agent that accepts requests.
    pub ready: bool,
    /// Number of adapters in force.
    pub adapters: usize,
    /// Names of the hosts and upstreams with a planned stop.
    pub stops: Vec<Box<str>>,
    /// State of each agent.
    pub agents: Vec<AgentStatus>,
}

/// State of one agent as known to an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentStatus {
    /// Name of the agent; empty until the agent has connected once.
    pub node: NodeId,
    /// Whether the entry has an open connection to the agent.
    pub connected: bool,
    /// Whether the agent's catalogue is confirmed as current.
    pub fresh: bool,
    /// Whether the agent is stopping and accepts no new requests.
    pub leaving: bool,
    /// Whether no request is queued or running at the agent.
    pub empty: bool,
    /// Fencing token of the agent's load and unload commands; 0 while the agent may not send any.
    pub epoch: Epoch,
    /// Revision of the agent's catalogue.
    pub revision: Revision,
    /// Names of the agent's upstreams.
    pub upstreams: Vec<Box<str>>,
}
