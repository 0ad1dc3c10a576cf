//! The head and some entries as read from the store in one transaction.

use std::collections::BTreeMap;

use keyvalue::{KeyValue, OpReply, TxnReply};
use types::prelude::*;

use crate::head::{Change, HeadError, Keys, ReadHead};
use crate::record::{EncodedRecord, RecordError, WireRecord};

/// The head and entries as of one revision of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Snapshot {
    pub(crate) head: ReadHead,
    /// Requested entries that exist, with their mod revisions.
    pub(crate) entries: BTreeMap<EntryName, (keyvalue::ModRevision, EncodedRecord)>,
}

/// Why a reply contains no valid snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SnapshotError {
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error("the store's reply does not fit the call")]
    Shape,
}

impl Snapshot {
    /// Parses the replies to [`Keys::read_ops`].
    pub(crate) fn parse(keys: &Keys, reply: &TxnReply) -> Result<Self, SnapshotError> {
        let mut ranges = reply.replies.iter().map(|reply| match reply {
            OpReply::Range(found) => Ok(found),
            _ => Err(SnapshotError::Shape),
        });
        let head = ranges.next().ok_or(SnapshotError::Shape)??;
        let mut snapshot = Self {
            head: ReadHead::from_range(head)?,
            entries: BTreeMap::new(),
        };
        for found in ranges {
            for pair in found? {
                snapshot.add(keys, pair)?;
            }
        }
        Ok(snapshot)
    }

    fn add(&mut self, keys: &Keys, pair: &KeyValue) -> Result<(), SnapshotError> {
        let name = keys.name_of(&pair.key).ok_or(SnapshotError::Shape)?;
        let json = pair.value.clone();
        let held = WireRecord {
            name: name.clone(),
            json,
        }
        .parse()?;
        self.entries.insert(name, (pair.mod_revision, held));
        Ok(())
    }

    pub(crate) fn held(&self, name: &EntryName) -> Option<&EncodedRecord> {
        self.entries.get(name).map(|(_, held)| held)
    }

    /// Returns the revision that an edit made, if the head or a record read lists its id.
    pub(crate) fn revision_of(&self, id: EditId) -> Option<Revision> {
        let recent = &self.head.head.recent;
        let listed = recent.iter().find(|change| change.edit_id == id);
        listed.map(|change| change.revision).or_else(|| {
            let mut held = self.entries.values();
            held.find_map(|(_, held)| held.record.revision_of(id))
        })
    }

    /// Returns the edit that made a revision, if the head or a record read lists it.
    pub(crate) fn edit_at(&self, revision: Revision) -> Option<EditId> {
        let recent = &self.head.head.recent;
        let listed = recent.iter().find(|change| change.revision == revision);
        let listed = listed.map(|Change { edit_id, .. }| *edit_id);
        listed.or_else(|| {
            let mut records = self.entries.values().map(|(_, held)| &held.record);
            records.find_map(|record| {
                let past = record
                    .history
                    .iter()
                    .map(|past| (past.revision, past.edit_id));
                let mut all = std::iter::once(record.rank()).chain(past);
                all.find(|(made, _)| *made == revision).map(|(_, id)| id)
            })
        })
    }
}
