//! Cutting a body into server-sent events.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

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

/// An event that does not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Holds back the bytes of an event that is not complete.
///
/// An upstream that crashes may stop in the middle of an event. Passing whole events only
/// keeps the torn one from the caller, so the stream can go on at another upstream.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Adds bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// When an event is too large.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLarge> {
        let Some(end) = memmem::find(&self.buf, b"\n\n") else {
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let raw = self.buf.split_to(end + 2).freeze();
        let id = field(&raw, b"id:").and_then(|id| id.parse().ok());
        Ok(Some(Event { raw, id }))
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
