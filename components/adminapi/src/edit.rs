//! Replies about edits and their outcomes.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Outcome of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditState {
    /// Written to the store, and in force at every daemon that has reached [`EditReply::revision`].
    Applied,
    /// Had no effect and will have none.
    NotApplied,
    /// Outcome not known yet.
    Unknown,
}

/// Reply to an accepted edit and to `GET /edits/ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditReply {
    /// Id of the edit.
    pub edit_id: EditId,
    /// Name of the edited entry, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<EntryName>,
    /// Outcome of the edit.
    pub state: EditState,
    /// Revision that the edit created, if it was applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Why the edit was not applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
