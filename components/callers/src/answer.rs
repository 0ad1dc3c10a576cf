//! Writes answers to a caller's connection: a head, then data.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use http1::Wire;
use http1::write::{LAST_CHUNK, push_chunk, push_field, push_length, push_map, push_status};
use tokio::sync::watch;

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The HTTP status.
    pub status: StatusCode,
    /// Headers; `Content-Length`, `Transfer-Encoding` and `Connection` are replaced.
    pub headers: HeaderMap,
}

/// A part of an answer.
#[derive(Debug)]
pub enum Frame {
    /// The head; sent first.
    Head(Head),
    /// A part of the body.
    Data(Bytes),
    /// The end of the body. Without it the connection is cut, so that the caller never takes
    /// an incomplete answer for a complete one.
    End,
}

/// The caller has disconnected, or read too slowly and was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller is gone")]
pub struct CallerDisconnected;

/// Progress of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing was written.
    NotStarted,
    /// The head was written, and perhaps a part of the body.
    Started,
    /// The answer was written completely.
    Complete,
}

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEncoding {
    /// Chunked transfer coding.
    Chunked,
    /// The connection is closed: an HTTP/1.0 caller cannot decode chunks.
    UntilClose,
}

/// What the request and its connection require of the answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseOptions {
    /// Whether the connection stays open for another request (keep-alive).
    pub(crate) keeps_alive: bool,
    /// Whether the caller speaks HTTP/1.1 and so can decode chunks.
    pub(crate) is_http11: bool,
    /// Whether the request was a `HEAD` request, so that no body is sent.
    pub(crate) is_head_only: bool,
    /// Longest time to write one frame.
    pub(crate) write_timeout: Duration,
}

/// Writes one answer. If it is dropped before [`Frame::End`], the connection is cut.
#[derive(Debug, Clone)]
pub struct Responder {
    wire: Rc<Wire>,
    options: ResponseOptions,
    stage: Rc<Cell<Stage>>,
    is_disconnected: watch::Sender<bool>,
}

impl Responder {
    pub(crate) fn new(wire: Rc<Wire>, options: ResponseOptions) -> Self {
        Self {
            wire,
            options,
            stage: Rc::new(Cell::new(Stage::NotStarted)),
            is_disconnected: watch::Sender::new(false),
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(crate) fn mark_gone(&self) {
        self.is_disconnected.send_replace(true);
    }

    /// Sends a frame; waits while the caller reads slowly (backpressure).
    ///
    /// # Errors
    /// If the caller has disconnected, or did not read for `write_timeout`.
    pub async fn send(&self, frame: Frame) -> Result<(), CallerDisconnected> {
        let mut out = Vec::new();
        match &frame {
            Frame::Head(head) => self.push_stream_head(&mut out, head),
            Frame::Data(_) | Frame::End if self.options.is_head_only => {}
            Frame::Data(data) if self.body_encoding() == BodyEncoding::Chunked => {
                push_chunk(&mut out, data)
            }
            Frame::Data(data) => out.extend_from_slice(data),
            Frame::End if self.body_encoding() == BodyEncoding::Chunked => {
                out.extend_from_slice(LAST_CHUNK)
            }
            Frame::End => {}
        }
        let is_end = matches!(frame, Frame::End);
        let stage = if is_end {
            Stage::Complete
        } else {
            Stage::Started
        };
        self.write(&out, stage).await
    }

    /// Sends a complete answer.
    ///
    /// # Errors
    /// If the caller has disconnected, or did not read for `write_timeout`.
    pub async fn answer(&self, head: Head, body: Bytes) -> Result<(), CallerDisconnected> {
        let mut out = Vec::with_capacity(512 + body.len());
        self.push_head(&mut out, &head);
        push_length(&mut out, body.len());
        out.extend_from_slice(b"\r\n");
        if !self.options.is_head_only {
            out.extend_from_slice(&body);
        }
        self.write(&out, Stage::Complete).await
    }

    /// Whether the caller has disconnected or was dropped.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        *self.is_disconnected.borrow()
    }

    /// Waits until the caller has disconnected or was dropped.
    pub async fn disconnected(&self) {
        let mut is_disconnected = self.is_disconnected.subscribe();
        // This responder holds the sender, so the channel cannot close during the wait.
        let _ = is_disconnected
            .wait_for(|is_disconnected| *is_disconnected)
            .await;
    }

    fn body_encoding(&self) -> BodyEncoding {
        match self.options.is_http11 {
            true => BodyEncoding::Chunked,
            false => BodyEncoding::UntilClose,
        }
    }

    fn push_head(&self, out: &mut Vec<u8>, head: &Head) {
        push_status(out, head.status.as_u16());
        // The framing of the body and keep-alive are decided for this connection.
        let mut fields = head.headers.clone();
        for name in [CONTENT_LENGTH, TRANSFER_ENCODING, CONNECTION] {
            fields.remove(name);
        }
        push_map(out, &fields);
        if !self.options.keeps_alive {
            push_field(out, "Connection", b"close");
        }
    }

    fn push_stream_head(&self, out: &mut Vec<u8>, head: &Head) {
        self.push_head(out, head);
        if self.body_encoding() == BodyEncoding::Chunked {
            push_field(out, "Transfer-Encoding", b"chunked");
        }
        out.extend_from_slice(b"\r\n");
    }

    async fn write(&self, bytes: &[u8], stage: Stage) -> Result<(), CallerDisconnected> {
        if self.is_disconnected() {
            return Err(CallerDisconnected);
        }
        if self.stage.get() == Stage::NotStarted {
            self.stage.set(Stage::Started);
        }
        let written = self.wire.write_all(bytes);
        let written = tokio::time::timeout(self.options.write_timeout, written).await;
        if !matches!(written, Ok(Ok(()))) {
            self.mark_gone();
            return Err(CallerDisconnected);
        }
        self.stage.set(stage);
        Ok(())
    }
}
