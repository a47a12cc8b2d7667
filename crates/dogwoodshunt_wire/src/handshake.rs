//! Mutual authentication of the two ends of a connection by the shared key.
//!
//! The key itself never crosses the network. Each side proves that it holds the
//! key by an HMAC-SHA-256 over the nonces and the identities of both sides.

use crate::frame::Identity;
use crate::frame::Proof;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use std::fmt;

/// Shared key from the settings. `Debug` does not print its value, which keeps it out of logs.
#[derive(Clone, Eq, PartialEq)]
pub struct SharedKey(Box<[u8]>);

impl SharedKey {
    /// Creates a key from its text in the settings.
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().into())
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

/// Side of a connection that makes a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The side that accepted the connection.
    Agent,
    /// The side that opened the connection.
    Entry,
}

/// Values that a proof covers.
#[derive(Clone, Copy, Debug)]
pub struct Transcript<'a> {
    /// Nonce that the agent drew for this connection.
    pub agent_nonce: &'a [u8; 32],
    /// Nonce that the entry drew for this connection.
    pub entry_nonce: &'a [u8; 32],
    /// Identity of the agent.
    pub agent: &'a Identity,
    /// Identity of the entry.
    pub entry: &'a Identity,
}

/// Computes the proof by which `side` shows that it holds `key`.
pub fn prove(key: &SharedKey, side: Side, transcript: &Transcript<'_>) -> Proof {
    mac(key, side, transcript).finalize().into_bytes().into()
}

/// Returns whether `proof` is the proof of `side` under `key`; compares in constant time.
pub fn verify(key: &SharedKey, side: Side, transcript: &Transcript<'_>, proof: &Proof) -> bool {
    mac(key, side, transcript).verify_slice(proof).is_ok()
}

fn mac(key: &SharedKey, side: Side, transcript: &Transcript<'_>) -> Hmac<Sha256> {
    // PANIC: HMAC accepts keys of any length.
    #[expect(clippy::expect_used, reason = "HMAC accepts keys of any length")]
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC accepts keys of any length");
    mac.update(match side {
        Side::Agent => b"agent",
        Side::Entry => b"entry",
    });
    mac.update(transcript.agent_nonce);
    mac.update(transcript.entry_nonce);
    for identity in [transcript.agent, transcript.entry] {
        // Each text follows its length, so that different identities never give the same input.
        mac.update(&identity.boot.to_be_bytes());
        for text in [&identity.node, &identity.domain] {
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
    }
    mac
}
