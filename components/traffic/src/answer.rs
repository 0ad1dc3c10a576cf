//! Encoding answers: upstreams' answers to relay, and this daemon's own replies.

use bytes::Bytes;
use http1::Head;
use http1::write::{push_field, push_length, push_number, push_status};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::held::HeldAnswer;

/// Least pause before a retry that a caller is sent when this daemon is leaving: another one can
/// serve it at once.
const LEAVING_RETRY: Span = Span::from_millis(50);

/// An upstream's whole answer.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    /// Counts the body while it is held.
    pub(crate) _held: HeldAnswer,
}

/// A reply of this daemon itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalReply {
    Malformed,
    UnknownKey,
    UnknownRoute,
    HeadTooSlow,
    BodyTooSlow,
    BodyTooLarge,
    HeadTooLarge,
    /// The request was not processed; a retry is worthwhile after this pause.
    NotRun {
        retry_after: Span,
    },
    /// There is no memory for the rest of the body; the request was not processed, and a retry is
    /// worthwhile after this pause.
    MemoryFull {
        retry_after: Span,
    },
    /// The request was not processed, since upstreams crashed under the same content; a retry is
    /// worthwhile after this pause.
    Quarantined {
        retry_after: Span,
    },
    /// The request was processed and upstreams crashed under it; a retry is worthwhile after this
    /// pause.
    Crashed {
        retry_after: Span,
    },
    /// The request was sent, and it is unknown whether it was processed.
    OutcomeUnknown {
        /// When a retry is worthwhile, where the request allows one and an upstream named a time.
        retry_after: Option<Span>,
    },
    /// The deadline passed.
    Timeout,
}

impl LocalReply {
    /// The reply to a request that this daemon refuses because it is leaving.
    pub(crate) fn leaving(rng: &mut impl Rng) -> Self {
        Self::NotRun {
            retry_after: add_jitter(LEAVING_RETRY, rng),
        }
    }

    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::UnknownRoute => 404,
            Self::HeadTooSlow | Self::BodyTooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::OutcomeUnknown { .. } | Self::Crashed { .. } => 502,
            Self::NotRun { .. } | Self::MemoryFull { .. } | Self::Quarantined { .. } => 503,
            Self::Timeout => 504,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "Bad Request",
            Self::UnknownKey => "Unauthorized",
            Self::UnknownRoute => "Not Found",
            Self::HeadTooSlow | Self::BodyTooSlow => "Request Timeout",
            Self::BodyTooLarge => "Content Too Large",
            Self::HeadTooLarge => "Request Header Fields Too Large",
            Self::OutcomeUnknown { .. } | Self::Crashed { .. } => "Bad Gateway",
            Self::NotRun { .. } | Self::MemoryFull { .. } | Self::Quarantined { .. } => {
                "Service Unavailable"
            }
            Self::Timeout => "Gateway Timeout",
        }
    }

    /// Whether the caller's message cannot be read to its end, so the connection must close.
    pub(crate) fn ends_connection(self) -> bool {
        matches!(
            self,
            Self::Malformed
                | Self::HeadTooSlow
                | Self::BodyTooSlow
                | Self::BodyTooLarge
                | Self::HeadTooLarge
                | Self::MemoryFull { .. }
        )
    }

    /// When a retry is worthwhile, where that is known.
    fn retry_after(self) -> Option<Span> {
        match self {
            Self::NotRun { retry_after }
            | Self::MemoryFull { retry_after }
            | Self::Quarantined { retry_after }
            | Self::Crashed { retry_after } => Some(retry_after),
            Self::OutcomeUnknown { retry_after } => retry_after,
            _ => None,
        }
    }

    /// Encodes the response.
    pub(crate) fn encode(self, keeps_alive: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(160);
        out.extend_from_slice(b"HTTP/1.1 ");
        push_number(&mut out, u64::from(self.status()));
        out.push(b' ');
        out.extend_from_slice(self.reason().as_bytes());
        out.extend_from_slice(b"\r\nContent-Length: 0\r\n");
        if let Some(retry_after) = self.retry_after() {
            let line = format!("Retry-After: {:.2}\r\n", retry_after.as_secs_f64());
            out.extend_from_slice(line.as_bytes());
        }
        push_connection(&mut out, keeps_alive);
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Adds jitter up to the pause itself, so that callers refused together do not return together.
pub(crate) fn add_jitter(min_pause: Span, rng: &mut impl Rng) -> Span {
    min_pause + Span(rng.random_range(0..=min_pause.0))
}

/// Writes an upstream's status line and headers, without those of its connection.
pub(crate) fn push_head(out: &mut Vec<u8>, head: &Head) {
    push_status(out, head.status());
    for (name, value) in head.fields() {
        let is_framing = name.eq_ignore_ascii_case("content-length");
        if !is_framing && !head.is_connection_field(name) {
            push_field(out, name, value);
        }
    }
}

pub(crate) fn push_connection(out: &mut Vec<u8>, keeps_alive: bool) {
    if !keeps_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
}

impl Whole {
    /// Encodes the response with a Content-Length, whatever the upstream's framing was.
    pub(crate) fn encode(&self, keeps_alive: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(512 + self.body.len());
        push_head(&mut out, &self.head);
        push_length(&mut out, self.body.len());
        push_connection(&mut out, keeps_alive);
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}
