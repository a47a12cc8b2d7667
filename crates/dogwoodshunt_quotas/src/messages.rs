//! Messages between entries and ledgers.
//!
//! The fields have one-letter names on the wire, since the frames are frequent.

use dogwoodshunt_types::Revision;
use dogwoodshunt_types::WorkspaceName;
use dogwoodshunt_workspaces::Quota;
use serde::Deserialize;
use serde::Serialize;

/// Limits of a workspace, with the revision of the configuration that names them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaLimits {
    /// Sustained cost per second, at least 1.
    #[serde(rename = "r")]
    pub rate: u64,
    /// Cost that may be spent at once after a pause.
    #[serde(rename = "b")]
    pub burst: u64,
    /// Revision of the configuration.
    #[serde(rename = "v")]
    pub revision: Revision,
}

impl QuotaLimits {
    /// Creates the limits of a quota.
    pub fn new(quota: &Quota, revision: Revision) -> Self {
        Self {
            rate: quota.rate_per_second.max(1),
            burst: quota.burst,
            revision,
        }
    }
}

/// How the limits that ledgers are told differ from a quota.
///
/// A quota bounds the cost in each window by rate x window + burst. A bucket with this rate and burst
/// lets a workspace whose demand lasts spend only rate x window in each window but the first, and
/// refuses requests that the quota allows. So half of the burst is granted evenly over the window,
/// and the other half at once. Part of the slack that the platform allows is added to the burst.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaAllowance {
    /// Cost that a workspace may spend at once beyond its burst.
    pub slack: u64,
    /// Window over which the cost is bounded, in seconds; 0 if it is not known.
    pub window_s: u64,
}

impl QuotaAllowance {
    /// Returns the limits of the bucket that grants a quota with `limits`. In a window, the bucket
    /// grants at most what the quota allows, and the slack.
    pub fn apply(&self, limits: QuotaLimits) -> QuotaLimits {
        let spread = limits.burst / 2;
        let (rate, burst) = match spread.checked_div(self.window_s) {
            Some(per_second) => (
                limits.rate.saturating_add(per_second),
                limits.burst - spread,
            ),
            None => (limits.rate, limits.burst),
        };
        QuotaLimits {
            rate,
            burst: burst.saturating_add(self.slack),
            revision: limits.revision,
        }
    }
}

/// From an entry to a ledger: renews the registrations of the entry for all workspaces that it has
/// registered on the connection, and asks for tokens of some of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// Number of entries that the sender knows; 0 if it knows none.
    #[serde(rename = "n")]
    pub entries: u32,
    /// Number of workspaces that the sender has registered on the connection, this message included.
    #[serde(rename = "r")]
    pub registered: u32,
    /// Workspaces of which the sender has something to report.
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceRequest>,
}

/// What an entry reports and asks for one workspace.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceRequest {
    /// Name of the workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// Limits of the workspace, in the first message about it on a connection and after each
    /// change.
    #[serde(default, rename = "l", skip_serializing_if = "Option::is_none")]
    pub limits: Option<QuotaLimits>,
    /// Tokens that the entry holds after this message.
    #[serde(default, rename = "h", skip_serializing_if = "is_zero")]
    pub held: u64,
    /// Unused tokens that the entry gives back; it holds them no longer.
    #[serde(default, rename = "u", skip_serializing_if = "is_zero")]
    pub returned: u64,
    /// Tokens that the entry asks for, if any.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub ask: Option<Ask>,
    /// Whether the entry has changed to another ledger, which ends its registration.
    #[serde(default, rename = "x", skip_serializing_if = "is_false")]
    pub leaves: bool,
}

/// Request for tokens; the ledger answers each one once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Number of the ask, which the process of the entry uses only once.
    #[serde(rename = "n")]
    pub number: u64,
    /// Cost of the first waiting request; 0 if none waits.
    #[serde(default, rename = "m", skip_serializing_if = "is_zero")]
    pub least: u64,
    /// Cost of all waiting requests together with the next advance.
    #[serde(rename = "t")]
    pub wanted: u64,
    /// Time for which the first waiting request can wait, in milliseconds.
    #[serde(default, rename = "d", skip_serializing_if = "is_zero")]
    pub wait_ms: u64,
}

/// From a ledger to an entry: answers to its asks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaGrant {
    /// One answer for each ask.
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceGrant>,
    /// Whether registrations of the entry have ended, so that it has to register again.
    #[serde(default, rename = "x", skip_serializing_if = "is_false")]
    pub register_again: bool,
}

/// Answer to an ask.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceGrant {
    /// Name of the workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// Number of the ask.
    #[serde(rename = "n")]
    pub number: u64,
    /// Tokens that are granted; at least `least` of the ask, or 0.
    #[serde(default, rename = "t", skip_serializing_if = "is_zero")]
    pub amount: u64,
    /// Time after which `least` of the ask will fit, in milliseconds; 0 if the ask is granted.
    #[serde(default, rename = "d", skip_serializing_if = "is_zero")]
    pub fits_in_ms: u64,
    /// Tokens that the ledger gains per second at present; 0 if the entry is not registered.
    #[serde(default, rename = "r", skip_serializing_if = "is_zero")]
    pub rate: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}
