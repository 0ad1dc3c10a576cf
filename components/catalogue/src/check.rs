//! Validation rules for single entries and across entries.
//!
//! They are checked when an operator proposes an edit, against the whole catalogue as it
//! would become, and again by every daemon when a record arrives: the record may come from
//! a daemon of another release or have been written to the store by hand.

mod across;
mod alone;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use types::prelude::*;

use crate::entry::Entry;

pub use crate::check::alone::{
    MAX_CANDIDATES, MAX_CUSTOMERS, MAX_KEYS, MAX_STEPS, MAX_UPSTREAMS, MAX_VERSIONS,
};

/// Largest number of entries in a catalogue.
pub const MAX_ENTRIES: usize = 4096;

/// Largest size of an entry's record, its history included. The store accepts a megabyte, a
/// message between daemons less, and every edit of an entry is sent to every daemon.
pub const MAX_ENTRY_SIZE: ByteSize = ByteSize(128 << 10);

/// A broken rule: the entry and key at fault, what was found and what is expected.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Name of the entry at fault.
    pub entry: EntryName,
    /// Key within the entry, such as `upstreams[2].slots`; empty for the whole entry.
    pub key: String,
    /// The value or state found at the key.
    pub found: String,
    /// What the rule expects there.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dot = if self.key.is_empty() { "" } else { ": " };
        let Self {
            entry,
            key,
            found,
            expected,
        } = self;
        write!(f, "{entry}{dot}{key}: {found}; expected {expected}")
    }
}

/// Entries by name, with the revision at which each was last changed.
pub type Entries = BTreeMap<EntryName, (Revision, Arc<Entry>)>;

/// Returns the problems of a single entry.
#[must_use]
pub fn alone(name: &EntryName, entry: &Entry) -> Vec<Problem> {
    alone::check(name, entry)
}

/// Returns the problems across entries. Of two entries that use the same id or key, the one
/// edited later is at fault.
#[must_use]
pub fn across(entries: &Entries) -> Vec<Problem> {
    across::check(entries)
}

/// Returns all problems of a set of entries.
#[must_use]
pub fn all(entries: &Entries) -> Vec<Problem> {
    let each = entries
        .iter()
        .flat_map(|(name, (_, entry))| alone(name, entry));
    let mut problems: Vec<Problem> = each.collect();
    problems.extend(across(entries));
    problems
}

/// Collects the problems of one entry.
struct Checker<'a> {
    entry: &'a EntryName,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    fn new(entry: &'a EntryName) -> Self {
        Self {
            entry,
            problems: Vec::new(),
        }
    }

    /// Adds a problem unless `holds`.
    fn require(
        &mut self,
        holds: bool,
        key: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        if !holds {
            self.problems.push(Problem {
                entry: self.entry.clone(),
                key: key.into(),
                found: found.into(),
                expected: expected.into(),
            });
        }
    }
}
