//! A request body that records whether its transmission has started.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use attohttpc::body::{Body, BodyKind};

/// A request body with a flag that is set before its first byte is written to the connection.
///
/// The flag prevents a write that the service may have read from being reported as "not
/// sent": without it, a reset or timeout looks the same before and after the body. While the
/// flag is unset, the service has received at most the head of the request, on which it
/// cannot act.
pub(crate) struct TrackedBody {
    bytes: Vec<u8>,
    has_started: Arc<AtomicBool>,
}

impl TrackedBody {
    pub(crate) fn new(bytes: Vec<u8>, has_started: Arc<AtomicBool>) -> Self {
        Self { bytes, has_started }
    }
}

impl Body for TrackedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.has_started.store(true, Ordering::Relaxed);
        writer.write_all(&self.bytes)
    }

    fn content_type(&mut self) -> io::Result<Option<String>> {
        Ok(Some("application/json".to_owned()))
    }
}
