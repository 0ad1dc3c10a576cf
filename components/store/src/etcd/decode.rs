//! Decoding of the gateway's JSON replies and errors.

use bytes::Bytes;
use keyvalue::{
    Answer, CallError, KeyValue, LeaseId, ModRevision, OpReply, Outcome, Reply, Request, TxnReply,
    WatchEvent,
};
use serde::de::DeserializeOwned;
use types::prelude::Span;

use crate::WatchBatch;
use crate::etcd::wire::{
    ErrorReply, EventKind, LeaseReply, RangeReply, Streamed, WatchReply, WireEvent, WireKeyValue,
    WireOpReply, WireTxnReply,
};

/// gRPC status codes which mean that the service did nothing: invalid argument, not found,
/// permission denied, resource exhausted, failed precondition, out of range, unimplemented,
/// unauthenticated.
const REFUSAL_CODES: [i32; 8] = [3, 5, 7, 8, 9, 11, 12, 16];

const TOO_MANY_REQUESTS: u16 = 429;
const NOT_FOUND_CODE: i32 = 5;

/// Decodes the complete reply to a request.
pub(crate) fn reply(req: &Request, status: u16, body: &[u8]) -> Outcome {
    if !(200..300).contains(&status) {
        return refusal(req, status, body);
    }
    match req {
        Request::Range(_) => range(body),
        Request::Txn(_) => parse::<WireTxnReply>(body).and_then(txn_answer),
        Request::LeaseGrant { .. } => parse::<LeaseReply>(body).and_then(lease_granted),
        Request::LeaseKeepAlive(_) => parse::<Streamed<LeaseReply>>(body).and_then(lease_kept),
        Request::LeaseRevoke(_) => parse::<LeaseReply>(body).map(|reply| Answer {
            revision: ModRevision(reply.header.revision.0),
            reply: Reply::LeaseRevoked,
        }),
    }
}

/// Decodes one line of a watch; an error ends the watch.
pub(crate) fn watch_line(line: &[u8]) -> Result<WatchReply, String> {
    let streamed: Streamed<WatchReply> = serde_json::from_slice(line)
        .map_err(|e| format!("a line of the watch is not JSON: {e}"))?;
    match (streamed.result, streamed.error) {
        (Some(reply), _) => Ok(reply),
        (None, Some(error)) => Err(message(&error)),
        (None, None) => Err("a line of the watch has neither result nor error".to_owned()),
    }
}

/// Converts one line of a watch to a batch of changes.
pub(crate) fn batch(reply: WatchReply) -> Result<WatchBatch, String> {
    let revision = ModRevision(reply.header.revision.0);
    let events = reply.events.into_iter().map(event);
    Ok(WatchBatch {
        revision,
        events: events.collect::<Result<_, _>>()?,
        requested_at: None,
    })
}

fn event(wire: WireEvent) -> Result<WatchEvent, String> {
    let pair = key_value(wire.kv)?;
    Ok(WatchEvent {
        revision: pair.mod_revision,
        key: pair.key.clone(),
        value: (wire.kind == EventKind::Put).then_some(pair),
    })
}

/// Parses a reply. If it is malformed, the call may still have taken effect.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| CallError::Unknown(format!("unreadable reply: {e}")))
}

/// Decodes an error reply.
///
/// A status of 500 or 503 does not mean that nothing was done: the gateway also sends it when
/// the service behind it stops answering in the middle of a write.
fn refusal(req: &Request, status: u16, body: &[u8]) -> Outcome {
    let error: ErrorReply = serde_json::from_slice(body).unwrap_or_default();
    let text = format!("HTTP status {status}: {}", message(&error));
    let is_keepalive = matches!(req, Request::LeaseKeepAlive(_));
    if is_keepalive && error.code == NOT_FOUND_CODE {
        return Ok(Answer {
            revision: ModRevision(0),
            reply: Reply::LeaseRenewed(None),
        });
    }
    if status == TOO_MANY_REQUESTS || REFUSAL_CODES.contains(&error.code) {
        Err(CallError::Refused(text))
    } else {
        Err(CallError::Unknown(text))
    }
}

fn message(error: &ErrorReply) -> String {
    let texts = [&error.message, &error.error];
    let text = texts.into_iter().find(|text| !text.is_empty());
    text.map_or_else(|| "no message".to_owned(), Clone::clone)
}

fn range(body: &[u8]) -> Outcome {
    let reply: RangeReply = parse(body)?;
    Ok(Answer {
        revision: ModRevision(reply.header.revision.0),
        reply: Reply::Range(key_values(reply.kvs)?),
    })
}

fn txn_answer(reply: WireTxnReply) -> Outcome {
    Ok(Answer {
        revision: ModRevision(reply.header.revision.0),
        reply: Reply::Txn(txn(reply)?),
    })
}

fn txn(reply: WireTxnReply) -> Result<TxnReply, CallError> {
    let replies = reply.responses.into_iter().map(op);
    Ok(TxnReply {
        succeeded: reply.succeeded,
        replies: replies.collect::<Result<_, _>>()?,
    })
}

fn op(reply: WireOpReply) -> Result<OpReply, CallError> {
    if let Some(range) = reply.response_range {
        return Ok(OpReply::Range(key_values(range.kvs)?));
    }
    if let Some(deleted) = reply.response_delete_range {
        return Ok(OpReply::Delete(deleted.deleted.0.unsigned_abs()));
    }
    if let Some(inner) = reply.response_txn {
        return Ok(OpReply::Txn(txn(inner)?));
    }
    match reply.response_put {
        Some(_) => Ok(OpReply::Put),
        None => Err(CallError::Unknown("a step without its reply".to_owned())),
    }
}

fn lease_granted(reply: LeaseReply) -> Outcome {
    if !reply.error.is_empty() {
        return Err(CallError::Refused(reply.error));
    }
    Ok(Answer {
        revision: ModRevision(reply.header.revision.0),
        reply: Reply::LeaseGranted(LeaseId(reply.id.0)),
    })
}

fn lease_kept(streamed: Streamed<LeaseReply>) -> Outcome {
    let reply = streamed.result;
    let reply =
        reply.ok_or_else(|| CallError::Unknown("a renewal without its reply".to_owned()))?;
    let ttl_left = u64::try_from(reply.ttl.0)
        .ok()
        .filter(|ttl_left| *ttl_left > 0);
    Ok(Answer {
        revision: ModRevision(reply.header.revision.0),
        reply: Reply::LeaseRenewed(ttl_left.map(Span::from_secs)),
    })
}

fn key_values(wire: Vec<WireKeyValue>) -> Result<Vec<KeyValue>, CallError> {
    let pairs = wire.into_iter().map(key_value);
    pairs.collect::<Result<_, _>>().map_err(CallError::Unknown)
}

fn key_value(wire: WireKeyValue) -> Result<KeyValue, String> {
    let key = String::from_utf8(wire.key.0).map_err(|_| "a key is not text".to_owned())?;
    Ok(KeyValue {
        key,
        value: Bytes::from(wire.value.0),
        mod_revision: ModRevision(wire.mod_revision.0),
        lease: (wire.lease.0 != 0).then_some(LeaseId(wire.lease.0)),
    })
}
