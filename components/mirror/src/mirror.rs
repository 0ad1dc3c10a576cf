//! The store's keys as of one revision, with a log of the latest changes.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::ops::Bound;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Most changes in the log, which serves peers that lag. An entry holds only key and revision, and
/// the current value is sent, so many writes of a large configuration take no memory. A worker
/// causes about four changes from its start to its exit, so the log covers the replacement of a few
/// hundred workers; a peer that lags further gets a listing.
const MAX_LOG_ENTRIES: usize = 1_024;

/// The store's revision counter, which every change increases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the change.
    pub revision: Revision,
    /// The changed key.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// A listing of all keys, read page by page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The store's revision before the first page; later changes may be missing.
    pub at: Revision,
    /// Every key with its value, in order of the keys.
    pub items: Vec<Change>,
}

/// Changes are missing between the mirror's revision and the received changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes after revision {after} do not connect to revision {held}")]
pub struct GapError {
    /// Revision after which the received changes begin.
    pub after: Revision,
    /// The mirror's revision.
    pub held: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Item {
    revision: Revision,
    value: Bytes,
}

/// The store's keys as of one revision, with a log of the latest changes.
#[derive(Debug, Default)]
pub struct Mirror {
    at: Revision,
    items: BTreeMap<String, Item>,
    log: VecDeque<(Revision, String)>,
    /// Revision after which the log holds every change.
    log_after: Revision,
}

impl Mirror {
    /// Revision up to which no change is missing; 0 before the first listing.
    #[must_use]
    pub fn at(&self) -> Revision {
        self.at
    }

    /// Whether the mirror has a first copy of the keys.
    #[must_use]
    pub fn is_filled(&self) -> bool {
        self.at > Revision::default()
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The value of a key and the revision of its last change.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(Revision, &Bytes)> {
        self.items.get(key).map(|item| (item.revision, &item.value))
    }

    /// Keys that begin with `prefix`, with revision and value, in order of the keys.
    pub fn prefixed<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, Revision, &'a Bytes)> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.as_str(), item.revision, &item.value))
    }

    /// Applies the changes after one revision up to another and returns those that were new.
    ///
    /// # Errors
    /// If there is a gap before the changes. A listing closes it.
    pub fn apply(
        &mut self,
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
    ) -> Result<Vec<Change>, GapError> {
        if after > self.at {
            return Err(GapError {
                after,
                held: self.at,
            });
        }
        let mut new_changes = Vec::new();
        for change in changes {
            // A watch that lags behind a peer delivers superseded changes, by which a deleted key
            // would come back.
            if change.revision <= self.at {
                continue;
            }
            self.log(&change);
            // A later page of a listing may hold changes newer than the listing's revision.
            let held = self.items.get(&change.key).map(|held| held.revision);
            if held.is_none_or(|held| held < change.revision) {
                self.set(&change);
                new_changes.push(change);
            }
        }
        self.at = self.at.max(at);
        Ok(new_changes)
    }

    /// Applies a listing and returns the resulting changes. A listing that is not newer than the
    /// mirror changes nothing.
    pub fn take_listing(&mut self, listing: Listing) -> Vec<Change> {
        if self.is_filled() && listing.at <= self.at {
            return Vec::new();
        }
        let mut new_changes = Vec::new();
        let is_listed = |key: &String| {
            let found = listing.items.binary_search_by(|item| item.key.cmp(key));
            found.is_ok()
        };
        for key in self.items.keys().filter(|key| !is_listed(key)) {
            new_changes.push(Change {
                revision: listing.at,
                key: key.clone(),
                value: None,
            });
        }
        for item in &listing.items {
            let held = self.items.get(&item.key).map(|held| held.revision);
            if held.is_none_or(|held| held < item.revision) {
                new_changes.push(item.clone());
            }
        }
        for change in &new_changes {
            self.set(change);
        }
        self.at = listing.at;
        self.log.clear();
        self.log_after = listing.at;
        new_changes
    }

    /// The changes after a revision, each key once with its current value, or `None` if the log
    /// does not reach back that far.
    #[must_use]
    pub fn since(&self, after: Revision) -> Option<Vec<Change>> {
        if after < self.log_after || !self.is_filled() {
            return None;
        }
        let newer = self.log.iter().filter(|(revision, _)| *revision > after);
        let newest = newer.map(|(revision, key)| (key, *revision));
        let newest = newest.collect::<BTreeMap<_, _>>();
        let changes = newest.into_iter().map(|(key, revision)| Change {
            revision,
            key: key.clone(),
            value: self.items.get(key).map(|item| item.value.clone()),
        });
        let mut changes = changes.collect::<Vec<_>>();
        changes.sort_by_key(|change| change.revision);
        Some(changes)
    }

    /// All items after a key, or from the first one on, in order of the keys.
    pub fn after<'a>(&'a self, key: Option<&'a str>) -> impl Iterator<Item = Change> + 'a {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let items = self.items.range::<str, _>((from, Bound::Unbounded));
        items.map(|(key, item)| Change {
            revision: item.revision,
            key: key.clone(),
            value: Some(item.value.clone()),
        })
    }

    fn log(&mut self, change: &Change) {
        self.log.push_back((change.revision, change.key.clone()));
        while self.log.len() > MAX_LOG_ENTRIES {
            if let Some((dropped, _)) = self.log.pop_front() {
                self.log_after = dropped;
            }
        }
    }

    fn set(&mut self, change: &Change) {
        match &change.value {
            Some(value) => {
                let item = Item {
                    revision: change.revision,
                    value: value.clone(),
                };
                self.items.insert(change.key.clone(), item);
            }
            None => {
                self.items.remove(&change.key);
            }
        }
    }
}
