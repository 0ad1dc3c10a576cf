//! What mirrors say to each other.
//!
//! Answers are compressed: a configuration of 1,400 routes is 420 KB of repetitive text, and
//! hosts with links of 10 Mbit/s hand it on several times.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};

use crate::mirror::{Change, Mirror, Revision};

/// Largest answer, in bytes: below what one message between daemons may hold.
pub const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// A page of a whole copy ends once it has so many bytes, not yet compressed: about 30 KB on
/// the wire, a fortieth of a second of a host's link of 10 Mbit/s.
const PAGE_BYTES: usize = 128 * 1024;

/// Largest answer before it was compressed, in bytes: guards against a small message that
/// unfolds to more than a host's memory. The store's values are at most 1 MB each.
const MAX_PLAIN_BYTES: u64 = 24 * 1024 * 1024;

/// What is new after this?
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// What the asker holds.
    pub held: Revision,
    /// Within a whole copy: the last key of the page before.
    pub page_after: Option<String>,
}

/// What a peer lacked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The changes after the revision asked for.
    Changes {
        /// After this.
        after: Revision,
        /// Up to this.
        at: Revision,
        /// In order.
        changes: Vec<Change>,
    },
    /// A page of everything, since too much changed.
    Page {
        /// As of this. Pages are no snapshot: what changed since the first page may be in a
        /// later one already, and is told again by the changes after the first page.
        at: Revision,
        /// Keys in order.
        items: Vec<Change>,
        /// Whether there are more behind the last one.
        has_more: bool,
    },
    /// Nothing newer is held.
    Nothing,
}

/// Why a message cannot be sent or read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than [`MAX_ANSWER_BYTES`].
    #[error("an answer of {0} bytes is too large for a peer; it must list from the store")]
    TooLarge(usize),
    /// Not of the expected form.
    #[error("a peer's message about the store's keys cannot be read: {0}")]
    Malformed(#[from] postcard::Error),
    /// Not compressed as expected, or too large.
    #[error("a peer's message about the store's keys cannot be unpacked")]
    Packed,
}

impl SyncRequest {
    /// As bytes.
    ///
    /// # Errors
    /// Never for a request of this form.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    /// From bytes.
    ///
    /// # Errors
    /// When they are not of the expected form.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

impl SyncReply {
    /// What `mirror` has for a peer.
    #[must_use]
    pub fn to(request: &SyncRequest, mirror: &Mirror) -> Self {
        if mirror.at() <= request.held {
            return Self::Nothing;
        }
        let is_within_copy = request.page_after.is_some();
        let changes = match is_within_copy {
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

    /// What `mirror` took since it held a revision, for peers that held as much; nothing where that was a
    /// listing: what differs from an own copy need not be all that differs from another's.
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

    /// As bytes.
    ///
    /// # Errors
    /// When it is too large.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        let plain = postcard::to_allocvec(self)?;
        let mut packed = ZlibEncoder::new(Vec::new(), Compression::fast());
        packed.write_all(&plain).map_err(|_| MessageError::Packed)?;
        let bytes = packed.finish().map_err(|_| MessageError::Packed)?;
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(MessageError::TooLarge(bytes.len()));
        }
        Ok(bytes.into())
    }

    /// From bytes.
    ///
    /// # Errors
    /// When they are not of the expected form.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let mut plain = Vec::new();
        let mut unpacked = ZlibDecoder::new(bytes).take(MAX_PLAIN_BYTES);
        unpacked
            .read_to_end(&mut plain)
            .map_err(|_| MessageError::Packed)?;
        Ok(postcard::from_bytes(&plain)?)
    }
}
