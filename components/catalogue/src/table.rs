//! The catalogue that a daemon holds.
//!
//! It consists of the latest record of every entry, the revision up to which no edit is
//! missing, and the entries in force: the latest version of each that keeps the rules.

mod rules;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_128;

use crate::entry::Entry;
use crate::head::Change;
use crate::record::{EncodedRecord, Record, WireRecord};

/// Number of edits whose ids are remembered, for queries about the outcome of an edit.
pub const LOG_LENGTH: usize = 4096;

/// Number of later edits after which a removed entry's tombstone is dropped: about a week at
/// 27,000 edits a day. A daemon that lags further receives the whole catalogue instead of
/// changes and drops what is missing from it, so no older copy can reappear.
pub const TOMBSTONE_REVISIONS: u64 = 200_000;

/// The latest record of every entry, and the entries in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    revision: Revision,
    latest: BTreeMap<EntryName, EncodedRecord>,
    /// Latest edits by revision, those past the complete revision included.
    log: BTreeMap<Revision, Change>,
    /// Revision up to which tombstones may have been dropped.
    tombstone_floor: Revision,
    digest: u128,
    in_force: BTreeMap<EntryName, InForce>,
    rejected: BTreeMap<EntryName, Rejected>,
    /// Older records of entries of which none is in force, kept until the rules are next applied.
    fallbacks: BTreeMap<EntryName, EncodedRecord>,
}

/// An entry in force and its record.
#[derive(Debug, Clone, PartialEq)]
struct InForce {
    held: EncodedRecord,
    entry: Arc<Entry>,
}

/// The rejection of an entry's latest record, which breaks rules or cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rejected {
    /// Revision of the rejected record.
    pub revision: Revision,
    /// The problems found.
    pub problems: Vec<String>,
    /// Revision of the record in force instead, if any.
    pub in_force: Option<Revision>,
}

