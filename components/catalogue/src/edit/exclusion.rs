//! Whether every edit that could be the one asked for is known to be another.

use types::prelude::*;

use crate::edit::snapshot::Reading;
use crate::record::{Catalogue, HISTORY_LENGTH};

/// True when no edit from `first` to the head can be `id`: each revision is known to be
/// another's, or the entry's own history reaches back so far.
///
/// Guards against "not applied" for an edit that landed and was then pushed out of the
/// head's short list and its entry's short history by later edits.
pub(crate) fn all_are_others(
    reading: &Reading,
    catalogue: &Catalogue,
    name: Option<&EntryName>,
    first: Revision,
    id: EditId,
) -> bool {
    if name.is_some_and(|name| history_reaches(reading, name, first)) {
        return true;
    }
    let last = reading.head.head.revision;
    (first.0..=last.0).all(|revision| {
        let revision = Revision(revision);
        let logged = catalogue.change(revision).map(|change| change.edit_id);
        let made_by = reading.change(revision).or(logged);
        made_by.is_some_and(|other| other != id)
    })
}

/// Whether an entry's record, just read, remembers all its edits from `first` on.
fn history_reaches(reading: &Reading, name: &EntryName, first: Revision) -> bool {
    let Some(held) = reading.held(name) else {
        return false;
    };
    let history = &held.record.history;
    let oldest = history
        .last()
        .map_or(held.record.revision, |past| past.revision);
    history.len() < HISTORY_LENGTH || oldest < first
}
