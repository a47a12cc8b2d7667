//! Resource demand of a request on an engine, in tokens.

use serde::Deserialize;
use serde::Serialize;

/// Identifier of the text of a prompt part. Parts with the same text have the same
/// identifier.
pub type PromptPartId = u64;

/// Segment of a prompt, the unit in which shared prefixes are compared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifier of the segment's text.
    #[serde(rename = "i")]
    pub id: PromptPartId,
    /// Length of the segment, in tokens.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// Resource demand of a request on an engine.
///
/// The default, in which every field is zero or empty, stands for an unknown
/// demand.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Parts of the prompt, in order.
    #[serde(rename = "p")]
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    #[serde(rename = "n")]
    pub prompt_tokens: u32,
    /// Maximum length of the completion, in tokens.
    #[serde(rename = "o")]
    pub output_tokens: u32,
    /// Rank of the request among requests of the same priority. Requests of rank 0 are
    /// dispatched first.
    #[serde(rename = "r")]
    pub rank: u8,
}

impl Demand {
    /// Returns the parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the KV cache tokens that the request occupies when its completion
    /// has its maximum length.
    pub fn max_kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}
