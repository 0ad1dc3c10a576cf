//! Stored value of a claim: a line of JSON, then the body of the recorded answer unchanged.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Largest body that is recorded, in bytes.
pub const MAX_BODY: ByteSize = ByteSize(16 << 10);
/// Largest total size of headers that are recorded, in bytes.
pub const MAX_HEADER_BYTES: usize = 2 << 10;

/// Distinguishes a daemon's write of a claim from all others, including its own earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce {
    /// Daemon that makes the claim.
    pub daemon: DaemonId,
    /// Incarnation of the daemon, which differs after each restart.
    pub incarnation: Incarnation,
    /// Number of the claim within the incarnation.
    pub counter: u64,
}

/// A claim as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Nonce of the write that made the claim.
    pub nonce: Nonce,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// State of the request.
    pub state: State,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// The request may be running or have run.
    Open,
    /// The request certainly did not run: it may be claimed again.
    Released,
    /// The request ran.
    Done(RecordedAnswer),
}

/// Recorded answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body, or `None` if the answer was too large to record.
    pub body: Option<Bytes>,
}

#[derive(Serialize, Deserialize)]
struct Metadata {
    nonce: Nonce,
    fingerprint: u64,
    state: StateTag,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    headers: Vec<(String, String)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body_bytes: Option<usize>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateTag {
    Open,
    Released,
    Done,
}

impl RecordedAnswer {
    /// Creates a record of an answer; headers and body are both left out if either is too large.
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
    /// Encodes the record as a value of the store.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let (state, recorded) = match &self.state {
            State::Open => (StateTag::Open, None),
            State::Released => (StateTag::Released, None),
            State::Done(recorded) => (StateTag::Done, Some(recorded)),
        };
        let body = recorded.and_then(|recorded| recorded.body.as_ref());
        let metadata = Metadata {
            nonce: self.nonce.clone(),
            fingerprint: self.fingerprint,
            state,
            status: recorded.map(|recorded| recorded.status),
            headers: recorded.map_or_else(Vec::new, |recorded| recorded.headers.clone()),
            body_bytes: body.map(Bytes::len),
        };
        // Cannot fail: the metadata has only strings and numbers, which always have a JSON form.
        let metadata = serde_json::to_vec(&metadata).unwrap_or_default();
        let mut value = BytesMut::from(metadata.as_slice());
        value.put_u8(b'\n');
        value.extend_from_slice(body.map_or(&[], |body| body.as_ref()));
        value.freeze()
    }

    /// Decodes a value of the store; `None` if it is malformed.
    #[must_use]
    pub fn decode(value: &Bytes) -> Option<Self> {
        let line_end = value.iter().position(|byte| *byte == b'\n')?;
        let metadata: Metadata = serde_json::from_slice(&value[..line_end]).ok()?;
        let rest = value.slice(line_end + 1..);
        let state = match metadata.state {
            StateTag::Open => State::Open,
            StateTag::Released => State::Released,
            StateTag::Done => State::Done(RecordedAnswer {
                status: metadata.status?,
                headers: metadata.headers,
                body: match metadata.body_bytes {
                    Some(length) if length != rest.len() => return None,
                    Some(_) => Some(rest),
                    None => None,
                },
            }),
        };
        Some(Self {
            nonce: metadata.nonce,
            fingerprint: metadata.fingerprint,
            state,
        })
    }
}
