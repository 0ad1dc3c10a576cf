//! Entries of upstreams that went while the store was away.

use std::collections::BTreeMap;
use std::sync::Arc;

use routes::Upstream;
use types::prelude::*;

/// Added to the time in which entries are to be back: the watch's way.
const MARGIN: Span = Span::from_millis(100);

/// Upstreams whose entry went while the store was out of reach, or just after.
///
/// Guards against an outage that lets the leases of living upstreams run out: all of them
/// would vanish at once and every request would be refused, though they serve. The time is
/// counted from the store's return, so that an upstream which really left after a cut of
/// this daemon alone gets work no longer than that.
#[derive(Debug)]
pub struct Lapsed {
    relisted_within: Span,
    /// Out of reach now.
    is_away: bool,
    /// Until then an entry that goes may have lapsed only.
    unsettled_until: Time,
    held: BTreeMap<UpstreamId, (Arc<Upstream>, Time)>,
}

impl Lapsed {
    /// The store is settled; entries that lapse are back within so long of its return.
    #[must_use]
    pub fn new(relisted_within: Span) -> Self {
        Self {
            relisted_within,
            is_away: false,
            unsettled_until: Time::ZERO,
            held: BTreeMap::new(),
        }
    }

    /// Notes that the store is out of reach.
    pub fn store_failed(&mut self) {
        self.is_away = true;
    }

    /// Notes that the store answers.
    pub fn store_answered(&mut self, now: Time) {
        if self.is_away {
            self.is_away = false;
            self.unsettled_until = now + self.relisted_within + MARGIN;
            let until = self.unsettled_until;
            for (_, held_until) in self.held.values_mut() {
                *held_until = until.min(*held_until);
            }
        }
    }

    /// Notes an entry that went. Kept for a while if it may have lapsed only.
    pub fn gone(&mut self, now: Time, upstream: Arc<Upstream>) {
        let until = match self.is_away {
            true => now + self.relisted_within + MARGIN,
            false => self.unsettled_until,
        };
        if now < until {
            self.held.insert(upstream.id.clone(), (upstream, until));
        }
    }

    /// Notes an entry that is there.
    pub fn listed(&mut self, id: &UpstreamId) {
        self.held.remove(id);
    }

    /// Drops those that are not back in time; whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.held.len();
        self.held.retain(|_, (_, until)| now < *until);
        self.held.len() != before
    }

    /// Those that may be back.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.held.values().map(|(upstream, _)| upstream)
    }
}
