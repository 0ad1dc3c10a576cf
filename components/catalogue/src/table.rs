//! The catalogue that a daemon holds.
//!
//! Besides the latest record of every entry it knows up to which revision it is
//! complete, and which entries are in force: the latest that keep the rules.

mod rules;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_128;

use crate::entry::Entry;
use crate::head::Change;
use crate::record::{Held, Record, WireRecord};

/// Edits remembered by id, for questions about an edit's fate.
pub const LOG_LENGTH: usize = 4096;

/// A removed entry's marker goes once this many edits followed it: about a week at
/// 27,000 edits a day. Who lags further takes the whole catalogue instead of changes,
/// and what is missing from it is dropped; so no older copy can come back.
pub const MARKER_REVISIONS: u64 = 200_000;

/// The latest record of every entry, and which of them are in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    revision: Revision,
    held: BTreeMap<EntryName, Held>,
    /// Latest edits by revision, those past `revision` too.
    log: BTreeMap<Revision, Change>,
    /// Markers up to here are gone.
    marker_floor: Revision,
    digest: u128,
    in_force: BTreeMap<EntryName, InForce>,
    rejected: BTreeMap<EntryName, Rejected>,
    /// Records replaced since the rules were last applied, where none was in force.
    spare: BTreeMap<EntryName, Held>,
}

/// An entry in force.
#[derive(Debug, Clone, PartialEq)]
struct InForce {
    held: Held,
    entry: Arc<Entry>,
}

/// An entry whose latest record breaks rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rejected {
    /// The revision of the record that breaks them.
    pub revision: Revision,
    /// What is wrong.
    pub problems: Vec<String>,
    /// The revision of the record in force instead, if there is one.
    pub in_force: Option<Revision>,
}

impl Catalogue {
    /// The revision up to which every edit is held.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The highest revision of any record held, later ones than [`Self::revision`] when
    /// some between are missing.
    #[must_use]
    pub fn highest(&self) -> Revision {
        let last = self.log.last_key_value().map(|(revision, _)| *revision);
        last.unwrap_or_default().max(self.revision)
    }

    /// Same on two daemons that hold the same records.
    #[must_use]
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Changes after this revision can be told one by one; before it markers are gone.
    #[must_use]
    pub fn marker_floor(&self) -> Revision {
        self.marker_floor
    }

    /// Takes a record unless one as new is held; says whether it was taken.
    pub fn apply(&mut self, name: EntryName, record: Arc<Record>) -> bool {
        let taken = self.offer(name, Held::new(record));
        self.advance();
        self.settle();
        taken
    }

    /// Takes records together; says whether any was taken. With `complete_to`, no edit
    /// up to that revision is missing.
    pub fn apply_all(
        &mut self,
        records: impl IntoIterator<Item = (EntryName, Held)>,
        complete_to: Option<Revision>,
    ) -> bool {
        let before = self.revision;
        let mut changed = false;
        for (name, held) in records {
            changed |= self.offer(name, held);
        }
        if let Some(revision) = complete_to {
            self.revision = self.revision.max(revision);
        }
        self.advance();
        // Settled as a whole: an offer may come before the model that it names.
        if changed || self.revision != before {
            self.settle();
        }
        changed
    }

    /// Takes records without putting them in force yet, since more are to follow.
    pub fn gather(&mut self, records: impl IntoIterator<Item = (EntryName, Held)>) {
        for (name, held) in records {
            self.offer(name, held);
        }
    }

    /// Ends a transfer of the whole catalogue: entries up to `revision` that it did not
    /// name were removed, and their markers are gone.
    pub fn drop_unnamed(&mut self, named: &BTreeSet<EntryName>, revision: Revision) {
        let gone = self
            .held
            .iter()
            .filter(|(name, held)| held.record.revision <= revision && !named.contains(*name));
        let gone: Vec<EntryName> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone {
            self.forget(&name);
        }
        // Their markers are not held here: whoever lags further takes the whole too.
        self.marker_floor = self.marker_floor.max(revision);
    }

    /// Takes one record unless one as new is held.
    ///
    /// Guards against reverting: a late watch event, a paused peer, a lagging replica or
    /// a restored store offers an older record, which is dropped since its revision is
    /// lower. Where no record is held at all, one at or below the complete revision is
    /// of an entry whose removal marker has gone, and is dropped too.
    fn offer(&mut self, name: EntryName, new: Held) -> bool {
        let rank = new.record.rank();
        let outranked = match self.held.get(&name) {
            Some(held) => held.record.rank() >= rank,
            None => rank.0 <= self.revision,
        };
        if outranked {
            return self.keep_spare(name, new);
        }
        self.remember(&name, &new.record);
        self.digest ^= digest_of(&name, &new.record);
        if let Some(old) = self.held.insert(name.clone(), new) {
            self.digest ^= digest_of(&name, &old.record);
            if !self.in_force.contains_key(&name) {
                self.spare.insert(name, old);
            }
        }
        true
    }

