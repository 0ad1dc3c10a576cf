//! Answers and prompts of the stand-in engine.
//!
//! An answer of `n` tokens is `n - 1` words and a marker, all hashed from version and
//! prompt. The marker is a uniform number by which the stand-in rater alone decides
//! whether the answer is adequate.

use serde::Deserialize;
use serde_json::Value;
use types::prelude::*;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Bytes of prompt that count as a token.
const BYTES_PER_TOKEN: usize = 4;
/// Begins the marker, an answer's last token.
const MARKER: char = '#';

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// A text, or a list of parts.
    #[serde(default)]
    pub content: Value,
}

impl Message {
    /// A message of plain text.
    #[must_use]
    pub fn new(role: &str, content: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: Value::from(content),
        }
    }

    /// Its text, without any other parts.
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

    /// Tokens that it counts as.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        (self.text().len() / BYTES_PER_TOKEN + 1) as u64
    }
}

/// Hashes of ever longer beginnings of a chat, one a message, as `docs/PROTOCOLS.md` says.
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

/// Hash of a whole chat.
#[must_use]
pub fn prompt_hash(messages: &[Message]) -> u64 {
    prefix_hashes(messages).last().copied().unwrap_or(0)
}

/// The first word of the last user message.
#[must_use]
pub fn tag(messages: &[Message]) -> String {
    let last = messages.iter().rev().find(|m| m.role == "user");
    let text = last.map(Message::text).unwrap_or_default();
    text.split_whitespace()
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// Hash by which all tokens of an answer are made.
#[must_use]
pub fn answer_hash(version: &VersionId, messages: &[Message]) -> u64 {
    xxh3_64_with_seed(version.to_string().as_bytes(), prompt_hash(messages))
}

/// Token `index` of an answer of `length` tokens, with the space that follows it.
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

/// The whole answer.
#[must_use]
pub fn answer(version: &VersionId, messages: &[Message], length: u32) -> String {
    let hash = answer_hash(version, messages);
    (0..length).map(|i| token(hash, i, length)).collect()
}

/// Tokens of a partial answer; each but the last ends in a space.
#[must_use]
pub fn partial_tokens(partial: &str) -> u32 {
    partial.matches(' ').count() as u32
}

/// Whether a partial answer has its last token, so that nothing is left to generate.
#[must_use]
pub fn has_ended(partial: &str) -> bool {
    partial.contains(MARKER)
}

/// The uniform number in an answer's marker, from 0 to below 1.
#[must_use]
pub fn marker(answer: &str) -> Option<f64> {
    let (_, digits) = answer.rsplit_once(MARKER)?;
    let number = u32::from_str_radix(digits.trim(), 16).ok()?;
    Some(f64::from(number) / 4_294_967_296.0)
}

/// Part of the confidence that has nothing to do with the answer's worth.
const NOISE: f64 = 0.3;

/// How sure the engine says it is of an answer, above 0 and at most 1.
#[must_use]
pub fn confidence(answer: &str) -> Option<f64> {
    let noise = xxh3_64_with_seed(answer.as_bytes(), 1) as f64 / u64::MAX as f64;
    let sure = (1.0 - marker(answer)?) * (1.0 - NOISE) + noise * NOISE;
    Some(sure.clamp(0.001, 1.0))
}

/// The marker of an answer that no rater finds adequate.
#[must_use]
pub fn bad_marker() -> String {
    format!("{MARKER}ffffffff")
}
