//! Keys as of one revision.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::ops::Bound;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Changes remembered for peers that lag, by key and revision only: values are as they are
/// now, so a storm of large configurations takes no memory. A worker's life is about four
/// changes, so this is a replacement of some hundred workers; who lags further gets a
/// listing.
const MAX_LOG: usize = 1_024;

/// The store's counter, which every change raises.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A key's new state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When it changed.
    pub revision: Revision,
    /// Which key.
    pub key: String,
    /// Its value, or nothing once deleted.
    pub value: Option<Bytes>,
}

/// All keys, read page by page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The store's revision before the first page: later changes may be missing.
    pub at: Revision,
    /// Every key with its value, in order.
    pub items: Vec<Change>,
}

/// Changes were offered that leave some out before them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes after revision {after} do not connect to revision {held}")]
pub struct GapError {
    /// The offered changes begin after this.
    pub after: Revision,
    /// What is held.
    pub held: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Item {
    revision: Revision,
    value: Bytes,
}

/// Keys as of one revision, and the latest changes.
#[derive(Debug, Default)]
pub struct Mirror {
    at: Revision,
    items: BTreeMap<String, Item>,
    log: VecDeque<(Revision, String)>,
    /// The log holds every change after this.
    log_after: Revision,
}

impl Mirror {
    /// Up to which revision nothing is missing; 0 while nothing was ever read.
    #[must_use]
    pub fn at(&self) -> Revision {
        self.at
    }

    /// Whether a first copy was taken.
    #[must_use]
    pub fn is_filled(&self) -> bool {
        self.at > Revision::default()
    }

    /// How many keys there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The value of a key and when it was written.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(Revision, &Bytes)> {
        self.items.get(key).map(|item| (item.revision, &item.value))
    }

    /// Keys that begin with `prefix`, in order.
    pub fn prefixed<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, Revision, &'a Bytes)> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.as_str(), item.revision, &item.value))
    }

    /// Takes the changes after one revision up to another and returns those that are new.
    ///
    /// # Errors
    /// When changes between are missing; a listing helps.
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
        let mut fresh = Vec::new();
        for change in changes {
            // Guards against the past: a watch that lags behind a peer tells again what
            // was superseded, and a deleted key would come back.
            if change.revision <= self.at {
                continue;
            }
            self.log(&change);
            // A page of a listing may be of a later moment than the listing.
            let held = self.items.get(&change.key).map(|held| held.revision);
            if held.is_none_or(|held| held < change.revision) {
                self.set(&change);
                fresh.push(change);
            }
        }
        self.at = self.at.max(at);
        Ok(fresh)
    }

    /// Takes a listing and returns what it changes; an older one changes nothing.
    pub fn take_listing(&mut self, listing: Listing) -> Vec<Change> {
        if self.is_filled() && listing.at <= self.at {
            return Vec::new();
        }
        let mut fresh = Vec::new();
        let listed = |key: &String| {
            let found = listing.items.binary_search_by(|item| item.key.cmp(key));
            found.is_ok()
        };
        for key in self.items.keys().filter(|key| !listed(key)) {
            fresh.push(Change {
                revision: listing.at,
                key: key.clone(),
                value: None,
            });
        }
        for item in &listing.items {
            let held = self.items.get(&item.key).map(|held| held.revision);
            if held.is_none_or(|held| held < item.revision) {
                fresh.push(item.clone());
            }
        }
        for change in &fresh {
            self.set(change);
        }
        self.at = listing.at;
        self.log.clear();
        self.log_after = listing.at;
        fresh
    }

    /// What a peer at an earlier revision lacks, each key as it is now; nothing when it is
    /// too far behind.
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

    /// Everything behind a key, or from the first one on, in order of the keys.
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
        while self.log.len() > MAX_LOG {
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
