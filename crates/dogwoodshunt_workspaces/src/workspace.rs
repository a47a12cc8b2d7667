//! Workspaces as configured, and the look-up of the workspace that a key belongs to.

use crate::key::KeyDigest;
use dogwoodshunt_types::WorkspaceName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;

/// Limit on the cost of the requests of a workspace, over all entries together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quota {
    /// Sustained cost per second.
    pub rate_per_second: u64,
    /// Cost that may be spent at once after a pause.
    pub burst: u64,
    /// What the cost of a request is measured in.
    pub unit: QuotaUnit,
}

/// What the cost of a request is measured in.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Each request costs 1.
    Requests,
    /// A request costs its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// Cost of a request that states no number of tokens.
        default_cost: u64,
    },
}

/// Account of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Name, by which upstreams know the workspace.
    pub name: WorkspaceName,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, which replaces that of the route; `None` if the rank of the route
    /// applies.
    pub rank: Option<u8>,
    /// Limit on the cost of its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Whom a request comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity {
    /// The configuration contains no workspaces; callers do not identify themselves to this system.
    Unidentified,
    /// The route of the request is public, and the request bears no known key.
    Anonymous,
    /// The key of the request belongs to this workspace.
    Workspace(Arc<Workspace>),
}

impl CallerIdentity {
    /// Returns the workspace of the caller, if there is one.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Unidentified | Self::Anonymous => None,
            Self::Workspace(workspace) => Some(workspace),
        }
    }
}

/// Look-up of workspaces by the keys of their callers.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
}

impl WorkspaceTable {
    /// Creates the look-up of the given workspaces.
    pub fn new(workspaces: &[Workspace]) -> Self {
        let mut by_key = HashMap::new();
        for workspace in workspaces {
            let shared = Arc::new(workspace.clone());
            for key in &workspace.keys {
                by_key.insert(*key, shared.clone());
            }
        }
        Self { by_key }
    }

    /// Returns the workspace that `key` belongs to.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }
}
