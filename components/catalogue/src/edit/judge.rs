//! Checks of a proposal against the current entries: preconditions and rules.

use std::collections::BTreeSet;
use std::sync::Arc;

use types::prelude::*;

use crate::check::{self, Entries, Problem};
use crate::diff;
use crate::edit::snapshot::Snapshot;
use crate::edit::{IfMatch, Proposal, Verdict};
use crate::record::Catalogue;

/// Returns the other entries changed since this daemon's revision; `None` when the head does
/// not list all of these edits.
pub(crate) fn changed_entries(
    proposal: &Proposal,
    snapshot: &Snapshot,
    catalogue: &Catalogue,
) -> Option<Vec<EntryName>> {
    let changes = snapshot.head.head.since(catalogue.revision())?;
    let names = changes.iter().map(|change| &change.name);
    let others = names.filter(|name| **name != proposal.name);
    let others: BTreeSet<EntryName> = others.cloned().collect();
    Some(others.into_iter().collect())
}

/// Returns the verdict when the proposal's precondition does not hold.
pub(crate) fn conflict(proposal: &Proposal, snapshot: &Snapshot) -> Option<Verdict> {
    let held = snapshot.held(&proposal.name);
    let current = held.filter(|held| !held.is_tombstone());
    let current = current.map(|held| &held.record);
    let matches = match proposal.if_match {
        IfMatch::Absent => current.is_none() && proposal.entry.is_some(),
        IfMatch::Revision(seen) => current.is_some_and(|record| record.revision == seen),
    };
    if matches {
        return None;
    }
    let entry = current.and_then(|record| record.entry.as_deref());
    Some(Verdict::Conflict {
        standing: current.map_or(Revision(0), |record| record.revision),
        author: current.map(|record| record.author.clone()),
        differences: diff::between(entry, proposal.entry.as_deref()),
    })
}

/// Returns the problems of the proposed entry and those that it causes in other entries.
/// Problems that other entries had before do not block the edit.
pub(crate) fn problems(
    proposal: &Proposal,
    snapshot: &Snapshot,
    catalogue: &Catalogue,
) -> Vec<Problem> {
    let name = &proposal.name;
    let own = proposal.entry.iter();
    let mut problems: Vec<Problem> = own.flat_map(|entry| check::alone(name, entry)).collect();
    problems.extend(check::across(&entries_after(proposal, snapshot, catalogue)));
    if problems.iter().any(|problem| problem.entry != *name) {
        let before = check::across(&entries_before(snapshot, catalogue));
        problems.retain(|problem| problem.entry == *name || !before.contains(problem));
    }
    problems
}

/// Returns the entries as the proposal would leave them, its own at the next revision.
fn entries_after(proposal: &Proposal, snapshot: &Snapshot, catalogue: &Catalogue) -> Entries {
    let mut entries = entries_before(snapshot, catalogue);
    let name = &proposal.name;
    match &proposal.entry {
        Some(entry) => {
            let revision = snapshot.head.head.revision.next();
            entries.insert(name.clone(), (revision, entry.clone()));
        }
        None => {
            entries.remove(name);
        }
    }
    entries
}

/// Returns the entries in force, updated with those just read.
fn entries_before(snapshot: &Snapshot, catalogue: &Catalogue) -> Entries {
    let in_force = catalogue.entries().map(|(name, entry)| {
        let revision = catalogue.record(name).map_or(Revision(0), |r| r.revision);
        (name.clone(), (revision, Arc::clone(entry)))
    });
    let mut entries: Entries = in_force.collect();
    for (name, (_, held)) in &snapshot.entries {
        match &held.record.entry {
            Some(entry) => {
                entries.insert(name.clone(), (held.record.revision, entry.clone()));
            }
            None if held.is_tombstone() => {
                entries.remove(name);
            }
            None => {}
        }
    }
    entries
}
