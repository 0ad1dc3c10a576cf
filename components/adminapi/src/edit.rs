//! Edits and what became of them.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// What became of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditState {
    /// In the store, and in force wherever [`EditReply::revision`] is.
    Applied,
    /// Certainly without effect, now and later.
    NotApplied,
    /// Not known yet.
    Unknown,
}

/// Answer to an accepted edit, and `GET /edits/ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditReply {
    /// The edit.
    pub edit_id: EditId,
    /// The entry that it edits, when known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<EntryName>,
    /// What became of it.
    pub state: EditState,
    /// The revision that it made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Why it had no effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
