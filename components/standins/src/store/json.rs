//! The public JSON format of etcd's v3 gateway: bytes in base64, 64-bit numbers as strings.
//!
//! Replies use snake case, as the gateway does; requests may use snake case or camel case.

use std::cmp::Ordering;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::{Map, Value, json};

use super::table::{Change, Item, RawCompare, RawOp, RawReply, RawTxn, Target};

/// A message that says what is wrong with a request's body.
pub(super) type BadRequest = String;

/// Returns a field by its snake-case name, or by the same name in camel case.
pub(super) fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    value.get(name).or_else(|| value.get(camel_case(name)))
}

fn camel_case(name: &str) -> String {
    let mut words = name.split('_');
    let mut text = words.next().unwrap_or_default().to_owned();
    for word in words {
        let (first, rest) = word.split_at(1);
        text.push_str(&first.to_ascii_uppercase());
        text.push_str(rest);
    }
    text
}

pub(super) fn number(value: &Value, name: &str) -> Result<i64, BadRequest> {
    let bad = || format!("{name} is not a 64-bit number");
    match field(value, name) {
        None | Some(Value::Null) => Ok(0),
        Some(Value::String(text)) => text.parse().map_err(|_| bad()),
        Some(other) => other.as_i64().ok_or_else(bad),
    }
}

fn bytes(value: &Value, name: &str) -> Result<Option<Bytes>, BadRequest> {
    let Some(value) = field(value, name) else {
        return Ok(None);
    };
    let text = value.as_str().ok_or_else(|| format!("{name} is no text"))?;
    let decoded = STANDARD.decode(text);
    let decoded = decoded.map_err(|e| format!("{name} is not base64: {e}"))?;
    Ok(Some(decoded.into()))
}

pub(super) fn key(value: &Value, name: &str) -> Result<Option<String>, BadRequest> {
    let Some(raw) = bytes(value, name)? else {
        return Ok(None);
    };
    let text = String::from_utf8(raw.to_vec());
    text.map(Some)
        .map_err(|_| format!("{name} is not UTF-8, which this stand-in wants of keys"))
}

pub(super) fn required_key(value: &Value) -> Result<String, BadRequest> {
    key(value, "key")?.ok_or_else(|| "etcdserver: key is not provided".to_owned())
}

pub(super) fn range_op(value: &Value) -> Result<RawOp, BadRequest> {
    let limit = usize::try_from(number(value, "limit")?).unwrap_or(0);
    let end = key(value, "range_end")?;
    Ok(RawOp::Range(required_key(value)?, end, limit))
}

pub(super) fn put_op(value: &Value) -> Result<RawOp, BadRequest> {
    let text = bytes(value, "value")?.unwrap_or_default();
    let lease = number(value, "lease")?;
    Ok(RawOp::Put(required_key(value)?, text, lease))
}

pub(super) fn delete_op(value: &Value) -> Result<RawOp, BadRequest> {
    Ok(RawOp::Delete(
        required_key(value)?,
        key(value, "range_end")?,
    ))
}

pub(super) fn txn(value: &Value) -> Result<RawTxn, BadRequest> {
    Ok(RawTxn {
        compare: list(value, "compare", compare)?,
        success: list(value, "success", op)?,
        failure: list(value, "failure", op)?,
    })
}

fn list<T>(
    value: &Value,
    name: &str,
    parse: impl Fn(&Value) -> Result<T, BadRequest>,
) -> Result<Vec<T>, BadRequest> {
    match field(value, name) {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::Array(items)) => items.iter().map(parse).collect(),
        Some(_) => Err(format!("{name} is no list")),
    }
}

fn op(value: &Value) -> Result<RawOp, BadRequest> {
    if let Some(value) = field(value, "request_range") {
        range_op(value)
    } else if let Some(value) = field(value, "request_put") {
        put_op(value)
    } else if let Some(value) = field(value, "request_delete_range") {
        delete_op(value)
    } else if let Some(value) = field(value, "request_txn") {
        txn(value).map(RawOp::Txn)
    } else {
        Err(
            "a step is none of request_range, request_put, request_delete_range, request_txn"
                .into(),
        )
    }
}

