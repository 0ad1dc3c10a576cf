//! Upstreams whose entry disappeared while the store was unreachable.

use std::collections::BTreeMap;
use std::sync::Arc;

use routes::Upstream;
use types::prelude::*;

/// Delay of the store's watch, added to the time in which entries are expected back.
const WATCH_DELAY: Span = Span::from_millis(100);

/// How upstreams keep their entries in the store.
#[derive(Debug, Clone, Copy)]
pub struct EntryLease {
    /// An entry lapses this long after its last renewal.
    pub ttl: Span,
    /// A live upstream renews its entry at least this often while the store is available.
    pub renewed_within: Span,
    /// A live upstream lists a lapsed entry again within this time of the store's return.
    pub relisted_within: Span,
}

/// Upstreams whose entry disappeared while the store was unreachable or shortly after.
///
/// An outage lets the leases of live upstreams expire. If all of them were dropped, every request
/// would be refused though they serve, so they are kept for a grace period. It counts from the
/// store's return, so that an upstream which really left while only this daemon was cut off gets no
/// requests after it.
///
/// No lease expires in an outage that is shorter than what is left of every lease when it begins:
/// an entry that disappears earlier was removed by an upstream that leaves.
#[derive(Debug)]
pub struct LapsedUpstreams {
    lease: EntryLease,
    /// Whether the store is unreachable now.
    is_store_unreachable: bool,
    /// An entry that disappears before this may only have lapsed.
    grace_until: Time,
    /// Since when the store has been available without a failure, if it has answered since the last
    /// one.
    available_since: Option<Time>,
    /// No lease of a live upstream ends before this.
    leases_last_until: Time,
    lapsed: BTreeMap<UpstreamId, (Arc<Upstream>, Time)>,
}

impl LapsedUpstreams {
    /// Creates an empty set while the store is reachable.
    #[must_use]
    pub fn new(lease: EntryLease) -> Self {
        Self {
            lease,
            is_store_unreachable: false,
            grace_until: Time::ZERO,
            available_since: None,
            leases_last_until: Time::ZERO,
            lapsed: BTreeMap::new(),
        }
    }

    /// Records that the store is unreachable.
    pub fn store_failed(&mut self) {
        self.is_store_unreachable = true;
        self.available_since = None;
    }

    /// Records that the store answers.
    pub fn store_answered(&mut self, now: Time) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.grace_until = now + self.grace();
            let until = self.grace_until;
            for (_, kept_until) in self.lapsed.values_mut() {
                *kept_until = until.min(*kept_until);
            }
        }
    }

    /// Records that the store is known to have been available at `at`. Once it has been for as long
    /// as every live upstream takes to renew its entry, the leases last from then on.
    pub fn store_available_at(&mut self, now: Time, at: Time) {
        if self.is_store_unreachable {
            return;
        }
        let since = *self.available_since.get_or_insert(now);
        if at.since(since) >= self.lease.renewed_within {
            let last_until = at + (self.lease.ttl - self.lease.renewed_within);
            self.leases_last_until = self.leases_last_until.max(last_until);
        }
    }

    /// Records an entry that disappeared. It is kept for a while if it may only have lapsed; returns
    /// until when.
    pub fn record_removed(&mut self, now: Time, upstream: Arc<Upstream>) -> Option<Time> {
        let until = match self.is_store_unreachable {
            true => now + self.grace(),
            false => self.grace_until,
        };
        if now >= until || now < self.leases_last_until {
            return None;
        }
        self.lapsed.insert(upstream.id.clone(), (upstream, until));
        Some(until)
    }

    /// Records an entry that is listed.
    pub fn record_listed(&mut self, id: &UpstreamId) {
        self.lapsed.remove(id);
    }

    /// Drops the entry of this id, under which something else was written.
    pub fn forget(&mut self, id: &str) {
        self.lapsed.retain(|lapsed, _| lapsed.as_str() != id);
    }

    /// Drops the entries that were not listed again in time; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() != before
    }

    /// Number of entries that may be listed again.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lapsed.len()
    }

    /// Whether no entry may be listed again.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lapsed.is_empty()
    }

    /// Iterates over the entries that may be listed again.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.lapsed.values().map(|(upstream, _)| upstream)
    }

    fn grace(&self) -> Span {
        self.lease.relisted_within + WATCH_DELAY
    }
}
