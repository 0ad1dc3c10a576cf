//! Records: what the store keeps of an entry and what daemons exchange.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::check::MAX_ENTRY_SIZE;
use crate::entry::Entry;

pub use crate::table::Catalogue;

/// Past edits kept with a record.
pub const HISTORY_LENGTH: usize = 16;

/// The latest edit of one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The catalogue's revision that this edit made.
    pub revision: Revision,
    /// Tells one's own write from another's.
    pub edit_id: EditId,
    /// Who made it.
    pub author: OperatorName,
    /// When, by the clock of the daemon that took it.
    pub at: WallTime,
    /// The entry, or nothing once removed. A removed entry's record stays as a marker.
    pub entry: Option<Arc<Entry>>,
    /// Earlier edits, latest first, at most [`HISTORY_LENGTH`].
    #[serde(default)]
    pub history: Vec<PastEdit>,
}

/// An earlier edit of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PastEdit {
    /// The catalogue's revision that it made.
    pub revision: Revision,
    /// Its id.
    pub edit_id: EditId,
    /// Who made it.
    pub author: OperatorName,
    /// When.
    pub at: WallTime,
}

/// Why bytes are no record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Not even the revision can be read.
    #[error("{name}: no record: {message}")]
    Malformed {
        /// The entry.
        name: EntryName,
        /// What the parser says.
        message: String,
    },
    /// Longer than the store takes.
    #[error("{name}: {size} bytes, at most {MAX_ENTRY_SIZE} are allowed")]
    TooLong {
        /// The entry.
        name: EntryName,
        /// Its size in bytes.
        size: usize,
    },
}

impl Record {
    /// What outranks what: the higher revision, and between two of the same revision
    /// (only a store restored from an old copy makes these) the higher edit id, so
    /// that all daemons choose the same.
    #[must_use]
    pub fn rank(&self) -> (Revision, EditId) {
        (self.revision, self.edit_id)
    }

    /// The history of the edit that follows this one.
    #[must_use]
    pub fn history_of_next(&self) -> Vec<PastEdit> {
        let own = PastEdit {
            revision: self.revision,
            edit_id: self.edit_id,
            author: self.author.clone(),
            at: self.at,
        };
        let all = std::iter::once(own).chain(self.history.iter().cloned());
        all.take(HISTORY_LENGTH).collect()
    }

    /// The revision that an edit made, if this record remembers it.
    #[must_use]
    pub fn revision_of(&self, id: EditId) -> Option<Revision> {
        if self.edit_id == id {
            return Some(self.revision);
        }
        let past = self.history.iter().find(|past| past.edit_id == id);
        past.map(|past| past.revision)
    }

    /// As the store keeps it.
    ///
    /// # Panics
    /// Never: every entry has a form in JSON.
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

/// A record as it travels: the store's bytes, so that a daemon passes on unchanged
/// what a newer release wrote and this one cannot read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    /// The entry.
    pub name: EntryName,
    /// The record in JSON.
    pub json: Bytes,
}

/// A record with the bytes that it came from.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// The record; without its entry when that cannot be read.
    pub record: Arc<Record>,
    /// The record in JSON.
    pub json: Bytes,
    /// Why the entry cannot be read.
    pub unreadable: Option<String>,
}

impl Held {
    /// From a record made here.
    #[must_use]
    pub fn new(record: Arc<Record>) -> Self {
        let json = record.to_json();
        Self {
            record,
            json,
            unreadable: None,
        }
    }

    /// True for the marker of a removed entry.
    #[must_use]
    pub fn is_marker(&self) -> bool {
        self.record.entry.is_none() && self.unreadable.is_none()
    }
}

/// A record whose entry is not looked at.
#[derive(Deserialize)]
struct Envelope {
    revision: Revision,
    edit_id: EditId,
    author: OperatorName,
    at: WallTime,
    #[serde(default)]
    history: Vec<PastEdit>,
}

impl WireRecord {
    /// Its bytes in a message.
    #[must_use]
    pub fn size(&self) -> usize {
        const LENGTHS: usize = 16;
        self.name.as_str().len() + self.json.len() + LENGTHS
    }

    /// Reads the record. An entry that this release cannot read keeps its revision, so
    /// that it still outranks older copies.
    ///
    /// # Errors
    /// When the revision cannot be read either, or the size is past the bound.
    pub fn parse(&self) -> Result<Held, RecordError> {
        let size = self.json.len();
        if size > MAX_ENTRY_SIZE.as_usize() {
            let name = self.name.clone();
            return Err(RecordError::TooLong { name, size });
        }
        match serde_json::from_slice::<Record>(&self.json) {
            Ok(record) => Ok(self.held(record, None)),
            Err(e) => self.parse_envelope(&e.to_string()),
        }
    }

    fn parse_envelope(&self, message: &str) -> Result<Held, RecordError> {
        let envelope: Envelope =
            serde_json::from_slice(&self.json).map_err(|_| RecordError::Malformed {
                name: self.name.clone(),
                message: message.to_owned(),
            })?;
        let record = Record {
            revision: envelope.revision,
            edit_id: envelope.edit_id,
            author: envelope.author,
            at: envelope.at,
            entry: None,
            history: envelope.history,
        };
        Ok(self.held(record, Some(message.to_owned())))
    }

    fn held(&self, mut record: Record, unreadable: Option<String>) -> Held {
        record.history.truncate(HISTORY_LENGTH);
        Held {
            record: Arc::new(record),
            json: self.json.clone(),
            unreadable,
        }
    }
}