    /// Keeps an older record for an entry whose latest breaks rules and of which nothing
    /// is in force: this daemon started after the bad record came.
    fn keep_spare(&mut self, name: EntryName, old: Held) -> bool {
        let lacks = self
            .rejected
            .get(&name)
            .is_some_and(|rejected| rejected.in_force.is_none());
        let spare = self.spare.get(&name).map(|spare| spare.record.rank());
        let is_wanted = lacks && spare < Some(old.record.rank());
        let is_latest = self
            .held
            .get(&name)
            .is_some_and(|held| held.record == old.record);
        if !is_wanted || is_latest {
            return false;
        }
        self.spare.insert(name, old);
        true
    }

    /// Whether some entry has no good record here.
    #[must_use]
    pub fn lacks_good_records(&self) -> bool {
        self.rejected
            .values()
            .any(|rejected| rejected.in_force.is_none())
    }

    fn forget(&mut self, name: &EntryName) {
        if let Some(old) = self.held.remove(name) {
            self.digest ^= digest_of(name, &old.record);
        }
    }

    /// Notes the edits that a record tells of, its history included: an edit that was
    /// superseded before it came here counts as held.
    fn remember(&mut self, name: &EntryName, record: &Record) {
        let past = record.history.iter();
        let past = past.map(|past| (past.revision, past.edit_id));
        for (revision, edit_id) in std::iter::once(record.rank()).chain(past) {
            self.log.entry(revision).or_insert_with(|| Change {
                revision,
                name: name.clone(),
                edit_id,
            });
        }
        while self.log.len() > LOG_LENGTH {
            self.log.pop_first();
        }
    }

    fn advance(&mut self) {
        while self.log.contains_key(&self.revision.next()) {
            self.revision = self.revision.next();
        }
    }

    /// Drops markers that are due; the same on every daemon at the same revision.
    fn drop_markers(&mut self) {
        let floor = Revision(self.revision.0.saturating_sub(MARKER_REVISIONS));
        let due = self
            .held
            .iter()
            .filter(|(_, held)| held.is_marker() && held.record.revision <= floor);
        let due: Vec<EntryName> = due.map(|(name, _)| name.clone()).collect();
        if !due.is_empty() {
            self.marker_floor = self.marker_floor.max(floor);
        }
        due.iter().for_each(|name| self.forget(name));
    }

    /// The latest record of an entry, a removal marker included.
    #[must_use]
    pub fn record(&self, name: &EntryName) -> Option<&Arc<Record>> {
        self.held.get(name).map(|held| &held.record)
    }

    /// The entry in force.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> Option<&Arc<Entry>> {
        self.in_force.get(name).map(|in_force| &in_force.entry)
    }

    /// All latest records, removal markers included.
    pub fn records(&self) -> impl Iterator<Item = (&EntryName, &Arc<Record>)> {
        self.held.iter().map(|(name, held)| (name, &held.record))
    }

    /// All latest records with their bytes.
    pub(crate) fn held(&self) -> impl Iterator<Item = (&EntryName, &Held)> {
        self.held.iter()
    }

    /// All entries in force.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryName, &Arc<Entry>)> {
        let in_force = self.in_force.iter();
        in_force.map(|(name, in_force)| (name, &in_force.entry))
    }

    /// Entries whose latest record breaks rules, with what is in force instead.
    #[must_use]
    pub fn rejected(&self) -> &BTreeMap<EntryName, Rejected> {
        &self.rejected
    }

    /// The edit that made a revision, if it is remembered.
    #[must_use]
    pub fn change(&self, revision: Revision) -> Option<&Change> {
        self.log.get(&revision)
    }

    /// The revision that an edit made, if it is remembered.
    #[must_use]
    pub fn revision_of(&self, id: EditId) -> Option<Revision> {
        let logged = self.log.values().find(|change| change.edit_id == id);
        logged.map(|change| change.revision).or_else(|| {
            let mut records = self.held.values();
            records.find_map(|held| held.record.revision_of(id))
        })
    }

    /// Records after a revision in the order of their revisions. Where a latest record
    /// breaks rules, the one in force comes too, so that a daemon that starts late has
    /// something to serve.
    pub fn since(&self, after: Revision) -> impl Iterator<Item = (Revision, WireRecord)> + use<> {
        let held = self
            .held
            .iter()
            .filter(|(_, held)| held.record.revision > after);
        let held = held.map(|(name, held)| (held.record.revision, wire(name, held)));
        let kept = self.rejected.keys().filter_map(|name| {
            let in_force = &self.in_force.get(name)?.held;
            let revision = in_force.record.revision;
            (revision > after && self.record(name)?.revision != revision)
                .then(|| (revision, wire(name, in_force)))
        });
        let mut all: Vec<(Revision, WireRecord)> = held.chain(kept).collect();
        all.sort_by_key(|(revision, _)| *revision);
        all.into_iter()
    }
}

fn wire(name: &EntryName, held: &Held) -> WireRecord {
    WireRecord {
        name: name.clone(),
        json: held.json.clone(),
    }
}

fn digest_of(name: &EntryName, record: &Record) -> u128 {
    let text = format!("{name}\0{}\0{}", record.revision, record.edit_id);
    xxh3_128(text.as_bytes())
}
