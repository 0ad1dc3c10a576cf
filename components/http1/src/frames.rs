//! Length-delimited frames, in which bytes travel whose end must be told from a broken connection.
//!
//! The end of a connection says little: the kernel closes the sockets of a program that was killed
//! as if it had finished. An empty frame marks the end; without it the connection broke.

use std::io;

use bytes::{BufMut, BytesMut};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Longest frame accepted, in bytes.
const MAX_FRAME_BYTES: usize = 256 * 1024;

/// The frame that marks the end.
pub const END_FRAME: &[u8] = &[0; 4];

/// Appends a frame; an empty one marks the end.
pub fn push_frame(out: &mut Vec<u8>, content: &[u8]) {
    out.put_u32(u32::try_from(content.len()).unwrap_or(u32::MAX));
    out.extend_from_slice(content);
}

/// Decodes frames from the bytes of a connection.
#[derive(Debug)]
pub struct Frames {
    codec: LengthDelimitedCodec,
    pub(crate) encoded: BytesMut,
    has_ended: bool,
}

impl Default for Frames {
    fn default() -> Self {
        let mut codec = LengthDelimitedCodec::builder();
        Self {
            codec: codec.max_frame_length(MAX_FRAME_BYTES).new_codec(),
            encoded: BytesMut::new(),
            has_ended: false,
        }
    }
}

impl Frames {
    /// Appends bytes that were read.
    pub fn push(&mut self, encoded: &[u8]) {
        self.encoded.extend_from_slice(encoded);
    }

    /// Number of bytes that are not decoded yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.encoded.len()
    }

    /// Whether all bytes are decoded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.encoded.is_empty()
    }

    /// Takes the next whole frame; an empty one is the end, which is returned again from then on.
    ///
    /// # Errors
    /// If a frame is too long.
    pub fn next_frame(&mut self) -> io::Result<Option<BytesMut>> {
        if self.has_ended {
            return Ok(Some(BytesMut::new()));
        }
        let frame = self.codec.decode(&mut self.encoded)?;
        self.has_ended = frame.as_ref().is_some_and(BytesMut::is_empty);
        Ok(frame)
    }
}
