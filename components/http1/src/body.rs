//! Cutting a body out of the bytes that arrived.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

use crate::framing::Framing;

/// Longest line of a chunk's size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 1_024;
/// Trailer fields taken (and dropped) at the end of a chunked body.
const MAX_TRAILERS: usize = 16;
/// Digits of a chunk's size: 16 would overflow what is added to it.
const MAX_SIZE_DIGITS: usize = 15;

/// Why bytes are no body of the announced form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk's size or end is malformed.
    #[error("a chunk of the body is malformed")]
    BadChunk,
    /// A size's line or a trailer is too long, or there are too many.
    #[error("a chunk's line or the trailer is too long")]
    TooLong,
}

/// How far a body is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// These bytes come next.
    Data(Bytes),
    /// More must arrive first.
    NeedMore,
    /// All of it was taken.
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

/// Reads one body.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// At the body's first byte.
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

    /// Whether all of it was taken.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the connection's end is the body's end.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Takes what can be taken from the front of `buf`.
    ///
    /// # Errors
    /// When the bytes are not of the announced form.
    pub fn read(&mut self, buf: &mut BytesMut) -> Result<Progress, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Progress::Done),
                State::UntilClose if buf.is_empty() => return Ok(Progress::NeedMore),
                State::UntilClose => return Ok(Progress::Data(buf.split().freeze())),
                State::Length(left) | State::ChunkData(left) => return Ok(self.data(left, buf)),
                State::ChunkSize => match take_line(buf)? {
                    Some(line) => self.state = after_size(&line)?,
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

    fn data(&mut self, left: u64, buf: &mut BytesMut) -> Progress {
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

/// Takes a line that ends with CR LF; a bare LF is refused.
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

fn after_size(line: &[u8]) -> Result<State, BodyError> {
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
