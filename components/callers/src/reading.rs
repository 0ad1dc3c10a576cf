//! Reads a caller's request within limits of size and time.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http1::{BodyReader, Framing, Head, HeadError, Progress, Wire};
use tokio::time::Instant;

/// Limits of size and time on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: u64,
    /// Longest time from the first byte of a head to its end.
    pub head_within: Duration,
    /// Longest time to wait for the first byte of a request.
    pub idle: Duration,
}

/// Why no request was read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The caller closed the connection or was idle for too long, so it expects no answer.
    #[error("the caller closed the connection or was idle for too long")]
    Closed,
    /// The head is malformed or too large.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The head was not complete in time.
    #[error("the head took too long")]
    HeadTooSlow,
    /// The body does not match its framing.
    #[error("the body ended early or is malformed")]
    Body,
    /// The body was not complete in time.
    #[error("the body took too long")]
    BodyTooSlow,
    /// The body exceeds the limit.
    #[error("the body is longer than this daemon takes")]
    BodyTooLarge,
    /// There is no memory for the rest of the body.
    #[error("there is no memory for the rest of the body")]
    BodyRefused,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        // After a connection error nobody is left to answer, so it counts as a close.
        Self::Closed
    }
}

/// Waits for a request head. Returns [`ReadError::Closed`] if `shutdown` completes before the
/// first byte.
///
/// # Errors
/// States why no head was read.
pub async fn read_head(
    wire: &Wire,
    bounds: &Bounds,
    shutdown: impl Future<Output = ()>,
) -> Result<Head, ReadError> {
    if wire.buf().is_empty() {
        tokio::select! {
            biased;
            read = wire.fill() => if read? == 0 { return Err(ReadError::Closed) },
            () = tokio::time::sleep(bounds.idle) => return Err(ReadError::Closed),
            () = shutdown => return Err(ReadError::Closed),
        }
    }
    let read = async {
        loop {
            let taken = Head::take_request(&mut wire.buf(), bounds.head);
            if let Some(head) = taken? {
                return Ok(head);
            }
            if wire.fill().await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    };
    let done = tokio::time::timeout(bounds.head_within, read).await;
    done.unwrap_or(Err(ReadError::HeadTooSlow))
}

/// Reads the body after a head, of at most `max` bytes, until the deadline `until`. `accepts` is
/// told how many bytes are held whenever there are more, and may refuse them.
///
/// # Errors
/// States why no body was read.
pub async fn read_body(
    wire: &Wire,
    head: &Head,
    framing: Framing,
    max: u64,
    until: Instant,
    accepts: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError> {
    if matches!(framing, Framing::Length(length) if length > max) {
        return Err(ReadError::BodyTooLarge);
    }
    if head.has_token("expect", "100-continue") && framing != Framing::Empty {
        wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let done = tokio::time::timeout_at(until, read_to_end(wire, framing, max, accepts)).await;
    done.unwrap_or(Err(ReadError::BodyTooSlow))
}

async fn read_to_end(
    wire: &Wire,
    framing: Framing,
    max: u64,
    mut accepts: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError> {
    let mut reader = BodyReader::new(framing);
    let mut body = BytesMut::new();
    loop {
        let progress = reader.read(&mut wire.buf());
        match progress.map_err(|_| ReadError::Body)? {
            Progress::Done => return Ok(body.freeze()),
            Progress::Data(data) => {
                if (body.len() + data.len()) as u64 > max {
                    return Err(ReadError::BodyTooLarge);
                }
                if !accepts(body.len() + data.len()) {
                    return Err(ReadError::BodyRefused);
                }
                body.extend_from_slice(&data);
            }
            Progress::NeedMore => {
                if wire.fill().await? == 0 {
                    return Err(ReadError::Closed);
                }
            }
        }
    }
}