fn compare(value: &Value) -> Result<RawCompare, BadRequest> {
    let target = field(value, "target").and_then(Value::as_str);
    let target = match target.unwrap_or("VERSION") {
        "VERSION" => Target::Version(number(value, "version")?),
        "CREATE" => Target::Create(number(value, "create_revision")?),
        "MOD" => Target::Mod(number(value, "mod_revision")?),
        "LEASE" => Target::Lease(number(value, "lease")?),
        "VALUE" => Target::Value(bytes(value, "value")?.unwrap_or_default()),
        other => return Err(format!("{other} is no target of a compare")),
    };
    let result = field(value, "result").and_then(Value::as_str);
    let holds = match result.unwrap_or("EQUAL") {
        "EQUAL" => vec![Ordering::Equal],
        "GREATER" => vec![Ordering::Greater],
        "LESS" => vec![Ordering::Less],
        "NOT_EQUAL" => vec![Ordering::Less, Ordering::Greater],
        other => return Err(format!("{other} is no result of a compare")),
    };
    Ok(RawCompare {
        key: required_key(value)?,
        target,
        holds,
    })
}

pub(super) fn header(revision: i64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

fn encode(raw: &[u8]) -> String {
    STANDARD.encode(raw)
}

fn key_value(key: &str, item: &Item) -> Value {
    let mut kv = json!({
        "key": encode(key.as_bytes()),
        "create_revision": item.create_revision.to_string(),
        "mod_revision": item.mod_revision.to_string(),
        "version": item.version.to_string(),
    });
    // Empty fields are left out, as by the gateway.
    if !item.value.is_empty() {
        kv["value"] = json!(encode(&item.value));
    }
    if item.lease != 0 {
        kv["lease"] = json!(item.lease.to_string());
    }
    kv
}

/// Returns the reply to one operation, with the name of its field in a transaction's reply.
pub(super) fn reply(reply: &RawReply, revision: i64) -> (&'static str, Value) {
    let mut body = Map::new();
    body.insert("header".to_owned(), header(revision));
    match reply {
        RawReply::Put => ("response_put", body.into()),
        RawReply::Delete(count) => {
            if *count > 0 {
                body.insert("deleted".to_owned(), json!(count.to_string()));
            }
            ("response_delete_range", body.into())
        }
        RawReply::Range(items, count) => {
            if !items.is_empty() {
                let kvs = items.iter().map(|(k, item)| key_value(k, item));
                body.insert("kvs".to_owned(), kvs.collect());
            }
            if items.len() < *count {
                body.insert("more".to_owned(), json!(true));
            }
            if *count > 0 {
                body.insert("count".to_owned(), json!(count.to_string()));
            }
            ("response_range", body.into())
        }
        RawReply::Txn(succeeded, replies) => {
            ("response_txn", txn_reply(*succeeded, replies, revision))
        }
    }
}

pub(super) fn txn_reply(succeeded: bool, replies: &[RawReply], revision: i64) -> Value {
    let mut body = json!({ "header": header(revision) });
    if succeeded {
        body["succeeded"] = json!(true);
    }
    if !replies.is_empty() {
        let responses = replies.iter().map(|op_reply| {
            let (name, value) = reply(op_reply, revision);
            json!({ name: value })
        });
        body["responses"] = responses.collect();
    }
    body
}

pub(super) fn watch_events(changes: &[Change], revision: i64) -> Value {
    let events = changes.iter().map(|change| match &change.item {
        Some(item) => json!({ "kv": key_value(&change.key, item) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": encode(change.key.as_bytes()),
                "mod_revision": change.revision.to_string(),
            },
        }),
    });
    json!({ "result": { "header": header(revision), "events": events.collect::<Vec<_>>() } })
}
