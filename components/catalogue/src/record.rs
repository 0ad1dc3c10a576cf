//! Entries with their revisions: what the store keeps and daemons exchange.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::entry::Entry;

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

/// The latest record of every entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    revision: Revision,
    records: BTreeMap<EntryName, Arc<Record>>,
}

impl Catalogue {
    /// The highest revision applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes a record unless one as new is held; says whether it was taken.
    ///
    /// Guards against reverting: a late watch event, a paused peer or a lagging
    /// replica offers an older record, which is dropped since its revision is lower.
    pub fn apply(&mut self, name: EntryName, record: Arc<Record>) -> bool {
        let held = self.records.get(&name).map(|held| held.revision);
        if held.is_some_and(|held| held >= record.revision) {
            return false;
        }
        self.revision = self.revision.max(record.revision);
        self.records.insert(name, record);
        true
    }

    /// The record of an entry, a removal marker included.
    #[must_use]
    pub fn record(&self, name: &EntryName) -> Option<&Arc<Record>> {
        self.records.get(name)
    }

    /// The entry as it stands.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> Option<&Arc<Entry>> {
        self.records.get(name)?.entry.as_ref()
    }

    /// All records, removal markers included.
    pub fn records(&self) -> impl Iterator<Item = (&EntryName, &Arc<Record>)> {
        self.records.iter()
    }

    /// All entries that stand.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryName, &Arc<Entry>)> {
        self.records
            .iter()
            .filter_map(|(name, record)| Some((name, record.entry.as_ref()?)))
    }
}
