//! Faults that tests inject into stand-ins.

use serde::Deserialize;
use serde::Serialize;

/// Faults of an engine; a field that is left out keeps its current setting.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of next loads that fail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_loads: Option<u32>,
    /// Whether the engine refuses orders with an outdated fencing token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub check_fencing: Option<bool>,
    /// Whether the engine restarts now, without adapters and aborting its runs.
    #[serde(default)]
    pub restart: bool,
    /// Number of tokens after which streams end without their final event; 0
    /// clears the fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end_streams_after: Option<u32>,
    /// Version reported in the responses of every adapter, whichever version
    /// runs; an empty string clears the fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_as_version: Option<String>,
}

/// Fault of the key-value service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KvFault {
    /// No fault.
    #[default]
    None,
    /// Transactions take effect, but the service responds with an error.
    AnswerLost,
    /// The service refuses every call.
    Down,
    /// The service delays every call by two seconds.
    Slow,
}

/// Request body of the key-value service's `/standin/faults`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KvFaults {
    /// Fault to set.
    pub fault: KvFault,
}
