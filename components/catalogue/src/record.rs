//! Records: the form in which the store keeps entries and daemons exchange them.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::check::MAX_ENTRY_SIZE;
use crate::entry::Entry;

pub use crate::table::Catalogue;

/// Largest number of past edits kept with a record.
pub const HISTORY_LENGTH: usize = 16;

/// The latest edit of an entry, with the entry as it left it and a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The catalogue's revision that this edit made.
    pub revision: Revision,
    /// Id of the edit, by which a daemon recognizes its own write.
    pub edit_id: EditId,
    /// The operator who made the edit.
    pub author: OperatorName,
    /// Time of the edit by the clock of the daemon that accepted it.
    pub at: WallTime,
    /// The entry, or `None` once it is removed; the record then remains as a tombstone.
    pub entry: Option<Arc<Entry>>,
    /// Earlier edits, latest first, at most [`HISTORY_LENGTH`].
    #[serde(default)]
    pub history: Vec<PastEdit>,
}

/// An edit of an entry that a later one replaced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PastEdit {
    /// The catalogue's revision that this edit made.
    pub revision: Revision,
    /// Id of the edit.
    pub edit_id: EditId,
    /// The operator who made the edit.
    pub author: OperatorName,
    /// Time of the edit by the clock of the daemon that accepted it.
    pub at: WallTime,
}

/// Why bytes cannot be read as a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Not even the record's revision can be read.
    #[error("{name}: no record: {message}")]
    Malformed {
        /// Name of the entry.
        name: EntryName,
        /// The parser's error message.
        message: String,
    },
    /// The record exceeds [`MAX_ENTRY_SIZE`].
    #[error("{name}: {size} bytes, at most {MAX_ENTRY_SIZE} are allowed")]
    TooLong {
        /// Name of the entry.
        name: EntryName,
        /// Size of the record in bytes.
        size: usize,
    },
}

impl Record {
    /// Returns the rank by which records of an entry replace each other: the higher revision
    /// wins, and between equal revisions (which only a store restored from an old copy causes)
    /// the higher edit id, so that all daemons choose the same record.
    #[must_use]
    pub fn rank(&self) -> (Revision, EditId) {
        (self.revision, self.edit_id)
    }

    /// Returns the history for the record of the entry's next edit.
    #[must_use]
    pub fn next_history(&self) -> Vec<PastEdit> {
        let own = PastEdit {
            revision: self.revision,
            edit_id: self.edit_id,
            author: self.author.clone(),
            at: self.at,
        };
        let all = std::iter::once(own).chain(self.history.iter().cloned());
        all.take(HISTORY_LENGTH).collect()
    }

    /// Returns the revision that an edit made, if this record lists the edit.
    #[must_use]
    pub fn revision_of(&self, id: EditId) -> Option<Revision> {
        if self.edit_id == id {
            return Some(self.revision);
        }
        let past = self.history.iter().find(|past| past.edit_id == id);
        past.map(|past| past.revision)
    }

    /// Encodes the record as the store keeps it.
    ///
    /// # Panics
    /// Never: every entry can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

/// A record as it is sent between daemons. It contains the store's bytes, so that a daemon
/// forwards unchanged what a newer release wrote and this one cannot read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    /// Name of the entry.
    pub name: EntryName,
    /// The record as JSON.
    pub json: Bytes,
}

/// A record with the bytes that it was read from or is written as.
#[derive(Debug, Clone, PartialEq)]
pub struct EncodedRecord {
    /// The record, without its entry if that cannot be read.
    pub record: Arc<Record>,
    /// The record as JSON.
    pub json: Bytes,
    /// Why the entry cannot be read; `None` if it can.
    pub unreadable: Option<String>,
}

impl EncodedRecord {
    /// Encodes a record made by this daemon.
    #[must_use]
    pub fn new(record: Arc<Record>) -> Self {
        let json = record.to_json();
        Self {
            record,
            json,
            unreadable: None,
        }
    }

    /// Whether this is the tombstone of a removed entry.
    #[must_use]
    pub fn is_tombstone(&self) -> bool {
        self.record.entry.is_none() && self.unreadable.is_none()
    }
}

/// A record without its entry, to read at least the revision of one from another release.
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
    /// Returns the record's size in a message, in bytes; the encoding of lengths is estimated.
    #[must_use]
    pub fn size(&self) -> usize {
        const LENGTHS: usize = 16;
        self.name.as_str().len() + self.json.len() + LENGTHS
    }

    /// Parses the record. A record whose entry this release cannot read keeps its revision, so
    /// that it still outranks older copies.
    ///
    /// # Errors
    /// When the revision cannot be read either, or the record exceeds [`MAX_ENTRY_SIZE`].
    pub fn parse(&self) -> Result<EncodedRecord, RecordError> {
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

    fn parse_envelope(&self, message: &str) -> Result<EncodedRecord, RecordError> {
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

    fn held(&self, mut record: Record, unreadable: Option<String>) -> EncodedRecord {
        record.history.truncate(HISTORY_LENGTH);
        EncodedRecord {
            record: Arc::new(record),
            json: self.json.clone(),
            unreadable,
        }
    }
}
