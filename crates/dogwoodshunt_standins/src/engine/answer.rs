//! Bodies of completions.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Tokens generated where the request names no number.
const DEFAULT_TOKENS: u32 = 16;

/// The fields of a request that the stand-in heeds.
#[derive(Clone, Debug, Deserialize)]
pub struct Query {
    /// Model or adapter.
    pub model: String,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Prompt of a completion.
    #[serde(default)]
    prompt: Option<String>,
    /// Messages of a chat.
    #[serde(default)]
    messages: Vec<ChatMessage>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

impl Query {
    /// Returns the prompt, or the last message of a chat.
    pub fn prompt(&self) -> &str {
        let last = self.messages.last().map(|message| message.content.as_str());
        self.prompt.as_deref().or(last).unwrap_or("")
    }

    /// Returns the number of tokens to generate.
    pub fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// Returns token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    if index == 0 {
        return format!("{prompt}:0");
    }
    format!(" {index}")
}

/// Returns the whole text of an answer of `tokens` tokens to `prompt`.
pub fn text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Returns a whole answer.
pub fn whole(is_chat: bool, model: &str, text: &str) -> Value {
    let choice = if is_chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    json!({"object": object(is_chat, false), "model": model, "choices": [choice]})
}

/// Returns one event of a streamed answer.
pub fn event(is_chat: bool, model: &str, text: &str) -> String {
    let choice = if is_chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
    } else {
        json!({"index": 0, "text": text, "finish_reason": null})
    };
    let chunk = json!({"object": object(is_chat, true), "model": model, "choices": [choice]});
    format!("data: {chunk}\n\n")
}

/// Last event of a streamed answer.
pub const DONE: &str = "data: [DONE]\n\n";

fn object(is_chat: bool, streamed: bool) -> &'static str {
    match (is_chat, streamed) {
        (true, true) => "chat.completion.chunk",
        (true, false) => "chat.completion",
        (false, _) => "text_completion",
    }
}
