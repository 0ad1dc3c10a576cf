//! What daemons say to each other about the catalogue.
//!
//! Records travel as the store's bytes inside, so any codec serves, also one that does
//! not describe itself.

use bincode::Options;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::check::MAX_ENTRY_SIZE;
use crate::record::WireRecord;

/// Most records of a page.
pub const MAX_PAGE_RECORDS: usize = 512;

/// Longest message: what the connections between daemons carry.
pub const MAX_MESSAGE_SIZE: ByteSize = ByteSize(192 << 10);

/// How far a daemon is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The revision up to which it holds every edit; what it has in force.
    pub revision: Revision,
    /// Same on two daemons that hold the same records.
    pub digest: u128,
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// How far are you, and how fresh?
    Ask {
        /// The asker itself.
        told: Told,
        /// The asker's own moment, given back as it is.
        token: Time,
    },
    /// The answer to [`Message::Ask`].
    Tell {
        /// The answerer.
        told: Told,
        /// How long ago its catalogue was known to be current; nothing if never.
        age: Option<Span>,
        /// How long ago the store answered it or one it heard of; nothing if never.
        store_age: Option<Span>,
        /// Whether the answerer knows how far the fleet is: not so just after its start, or
        /// when it has no answers of others itself.
        settled: bool,
        /// The largest fleet seen lately, and how long ago.
        fleet: (usize, Span),
        /// The asker's moment.
        token: Time,
    },
    /// There is a new revision.
    Announce {
        /// The daemon that has it.
        told: Told,
    },
    /// Send what changed.
    Want {
        /// Edits after this revision are wanted; 0 for the whole catalogue.
        after: Revision,
        /// Records up to this revision were received already.
        cursor: Revision,
    },
    /// A part of what changed.
    Page(Page),
}

/// Records in the order of their revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// As in the request, or 0 when the sender can only send the whole.
    pub after: Revision,
    /// The records.
    pub records: Vec<WireRecord>,
    /// Revision of the last record.
    pub cursor: Revision,
    /// On the last page: the receiver now holds every edit up to here.
    pub to: Option<Revision>,
}

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
#[error("a message about the catalogue cannot be read: {0}")]
pub struct MessageError(#[from] bincode::Error);

impl Message {
    /// As bytes.
    ///
    /// # Errors
    /// Never for messages made here.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        Ok(bincode::DefaultOptions::new().serialize(self)?.into())
    }

    /// From bytes of a peer.
    ///
    /// # Errors
    /// When they are too many or no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let options = bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_SIZE.0);
        Ok(options.deserialize(bytes)?)
    }
}

impl Page {
    /// Whether a received page keeps the bounds; a longer one is dropped unread.
    #[must_use]
    pub fn is_bounded(&self, page: ByteSize) -> bool {
        let size: usize = self.records.iter().map(WireRecord::size).sum();
        let most = page.as_usize() + MAX_ENTRY_SIZE.as_usize();
        self.records.len() <= MAX_PAGE_RECORDS && size <= most
    }
}
