//! A proposal judged against what stands: conflicts and rules.

use std::collections::BTreeSet;
use std::sync::Arc;

use types::prelude::*;

use crate::check::{self, Entries, Problem};
use crate::diff;
use crate::edit::snapshot::Reading;
use crate::edit::{IfMatch, Proposal, Verdict};
use crate::record::Catalogue;

/// Other entries changed since this daemon's revision; nothing when the head does not
/// name them all.
pub(crate) fn changed(
    proposal: &Proposal,
    reading: &Reading,
    catalogue: &Catalogue,
) -> Option<Vec<EntryName>> {
    let changes = reading.head.head.since(catalogue.revision())?;
    let names = changes.iter().map(|change| &change.name);
    let others = names.filter(|name| **name != proposal.name);
    let others: BTreeSet<EntryName> = others.cloned().collect();
    Some(others.into_iter().collect())
}

/// The verdict when something else stands than the operator saw.
pub(crate) fn conflict(proposal: &Proposal, reading: &Reading) -> Option<Verdict> {
    let held = reading.held(&proposal.name);
    let standing = held.filter(|held| !held.is_marker());
    let standing = standing.map(|held| &held.record);
    let matches = match proposal.if_match {
        IfMatch::Absent => standing.is_none() && proposal.entry.is_some(),
        IfMatch::Revision(seen) => standing.is_some_and(|record| record.revision == seen),
    };
    if matches {
        return None;
    }
    let entry = standing.and_then(|record| record.entry.as_deref());
    Some(Verdict::Conflict {
        standing: standing.map_or(Revision(0), |record| record.revision),
        author: standing.map(|record| record.author.clone()),
        differences: diff::between(entry, proposal.entry.as_deref()),
    })
}

/// Problems of the proposed entry, and those that it brings to others. What was wrong
/// with others before does not stand in the way.
pub(crate) fn problems(
    proposal: &Proposal,
    reading: &Reading,
    catalogue: &Catalogue,
) -> Vec<Problem> {
    let name = &proposal.name;
    let own = proposal.entry.iter();
    let mut problems: Vec<Problem> = own.flat_map(|entry| check::alone(name, entry)).collect();
    problems.extend(check::across(&resulting(proposal, reading, catalogue)));
    if problems.iter().any(|problem| problem.entry != *name) {
        let before = check::across(&standing(reading, catalogue));
        problems.retain(|problem| problem.entry == *name || !before.contains(problem));
    }
    problems
}

/// The entries as they would stand, the proposal's with the next revision.
fn resulting(proposal: &Proposal, reading: &Reading, catalogue: &Catalogue) -> Entries {
    let mut entries = standing(reading, catalogue);
    let name = &proposal.name;
    match &proposal.entry {
        Some(entry) => {
            let revision = reading.head.head.revision.next();
            entries.insert(name.clone(), (revision, entry.clone()));
        }
        None => {
            entries.remove(name);
        }
    }
    entries
}

/// The entries in force with those just read.
fn standing(reading: &Reading, catalogue: &Catalogue) -> Entries {
    let known = catalogue.entries().map(|(name, entry)| {
        let revision = catalogue.record(name).map_or(Revision(0), |r| r.revision);
        (name.clone(), (revision, Arc::clone(entry)))
    });
    let mut entries: Entries = known.collect();
    for (name, (_, held)) in &reading.entries {
        match &held.record.entry {
            Some(entry) => {
                entries.insert(name.clone(), (held.record.revision, entry.clone()));
            }
            None if held.is_marker() => {
                entries.remove(name);
            }
            None => {}
        }
    }
    entries
}
