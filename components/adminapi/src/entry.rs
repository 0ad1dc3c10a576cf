//! Entries of the catalogue with their revisions.

use std::sync::Arc;

use catalogue::entry::{Body, Entry};
use catalogue::record::{PastEdit, Record};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// `GET /catalogue`: every entry that stands.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueReply {
    /// The catalogue's revision at the daemon that answered.
    pub revision: Revision,
    /// Its entries by name.
    pub entries: Vec<EntrySummary>,
    /// Entries of which an earlier state is in force, since the latest breaks a rule.
    #[serde(default)]
    pub held_back: Vec<HeldBack>,
}

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Its name, `offers/brief-writer`.
    pub name: EntryName,
    /// `customer`, `service`, `model` or `offer`.
    pub kind: String,
    /// The team that answers for it.
    pub owner: OperatorName,
    /// The revision of its last edit.
    pub revision: Revision,
    /// Who made its last edit.
    pub author: OperatorName,
    /// When.
    pub at: WallTime,
}

impl EntrySummary {
    /// The line of a record, or nothing for a removal marker.
    #[must_use]
    pub fn from_record(name: &EntryName, record: &Record) -> Option<Self> {
        let entry = record.entry.as_ref()?;
        Some(Self {
            name: name.clone(),
            kind: kind(&entry.body).to_owned(),
            owner: entry.owner.clone(),
            revision: record.revision,
            author: record.author.clone(),
            at: record.at,
        })
    }
}

/// The kind of an entry, as it is written in its `kind` field.
#[must_use]
pub fn kind(body: &Body) -> &'static str {
    match body {
        Body::Customer(_) => "customer",
        Body::Service(_) => "service",
        Body::Model(_) => "model",
        Body::Offer(_) => "offer",
    }
}

/// An entry whose latest state is not in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldBack {
    /// Its name.
    pub name: EntryName,
    /// The revision that breaks a rule.
    pub revision: Revision,
    /// Which rules.
    pub problems: Vec<String>,
}

/// `GET /catalogue/KIND/NAME`: one entry. Its `ETag` is the revision in quotes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryReply {
    /// Its name.
    pub name: EntryName,
    /// The revision of its last edit.
    pub revision: Revision,
    /// The id of its last edit.
    pub edit_id: EditId,
    /// Who made its last edit.
    pub author: OperatorName,
    /// When.
    pub at: WallTime,
    /// The entry, or nothing once removed.
    pub entry: Option<Arc<Entry>>,
}

impl EntryReply {
    /// The reply of a record.
    #[must_use]
    pub fn from_record(name: &EntryName, record: &Record) -> Self {
        Self {
            name: name.clone(),
            revision: record.revision,
            edit_id: record.edit_id,
            author: record.author.clone(),
            at: record.at,
            entry: record.entry.clone(),
        }
    }
}

/// `GET /catalogue/KIND/NAME/history`: its edits, latest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The entry's name.
    pub name: EntryName,
    /// Its edits that are still kept.
    pub edits: Vec<PastEdit>,
}

impl HistoryReply {
    /// The history that a record carries, its own edit first.
    #[must_use]
    pub fn from_record(name: &EntryName, record: &Record) -> Self {
        let latest = PastEdit {
            revision: record.revision,
            edit_id: record.edit_id,
            author: record.author.clone(),
            at: record.at,
        };
        let earlier = record.history.iter().cloned();
        Self {
            name: name.clone(),
            edits: std::iter::once(latest).chain(earlier).collect(),
        }
    }
}
