//! Proofs that both ends of a connection hold the shared key.
//!
//! The key itself never crosses the network: each side answers the other's
//! random number with an HMAC-SHA-256 over it and over both identities.

use crate::frame::Identity;
use crate::frame::Proof;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use std::fmt;

/// Shared key of the settings; its value never reaches a log.
#[derive(Clone, Eq, PartialEq)]
pub struct SharedKey(Box<[u8]>);

impl SharedKey {
    /// Creates a key from the text of the settings.
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().into())
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

/// Which side makes a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The side that accepted the connection.
    Agent,
    /// The side that opened the connection.
    Entry,
}

/// What a proof covers.
#[derive(Clone, Copy, Debug)]
pub struct Transcript<'a> {
    /// The agent's random number.
    pub agent_nonce: &'a [u8; 32],
    /// The entry's random number.
    pub entry_nonce: &'a [u8; 32],
    /// Who the agent is.
    pub agent: &'a Identity,
    /// Who the entry is.
    pub entry: &'a Identity,
}

/// Returns the proof of `side`.
pub fn prove(key: &SharedKey, side: Side, transcript: &Transcript<'_>) -> Proof {
    mac(key, side, transcript).finalize().into_bytes().into()
}

/// Returns whether `proof` is the proof of `side`, in constant time.
pub fn verify(key: &SharedKey, side: Side, transcript: &Transcript<'_>, proof: &Proof) -> bool {
    mac(key, side, transcript).verify_slice(proof).is_ok()
}

fn mac(key: &SharedKey, side: Side, transcript: &Transcript<'_>) -> Hmac<Sha256> {
    // PANIC: HMAC takes keys of any length.
    #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("any key length");
    mac.update(match side {
        Side::Agent => b"agent",
        Side::Entry => b"entry",
    });
    mac.update(transcript.agent_nonce);
    mac.update(transcript.entry_nonce);
    for identity in [transcript.agent, transcript.entry] {
        mac.update(&identity.boot.to_be_bytes());
        for text in [&identity.node, &identity.domain] {
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
    }
    mac
}
