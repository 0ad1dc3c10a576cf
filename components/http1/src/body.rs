//! Extracts a body from the bytes that arrived.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

use crate::framing::Framing;

/// Longest chunk size line or trailer field, in bytes.
const MAX_LINE_BYTES: usize = 1_024;
/// Most trailer fields at the end of a chunked body; they are discarded.
const MAX_TRAILERS: usize = 16;
/// Most hexadecimal digits of a chunk's size: with 16, sums with it could overflow.
const MAX_SIZE_DIGITS: usize = 15;

/// Why the bytes of a body do not match its framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The size or the end of a chunk is malformed.
    #[error("a chunk of the body is malformed")]
    BadChunk,
    /// A chunk size line or a trailer field is too long, or there are too many trailer fields.
    #[error("a chunk's line or the trailer is too long")]
    TooLong,
}

/// Result of reading a part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The next bytes of the body.
    Data(Bytes),
    /// More bytes must arrive first.
    NeedMore,
    /// The body is complete.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
    Done,
}

/// Extracts one body according to its framing.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Creates a reader that stands at the first byte of a body.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the body was read completely.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body ends when the peer closes the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Removes the next bytes of the body from the front of `buf`.
    ///
    /// # Errors
    /// If the bytes do not match the framing.
    pub fn read(&mut self, buf: &mut BytesMut) -> Result<Progress, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Progress::Done),
                State::UntilClose if buf.is_empty() => return Ok(Progress::NeedMore),
                State::UntilClose => return Ok(Progress::Data(buf.split().freeze())),
                State::Length(left) | State::ChunkData(left) => return Ok(self.take(left, buf)),
                State::ChunkSize => match take_line(buf)? {
                    Some(line) => self.state = state_after_size(&line)?,
                    None => return Ok(Progress::NeedMore),
                },
                State::ChunkEnd => match take_line(buf)? {
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(BodyError::BadChunk),
                    None => return Ok(Progress::NeedMore),
                },
                State::Trailer(count) => match take_line(buf)? {
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) if count >= MAX_TRAILERS => return Err(BodyError::TooLong),
                    Some(_) => self.state = State::Trailer(count + 1),
                    None => return Ok(Progress::NeedMore),
                },
            }
        }
    }

    fn take(&mut self, left: u64, buf: &mut BytesMut) -> Progress {
        if buf.is_empty() {
            return Progress::NeedMore;
        }
        let part = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        let data = buf.split_to(part).freeze();
        let left = left - part as u64;
        self.state = match self.state {
            State::Length(_) if left == 0 => State::Done,
            State::Length(_) => State::Length(left),
            _ if left == 0 => State::ChunkEnd,
            _ => State::ChunkData(left),
        };
        Progress::Data(data)
    }
}

/// Removes a line that ends with CR LF, or returns `None` while it is incomplete. A bare LF is an
/// error.
fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
    let Some(end) = memchr(b'\n', buf) else {
        let is_too_long = buf.len() > MAX_LINE_BYTES;
        return if is_too_long {
            Err(BodyError::TooLong)
        } else {
            Ok(None)
        };
    };
    if end > MAX_LINE_BYTES {
        return Err(BodyError::TooLong);
    }
    let line = buf.split_to(end + 1).freeze();
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(line.slice(..text.len()))),
        None => Err(BodyError::BadChunk),
    }
}

/// Parses a chunk size line, whose extensions are ignored, and returns the next state.
fn state_after_size(line: &[u8]) -> Result<State, BodyError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > MAX_SIZE_DIGITS {
        return Err(BodyError::BadChunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::BadChunk)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| BodyError::BadChunk)?;
    Ok(match size {
        0 => State::Trailer(0),
        size => State::ChunkData(size),
    })
}
