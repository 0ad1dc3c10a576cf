//! The fields of chat completions that the router reads; everything else passes through.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use types::prelude::*;

/// Token counts of an answer, as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that were found in the prefix cache.
    pub cached: Tokens,
    /// Tokens of the answer.
    pub completion: Tokens,
}

/// One chunk of a streamed completion.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk<'a> {
    #[serde(borrow, default)]
    pub(crate) id: Cow<'a, str>,
    #[serde(borrow, default)]
    pub(crate) choices: Vec<ChunkChoice<'a>>,
    #[serde(default)]
    pub(crate) usage: Option<UsageFields>,
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

/// A completion that is not streamed.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    #[serde(default)]
    pub(crate) id: String,
    pub(crate) choices: Vec<CompletionChoice>,
    #[serde(default)]
    pub(crate) usage: Option<UsageFields>,
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
    /// Geometric mean of the tokens' probabilities, from 0 to 1, if the engine returned them.
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
pub(crate) struct UsageFields {
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

impl From<UsageFields> for Usage {
    fn from(fields: UsageFields) -> Self {
        let cached = fields.prompt_tokens_details.map_or(0, |d| d.cached_tokens);
        Self {
            prompt: Tokens(fields.prompt_tokens),
            cached: Tokens(cached),
            completion: Tokens(fields.completion_tokens),
        }
    }
}

/// An error body in OpenAI's format.
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

/// Replaces the attempt's id in a JSON text by `id`.
///
/// Searches for the quoted key and value. They can only be a field, since quotes inside a JSON
/// string are escaped.
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

fn find(text: &[u8], pattern: &[u8]) -> Option<usize> {
    text.windows(pattern.len())
        .position(|window| window == pattern)
}
