//! Warnings about upstreams' entries that another program wrote.
//!
//! Such a program may write thousands of entries, or the same one again and again. An entry is
//! reported once for each problem, and few are in a period; the others are counted.

use std::collections::BTreeMap;

use types::prelude::*;

/// Most warnings in one [`PERIOD`].
const MAX_PER_PERIOD: u32 = 8;
/// Period of the bound.
const PERIOD: Span = Span::from_secs(10);
/// Most entries whose problem is remembered. Beyond that, entries are reported again when they are
/// written again.
const MAX_REMEMBERED: usize = 4_096;

/// Decides which problems of entries are logged.
#[derive(Debug, Default)]
pub struct EntryWarnings {
    /// Hash of the last problem of each entry.
    problems: BTreeMap<String, u64>,
    until: Time,
    logged: u32,
    left_out: u64,
}

impl EntryWarnings {
    /// Records a problem of an entry. Returns how many warnings were left out before this one, or
    /// `None` if this one is left out too or was logged already.
    pub fn record(&mut self, now: Time, id: &str, problem: &str) -> Option<u64> {
        let hash = xxhash_rust::xxh3::xxh3_64(problem.as_bytes());
        if self.problems.get(id) == Some(&hash) {
            return None;
        }
        if self.problems.len() < MAX_REMEMBERED || self.problems.contains_key(id) {
            self.problems.insert(id.to_owned(), hash);
        }
        if now >= self.until {
            self.until = now + PERIOD;
            self.logged = 0;
        }
        if self.logged >= MAX_PER_PERIOD {
            self.left_out += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.left_out))
    }

    /// Forgets the problem of an entry that is valid now or gone.
    pub fn forget(&mut self, id: &str) {
        self.problems.remove(id);
    }
}
