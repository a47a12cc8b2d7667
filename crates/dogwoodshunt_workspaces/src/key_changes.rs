//! Counts of the keys that a configuration adds and takes away, for logs.

use crate::key::KeyDigest;
use crate::workspace::Workspace;
use dogwoodshunt_types::WorkspaceName;
use std::collections::BTreeMap;
use std::collections::HashSet;
use std::fmt;

/// Maximum number of workspaces that the text names.
const MAX_NAMED: usize = 8;

/// Number of keys added and taken away, by workspace. Its text never contains a key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyChanges {
    by_workspace: BTreeMap<WorkspaceName, (usize, usize)>,
}

impl KeyChanges {
    /// Compares the workspaces of two configurations.
    pub fn between(before: &[Workspace], after: &[Workspace]) -> Self {
        let keys = |workspaces: &[Workspace]| -> HashSet<(WorkspaceName, KeyDigest)> {
            let keys = workspaces.iter().flat_map(|workspace| {
                let keys = workspace.keys.iter();
                keys.map(|key| (workspace.name.clone(), *key))
            });
            keys.collect()
        };
        let (before, after) = (keys(before), keys(after));
        let mut changes = Self::default();
        for (name, _) in after.difference(&before) {
            changes.by_workspace.entry(name.clone()).or_default().0 += 1;
        }
        for (name, _) in before.difference(&after) {
            changes.by_workspace.entry(name.clone()).or_default().1 += 1;
        }
        changes
    }

    /// Returns whether no key was added or taken away.
    pub fn is_empty(&self) -> bool {
        self.by_workspace.is_empty()
    }
}

impl fmt::Display for KeyChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = self.by_workspace.iter().take(MAX_NAMED);
        for (index, (name, (added, removed))) in named.enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{name}:+{added}-{removed}")?;
        }
        match self.by_workspace.len().saturating_sub(MAX_NAMED) {
            0 => Ok(()),
            more => write!(f, " and {more} more"),
        }
    }
}
