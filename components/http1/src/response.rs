//! Reads an upstream's response from a connection.

use std::io;

use bytes::BytesMut;

use crate::body::{BodyError, BodyReader, Progress};
use crate::framing::{Framing, FramingError};
use crate::head::{Head, HeadError};
use crate::wire::Wire;

/// Why no complete response was read.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// Reading from or writing to the connection failed.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection before the end of the response.
    #[error("the connection closed before the end of the response")]
    Closed,
    /// The head cannot be parsed.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The end of the body cannot be determined.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// The body does not match its framing.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body exceeds this many bytes.
    #[error("the body has more than {0} bytes")]
    TooLarge(usize),
}

/// Waits for a response head and determines the framing of its body.
///
/// # Errors
/// If no valid head arrives. The connection cannot be used afterwards.
pub async fn read_response_head(
    wire: &Wire,
    max_head: usize,
) -> Result<(Head, Framing), ResponseError> {
    loop {
        let taken = Head::take_response(&mut wire.buf(), max_head)?;
        if let Some(head) = taken {
            let framing = Framing::of(&head)?;
            return Ok((head, framing));
        }
        if wire.fill().await? == 0 {
            return Err(ResponseError::Closed);
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
/// If the body is truncated, malformed or too large.
pub async fn read_whole(
    wire: &Wire,
    reader: &mut BodyReader,
    max_body: usize,
) -> Result<BytesMut, ResponseError> {
    let mut body = BytesMut::new();
    loop {
        let progress = reader.read(&mut wire.buf())?;
        match progress {
            Progress::Done => return Ok(body),
            Progress::Data(data) => body.extend_from_slice(&data),
            Progress::NeedMore => match wire.fill().await? {
                0 if reader.ends_with_connection() => return Ok(body),
                0 => return Err(ResponseError::Closed),
                _ => {}
            },
        }
        if body.len() > max_body {
            return Err(ResponseError::TooLarge(max_body));
        }
    }
}
