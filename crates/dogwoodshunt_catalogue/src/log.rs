//! Entries of the totally ordered log of configuration changes.

use crate::release::ReleaseNote;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

/// Change to the configuration that one log entry makes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Cancels a planned stop.
    CancelStop {
        /// Host or upstream that may receive requests again.
        target: Box<str>,
    },
    /// Plans a stop: drains a host or an upstream.
    PlanStop {
        /// Host or upstream that receives no new requests.
        target: Box<str>,
    },
    /// Adds, changes and withdraws adapters.
    Release(ReleaseNote),
    /// Completes the replacement of the witnesses: the former ones no longer count.
    SettleWitnesses,
    /// Replaces the witnesses: the nodes whose revisions decide whether a log entry is
    /// accepted.
    Witnesses {
        /// Witness ids (`NODE#BOOT`) of the new witnesses.
        nodes: Vec<NodeId>,
    },
}

impl Change {
    /// Returns whether operators make this kind of change.
    ///
    /// Entry processes make all other changes without an operator.
    pub fn is_operator_change(&self) -> bool {
        match self {
            Self::CancelStop { .. } | Self::PlanStop { .. } | Self::Release(_) => true,
            Self::SettleWitnesses | Self::Witnesses { .. } => false,
        }
    }
}

/// One entry of the configuration log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position of the entry in the log, from 1.
    pub revision: Revision,
    /// Id chosen by the author; each id occurs at most once in the log.
    pub id: Box<str>,
    /// Name of the person or process that made the change.
    pub author: Box<str>,
    /// Time at which the entry was written, by the writer's wall clock.
    pub written_at: UnixMillis,
    /// Change that the entry makes.
    pub change: Change,
}
