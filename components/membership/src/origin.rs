//! Table of facts, grouped by origin: one run of a daemon that published them.
//!
//! For each origin, topic and key the highest sequence number wins, so reordering, duplicates and
//! loss do not matter. In messages an origin is a tag of four bytes. Facts of two origins with the
//! same tag spread only by the digest, which names origins in full.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::fact::{Fact, MAX_FACTS_PER_ORIGIN, Topic};
use crate::message::{OriginFacts, SharedFact};

/// Maximum number of origins that are gone but whose facts remain valid.
pub(crate) const MAX_RETIRED: usize = 512;

/// One run of a daemon, identified by name and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OriginId {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// Short hash of an [`OriginId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OriginTag(pub u32);

impl OriginId {
    /// Short hash used in messages.
    #[must_use]
    pub fn tag(&self) -> OriginTag {
        let mut hasher = Xxh3::new();
        hasher.update(self.daemon.as_str().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        OriginTag(hasher.digest() as u32)
    }
}

/// Topic and key of a fact.
pub(crate) type FactKey = (Topic, Bytes);

/// Latest value stored for one key.
#[derive(Debug, Clone)]
pub(crate) struct StoredFact {
    pub(crate) seq: u64,
    pub(crate) value: Bytes,
    pub(crate) heard_at: Time,
}

/// Facts published by one run of a daemon.
#[derive(Debug, Default)]
pub(crate) struct Origin {
    pub(crate) facts: BTreeMap<FactKey, StoredFact>,
    /// Time at which transient facts are dropped; set once the origin is gone.
    drop_at: Option<Time>,
}

impl Origin {
    /// Hash of the valid facts, independent of the order in which they arrived; 0 if there are
    /// none.
    fn hash(&self, cumulative_only: bool) -> u32 {
        let valid = self.valid(cumulative_only);
        let hashes = valid.map(|((topic, key), stored)| {
            let mut hasher = Xxh3::new();
            hasher.update(&[*topic as u8]);
            hasher.update(&stored.seq.to_le_bytes());
            hasher.update(key);
            hasher.digest()
        });
        let sum = hashes.fold(0, u64::wrapping_add);
        if sum == 0 {
            return 0;
        }
        (xxh3_64(&sum.to_le_bytes()) as u32).max(1)
    }

    fn valid(&self, cumulative_only: bool) -> impl Iterator<Item = (&FactKey, &StoredFact)> {
        let all = self.facts.iter();
        all.filter(move |((topic, _), _)| topic.is_cumulative() || !cumulative_only)
    }
}

/// Effect of a received fact on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FactUpdate {
    /// The fact is newer than the stored one.
    New,
    /// The fact is already stored.
    Duplicate,
    /// The fact is older than the stored one, its origin is unknown, or there is no room.
    Rejected,
}

/// Facts of all origins.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    origins: BTreeMap<OriginId, Origin>,
    /// None if two origins share the tag.
    tags: BTreeMap<OriginTag, Option<OriginId>>,
}

impl OriginTable {
    /// Adds an origin without facts.
    pub(crate) fn add(&mut self, id: OriginId) {
        if self.origins.contains_key(&id) {
            return;
        }
        let slot = self.tags.entry(id.tag());
        // If two origins share a tag, a fact of one must never be attributed to the other.
        slot.and_modify(|owner| *owner = None)
            .or_insert_with(|| Some(id.clone()));
        self.origins.insert(id, Origin::default());
    }

    pub(crate) fn remove(&mut self, id: &OriginId) {
        self.origins.remove(id);
        if self.tags.get(&id.tag()).is_some_and(Option::is_some) {
            self.tags.remove(&id.tag());
        }
    }

    pub(crate) fn contains(&self, id: &OriginId) -> bool {
        self.origins.contains_key(id)
    }

    pub(crate) fn by_tag(&self, tag: OriginTag) -> Option<&OriginId> {
        self.tags.get(&tag)?.as_ref()
    }

    pub(crate) fn get(&self, id: &OriginId) -> Option<&Origin> {
        self.origins.get(id)
    }

    pub(crate) fn stored(&self, id: &OriginId, key: &FactKey) -> Option<&StoredFact> {
        self.origins.get(id)?.facts.get(key)
    }

    pub(crate) fn fact_count(&self) -> usize {
        self.origins.values().map(|origin| origin.facts.len()).sum()
    }

    pub(crate) fn len(&self) -> usize {
        self.origins.len()
    }

