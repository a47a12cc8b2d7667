//! Digests of the keys by which callers identify themselves.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use std::fmt;

/// SHA-256 digest of a key.
///
/// Keys are held and compared only as digests: neither memory nor logs contain a key, and the
/// time of a comparison tells nothing about a known key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
