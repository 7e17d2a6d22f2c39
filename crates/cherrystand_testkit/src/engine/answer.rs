//! Requests to the engine stand-in and the deterministic answers to them.

use serde_json::{Value, json};

/// The maximum number of tokens in one answer.
const MAX_TOKENS: u64 = 256;

/// Holds the parts of a completion request that the stand-in uses.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The prompt's text; of a chat, that of the last message.
    pub text: String,
    /// The number of tokens in the answer.
    pub tokens: u64,
    /// Whether the answer is sent as a stream of server-sent events.
    pub stream: bool,
    /// The name of the requested model.
    pub model: String,
    /// Whether the request is a chat completion.
    pub chat: bool,
}

impl Prompt {
    /// Parses a request's body, or returns `None` if it isn't a valid request.
    pub fn parse(path: &str, body: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let chat = path.ends_with("/chat/completions");
        let text = if chat {
            let messages = value.get("messages")?.as_array()?;
            messages.last()?.get("content")?.as_str()?
        } else {
            value.get("prompt")?.as_str()?
        };
        let tokens = value.get("max_tokens").and_then(Value::as_u64).unwrap_or(16);
        Some(Self {
            text: text.to_owned(),
            tokens: tokens.clamp(1, MAX_TOKENS),
            stream: value.get("stream").and_then(Value::as_bool).unwrap_or(false),
            model: value.get("model")?.as_str()?.to_owned(),
            chat,
        })
    }

    /// Returns token `number` of the answer, counted from 0.
    pub fn token(&self, number: u64) -> String {
        format!("{}:{number} ", self.text)
    }

    /// Returns the full text of the answer, which depends on the prompt only, so that a caller can
    /// check it.
    pub fn full_text(&self) -> String {
        (0..self.tokens).map(|number| self.token(number)).collect()
    }

    /// Returns the body of an answer that is not streamed.
    pub fn response_body(&self) -> Value {
        let text = self.full_text();
        let choice = if self.chat {
            json!({"index": 0, "finish_reason": "stop",
                   "message": {"role": "assistant", "content": text}})
        } else {
            json!({"index": 0, "finish_reason": "stop", "text": text})
        };
        json!({"object": self.object(""), "model": self.model, "choices": [choice],
               "usage": {"completion_tokens": self.tokens}})
    }

    /// Returns the event that carries token `number` of a streamed answer.
    pub fn event(&self, number: u64) -> String {
        let text = self.token(number);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let chunk = json!({"object": self.object(".chunk"), "model": self.model,
                           "choices": [choice]});
        format!("data: {chunk}\n\n")
    }

    fn object(&self, suffix: &str) -> String {
        let kind = if self.chat { "chat.completion" } else { "text_completion" };
        format!("{kind}{suffix}")
    }
}
