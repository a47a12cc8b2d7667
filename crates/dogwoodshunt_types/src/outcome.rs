//! What is known of a request once it has ended.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The request did not run and never will.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `x-dogwoodshunt-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Class of a request when there is too little room for all.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Shed first.
    Low,
    /// The class of a request that names none.
    #[default]
    Normal,
    /// Shed last.
    High,
}

impl Priority {
    /// Parses the value of the `x-dogwoodshunt-priority` header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "low" => Some(Self::Low),
            "normal" => Some(Self::Normal),
            "high" => Some(Self::High),
            _ => None,
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum NotRunReason {
    /// The caller cancelled the request before it ran.
    Cancelled,
    /// The deadline passed, or would pass, before the request could run.
    Deadline,
    /// The upstream is leaving and takes no new work.
    Leaving,
    /// The adapter could not be loaded.
    LoadFailed,
    /// No upstream that could run the request is known to be up.
    NoUpstream,
    /// The queue is full.
    Overloaded,
    /// The node cannot tell whether its catalogue is still in force.
    Stale,
    /// The key-value service that must record the request is not reachable.
    ServiceOut,
    /// The adapter version is not in force on this node.
    Withdrawn,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cancelled => "the caller cancelled the request",
            Self::Deadline => "the request cannot run before its deadline",
            Self::Leaving => "the upstream is leaving",
            Self::LoadFailed => "the adapter could not be loaded",
            Self::NoUpstream => "no upstream is up that can run the request",
            Self::Overloaded => "the queue is full",
            Self::Stale => "the node cannot confirm that its catalogue is in force",
            Self::ServiceOut => "the key-value service is not reachable",
            Self::Withdrawn => "the adapter version is not in force",
        })
    }
}

/// A definite statement that a request did not run and never will.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NotRun {
    /// Why it was not run.
    pub reason: NotRunReason,
    /// When a new attempt may succeed, counted from the answer.
    pub retry_after: Duration,
}

impl NotRun {
    /// Creates the statement.
    pub fn new(reason: NotRunReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}
