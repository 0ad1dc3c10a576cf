//! Reading a caller's request within bounds.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http1::{BodyReader, Framing, Head, HeadError, Progress, Wire};
use tokio::time::Instant;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: u64,
    /// A head must be complete so long after its first byte.
    pub head_within: Duration,
    /// A connection without a request is kept for.
    pub idle: Duration,
}

/// Why no request was read.
#[derive(Debug, thiserror::Error)]
pub enum Unread {
    /// The caller closed or was idle for too long: nobody waits for an answer.
    #[error("the caller closed the connection or was idle for too long")]
    Closed,
    /// The head is no head, or too long.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The head took too long.
    #[error("the head took too long")]
    HeadTooSlow,
    /// The body is not of the announced form.
    #[error("the body ended early or is malformed")]
    Body,
    /// The body took too long.
    #[error("the body took too long")]
    BodyTooSlow,
    /// The body is longer than allowed.
    #[error("the body is longer than this daemon takes")]
    BodyTooLarge,
}

impl From<io::Error> for Unread {
    fn from(_: io::Error) -> Self {
        // A caller's broken connection is its own affair; nobody is left to be told.
        Self::Closed
    }
}

/// Waits for a request's head. Ends early when `leaving` completes while no byte is there.
///
/// # Errors
/// Says why there is none.
pub async fn read_head(
    wire: &Wire,
    bounds: &Bounds,
    leaving: impl Future<Output = ()>,
) -> Result<Head, Unread> {
    if wire.buf().is_empty() {
        tokio::select! {
            biased;
            read = wire.fill() => if read? == 0 { return Err(Unread::Closed) },
            () = tokio::time::sleep(bounds.idle) => return Err(Unread::Closed),
            () = leaving => return Err(Unread::Closed),
        }
    }
    let read = async {
        loop {
            let taken = Head::take_request(&mut wire.buf(), bounds.head);
            if let Some(head) = taken? {
                return Ok(head);
            }
            if wire.fill().await? == 0 {
                return Err(Unread::Closed);
            }
        }
    };
    let done = tokio::time::timeout(bounds.head_within, read).await;
    done.unwrap_or(Err(Unread::HeadTooSlow))
}

/// Reads the body behind a head, of `max` bytes at most, until a moment.
///
/// # Errors
/// Says why there is none.
pub async fn read_body(
    wire: &Wire,
    head: &Head,
    framing: Framing,
    max: u64,
    until: Instant,
) -> Result<Bytes, Unread> {
    if matches!(framing, Framing::Length(length) if length > max) {
        return Err(Unread::BodyTooLarge);
    }
    if head.has_token("expect", "100-continue") && framing != Framing::Empty {
        wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let done = tokio::time::timeout_at(until, read_to_end(wire, framing, max)).await;
    done.unwrap_or(Err(Unread::BodyTooSlow))
}

async fn read_to_end(wire: &Wire, framing: Framing, max: u64) -> Result<Bytes, Unread> {
    let mut reader = BodyReader::new(framing);
    let mut body = BytesMut::new();
    loop {
        let progress = reader.read(&mut wire.buf());
        match progress.map_err(|_| Unread::Body)? {
            Progress::Done => return Ok(body.freeze()),
            Progress::Data(data) => {
                if (body.len() + data.len()) as u64 > max {
                    return Err(Unread::BodyTooLarge);
                }
                body.extend_from_slice(&data);
            }
            Progress::NeedMore => {
                if wire.fill().await? == 0 {
                    return Err(Unread::Closed);
                }
            }
        }
    }
}
