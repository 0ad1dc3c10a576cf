//! Selection of the entries in force.
//!
//! An invalid entry neither stops a daemon nor affects valid ones: the entry's last valid
//! record stays in force, and the state dump reports the rejection.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::prelude::*;

use crate::check::{self, Entries, Problem};
use crate::record::EncodedRecord;
use crate::table::{Catalogue, InForce, Rejected};

/// The record selected for each entry.
type Selection = BTreeMap<EntryName, InForce>;

impl Catalogue {
    /// Applies the rules to all latest records and updates the entries in force.
    pub(super) fn apply_rules(&mut self) {
        self.drop_tombstones();
        let mut problems = BTreeMap::new();
        let mut selection = self.select_valid_alone(&mut problems);
        self.select_valid_across(&mut selection, &mut problems);
        let rejected = self.latest.iter().filter_map(|(name, held)| {
            let problems = problems.remove(name)?;
            let rejected = Rejected {
                revision: held.record.revision,
                problems,
                in_force: selection
                    .get(name)
                    .map(|selected| selected.held.record.revision),
            };
            Some((name.clone(), rejected))
        });
        self.rejected = rejected.collect();
        self.in_force = selection;
        self.fallbacks.clear();
    }

    /// Selects for each entry its latest record, or its last valid one if the latest breaks a
    /// rule of a single entry.
    fn select_valid_alone(&self, problems: &mut BTreeMap<EntryName, Vec<String>>) -> Selection {
        let mut selection = Selection::new();
        for (name, held) in &self.latest {
            if held.is_tombstone() {
                continue;
            }
            match self.validate(name, held) {
                Ok(in_force) => {
                    selection.insert(name.clone(), in_force);
                }
                Err(found) => {
                    problems.insert(name.clone(), found);
                    self.select_last_valid(name, &mut selection);
                }
            }
        }
        selection
    }

    fn validate(&self, name: &EntryName, held: &EncodedRecord) -> Result<InForce, Vec<String>> {
        let Some(entry) = &held.record.entry else {
            let message = held.unreadable.clone().unwrap_or_default();
            return Err(vec![format!("cannot be read: {message}")]);
        };
        // The entry was already checked when it was put in force.
        let known = self.in_force.get(name);
        if let Some(known) = known.filter(|known| Arc::ptr_eq(&known.entry, entry)) {
            return Ok(known.clone());
        }
        let found = check::alone(name, entry);
        if found.is_empty() {
            let (held, entry) = (held.clone(), entry.clone());
            return Ok(InForce { held, entry });
        }
        Err(found.iter().map(ToString::to_string).collect())
    }

    /// Selects the last valid record of an entry, or removes the entry from the selection.
    fn select_last_valid(&self, name: &EntryName, selection: &mut Selection) {
        let fallback = self.fallbacks.get(name);
        let fallback = fallback.and_then(|held| self.validate(name, held).ok());
        match self.in_force.get(name).cloned().or(fallback) {
            Some(last) => selection.insert(name.clone(), last),
            None => selection.remove(name),
        };
    }

    /// Reverts entries that break rules across entries until only problems of entries remain
    /// that were in force before. Each round reverts at least one entry, so the loop ends.
    fn select_valid_across(
        &self,
        selection: &mut Selection,
        problems: &mut BTreeMap<EntryName, Vec<String>>,
    ) {
        loop {
            let found = check::across(&entries_of(selection));
            let mut any_reverted = false;
            for (name, found) in texts_by_entry(found) {
                any_reverted |= self.revert(&name, selection);
                problems.entry(name).or_insert(found);
            }
            if !any_reverted {
                return;
            }
        }
    }

    /// Replaces the selected record of an entry with the last valid one, or removes the entry.
    /// Returns false if nothing is selected or the record is already in force.
    fn revert(&self, name: &EntryName, selection: &mut Selection) -> bool {
        let before = selection
            .get(name)
            .map(|selected| selected.held.record.rank());
        let last = self.in_force.get(name).map(|last| last.held.record.rank());
        if before.is_none() || before == last {
            return false;
        }
        let mut replacement = Selection::new();
        self.select_last_valid(name, &mut replacement);
        match replacement.remove(name) {
            Some(other) if Some(other.held.record.rank()) != before => {
                selection.insert(name.clone(), other);
            }
            _ => {
                selection.remove(name);
            }
        }
        true
    }
}

fn entries_of(selection: &Selection) -> Entries {
    let entries = selection.iter().map(|(name, selected)| {
        let revision = selected.held.record.revision;
        (name.clone(), (revision, selected.entry.clone()))
    });
    entries.collect()
}

fn texts_by_entry(found: Vec<Problem>) -> BTreeMap<EntryName, Vec<String>> {
    let mut by_entry: BTreeMap<EntryName, Vec<String>> = BTreeMap::new();
    for problem in found {
        let texts = by_entry.entry(problem.entry.clone()).or_default();
        texts.push(problem.to_string());
    }
    by_entry
}
