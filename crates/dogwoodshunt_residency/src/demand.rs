//! What a request costs an engine, in tokens.

use serde::Deserialize;
use serde::Serialize;

/// Identifies a part of a prompt; requests that share text share its parts.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Identifies the text.
    #[serde(rename = "i")]
    pub id: PartId,
    /// Length in tokens.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// What a request costs an engine; nothing is known of a default one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Parts of the prompt, in order.
    #[serde(rename = "p")]
    pub parts: Vec<Part>,
    /// Length of the whole prompt, in tokens.
    #[serde(rename = "n")]
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    #[serde(rename = "o")]
    pub output_tokens: u32,
    /// Rank of the request among others; 0 goes first.
    #[serde(rename = "r")]
    pub rank: u8,
}

impl Demand {
    /// Returns the KV cache tokens that the run holds once it is complete.
    pub fn held_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}
