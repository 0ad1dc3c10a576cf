//! Reads an upstream's response from a connection.

use std::io;

use bytes::{Bytes, BytesMut};

use crate::body::{BodyError, BodyReader, Progress};
use crate::framing::{Framing, FramingError};
use crate::head::{Head, HeadError};
use crate::wire::Wire;

/// Most interim responses (status 1xx) before the final one.
const MAX_INTERIM: u32 = 4;

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
    /// No final response came after this many interim ones.
    #[error("more than {MAX_INTERIM} interim responses came before the final one")]
    TooManyInterim,
    /// The body has more bytes than are accepted.
    #[error("the body has more than {0} bytes")]
    TooLarge(usize),
}

/// Waits for the head of a final response and determines the framing of its body. Interim responses
/// are skipped.
///
/// # Errors
/// If no valid head arrives, or too many interim responses before it. The connection cannot be used
/// afterwards.
pub async fn read_response_head(
    wire: &Wire,
    max_head: usize,
) -> Result<(Head, Framing), ResponseError> {
    let mut interim = 0;
    loop {
        let taken = Head::take_response(&mut wire.buf(), max_head)?;
        if let Some(head) = taken {
            if !head.is_interim() {
                let framing = Framing::of(&head)?;
                return Ok((head, framing));
            }
            interim += 1;
            if interim > MAX_INTERIM {
                return Err(ResponseError::TooManyInterim);
            }
            continue;
        }
        if wire.fill().await? == 0 {
            return Err(ResponseError::Closed);
        }
    }
}

/// Reads a body to its end, as long as `accepts` its length so far.
///
/// # Errors
/// If the body is truncated, malformed or not accepted.
pub async fn read_whole(
    wire: &Wire,
    reader: &mut BodyReader,
    mut accepts: impl FnMut(usize) -> bool,
) -> Result<BytesMut, ResponseError> {
    let mut body = BytesMut::new();
    while let Some(data) = next_part(wire, reader).await? {
        if !accepts(body.len() + data.len()) {
            return Err(ResponseError::TooLarge(body.len()));
        }
        body.extend_from_slice(&data);
    }
    Ok(body)
}

/// Reads a body of at most `max_body` bytes to its end without holding it.
///
/// # Errors
/// If the body is truncated, malformed or too large.
pub async fn discard_body(
    wire: &Wire,
    reader: &mut BodyReader,
    max_body: usize,
) -> Result<(), ResponseError> {
    let mut len = 0;
    while let Some(data) = next_part(wire, reader).await? {
        len += data.len();
        if len > max_body {
            return Err(ResponseError::TooLarge(max_body));
        }
    }
    Ok(())
}

/// Waits for the next bytes of a body; `None` at its end.
async fn next_part(wire: &Wire, reader: &mut BodyReader) -> Result<Option<Bytes>, ResponseError> {
    loop {
        let progress = reader.read(&mut wire.buf())?;
        match progress {
            Progress::Done => return Ok(None),
            Progress::Data(data) => return Ok(Some(data)),
            Progress::NeedMore => match wire.fill().await? {
                0 if reader.ends_with_connection() => {
                    wire.acknowledged().await?;
                    return Ok(None);
                }
                0 => return Err(ResponseError::Closed),
                _ => {}
            },
        }
    }
}
