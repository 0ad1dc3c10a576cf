//! The request body for an engine, and the prefix hashes of its prompt.

use super::version::ChosenVersion;
use crate::traffic::params::ChatParams;
use bytes::Bytes;
use routing::PrefixHash;
use serde_json::{Map, Value, json};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Most prefixes of a prompt that are hashed.
const MAX_PREFIXES: usize = 16;
/// Priority numbers of the engines' API; lower numbers are served first.
const INTERACTIVE: u32 = 0;
const BATCH: u32 = 1;

/// Creates the engine's request body: the caller's body with the fields that the router sets
/// replaced. `resume_from` is the part of a broken answer that the caller already has.
pub(crate) fn engine_body(
    params: &ChatParams,
    target: &ChosenVersion,
    max_output: Tokens,
    priority: Priority,
    resume_from: &str,
) -> Bytes {
    let mut fields = params.fields.clone();
    fields.insert("model".to_owned(), json!(target.version));
    if target.asks_confidence {
        fields.insert("logprobs".to_owned(), json!(true));
    }
    fields.remove("max_completion_tokens");
    fields.insert("max_tokens".to_owned(), json!(max_output));
    fields.insert("priority".to_owned(), json!(priority_number(priority)));
    if fields.get("stream") == Some(&Value::Bool(true)) {
        fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
    }
    if !resume_from.is_empty() {
        resume(&mut fields, resume_from);
    }
    Bytes::from(serde_json::to_vec(&fields).unwrap_or_default())
}

fn priority_number(priority: Priority) -> u32 {
    match priority {
        Priority::Interactive => INTERACTIVE,
        Priority::Batch => BATCH,
    }
}

fn resume(fields: &mut Map<String, Value>, delivered: &str) {
    if let Some(Value::Array(messages)) = fields.get_mut("messages") {
        messages.push(json!({"role": "assistant", "content": delivered}));
    }
    fields.insert("continue_final_message".to_owned(), json!(true));
    fields.insert("add_generation_prompt".to_owned(), json!(false));
}

/// Hashes of the prompt's prefixes, one for each message, shortest first.
pub(crate) fn prefix_hashes(fields: &Map<String, Value>) -> Vec<PrefixHash> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let mut hasher = Xxh3::new();
    let mut hashes = Vec::new();
    for message in messages.into_iter().flatten().take(MAX_PREFIXES) {
        for field in ["role", "content"] {
            let text = message.get(field).map(Value::to_string).unwrap_or_default();
            hasher.update(text.as_bytes());
            hasher.update(b"\0");
        }
        hashes.push(PrefixHash(hasher.digest()));
    }
    hashes
}
