//! The parts of chat completions that the router reads; the rest passes through.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use types::prelude::*;

/// Tokens of an answer, as the engine counts them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt.
    pub prompt: Tokens,
    /// Of the prompt, found in the prefix cache.
    pub cached: Tokens,
    /// Of the answer.
    pub completion: Tokens,
}

/// A chunk of a stream.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk<'a> {
    #[serde(borrow, default)]
    pub(crate) id: Cow<'a, str>,
    #[serde(borrow, default)]
    pub(crate) choices: Vec<ChunkChoice<'a>>,
    #[serde(default)]
    pub(crate) usage: Option<WireUsage>,
    #[serde(default)]
    pub(crate) error: Option<serde_json::Value>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct ChunkChoice<'a> {
    #[serde(borrow, default)]
    pub(crate) delta: Delta<'a>,
    #[serde(borrow, default)]
    pub(crate) finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Delta<'a> {
    #[serde(borrow, default)]
    pub(crate) content: Option<Cow<'a, str>>,
}

/// A whole answer.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    #[serde(default)]
    pub(crate) id: String,
    pub(crate) choices: Vec<CompletionChoice>,
    #[serde(default)]
    pub(crate) usage: Option<WireUsage>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct CompletionChoice {
    pub(crate) message: CompletionMessage,
    #[serde(default)]
    pub(crate) finish_reason: Option<String>,
    #[serde(default)]
    logprobs: Option<Logprobs>,
}

#[derive(Debug, Default, Deserialize)]
struct Logprobs {
    #[serde(default)]
    content: Option<Vec<TokenLogprob>>,
}

#[derive(Debug, Deserialize)]
struct TokenLogprob {
    logprob: f64,
}

impl CompletionChoice {
    /// The tokens' mean probability, geometric: from 0 to 1, if the engine stated it.
    pub(crate) fn confidence(&self) -> Option<f64> {
        let tokens = self.logprobs.as_ref()?.content.as_ref()?;
        let sum: f64 = tokens.iter().map(|token| token.logprob).sum();
        let mean = sum / tokens.len() as f64;
        mean.is_finite().then(|| mean.exp().clamp(0.0, 1.0))
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct CompletionMessage {
    #[serde(default)]
    pub(crate) content: Option<String>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct WireUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl From<WireUsage> for Usage {
    fn from(wire: WireUsage) -> Self {
        let cached = wire.prompt_tokens_details.map_or(0, |d| d.cached_tokens);
        Self {
            prompt: Tokens(wire.prompt_tokens),
            cached: Tokens(cached),
            completion: Tokens(wire.completion_tokens),
        }
    }
}

/// An error in OpenAI's shape.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct ErrorBody {
    #[serde(default)]
    pub(crate) error: ErrorDetail,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct ErrorDetail {
    #[serde(default)]
    pub(crate) message: Option<String>,
    #[serde(default)]
    pub(crate) code: Option<String>,
}

/// The same JSON text with another id in place of the attempt's.
///
/// The quoted key and value can only be a field: inside a text, quotes are escaped.
#[must_use]
pub fn rewrite_id(data: &Bytes, attempt: &str, id: &str) -> Bytes {
    for key in ["\"id\":\"", "\"id\": \""] {
        let old = format!("{key}{attempt}\"");
        if let Some(at) = find(data, old.as_bytes()) {
            let mut text = Vec::with_capacity(data.len() + id.len());
            text.extend_from_slice(&data[..at + key.len()]);
            text.extend_from_slice(id.as_bytes());
            text.extend_from_slice(&data[at + old.len() - 1..]);
            return text.into();
        }
    }
    data.clone()
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}
