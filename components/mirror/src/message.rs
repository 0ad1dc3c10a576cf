//! Messages by which mirrors synchronise.
//!
//! Replies are compressed: a configuration of 1,400 routes is 420 KB of repetitive text, and
//! hosts with links of 10 Mbit/s send it several times.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};

use crate::mirror::{Change, Mirror, Revision};

/// Largest encoded reply, in bytes. Less than the limit on one message between daemons.
pub const MAX_REPLY_BYTES: usize = 512 * 1024;

/// A page is complete once its keys and values reach this many bytes before compression. This is
/// about 30 KB on the wire, which takes a host's link of 10 Mbit/s a fortieth of a second.
const PAGE_BYTES: usize = 128 * 1024;

/// Largest decompressed reply, in bytes. Without this bound a small message could expand to more
/// than a host's memory. The store's values are at most 1 MB each.
const MAX_DECOMPRESSED_BYTES: u64 = 24 * 1024 * 1024;

/// Asks a peer for the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Revision of the requesting mirror.
    pub held: Revision,
    /// Last key of the previous page, while all keys are copied page by page.
    pub page_after: Option<String>,
}

/// The reply to a peer's request for changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The changes after the requested revision.
    Changes {
        /// Revision after which the changes begin.
        after: Revision,
        /// Revision up to which the changes are complete.
        at: Revision,
        /// Changes in order of their revisions.
        changes: Vec<Change>,
    },
    /// A page of all keys, if the log no longer holds all the changes or the request continues a
    /// copy page by page.
    Page {
        /// Revision of the replying mirror. The pages together are no snapshot: a change after the
        /// first page may already be in a later page, and is sent a second time among the changes
        /// after the revision of the first page.
        at: Revision,
        /// Items in order of their keys.
        items: Vec<Change>,
        /// Whether there are more keys after the last one.
        has_more: bool,
    },
    /// The replying mirror is not ahead.
    Nothing,
}

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The encoded reply has this many bytes, more than [`MAX_REPLY_BYTES`].
    #[error("an answer of {0} bytes is too large for a peer; it must list from the store")]
    TooLarge(usize),
    /// The bytes are not a valid message.
    #[error("a peer's message about the store's keys cannot be read: {0}")]
    Malformed(#[from] postcard::Error),
    /// The bytes could not be compressed or decompressed.
    #[error("a peer's message about the store's keys cannot be unpacked")]
    Packed,
}

impl SyncRequest {
    /// Encodes the request.
    ///
    /// # Errors
    /// Never, since any request can be encoded.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// If the bytes are not a valid request.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

impl SyncReply {
    /// Creates the reply of `mirror` to a peer's request.
    #[must_use]
    pub fn to(request: &SyncRequest, mirror: &Mirror) -> Self {
        if mirror.at() <= request.held {
            return Self::Nothing;
        }
        let is_next_page = request.page_after.is_some();
        let changes = match is_next_page {
            true => None,
            false => mirror.since(request.held),
        };
        match changes {
            Some(changes) => Self::Changes {
                after: request.held,
                at: mirror.at(),
                changes,
            },
            None => Self::page(mirror, request.page_after.as_deref()),
        }
    }

    /// The changes that `mirror` received after a revision, for peers at the same revision, or
    /// `None` if there are none. Also `None` if it took a listing since then: the differences
    /// between a listing and its own copy need not be all the differences from a peer's copy.
    #[must_use]
    pub fn news(mirror: &Mirror, before: Revision) -> Option<Self> {
        let changes = mirror.since(before).filter(|changes| !changes.is_empty())?;
        Some(Self::Changes {
            after: before,
            at: mirror.at(),
            changes,
        })
    }

    fn page(mirror: &Mirror, after: Option<&str>) -> Self {
        let mut bytes = 0;
        let mut rest = mirror.after(after).peekable();
        let mut items = Vec::new();
        while bytes < PAGE_BYTES
            && let Some(item) = rest.next()
        {
            bytes += item.key.len() + item.value.as_ref().map_or(0, Bytes::len);
            items.push(item);
        }
        Self::Page {
            at: mirror.at(),
            items,
            has_more: rest.peek().is_some(),
        }
    }

    /// Encodes and compresses the reply.
    ///
    /// # Errors
    /// If the reply is too large.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        let plain = postcard::to_allocvec(self)?;
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder
            .write_all(&plain)
            .map_err(|_| MessageError::Packed)?;
        let bytes = encoder.finish().map_err(|_| MessageError::Packed)?;
        if bytes.len() > MAX_REPLY_BYTES {
            return Err(MessageError::TooLarge(bytes.len()));
        }
        Ok(bytes.into())
    }

    /// Decompresses and decodes a reply.
    ///
    /// # Errors
    /// If the bytes are not a valid reply, or one larger than the limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let mut plain = Vec::new();
        let mut decoder = ZlibDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES);
        decoder
            .read_to_end(&mut plain)
            .map_err(|_| MessageError::Packed)?;
        Ok(postcard::from_bytes(&plain)?)
    }
}
