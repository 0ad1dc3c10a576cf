//! Cutting a body into server-sent events.

use bytes::{Bytes, BytesMut};
use memchr::memchr_iter;

/// Largest event that is waited for, in bytes; upstreams send some hundred.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// As it was sent, with the blank line that ends it.
    pub raw: Bytes,
    /// Its `id`, if that is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Its data, lines joined; nothing for a comment or an event of another kind.
    #[must_use]
    pub fn data(&self) -> Option<Bytes> {
        let lines = self.raw.split(|b| *b == b'\n');
        let mut data = lines.filter_map(|line| {
            let text = line.strip_suffix(b"\r").unwrap_or(line);
            let text = text.strip_prefix(b"data:")?;
            Some(text.strip_prefix(b" ").unwrap_or(text))
        });
        let first = data.next()?;
        let Some(second) = data.next() else {
            return Some(self.raw.slice_ref(first));
        };
        let mut joined = BytesMut::from(first);
        for line in std::iter::once(second).chain(data) {
            joined.extend_from_slice(b"\n");
            joined.extend_from_slice(line);
        }
        Some(joined.freeze())
    }
}

/// An event that does not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {0} bytes")]
pub struct EventTooLarge(pub usize);

/// Holds back the bytes of an event that is not complete.
///
/// An upstream that crashes may stop in the middle of an event. Passing whole events only
/// keeps the torn one from the caller, so the stream can go on at another upstream.
#[derive(Debug)]
pub struct Splitter {
    buf: BytesMut,
    max_event: usize,
}

impl Default for Splitter {
    fn default() -> Self {
        Self::new(MAX_EVENT_BYTES)
    }
}

impl Splitter {
    /// For events of so many bytes at most.
    #[must_use]
    pub fn new(max_event: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            max_event,
        }
    }

    /// Adds bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// When an event is too large.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLarge> {
        let Some(end) = self.end() else {
            if self.buf.len() > self.max_event {
                return Err(EventTooLarge(self.max_event));
            }
            return Ok(None);
        };
        if end > self.max_event {
            return Err(EventTooLarge(self.max_event));
        }
        let raw = self.buf.split_to(end).freeze();
        let id = field(&raw, b"id:").and_then(|id| id.parse().ok());
        Ok(Some(Event { raw, id }))
    }

    /// Where the first event ends: behind an empty line, whose end may be CR LF.
    fn end(&self) -> Option<usize> {
        let mut lines = memchr_iter(b'\n', &self.buf);
        lines.find_map(|at| match &self.buf[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
    }

    /// Whether bytes of an incomplete event are held.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// The value of an event's first line that begins with `name`.
fn field<'a>(raw: &'a [u8], name: &[u8]) -> Option<&'a str> {
    let mut lines = raw.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(name))?;
    std::str::from_utf8(value).ok().map(str::trim)
}
