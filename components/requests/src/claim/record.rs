//! What a claim's key holds: a line of JSON, then the recorded answer's body as it is.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Largest body that is recorded.
pub const MAX_BODY: ByteSize = ByteSize(16 << 10);
/// Most bytes of headers that are recorded.
pub const MAX_HEADER_BYTES: usize = 2 << 10;

/// Tells one daemon's write of a claim from all others, its own earlier ones included.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce {
    /// Who claims.
    pub daemon: DaemonId,
    /// Its restart.
    pub incarnation: Incarnation,
    /// Counts its claims.
    pub counter: u64,
}

/// A claim as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Whose it is.
    pub nonce: Nonce,
    /// Hash of what was asked.
    pub fingerprint: u64,
    /// How far it has come.
    pub state: State,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// It may be running.
    Open,
    /// It certainly did not run: another may claim it.
    Released,
    /// It ran.
    Done(Recorded),
}

/// The answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Headers by name.
    pub headers: Vec<(String, String)>,
    /// The body, or nothing if it was too large to keep.
    pub body: Option<Bytes>,
}

#[derive(Serialize, Deserialize)]
struct Head {
    nonce: Nonce,
    fingerprint: u64,
    state: Word,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    headers: Vec<(String, String)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body_bytes: Option<usize>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Word {
    Open,
    Released,
    Done,
}

impl Recorded {
    /// An answer as far as it may be kept: headers and body are left out when too large.
    #[must_use]
    pub fn new(status: u16, headers: Vec<(String, String)>, body: Bytes) -> Self {
        let header_bytes: usize = headers.iter().map(|(k, v)| k.len() + v.len()).sum();
        let is_small = body.len() <= MAX_BODY.as_usize() && header_bytes <= MAX_HEADER_BYTES;
        Self {
            status,
            headers: if is_small { headers } else { Vec::new() },
            body: is_small.then_some(body),
        }
    }
}

impl ClaimRecord {
    /// As a value of the store.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let (state, recorded) = match &self.state {
            State::Open => (Word::Open, None),
            State::Released => (Word::Released, None),
            State::Done(recorded) => (Word::Done, Some(recorded)),
        };
        let body = recorded.and_then(|recorded| recorded.body.as_ref());
        let head = Head {
            nonce: self.nonce.clone(),
            fingerprint: self.fingerprint,
            state,
            status: recorded.map(|recorded| recorded.status),
            headers: recorded.map_or_else(Vec::new, |recorded| recorded.headers.clone()),
            body_bytes: body.map(Bytes::len),
        };
        // Plain strings and numbers only, which always have a JSON form.
        let head = serde_json::to_vec(&head).unwrap_or_default();
        let mut value = BytesMut::from(head.as_slice());
        value.put_u8(b'\n');
        value.extend_from_slice(body.map_or(&[], |body| body.as_ref()));
        value.freeze()
    }

    /// From a value of the store, unless it is malformed.
    #[must_use]
    pub fn decode(value: &Bytes) -> Option<Self> {
        let end = value.iter().position(|byte| *byte == b'\n')?;
        let head: Head = serde_json::from_slice(&value[..end]).ok()?;
        let rest = value.slice(end + 1..);
        let state = match head.state {
            Word::Open => State::Open,
            Word::Released => State::Released,
            Word::Done => State::Done(Recorded {
                status: head.status?,
                headers: head.headers,
                body: match head.body_bytes {
                    Some(length) if length != rest.len() => return None,
                    Some(_) => Some(rest),
                    None => None,
                },
            }),
        };
        Some(Self {
            nonce: head.nonce,
            fingerprint: head.fingerprint,
            state,
        })
    }
}
