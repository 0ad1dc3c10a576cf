//! Which entries are in force.
//!
//! A bad entry never stops a daemon nor drags others down: the last good one of that
//! entry stays in force, and the dump says so.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::prelude::*;

use crate::check::{self, Entries, Problem};
use crate::record::Held;
use crate::table::{Catalogue, InForce, Rejected};

/// What each entry would be in force as.
type Chosen = BTreeMap<EntryName, InForce>;

impl Catalogue {
    /// Applies the rules to all latest records.
    pub(super) fn settle(&mut self) {
        self.drop_markers();
        let mut problems = BTreeMap::new();
        let mut chosen = self.choose_alone(&mut problems);
        self.choose_across(&mut chosen, &mut problems);
        let rejected = self.held.iter().filter_map(|(name, held)| {
            let problems = problems.remove(name)?;
            let rejected = Rejected {
                revision: held.record.revision,
                problems,
                in_force: chosen.get(name).map(|c| c.held.record.revision),
            };
            Some((name.clone(), rejected))
        });
        self.rejected = rejected.collect();
        self.in_force = chosen;
        self.spare.clear();
    }

    /// The latest record of each entry that keeps the rules of its own.
    fn choose_alone(&self, problems: &mut BTreeMap<EntryName, Vec<String>>) -> Chosen {
        let mut chosen = Chosen::new();
        for (name, held) in &self.held {
            if held.is_marker() {
                continue;
            }
            match self.good(name, held) {
                Ok(in_force) => {
                    chosen.insert(name.clone(), in_force);
                }
                Err(found) => {
                    problems.insert(name.clone(), found);
                    self.fall_back(name, &mut chosen);
                }
            }
        }
        chosen
    }

    fn good(&self, name: &EntryName, held: &Held) -> Result<InForce, Vec<String>> {
        let Some(entry) = &held.record.entry else {
            let message = held.unreadable.clone().unwrap_or_default();
            return Err(vec![format!("cannot be read: {message}")]);
        };
        // Already checked when it came into force.
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

    /// Puts the last good record of an entry in force, or takes the entry out.
    fn fall_back(&self, name: &EntryName, chosen: &mut Chosen) {
        let spare = self.spare.get(name);
        let spare = spare.and_then(|held| self.good(name, held).ok());
        match self.in_force.get(name).cloned().or(spare) {
            Some(last) => chosen.insert(name.clone(), last),
            None => chosen.remove(name),
        };
    }

    /// Replaces entries that break rules with others until none but those that were in
    /// force before are left. Each round moves at least one entry back, so it ends.
    fn choose_across(&self, chosen: &mut Chosen, problems: &mut BTreeMap<EntryName, Vec<String>>) {
        loop {
            let found = check::across(&entries_of(chosen));
            let mut moved = false;
            for (name, found) in by_entry(found) {
                moved |= self.move_back(&name, chosen);
                problems.entry(name).or_insert(found);
            }
            if !moved {
                return;
            }
        }
    }

    fn move_back(&self, name: &EntryName, chosen: &mut Chosen) -> bool {
        let before = chosen.get(name).map(|chosen| chosen.held.record.rank());
        let last = self.in_force.get(name).map(|last| last.held.record.rank());
        if before.is_none() || before == last {
            return false;
        }
        let mut spare = Chosen::new();
        self.fall_back(name, &mut spare);
        match spare.remove(name) {
            Some(other) if Some(other.held.record.rank()) != before => {
                chosen.insert(name.clone(), other);
            }
            _ => {
                chosen.remove(name);
            }
        }
        true
    }
}

fn entries_of(chosen: &Chosen) -> Entries {
    let entries = chosen.iter().map(|(name, chosen)| {
        let revision = chosen.held.record.revision;
        (name.clone(), (revision, chosen.entry.clone()))
    });
    entries.collect()
}

fn by_entry(found: Vec<Problem>) -> BTreeMap<EntryName, Vec<String>> {
    let mut by_entry: BTreeMap<EntryName, Vec<String>> = BTreeMap::new();
    for problem in found {
        let texts = by_entry.entry(problem.entry.clone()).or_default();
        texts.push(problem.to_string());
    }
    by_entry
}