    /// Stores a fact of a known origin if it is newer than the stored one.
    pub(crate) fn merge(&mut self, now: Time, id: &OriginId, fact: &SharedFact) -> FactUpdate {
        let Some(origin) = self.origins.get_mut(id) else {
            return FactUpdate::Rejected;
        };
        let key = (fact.topic, fact.key.clone());
        match origin.facts.get(&key).map(|stored| stored.seq) {
            Some(seq) if seq == fact.seq => return FactUpdate::Duplicate,
            Some(seq) if seq > fact.seq => return FactUpdate::Rejected,
            None if origin.facts.len() >= MAX_FACTS_PER_ORIGIN => return FactUpdate::Rejected,
            _ => {}
        }
        let stored = StoredFact {
            seq: fact.seq,
            value: fact.value.clone(),
            heard_at: now,
        };
        origin.facts.insert(key, stored);
        FactUpdate::New
    }

    /// Marks an origin as gone; its transient facts are dropped at `drop_at`.
    pub(crate) fn retire(&mut self, id: &OriginId, drop_at: Time) {
        if let Some(origin) = self.origins.get_mut(id) {
            origin.drop_at.get_or_insert(drop_at);
        }
    }

    /// Marks an origin as present again.
    pub(crate) fn restore(&mut self, id: &OriginId) {
        if let Some(origin) = self.origins.get_mut(id) {
            origin.drop_at = None;
        }
    }

    /// Drops expired transient facts, and retired origins beyond the limit.
    pub(crate) fn remove_expired(&mut self, now: Time, is_member: impl Fn(&OriginId) -> bool) {
        let mut empty = Vec::new();
        for (id, origin) in &mut self.origins {
            if !origin.drop_at.is_some_and(|at| now.has_reached(at)) {
                continue;
            }
            origin.facts.retain(|(topic, _), _| topic.is_cumulative());
            if origin.facts.is_empty() && !is_member(id) {
                empty.push(id.clone());
            }
        }
        for id in empty {
            self.remove(&id);
        }
        for id in self.excess_retired() {
            self.remove(&id);
        }
    }

    /// Retired origins beyond [`MAX_RETIRED`], those with the lowest incarnations.
    ///
    /// The choice depends on the origins alone and not on when they were received. Otherwise
    /// daemons would send each other the origins that the other has dropped.
    fn excess_retired(&self) -> Vec<OriginId> {
        let retired = self.origins.iter().filter(|(_, o)| o.drop_at.is_some());
        let mut retired = retired.map(|(id, _)| id).collect::<Vec<_>>();
        retired.sort_by_key(|id| (std::cmp::Reverse(id.incarnation), id.daemon.clone()));
        retired.into_iter().skip(MAX_RETIRED).cloned().collect()
    }

    /// Origins after `after`, in order.
    pub(crate) fn range(&self, after: Option<&OriginId>) -> impl Iterator<Item = &OriginId> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let range = self.origins.range::<OriginId, _>((from, Unbounded));
        range.map(|(id, _)| id)
    }

    /// Hash of an origin's facts; only of the cumulative ones once it is gone.
    pub(crate) fn hash(&self, id: &OriginId) -> u32 {
        let origin = self.origins.get(id);
        origin.map_or(0, |origin| origin.hash(origin.drop_at.is_some()))
    }

    /// Facts of an origin for sending; only the cumulative ones once it is gone.
    pub(crate) fn export(&self, id: &OriginId) -> Option<OriginFacts> {
        let origin = self.origins.get(id)?;
        let facts = origin.valid(origin.drop_at.is_some());
        let facts = facts.map(|((topic, key), stored)| SharedFact {
            topic: *topic,
            key: key.clone(),
            seq: stored.seq,
            value: stored.value.clone(),
        });
        Some(OriginFacts {
            origin: id.clone(),
            facts: facts.collect(),
        })
    }

    /// Facts on a topic, without retracted ones.
    pub(crate) fn facts(&self, topic: Topic) -> impl Iterator<Item = Fact> {
        self.origins.iter().flat_map(move |(id, origin)| {
            let from = (topic, Bytes::new());
            let range = origin.facts.range(from..);
            let range = range.take_while(move |((fact_topic, _), _)| *fact_topic == topic);
            let present = range.filter(|(_, stored)| !stored.value.is_empty());
            present.map(|((topic, key), stored)| Fact {
                origin: id.daemon.clone(),
                incarnation: id.incarnation,
                topic: *topic,
                key: key.clone(),
                value: stored.value.clone(),
                heard_at: stored.heard_at,
            })
        })
    }
}
