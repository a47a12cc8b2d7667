//! References to adapter versions and the rules for names.

use crate::AdapterName;
use crate::Version;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Maximum length of an adapter name, a version or a node name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Reference to one version of one adapter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterRef {
    /// Adapter name.
    pub name: AdapterName,
    /// Adapter version.
    pub version: Version,
}

impl AdapterRef {
    /// Creates a reference to version `version` of the adapter `name`.
    pub fn new(name: &str, version: &str) -> Self {
        Self {
            name: name.into(),
            version: version.into(),
        }
    }

    /// Returns whether a declaration of this version replaces one of `current`, a version of the
    /// same adapter.
    ///
    /// Of two versions that are unsigned integers only the higher one replaces the other. Other
    /// versions are not ordered, so the later declaration counts.
    pub fn replaces(&self, current: &Self) -> bool {
        self.version != current.version && !is_newer(&current.version, &self.version)
    }

    /// Parses `NAME@VERSION`.
    ///
    /// Returns `None` if either part is missing or is not a valid name.
    pub fn parse(text: &str) -> Option<Self> {
        let (name, version) = text.split_once('@')?;
        (is_valid_name(name) && is_valid_name(version)).then(|| Self::new(name, version))
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}

/// Returns whether version `a` is newer than version `b`.
///
/// Only versions that are unsigned integers are ordered. If either version is
/// not one, neither counts as newer.
pub fn is_newer(a: &str, b: &str) -> bool {
    match (a.parse::<u64>(), b.parse::<u64>()) {
        (Ok(a), Ok(b)) => a > b,
        _ => false,
    }
}

/// Returns whether `text` is a valid name of an adapter, a version or a node.
///
/// A valid name consists of 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`,
/// `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}
