//! Answers: a head, then data, from any thread to the connection that waits.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_core::Stream;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{HeaderMap, StatusCode};

/// Frames that wait for a caller to read before the writer must wait.
const FRAMES_WAITING: usize = 64;

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

/// Writes one answer. Dropped before [`Frame::End`], it cuts the connection.
#[derive(Debug)]
pub struct Responder {
    frames: flume::Sender<Frame>,
    stuck: flume::Sender<()>,
    patience: Duration,
}

impl Responder {
    /// A responder and the end that the connection reads. `stuck` is told when the
    /// caller has taken nothing for as long as `patience`.
    pub(crate) fn new(stuck: flume::Sender<()>, patience: Duration) -> (Self, FrameReader) {
        let (frames, rx) = flume::bounded(FRAMES_WAITING);
        (
            Self {
                frames,
                stuck,
                patience,
            },
            FrameReader { rx },
        )
    }

    /// Sends a frame; waits while the caller reads slowly.
    ///
    /// # Errors
    /// When the caller left, or took nothing for too long.
    pub fn send(&self, frame: Frame) -> Result<(), Gone> {
        match self.frames.send_timeout(frame, self.patience) {
            Ok(()) => Ok(()),
            Err(flume::SendTimeoutError::Disconnected(_)) => Err(Gone),
            Err(flume::SendTimeoutError::Timeout(_)) => {
                // hyper waits for the socket to take bytes and would not notice that
                // the answer was given up, so the connection is told separately.
                let _ = self.stuck.try_send(());
                Err(Gone)
            }
        }
    }

    /// Sends a whole answer. Never waits: a fresh responder has room for it.
    pub fn answer(&self, mut head: Head, body: Bytes) {
        head.headers
            .insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        for frame in [Frame::Head(head), Frame::Data(body), Frame::End] {
            let _ = self.frames.try_send(frame);
        }
    }

    /// True once the caller has left.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.frames.is_disconnected()
    }
}

/// Reads frames on the connection's side.
pub(crate) struct FrameReader {
    pub(crate) rx: flume::Receiver<Frame>,
}

impl FrameReader {
    /// The answer's head, once there.
    pub(crate) async fn head(&self) -> Option<Head> {
        match self.rx.recv_async().await {
            Ok(Frame::Head(head)) => Some(head),
            _ => None,
        }
    }

    /// The rest, as a body.
    pub(crate) fn into_body(self) -> AnswerBody {
        AnswerBody {
            frames: Box::pin(self.rx.into_stream()),
            ended: false,
        }
    }
}

/// Body of an answer, as hyper reads it.
pub struct AnswerBody {
    frames: Pin<Box<flume::r#async::RecvStream<'static, Frame>>>,
    ended: bool,
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = Gone;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, Gone>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.frames.as_mut().poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Frame::Data(data))) => {
                Poll::Ready(Some(Ok(hyper::body::Frame::data(data))))
            }
            Poll::Ready(Some(Frame::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // Without its end marker an answer is not whole: hyper cuts the connection.
            Poll::Ready(Some(Frame::Head(_)) | None) => {
                self.ended = true;
                Poll::Ready(Some(Err(Gone)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
