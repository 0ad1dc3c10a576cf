//! A request body that remembers whether it began to leave.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use attohttpc::body::{Body, BodyKind};

/// Bytes to send, and a mark set as soon as the first is handed to the connection.
///
/// Guards against calling a write "not sent" that the service may have read: without
/// the mark, a reset or timeout looks the same before and after the body. While the
/// mark is off the service holds at most a head without its body, which it cannot
/// act upon.
pub(crate) struct MarkedBody {
    bytes: Vec<u8>,
    begun: Arc<AtomicBool>,
}

impl MarkedBody {
    pub(crate) fn new(bytes: Vec<u8>, begun: Arc<AtomicBool>) -> Self {
        Self { bytes, begun }
    }
}

impl Body for MarkedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.begun.store(true, Ordering::Relaxed);
        writer.write_all(&self.bytes)
    }

    fn content_type(&mut self) -> io::Result<Option<String>> {
        Ok(Some("application/json".to_owned()))
    }
}
