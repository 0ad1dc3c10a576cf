//! Prompts and generated answers of the stand-in engine.
//!
//! An answer of `n` tokens is `n - 1` words and a marker, all derived from a hash of the
//! model version and the prompt. The marker is a uniformly distributed number, the only
//! part of an answer by which the stand-in rater decides whether it is adequate.

use serde::Deserialize;
use serde_json::Value;
use types::prelude::*;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
/// First character of the marker, which is an answer's last token.
const MARKER: char = '#';

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// A string, or a list of content parts.
    #[serde(default)]
    pub content: Value,
}

impl Message {
    /// Creates a message of plain text.
    #[must_use]
    pub fn new(role: &str, content: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: Value::from(content),
        }
    }

    /// Returns the text of the message, without parts of other kinds.
    #[must_use]
    pub fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => {
                let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
                texts.collect::<Vec<_>>().join("\n")
            }
            _ => String::new(),
        }
    }

    /// Returns the number of tokens that the message counts as.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        (self.text().len() / BYTES_PER_TOKEN + 1) as u64
    }
}

/// Returns the hash of each prefix of a chat, one per message, as specified in
/// `docs/PROTOCOLS.md`.
#[must_use]
pub fn prefix_hashes(messages: &[Message]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let hashes = messages.iter().map(|message| {
        for field in [&Value::from(message.role.as_str()), &message.content] {
            hasher.update(field.to_string().as_bytes());
            hasher.update(b"\0");
        }
        hasher.digest()
    });
    hashes.collect()
}

/// Returns the hash of a whole chat, or 0 for an empty one.
#[must_use]
pub fn prompt_hash(messages: &[Message]) -> u64 {
    prefix_hashes(messages).last().copied().unwrap_or(0)
}

/// Returns the first word of the last user message.
#[must_use]
pub fn tag(messages: &[Message]) -> String {
    let last = messages.iter().rev().find(|m| m.role == "user");
    let text = last.map(Message::text).unwrap_or_default();
    text.split_whitespace()
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// Returns the hash from which all tokens of an answer are derived.
#[must_use]
pub fn answer_hash(version: &VersionId, messages: &[Message]) -> u64 {
    xxh3_64_with_seed(version.to_string().as_bytes(), prompt_hash(messages))
}

/// Returns token `index` of an answer of `length` tokens; each token but the last ends in a
/// space.
#[must_use]
pub fn token(answer: u64, index: u32, length: u32) -> String {
    if index + 1 >= length {
        return format!("{MARKER}{:08x}", (answer >> 32) as u32);
    }
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), answer);
    let letters = (0..5).map(|i| char::from(b'a' + ((hash >> (8 * i)) % 26) as u8));
    let mut text = letters.collect::<String>();
    text.push(' ');
    text
}

/// Returns the text of a whole answer of `length` tokens.
#[must_use]
pub fn answer(version: &VersionId, messages: &[Message], length: u32) -> String {
    let hash = answer_hash(version, messages);
    (0..length).map(|i| token(hash, i, length)).collect()
}

/// Counts the tokens of a partial answer, except the marker, which has no space after it.
#[must_use]
pub fn partial_tokens(partial: &str) -> u32 {
    partial.matches(' ').count() as u32
}

/// Returns whether a partial answer has its marker, so that nothing is left to generate.
#[must_use]
pub fn has_ended(partial: &str) -> bool {
    partial.contains(MARKER)
}

/// Returns the number in an answer's marker, uniform in `[0, 1)`.
#[must_use]
pub fn marker(answer: &str) -> Option<f64> {
    let (_, digits) = answer.rsplit_once(MARKER)?;
    let number = u32::from_str_radix(digits.trim(), 16).ok()?;
    Some(f64::from(number) / 4_294_967_296.0)
}

/// Share of the confidence that is independent of the answer's quality.
const NOISE_SHARE: f64 = 0.3;

/// Returns the engine's reported confidence in an answer, from 0.001 to 1.
#[must_use]
pub fn confidence(answer: &str) -> Option<f64> {
    let noise = xxh3_64_with_seed(answer.as_bytes(), 1) as f64 / u64::MAX as f64;
    let score = (1.0 - marker(answer)?) * (1.0 - NOISE_SHARE) + noise * NOISE_SHARE;
    Some(score.clamp(0.001, 1.0))
}

/// Returns a marker that no rater finds adequate.
#[must_use]
pub fn bad_marker() -> String {
    format!("{MARKER}ffffffff")
}