impl Catalogue {
    /// Returns the complete revision: the one up to which every edit is held.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the highest revision of any edit held. It exceeds [`Self::revision`] when edits
    /// in between are missing.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        let last = self.log.last_key_value().map(|(revision, _)| *revision);
        last.unwrap_or_default().max(self.revision)
    }

    /// Returns a digest of the records; equal on two daemons that hold the same ones.
    #[must_use]
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Returns the revision up to which tombstones may have been dropped. Changes after it can
    /// be sent record by record.
    #[must_use]
    pub fn tombstone_floor(&self) -> Revision {
        self.tombstone_floor
    }

    /// Applies a record unless one at least as new is held; returns whether it was applied.
    pub fn apply(&mut self, name: EntryName, record: Arc<Record>) -> bool {
        let applied = self.insert_if_newer(name, EncodedRecord::new(record));
        self.advance_revision();
        self.apply_rules();
        applied
    }

    /// Applies records together; returns whether any was applied. `complete_to` states that no
    /// edit up to that revision is missing afterwards.
    pub fn apply_all(
        &mut self,
        records: impl IntoIterator<Item = (EntryName, EncodedRecord)>,
        complete_to: Option<Revision>,
    ) -> bool {
        let before = self.revision;
        let mut changed = false;
        for (name, held) in records {
            changed |= self.insert_if_newer(name, held);
        }
        if let Some(revision) = complete_to {
            self.revision = self.revision.max(revision);
        }
        self.advance_revision();
        // Rules are applied after all records, since an offer may precede the model it names.
        if changed || self.revision != before {
            self.apply_rules();
        }
        changed
    }

    /// Stores records of a transfer without putting them in force; more are to follow.
    pub fn apply_partial(&mut self, records: impl IntoIterator<Item = (EntryName, EncodedRecord)>) {
        for (name, held) in records {
            self.insert_if_newer(name, held);
        }
    }

    /// Completes a transfer of the whole catalogue. Entries up to `revision` that are not among
    /// those received were removed, and their tombstones are gone.
    pub fn remove_missing(&mut self, received: &BTreeSet<EntryName>, revision: Revision) {
        let removed = self
            .latest
            .iter()
            .filter(|(name, held)| held.record.revision <= revision && !received.contains(*name));
        let removed: Vec<EntryName> = removed.map(|(name, _)| name.clone()).collect();
        for name in removed {
            self.drop_record(&name);
        }
        // Without these tombstones, this daemon must send the whole catalogue to daemons that
        // lag further.
        self.tombstone_floor = self.tombstone_floor.max(revision);
    }

    /// Inserts one record unless one at least as new is held.
    ///
    /// This keeps entries from being reverted: an older record from a late watch event, a paused
    /// peer, a lagging replica or a restored store is dropped because its revision is lower.
    /// If no record is held at all, one at or below the complete revision belongs to an entry
    /// whose tombstone has been dropped, and is dropped too.
    fn insert_if_newer(&mut self, name: EntryName, new: EncodedRecord) -> bool {
        let rank = new.record.rank();
        let is_outranked = match self.latest.get(&name) {
            Some(held) => held.record.rank() >= rank,
            None => rank.0 <= self.revision,
        };
        if is_outranked {
            return self.keep_fallback(name, new);
        }
        self.log_edits(&name, &new.record);
        self.digest ^= record_digest(&name, &new.record);
        if let Some(old) = self.latest.insert(name.clone(), new) {
            self.digest ^= record_digest(&name, &old.record);
            if !self.in_force.contains_key(&name) {
                self.fallbacks.insert(name, old);
            }
        }
        true
    }

    /// Keeps an older record of an entry whose latest record was rejected while none is in force.
    /// This happens when the daemon started after the bad record was written.
    fn keep_fallback(&mut self, name: EntryName, old: EncodedRecord) -> bool {
        let has_none_in_force = self
            .rejected
            .get(&name)
            .is_some_and(|rejected| rejected.in_force.is_none());
        let fallback = self.fallbacks.get(&name).map(|held| held.record.rank());
        let is_wanted = has_none_in_force && fallback < Some(old.record.rank());
        let is_latest = self
            .latest
            .get(&name)
            .is_some_and(|held| held.record == old.record);
        if !is_wanted || is_latest {
            return false;
        }
        self.fallbacks.insert(name, old);
        true
    }

    /// Whether the latest record of some entry was rejected and none is in force instead.
    #[must_use]
    pub fn lacks_valid_records(&self) -> bool {
        self.rejected
            .values()
            .any(|rejected| rejected.in_force.is_none())
    }

    fn drop_record(&mut self, name: &EntryName) {
        if let Some(old) = self.latest.remove(name) {
            self.digest ^= record_digest(name, &old.record);
        }
    }

    /// Logs the edits that a record lists, its history included: an edit that was superseded
    /// before its record arrived counts as held.
    fn log_edits(&mut self, name: &EntryName, record: &Record) {
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

    fn advance_revision(&mut self) {
        while self.log.contains_key(&self.revision.next()) {
            self.revision = self.revision.next();
        }
    }

    /// Drops tombstones that are old enough; the same ones on every daemon at the same revision.
    fn drop_tombstones(&mut self) {
        let floor = Revision(self.revision.0.saturating_sub(TOMBSTONE_REVISIONS));
        let due = self
            .latest
            .iter()
            .filter(|(_, held)| held.is_tombstone() && held.record.revision <= floor);
        let due: Vec<EntryName> = due.map(|(name, _)| name.clone()).collect();
        if !due.is_empty() {
            self.tombstone_floor = self.tombstone_floor.max(floor);
        }
        due.iter().for_each(|name| self.drop_record(name));
    }

    /// Returns the latest record of an entry, which may be a tombstone.
    #[must_use]
    pub fn record(&self, name: &EntryName) -> Option<&Arc<Record>> {
        self.latest.get(name).map(|held| &held.record)
    }

    /// Returns an entry as it is in force.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> Option<&Arc<Entry>> {
        self.in_force.get(name).map(|in_force| &in_force.entry)
    }

    /// Iterates over the latest records, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&EntryName, &Arc<Record>)> {
        self.latest.iter().map(|(name, held)| (name, &held.record))
    }

    /// Iterates over the latest records with their bytes.
    pub(crate) fn latest(&self) -> impl Iterator<Item = (&EntryName, &EncodedRecord)> {
        self.latest.iter()
    }

    /// Iterates over the entries in force.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryName, &Arc<Entry>)> {
        let in_force = self.in_force.iter();
        in_force.map(|(name, in_force)| (name, &in_force.entry))
    }

    /// Returns the entries whose latest record was rejected, and why.
    #[must_use]
    pub fn rejected(&self) -> &BTreeMap<EntryName, Rejected> {
        &self.rejected
    }

    /// Returns the edit that made a revision, if it is remembered.
    #[must_use]
    pub fn change(&self, revision: Revision) -> Option<&Change> {
        self.log.get(&revision)
    }

    /// Returns the revision that an edit made, if it is remembered.
    #[must_use]
    pub fn revision_of(&self, id: EditId) -> Option<Revision> {
        let logged = self.log.values().find(|change| change.edit_id == id);
        logged.map(|change| change.revision).or_else(|| {
            let mut records = self.latest.values();
            records.find_map(|held| held.record.revision_of(id))
        })
    }

    /// Iterates over the records after a revision in the order of their revisions. Where the
    /// latest record was rejected, the one in force is included, so that a daemon that starts
    /// later has a valid one to serve.
    pub fn since(&self, after: Revision) -> impl Iterator<Item = (Revision, WireRecord)> + use<> {
        let held = self
            .latest
            .iter()
            .filter(|(_, held)| held.record.revision > after);
        let held = held.map(|(name, held)| (held.record.revision, wire_record(name, held)));
        let fallbacks = self.rejected.keys().filter_map(|name| {
            let in_force = &self.in_force.get(name)?.held;
            let revision = in_force.record.revision;
            (revision > after && self.record(name)?.revision != revision)
                .then(|| (revision, wire_record(name, in_force)))
        });
        let mut all: Vec<(Revision, WireRecord)> = held.chain(fallbacks).collect();
        all.sort_by_key(|(revision, _)| *revision);
        all.into_iter()
    }
}

fn wire_record(name: &EntryName, held: &EncodedRecord) -> WireRecord {
    WireRecord {
        name: name.clone(),
        json: held.json.clone(),
    }
}

fn record_digest(name: &EntryName, record: &Record) -> u128 {
    let text = format!("{name}\0{}\0{}", record.revision, record.edit_id);
    xxh3_128(text.as_bytes())
}
