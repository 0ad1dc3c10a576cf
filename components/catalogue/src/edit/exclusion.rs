//! Proof that an edit was not applied: every revision it could have made is another edit's.

use types::prelude::*;

use crate::edit::snapshot::Snapshot;
use crate::record::{Catalogue, HISTORY_LENGTH};

/// Whether no edit from `first` to the head can have the id `id`: each revision is known to
/// belong to another edit, or the entry's own history reaches back to `first`.
///
/// Without this check, "not applied" would be reported for an edit that was applied and that
/// later edits pushed out of the head's short list and its entry's short history.
pub(crate) fn is_ruled_out(
    snapshot: &Snapshot,
    catalogue: &Catalogue,
    name: Option<&EntryName>,
    first: Revision,
    id: EditId,
) -> bool {
    if name.is_some_and(|name| history_covers(snapshot, name, first)) {
        return true;
    }
    let last = snapshot.head.head.revision;
    (first.0..=last.0).all(|revision| {
        let revision = Revision(revision);
        let logged = catalogue.change(revision).map(|change| change.edit_id);
        let made_by = snapshot.edit_at(revision).or(logged);
        made_by.is_some_and(|other| other != id)
    })
}

/// Whether the record read for an entry lists all edits of the entry from `first` on.
fn history_covers(snapshot: &Snapshot, name: &EntryName, first: Revision) -> bool {
    let Some(held) = snapshot.held(name) else {
        return false;
    };
    let history = &held.record.history;
    let oldest = history
        .last()
        .map_or(held.record.revision, |past| past.revision);
    history.len() < HISTORY_LENGTH || oldest < first
}
