//! Determines where a body ends.

use crate::head::{Head, Kind};

/// How the end of the body after a head is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// Chunked transfer coding: the body ends with the chunk of size 0.
    Chunked,
    /// The body ends when the connection closes; only in responses.
    UntilClose,
}

/// Why the end of a body cannot be determined.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// `Content-Length` and `Transfer-Encoding` together, or one of them twice, which allows
    /// request smuggling.
    #[error("the body's length is given more than once")]
    Ambiguous,
    /// The length is not a plain decimal number.
    #[error("the body's length is not a number")]
    BadLength,
    /// The transfer coding is not `chunked` alone.
    #[error("the transfer encoding is not supported")]
    UnknownEncoding,
}

impl Framing {
    /// Determines the framing of the body after a head.
    ///
    /// # Errors
    /// If two readers could disagree on where the body ends.
    pub fn of(head: &Head) -> Result<Self, FramingError> {
        if has_no_body(head) {
            return Ok(Self::Empty);
        }
        let mut encodings = head.get_all("transfer-encoding");
        let mut lengths = head.get_all("content-length");
        match (encodings.next(), lengths.next()) {
            (Some(_), Some(_)) => Err(FramingError::Ambiguous),
            (Some(encoding), None) => chunked_framing(head, encoding, encodings.next().is_some()),
            (None, Some(length)) => length_framing(length, lengths.next().is_some()),
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

fn chunked_framing(
    head: &Head,
    encoding: &[u8],
    is_repeated: bool,
) -> Result<Framing, FramingError> {
    if is_repeated {
        return Err(FramingError::Ambiguous);
    }
    let is_chunked = encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || !head.is_http11 {
        return Err(FramingError::UnknownEncoding);
    }
    Ok(Framing::Chunked)
}

fn length_framing(length: &[u8], is_repeated: bool) -> Result<Framing, FramingError> {
    if is_repeated {
        return Err(FramingError::Ambiguous);
    }
    // `str::parse` accepts a plus sign, which other readers reject.
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::BadLength);
    }
    let text = std::str::from_utf8(length).map_err(|_| FramingError::BadLength)?;
    let length = text.parse().map_err(|_| FramingError::BadLength)?;
    Ok(Framing::Length(length))
}
