//! Request and response bodies of completions.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Number of tokens generated for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Fields of a completion or chat completion request that the stand-in uses.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// Base model or adapter to run.
    pub model: String,
    /// Whether to stream the response as events.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Prompt of a text completion.
    #[serde(default)]
    prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default)]
    messages: Vec<ChatMessage>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

impl CompletionRequest {
    /// Returns the prompt, or the last message of a chat without a prompt.
    pub fn prompt(&self) -> &str {
        let last = self.messages.last().map(|message| message.content.as_str());
        self.prompt.as_deref().or(last).unwrap_or("")
    }

    /// Returns the number of tokens to generate.
    pub fn token_count(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Returns the token at `index` of the completion of `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    if index == 0 {
        return format!("{prompt}:0");
    }
    format!(" {index}")
}

/// Returns the text of a completion of `prompt` with `tokens` tokens.
pub fn completion_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Returns the body of a response that is not streamed.
pub fn response_body(is_chat: bool, model: &str, text: &str) -> Value {
    let choice = if is_chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    json!({"object": object_type(is_chat, false), "model": model, "choices": [choice]})
}

/// Returns one event of a streamed response.
pub fn stream_event(is_chat: bool, model: &str, text: &str) -> String {
    let choice = if is_chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
    } else {
        json!({"index": 0, "text": text, "finish_reason": null})
    };
    let chunk = json!({"object": object_type(is_chat, true), "model": model, "choices": [choice]});
    format!("data: {chunk}\n\n")
}

/// Final event of a streamed response.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

fn object_type(is_chat: bool, streamed: bool) -> &'static str {
    match (is_chat, streamed) {
        (true, true) => "chat.completion.chunk",
        (true, false) => "chat.completion",
        (false, _) => "text_completion",
    }
}
