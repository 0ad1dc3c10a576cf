//! Rules that entries keep, each alone and all together.
//!
//! Checked when an operator edits, against the whole catalogue as it would become,
//! and again by every daemon when a record arrives: a record may come from a daemon
//! of another release or from a hand that wrote to the store directly.

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

/// Most entries of a catalogue.
pub const MAX_ENTRIES: usize = 4096;

/// Longest record of an entry, its history included. The store takes a megabyte, one
/// message between daemons less, and every edit of an entry goes to every daemon.
pub const MAX_ENTRY_SIZE: ByteSize = ByteSize(128 << 10);

/// What is wrong with an entry, where, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// The entry.
    pub entry: EntryName,
    /// The key inside it, such as `upstreams[2].slots`; empty for the whole entry.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What would be right.
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

/// Entries with the revision that each was last changed at.
pub type Entries = BTreeMap<EntryName, (Revision, Arc<Entry>)>;

/// Problems of one entry by itself.
#[must_use]
pub fn alone(name: &EntryName, entry: &Entry) -> Vec<Problem> {
    alone::check(name, entry)
}

/// Problems of entries with one another. Of two that claim the same id or key, the
/// later edit is the one at fault.
#[must_use]
pub fn across(entries: &Entries) -> Vec<Problem> {
    across::check(entries)
}

/// All problems of a set of entries.
#[must_use]
pub fn all(entries: &Entries) -> Vec<Problem> {
    let each = entries
        .iter()
        .flat_map(|(name, (_, entry))| alone(name, entry));
    let mut problems: Vec<Problem> = each.collect();
    problems.extend(across(entries));
    problems
}

/// Gathers the problems of one entry.
struct Report<'a> {
    entry: &'a EntryName,
    problems: Vec<Problem>,
}

impl<'a> Report<'a> {
    fn new(entry: &'a EntryName) -> Self {
        Self {
            entry,
            problems: Vec::new(),
        }
    }

    /// Notes a problem unless `holds`.
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
