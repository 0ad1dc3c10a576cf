//! Where a body ends.

use crate::head::{Head, Kind};

/// Where the body behind a head ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many bytes.
    Length(u64),
    /// After the chunk of no length.
    Chunked,
    /// With the connection; only of responses.
    UntilClose,
}

/// Why it cannot be told where a body ends.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// Both ways at once, or one of them twice: the door for smuggled requests.
    #[error("the body's length is given more than once")]
    Ambiguous,
    /// Not a plain decimal number.
    #[error("the body's length is not a number")]
    BadLength,
    /// Anything but `chunked` alone.
    #[error("the transfer encoding is not supported")]
    UnknownEncoding,
}

impl Framing {
    /// Of the body behind a head.
    ///
    /// # Errors
    /// When two readers could disagree on it.
    pub fn of(head: &Head) -> Result<Self, FramingError> {
        if has_no_body(head) {
            return Ok(Self::Empty);
        }
        let mut encodings = head.get_all("transfer-encoding");
        let mut lengths = head.get_all("content-length");
        match (encodings.next(), lengths.next()) {
            (Some(_), Some(_)) => Err(FramingError::Ambiguous),
            (Some(encoding), None) => chunked(head, encoding, encodings.next().is_some()),
            (None, Some(length)) => fixed(length, lengths.next().is_some()),
            (None, None) => Ok(match head.kind {
                Kind::Request { .. } => Self::Empty,
                Kind::Response { .. } => Self::UntilClose,
            }),
        }
    }
}

fn has_no_body(head: &Head) -> bool {
    let status = head.status();
    matches!(status, 100..=199 | 204 | 304)
}

fn chunked(head: &Head, encoding: &[u8], is_repeated: bool) -> Result<Framing, FramingError> {
    if is_repeated {
        return Err(FramingError::Ambiguous);
    }
    let is_chunked = encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || !head.is_http11 {
        return Err(FramingError::UnknownEncoding);
    }
    Ok(Framing::Chunked)
}

fn fixed(length: &[u8], is_repeated: bool) -> Result<Framing, FramingError> {
    if is_repeated {
        return Err(FramingError::Ambiguous);
    }
    // `str::parse` takes a plus sign, which other readers refuse.
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::BadLength);
    }
    let text = std::str::from_utf8(length).map_err(|_| FramingError::BadLength)?;
    let length = text.parse().map_err(|_| FramingError::BadLength)?;
    Ok(Framing::Length(length))
}
