//! Parses chat completion requests and formats answers in OpenAI's format.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use types::prelude::*;

use super::text::{Message, confidence, has_ended, partial_tokens};

/// The fields of a chat request that the engine uses.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(super) priority: i64,
    #[serde(default)]
    pub(super) continue_final_message: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    #[serde(default)]
    pub(super) logprobs: bool,
}

#[derive(Debug, Clone, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// The part of a resumed answer that was generated before.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Partial {
    /// Number of tokens, without the marker.
    pub(super) tokens: u32,
    /// Whether the marker is there too, so that only the end of the stream is left.
    pub(super) has_ended: bool,
}

impl ChatRequest {
    /// Removes the partial answer from the messages and measures it.
    pub(super) fn take_partial(&mut self) -> Partial {
        let is_partial = |m: &Message| m.role == "assistant";
        if !self.continue_final_message || !self.messages.last().is_some_and(is_partial) {
            return Partial::default();
        }
        let text = self.messages.pop().map_or_else(String::new, |m| m.text());
        Partial {
            tokens: partial_tokens(&text),
            has_ended: has_ended(&text),
        }
    }

    /// Returns the number of tokens to generate: the requested limit, from 1 to
    /// `default_length`.
    pub(super) fn tokens(&self, default_length: u32) -> u32 {
        let max = self.max_completion_tokens.or(self.max_tokens);
        max.unwrap_or(default_length).min(default_length).max(1)
    }

    pub(super) fn wants_usage(&self) -> bool {
        self.stream_options.include_usage
    }
}

/// Token counts for the `usage` object of an answer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) completion: u32,
}

impl Usage {
    fn json(self) -> Value {
        let completion = u64::from(self.completion);
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": completion,
            "total_tokens": self.prompt + completion,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// The fields that are the same in every chunk of an answer.
#[derive(Debug, Clone)]
pub(super) struct ChunkFields {
    /// The id as JSON text, quotes included.
    id: String,
    model: String,
}

impl ChunkFields {
    pub(super) fn new(id: &str, version: &VersionId) -> Self {
        Self {
            id: Value::from(id).to_string(),
            model: Value::from(version.to_string()).to_string(),
        }
    }

    /// Returns the same fields with the id of another request.
    pub(super) fn for_other_request(&self) -> Self {
        Self {
            id: OTHER_ID_JSON.to_owned(),
            model: self.model.clone(),
        }
    }

    /// Formats a chunk with a piece of text, which must not need JSON escapes.
    pub(super) fn token(&self, text: &str, first: bool) -> Bytes {
        let role = if first { r#""role":"assistant","# } else { "" };
        self.chunk(&format!(
            r#"[{{"index":0,"delta":{{{role}"content":"{text}"}},"finish_reason":null}}]"#
        ))
    }

    pub(super) fn finish(&self, reason: &str) -> Bytes {
        self.chunk(&format!(
            r#"[{{"index":0,"delta":{{}},"finish_reason":"{reason}"}}]"#
        ))
    }

    pub(super) fn usage(&self, usage: Usage) -> Bytes {
        self.chunk(&format!(r#"[],"usage":{}"#, usage.json()))
    }

    fn chunk(&self, choices: &str) -> Bytes {
        let (id, model) = (&self.id, &self.model);
        Bytes::from(format!(
            "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"created\":0,\
             \"model\":{model},\"choices\":{choices}}}\n\n"
        ))
    }
}

/// The id in another request's answer as JSON text, quotes included.
const OTHER_ID_JSON: &str = "\"of-another-request\"";
/// The id in another request's answer.
pub(super) const OTHER_REQUEST: &str = "of-another-request";

/// The last event of a stream.
pub(super) const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Formats the log probabilities of an answer: one entry for its whole text, with the
/// engine's confidence. The higher it is, the likelier the rater finds the answer adequate,
/// but never with certainty.
pub(super) fn logprobs(text: &str) -> Value {
    let score = confidence(text).unwrap_or(0.5);
    json!({ "content": [{ "token": text, "logprob": score.ln(), "top_logprobs": [] }] })
}

/// Formats the body of an answer that is not streamed.
pub(super) fn completion(
    id: &str,
    version: &VersionId,
    text: &str,
    reason: &str,
    usage: Usage,
) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "created": 0,
        "model": version.to_string(),
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": reason,
        }],
        "usage": usage.json(),
    })
}

/// Formats an error body in OpenAI's format.
pub(super) fn error(kind: &str, code: &str, message: &str) -> Value {
    json!({ "error": { "message": message, "type": kind, "param": null, "code": code } })
}
