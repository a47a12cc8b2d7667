//! Faults that tests ask stand-ins for.

use serde::Deserialize;
use serde::Serialize;

/// What an engine does wrong from now on; fields left out stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFaults {
    /// Loads that fail from now on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_loads: Option<u32>,
    /// Whether old fencing numbers are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub check_fencing: Option<bool>,
    /// Whether to restart empty now, breaking off what runs.
    #[serde(default)]
    pub restart: bool,
    /// Tokens after which streams end without their last event; 0 lifts the fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end_streams_after: Option<u32>,
    /// Version that every adapter answers with; an empty text lifts the fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_as_version: Option<String>,
}

/// What the key-value service does wrong from now on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KvFault {
    /// Nothing.
    #[default]
    None,
    /// Writes take effect, but their answers are lost.
    AnswerLost,
    /// Every call is refused.
    Down,
    /// Every call takes two seconds.
    Slow,
}

/// Body of the key-value service's `/standin/faults`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KvFaults {
    /// The fault.
    pub fault: KvFault,
}
