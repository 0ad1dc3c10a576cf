//! Messages between daemons about the catalogue.
//!
//! A record is sent as the bytes that the store holds. It therefore needs no self-describing
//! codec, and the order of fields and variants here is part of the wire format.

use bincode::Options;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::check::MAX_ENTRY_SIZE;
use crate::record::WireRecord;

/// Largest number of records in a page.
pub const MAX_PAGE_RECORDS: usize = 512;

/// Longest encoded message that connections between daemons accept.
pub const MAX_MESSAGE_SIZE: ByteSize = ByteSize(192 << 10);

/// The state of a daemon's catalogue in short, for comparison with another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The revision up to which the daemon holds every edit; it is the one in force there.
    pub revision: Revision,
    /// Digest of the records held; equal on two daemons that hold the same records.
    pub digest: u128,
}

/// A message from one daemon to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the peer's summary and freshness.
    SummaryRequest {
        /// Summary of the sender.
        summary: Summary,
        /// Time of the request by the sender's clock; the reply returns it unchanged.
        asked_at: Time,
    },
    /// Replies to a [`Message::SummaryRequest`].
    SummaryReply {
        /// Summary of the replying daemon.
        summary: Summary,
        /// How long ago its catalogue was last validated as current; `None` if never.
        validated_age: Option<Span>,
        /// How long ago the store answered it or a daemon that it heard from; `None` if never.
        store_answer_age: Option<Span>,
        /// Whether the replying daemon knows the fleet's revision. It does not just after its
        /// start, nor without recent replies from others.
        established: bool,
        /// The largest recent fleet size, and how long ago it was seen.
        largest_fleet: (usize, Span),
        /// Time of the request by the asker's clock, as in the request.
        asked_at: Time,
    },
    /// Announces a new revision.
    Announcement {
        /// Summary of the daemon that holds the new revision.
        summary: Summary,
    },
    /// Requests a page of changed records.
    PageRequest {
        /// Revision after which edits are requested; 0 for the whole catalogue.
        after: Revision,
        /// Revision up to which records were already received in this transfer.
        cursor: Revision,
    },
    /// Delivers a page of changed records.
    Page(Page),
}

/// A page of records in the order of their revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// As in the request, or 0 when the sender can only send the whole catalogue.
    pub after: Revision,
    /// The records on this page.
    pub records: Vec<WireRecord>,
    /// Revision of the last record, from which the next page continues.
    pub cursor: Revision,
    /// Only on the last page: the revision up to which the receiver then holds every edit.
    pub complete_to: Option<Revision>,
}

/// The bytes are not a valid message or exceed [`MAX_MESSAGE_SIZE`].
#[derive(Debug, thiserror::Error)]
#[error("a message about the catalogue cannot be read: {0}")]
pub struct MessageError(#[from] bincode::Error);

impl Message {
    /// Encodes the message for a peer.
    ///
    /// # Errors
    /// Never for messages made here.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        Ok(bincode::DefaultOptions::new().serialize(self)?.into())
    }

    /// Decodes a message received from a peer.
    ///
    /// # Errors
    /// When the bytes exceed [`MAX_MESSAGE_SIZE`] or are not a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let options = bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_SIZE.0);
        Ok(options.deserialize(bytes)?)
    }
}

impl Page {
    /// Whether a received page keeps the bounds on count and bytes; a larger one is dropped
    /// without parsing its records.
    #[must_use]
    pub fn is_bounded(&self, page_size: ByteSize) -> bool {
        let size: usize = self.records.iter().map(WireRecord::size).sum();
        let max_size = page_size.as_usize() + MAX_ENTRY_SIZE.as_usize();
        self.records.len() <= MAX_PAGE_RECORDS && size <= max_size
    }
}
