//! Splits a body into server-sent events.

use bytes::{Bytes, BytesMut};
use memchr::memchr_iter;

/// Default size limit of an event, in bytes. Upstreams send events of a few hundred bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received, including the blank line that ends the event.
    pub raw: Bytes,
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    /// The `data` lines joined by line feeds, or `None` if there are none, as in a comment.
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

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {0} bytes")]
pub struct EventTooLarge(pub usize);

/// Splits bytes into events and buffers an event until it is complete.
///
/// An upstream that crashes may stop in the middle of an event. Since only complete events are
/// passed on, the caller never gets a partial one and the stream can resume on another upstream.
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
    /// Creates a splitter for events of at most `max_event` bytes.
    #[must_use]
    pub fn new(max_event: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            max_event,
        }
    }

    /// Appends bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Removes the next complete event.
    ///
    /// # Errors
    /// If an event exceeds the size limit.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLarge> {
        let Some(end) = self.find_end() else {
            if self.buf.len() > self.max_event {
                return Err(EventTooLarge(self.max_event));
            }
            return Ok(None);
        };
        if end > self.max_event {
            return Err(EventTooLarge(self.max_event));
        }
        let raw = self.buf.split_to(end).freeze();
        let id = field_value(&raw, b"id:").and_then(|id| id.parse().ok());
        Ok(Some(Event { raw, id }))
    }

    /// Offset after the empty line that ends the first event. Lines end with LF or CR LF.
    fn find_end(&self) -> Option<usize> {
        let mut lines = memchr_iter(b'\n', &self.buf);
        lines.find_map(|at| match &self.buf[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
    }

    /// Bytes of an incomplete event that are buffered.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// The value of the first line of an event that begins with `name`.
fn field_value<'a>(raw: &'a [u8], name: &[u8]) -> Option<&'a str> {
    let mut lines = raw.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(name))?;
    std::str::from_utf8(value).ok().map(str::trim)
}
