//! Outcomes of requests, reasons for not running them, and request priorities.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// What the system knows about whether an ended request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestOutcome {
    /// The request did not run and will not run later.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the `x-dogwoodshunt-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Load-shedding priority of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Shed before all other requests.
    Low,
    /// Priority of a request that does not set one.
    #[default]
    Normal,
    /// Shed after all other requests.
    High,
}

impl Priority {
    /// Parses the value of the `x-dogwoodshunt-priority` header.
    ///
    /// Returns `None` for anything but `low`, `normal` and `high`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "low" => Some(Self::Low),
            "normal" => Some(Self::Normal),
            "high" => Some(Self::High),
            _ => None,
        }
    }
}

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum NotRunReason {
    /// The caller cancelled the request before it ran.
    Cancelled,
    /// The request, or a part of its prompt, has crashed upstreams.
    CrashesEngines,
    /// The deadline of the request has passed, or would pass before the request could run.
    Deadline,
    /// The upstream, or the node that received the request, is leaving and accepts no
    /// new requests.
    Leaving,
    /// The node cannot confirm that the key of the request is in force, or not in force.
    KeyUnconfirmed,
    /// The adapter could not be loaded.
    LoadFailed,
    /// No upstream that is known to be up can run the request.
    NoUpstream,
    /// The workspace of the caller has used its quota.
    OverQuota,
    /// The request queue is full.
    Overloaded,
    /// All upstreams that could run the request have asked for a pause or have reached their
    /// rate limits.
    Paused,
    /// It is not known whether the workspace of the caller has used its quota.
    QuotaUnknown,
    /// No upstream runs the software version that began the stream to be resumed.
    SoftwareGone,
    /// The software version that began the stream to be resumed is not known.
    SoftwareUnknown,
    /// The node cannot confirm that its catalogue is still in force.
    Stale,
    /// The key-value service, which must record the request first, is unreachable.
    #[serde(rename = "ServiceOut")]
    KeyValueServiceUnreachable,
    /// No upstream that could run the request could be reached.
    Unreachable,
    /// The adapter version is not in force on the node.
    Withdrawn,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cancelled => "the caller cancelled the request",
            Self::CrashesEngines => "the request or a part of its prompt has crashed upstreams",
            Self::Deadline => "the request cannot run before its deadline",
            Self::Leaving => "the upstream is leaving",
            Self::KeyUnconfirmed => "the node cannot confirm whether the key is in force",
            Self::LoadFailed => "the adapter could not be loaded",
            Self::NoUpstream => "no upstream is up that can run the request",
            Self::OverQuota => "the workspace has used its quota",
            Self::Overloaded => "the queue is full",
            Self::Paused => "all upstreams have asked for a pause or reached their rate limits",
            Self::QuotaUnknown => "it is not known whether the workspace has used its quota",
            Self::SoftwareGone => "no upstream runs the software version that began the stream",
            Self::SoftwareUnknown => "the software version that began the stream is not known",
            Self::Stale => "the node cannot confirm that its catalogue is in force",
            Self::KeyValueServiceUnreachable => "the key-value service is not reachable",
            Self::Unreachable => "no upstream that could run the request could be reached",
            Self::Withdrawn => "the adapter version is not in force",
        })
    }
}

/// Guarantee that a request did not run and will not run later, with the reason.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NotRun {
    /// Reason why the request was not run.
    pub reason: NotRunReason,
    /// Delay, counted from the response, after which a new attempt may succeed.
    pub retry_after: Duration,
}

impl NotRun {
    /// Creates the guarantee for a request that was refused for `reason`.
    pub fn new(reason: NotRunReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}
