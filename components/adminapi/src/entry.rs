//! Replies about entries of the catalogue and their revisions.

use std::sync::Arc;

use catalogue::entry::{Body, Entry};
use catalogue::record::{PastEdit, Record};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Reply to `GET /catalogue`: all existing entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueReply {
    /// Revision of the catalogue at the answering daemon.
    pub revision: Revision,
    /// Entries in order of their names.
    pub entries: Vec<EntrySummary>,
    /// Entries whose latest revision breaks a rule, so that an earlier one is in force.
    #[serde(default)]
    pub held_back: Vec<HeldBack>,
}

/// Summary of an entry in [`CatalogueReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Name of the entry, such as `offers/brief-writer`.
    pub name: EntryName,
    /// Kind of the entry: `customer`, `service`, `model` or `offer`.
    pub kind: String,
    /// Team that is responsible for the entry.
    pub owner: OperatorName,
    /// Revision of the last edit.
    pub revision: Revision,
    /// Operator who made the last edit.
    pub author: OperatorName,
    /// Time of the last edit.
    pub at: WallTime,
}

impl EntrySummary {
    /// Creates the summary of a record; returns `None` for a removal marker.
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

/// Returns an entry's kind as written in its `kind` field.
#[must_use]
pub fn kind(body: &Body) -> &'static str {
    match body {
        Body::Customer(_) => "customer",
        Body::Service(_) => "service",
        Body::Model(_) => "model",
        Body::Offer(_) => "offer",
    }
}

/// An entry whose latest revision is not in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldBack {
    /// Name of the entry.
    pub name: EntryName,
    /// Latest revision, which breaks a rule.
    pub revision: Revision,
    /// Descriptions of the broken rules.
    pub problems: Vec<String>,
}

/// Reply to `GET /catalogue/KIND/NAME`: one entry. Its `ETag` is the revision in quotes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryReply {
    /// Name of the entry.
    pub name: EntryName,
    /// Revision of the last edit.
    pub revision: Revision,
    /// Id of the last edit.
    pub edit_id: EditId,
    /// Operator who made the last edit.
    pub author: OperatorName,
    /// Time of the last edit.
    pub at: WallTime,
    /// Content of the entry; `None` if it was removed.
    pub entry: Option<Arc<Entry>>,
}

impl EntryReply {
    /// Creates the reply for a record.
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

/// Reply to `GET /catalogue/KIND/NAME/history`: edits of one entry, latest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Name of the entry.
    pub name: EntryName,
    /// Edits that are still stored, latest first.
    pub edits: Vec<PastEdit>,
}

impl HistoryReply {
    /// Creates the history of a record, starting with the edit that made it.
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
