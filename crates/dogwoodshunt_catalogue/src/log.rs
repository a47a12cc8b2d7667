//! Entries of the ordered log of configuration changes.

use crate::release::ReleaseNote;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

/// What one log entry changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Lifts a planned stop.
    CancelStop {
        /// Host or upstream that takes work again.
        target: Box<str>,
    },
    /// Takes a host or an upstream out of service.
    PlanStop {
        /// Host or upstream that takes no new work.
        target: Box<str>,
    },
    /// Adds, changes and withdraws adapters.
    Release(ReleaseNote),
    /// Lets the witnesses go that the last change of them replaced.
    SettleWitnesses,
    /// Replaces the witnesses whose majority confirms each entry.
    Witnesses {
        /// The new witnesses.
        nodes: Vec<NodeId>,
    },
}

impl Change {
    /// Returns whether operators make such changes; the fleet makes the others.
    pub fn is_operators(&self) -> bool {
        match self {
            Self::CancelStop { .. } | Self::PlanStop { .. } | Self::Release(_) => true,
            Self::SettleWitnesses | Self::Witnesses { .. } => false,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position in the log, from 1.
    pub revision: Revision,
    /// Chosen by the author; an id stands in the log at most once.
    pub id: Box<str>,
    /// Who made the change.
    pub author: Box<str>,
    /// When the entry was written, by the writer's clock.
    pub written_at: UnixMillis,
    /// What changed.
    pub change: Change,
}
