//! Encoding of requests as HTTP paths and JSON bodies.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use keyvalue::{Compare, ModRevision, Op, Put, Range, Request, Txn};
use serde_json::{Value, json};
use types::prelude::Span;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the path and the body of a call.
pub(crate) fn request(req: &Request) -> (&'static str, Value) {
    match req {
        Request::Range(read) => ("/v3/kv/range", range(read)),
        Request::Txn(steps) => ("/v3/kv/txn", txn(steps)),
        Request::LeaseGrant { ttl } => ("/v3/lease/grant", json!({"TTL": seconds(*ttl)})),
        Request::LeaseKeepAlive(id) => ("/v3/lease/keepalive", json!({"ID": id.0.to_string()})),
        Request::LeaseRevoke(id) => ("/v3/lease/revoke", json!({"ID": id.0.to_string()})),
    }
}

/// Returns the body of a request to watch a prefix.
pub(crate) fn watch(prefix: &str, from: ModRevision) -> Value {
    json!({"create_request": {
        "key": encode_text(prefix),
        "range_end": encode_bytes(&prefix_end(prefix)),
        "start_revision": from.0.to_string(),
        "progress_notify": true,
    }})
}

/// Formats a lease's TTL in whole seconds, rounded up so that the lease never expires early.
fn seconds(ttl: Span) -> String {
    ttl.as_micros().div_ceil(MICROS_PER_SECOND).to_string()
}

fn range(read: &Range) -> Value {
    let first = match &read.after {
        Some(after) => format!("{after}\0"),
        None => read.key.clone(),
    };
    let mut body = json!({"key": encode_text(&first), "limit": read.limit.to_string()});
    if read.prefix {
        body["range_end"] = encode_bytes(&prefix_end(&read.key));
    }
    if read.serializable {
        body["serializable"] = json!(true);
    }
    body
}

fn txn(steps: &Txn) -> Value {
    json!({
        "compare": steps.compare.iter().map(compare).collect::<Vec<_>>(),
        "success": steps.success.iter().map(op).collect::<Vec<_>>(),
        "failure": steps.failure.iter().map(op).collect::<Vec<_>>(),
    })
}

fn compare(condition: &Compare) -> Value {
    let (key, revision) = match condition {
        Compare::Absent(key) => (key, ModRevision(0)),
        Compare::ModRevision(key, revision) => (key, *revision),
    };
    json!({
        "key": encode_text(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": revision.0.to_string(),
    })
}

fn op(step: &Op) -> Value {
    match step {
        Op::Put(write) => json!({"request_put": put(write)}),
        Op::Delete(key) => json!({"request_delete_range": {"key": encode_text(key)}}),
        Op::Range(read) => json!({"request_range": range(read)}),
        Op::Txn(steps) => json!({"request_txn": txn(steps)}),
    }
}

fn put(write: &Put) -> Value {
    let lease = write.lease.map_or(0, |lease| lease.0);
    json!({
        "key": encode_text(&write.key),
        "value": encode_bytes(&write.value),
        "lease": lease.to_string(),
    })
}

fn encode_text(raw: &str) -> Value {
    encode_bytes(raw.as_bytes())
}

fn encode_bytes(raw: &[u8]) -> Value {
    Value::String(STANDARD.encode(raw))
}

/// Returns the first key after all keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
