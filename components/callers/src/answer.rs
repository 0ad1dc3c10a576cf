//! Answers: a head, then data, onto the caller's connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use http1::Wire;
use http1::write::{LAST_CHUNK, push_chunk, push_field, push_length, push_map, push_status};
use tokio::sync::watch;

/// Start of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

/// A piece of an answer.
#[derive(Debug)]
pub enum Frame {
    /// Comes first.
    Head(Head),
    /// Some of the body.
    Data(Bytes),
    /// The body is whole. An answer without it is cut off, so that the caller
    /// never takes a part for the whole.
    End,
}

/// The caller has left, or reads so slowly that it was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller is gone")]
pub struct Gone;

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing was written.
    Nothing,
    /// A head was written, and perhaps some of the body.
    Begun,
    /// All of it was written.
    Whole,
}

/// How an answer's end is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framed {
    Chunked,
    /// By the connection's end: a caller of HTTP/1.0 knows no chunks.
    UntilClose,
}

/// What a connection says of the request that is answered on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answering {
    /// The caller may send another request after it.
    pub(crate) keeps_alive: bool,
    /// The caller knows chunked bodies.
    pub(crate) is_http11: bool,
    /// Only the head was asked for.
    pub(crate) is_head_only: bool,
    /// The caller takes each piece within.
    pub(crate) patience: Duration,
}

/// Writes one answer. Dropped before [`Frame::End`], it cuts the connection.
#[derive(Debug, Clone)]
pub struct Responder {
    wire: Rc<Wire>,
    answering: Answering,
    stage: Rc<Cell<Stage>>,
    is_gone: watch::Sender<bool>,
}

impl Responder {
    pub(crate) fn new(wire: Rc<Wire>, answering: Answering) -> Self {
        Self {
            wire,
            answering,
            stage: Rc::new(Cell::new(Stage::Nothing)),
            is_gone: watch::Sender::new(false),
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(crate) fn set_gone(&self) {
        self.is_gone.send_replace(true);
    }

    /// Sends a frame; waits while the caller reads slowly.
    ///
    /// # Errors
    /// When the caller left, or took nothing for too long.
    pub async fn send(&self, frame: Frame) -> Result<(), Gone> {
        let mut out = Vec::new();
        match &frame {
            Frame::Head(head) => self.push_stream_head(&mut out, head),
            Frame::Data(_) | Frame::End if self.answering.is_head_only => {}
            Frame::Data(data) if self.framed() == Framed::Chunked => push_chunk(&mut out, data),
            Frame::Data(data) => out.extend_from_slice(data),
            Frame::End if self.framed() == Framed::Chunked => out.extend_from_slice(LAST_CHUNK),
            Frame::End => {}
        }
        let is_end = matches!(frame, Frame::End);
        let stage = if is_end { Stage::Whole } else { Stage::Begun };
        self.write(&out, stage).await
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    /// When the caller left, or took nothing for too long.
    pub async fn answer(&self, head: Head, body: Bytes) -> Result<(), Gone> {
        let mut out = Vec::with_capacity(512 + body.len());
        self.push_head(&mut out, &head);
        push_length(&mut out, body.len());
        out.extend_from_slice(b"\r\n");
        if !self.answering.is_head_only {
            out.extend_from_slice(&body);
        }
        self.write(&out, Stage::Whole).await
    }

    /// Whether the caller has left.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        *self.is_gone.borrow()
    }

    /// Waits until the caller has left.
    pub async fn gone(&self) {
        let mut is_gone = self.is_gone.subscribe();
        // This responder holds the sender, so the wait ends only with the caller.
        let _ = is_gone.wait_for(|is_gone| *is_gone).await;
    }

    fn framed(&self) -> Framed {
        match self.answering.is_http11 {
            true => Framed::Chunked,
            false => Framed::UntilClose,
        }
    }

    fn push_head(&self, out: &mut Vec<u8>, head: &Head) {
        push_status(out, head.status.as_u16());
        // How the body ends is this connection's own.
        let mut fields = head.headers.clone();
        for name in [CONTENT_LENGTH, TRANSFER_ENCODING, CONNECTION] {
            fields.remove(name);
        }
        push_map(out, &fields);
        if !self.answering.keeps_alive {
            push_field(out, "Connection", b"close");
        }
    }

    fn push_stream_head(&self, out: &mut Vec<u8>, head: &Head) {
        self.push_head(out, head);
        if self.framed() == Framed::Chunked {
            push_field(out, "Transfer-Encoding", b"chunked");
        }
        out.extend_from_slice(b"\r\n");
    }

    async fn write(&self, bytes: &[u8], stage: Stage) -> Result<(), Gone> {
        if self.is_gone() {
            return Err(Gone);
        }
        if self.stage.get() == Stage::Nothing {
            self.stage.set(Stage::Begun);
        }
        let written = self.wire.write_all(bytes);
        let written = tokio::time::timeout(self.answering.patience, written).await;
        if !matches!(written, Ok(Ok(()))) {
            self.set_gone();
            return Err(Gone);
        }
        self.stage.set(stage);
        Ok(())
    }
}
