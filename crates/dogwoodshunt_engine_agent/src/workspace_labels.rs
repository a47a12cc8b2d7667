//! Bounded labels of workspaces in metrics.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Maximum number of workspaces with a label of their own.
const MAX_WORKSPACES: usize = 64;

/// Label of the workspaces beyond [`MAX_WORKSPACES`].
const OTHER: &str = "other";

/// Label of requests without a workspace.
const NONE: &str = "none";

/// The workspaces that have a label of their own: the first that were seen.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceLabels {
    names: Arc<Mutex<BTreeSet<Box<str>>>>,
}

impl WorkspaceLabels {
    /// Returns the label of `workspace`.
    pub fn label(&self, workspace: Option<&str>) -> String {
        let Some(workspace) = workspace else {
            return NONE.to_owned();
        };
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if names.len() < MAX_WORKSPACES {
            names.insert(workspace.into());
        }
        let is_known = names.contains(workspace);
        if is_known { workspace } else { OTHER }.to_owned()
    }
}
