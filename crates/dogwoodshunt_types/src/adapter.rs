//! An adapter together with its version.

use crate::AdapterName;
use crate::Version;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Longest accepted adapter name or version, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// One version of one adapter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterRef {
    /// Name of the adapter.
    pub name: AdapterName,
    /// Version of the adapter.
    pub version: Version,
}

impl AdapterRef {
    /// Creates a reference to version `version` of adapter `name`.
    pub fn new(name: &str, version: &str) -> Self {
        Self {
            name: name.into(),
            version: version.into(),
        }
    }

    /// Parses `NAME@VERSION`; returns `None` where either part is missing or malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let (name, version) = text.split_once('@')?;
        (is_name(name) && is_name(version)).then(|| Self::new(name, version))
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}

/// Returns whether version `a` is newer than `b`, where versions are numbers.
///
/// Versions that are no numbers have no order; none is newer.
pub fn is_newer(a: &str, b: &str) -> bool {
    match (a.parse::<u64>(), b.parse::<u64>()) {
        (Ok(a), Ok(b)) => a > b,
        _ => false,
    }
}

/// Returns whether `text` may name an adapter, a version or a node.
///
/// Names hold ASCII letters, digits, `-`, `_` and `.`, and at most
/// [`MAX_NAME_BYTES`] bytes.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
