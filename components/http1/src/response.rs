//! Reading an upstream's response off a connection.

use std::io;

use bytes::BytesMut;

use crate::body::{BodyError, BodyReader, Progress};
use crate::framing::{Framing, FramingError};
use crate::head::{Head, HeadError};
use crate::wire::Wire;

/// Why no whole response came.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The peer closed before the response's end.
    #[error("the connection closed before the end of the response")]
    Closed,
    /// The head cannot be read.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// It cannot be told where the body ends.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// The body is not of the announced form.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is longer than allowed.
    #[error("the body has more than {0} bytes")]
    TooLarge(usize),
}

/// Waits for a response's head.
///
/// # Errors
/// When none comes; the connection is of no further use then.
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
/// When it is cut short, malformed or too large.
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
