//! Entries of upstreams that went while the store was away.

use std::collections::BTreeMap;
use std::sync::Arc;

use routes::Upstream;
use types::prelude::*;

/// A store that was out of reach counts as unsettled for this long after.
const UNSETTLED: Span = Span::from_secs(3);
/// Added to the time in which entries are to be back: the upstream's own write and watch.
const MARGIN: Span = Span::from_millis(300);

/// Upstreams whose entry went while the store was unsettled.
///
/// Guards against an outage that lets the leases of living upstreams run out: all of them
/// would vanish at once and every request would be refused, though they serve.
#[derive(Debug)]
pub(crate) struct Lapsed {
    relisted_within: Span,
    unsettled_until: Time,
    held: BTreeMap<UpstreamId, (Arc<Upstream>, Time)>,
}

impl Lapsed {
    pub(crate) fn new(relisted_within: Span) -> Self {
        Self {
            relisted_within,
            unsettled_until: Time::ZERO,
            held: BTreeMap::new(),
        }
    }

    /// Notes that the store is out of reach.
    pub(crate) fn store_failed(&mut self, now: Time) {
        self.unsettled_until = now + UNSETTLED;
    }

    /// Notes an entry that went. Kept for a while if it may have lapsed only.
    pub(crate) fn gone(&mut self, now: Time, upstream: Arc<Upstream>) {
        if now < self.unsettled_until {
            let until = now + self.relisted_within + MARGIN;
            self.held.insert(upstream.id.clone(), (upstream, until));
        }
    }

    /// Notes an entry that is there.
    pub(crate) fn listed(&mut self, id: &UpstreamId) {
        self.held.remove(id);
    }

    /// Drops those that are not back in time; whether there were any.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let before = self.held.len();
        self.held.retain(|_, (_, until)| now < *until);
        self.held.len() != before
    }

    /// Those that may be back.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.held.values().map(|(upstream, _)| upstream)
    }
}
