//! How traffic is divided between two versions.

use std::collections::BTreeSet;
use std::sync::Arc;

use types::prelude::*;

/// Which versions a request may run on.
#[derive(Debug, Clone, PartialEq)]
pub enum Permit {
    /// Any.
    Any,
    /// Only this one.
    Only(Arc<str>),
    /// Only this one, and only a part of its upstreams.
    Few(Arc<str>, Share),
    /// Any but these.
    Not(Arc<[Arc<str>]>),
}

impl Permit {
    /// Whether a version is permitted.
    #[must_use]
    pub fn allows(&self, version: &Arc<str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) | Self::Few(only, _) => only == version,
            Self::Not(not) => !not.contains(version),
        }
    }
}

/// How traffic is divided now; a copy for the threads that serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Gate {
    /// The service.
    pub service: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// The new version, and those that earlier orders brought and that were taken back.
    ///
    /// Guards against an order that follows one that was taken back: the upstreams of the bad
    /// version leave seconds later, and the new order alone bars only its own.
    pub barred: Arc<[Arc<str>]>,
    /// The store's revision of the order.
    pub order: u64,
    /// Share of sessions that go to the new version.
    pub share: f64,
    /// Whether a session stays on the old version that it is on.
    pub keeps_sessions: bool,
    /// Share of sessions that will go to the new version first. While [`Gate::share`] is
    /// still nothing, those of them that are at work on another version are noted.
    pub first_share: f64,
    /// Sessions that were at work on another version when the new one was opened to some,
    /// by [`Gate::mark`].
    pub staying: Arc<BTreeSet<u32>>,
}

impl Gate {
    /// Which versions a session may run on; `place` is its hash, `pinned` the version it
    /// is on.
    #[must_use]
    pub fn permit(&self, place: u64, pinned: Option<&Arc<str>>) -> Permit {
        if self.share >= 1.0 {
            return Permit::Only(self.to.clone());
        }
        if self.share <= 0.0 {
            return Permit::Not(Arc::clone(&self.barred));
        }
        let is_on_old = pinned.is_some_and(|version| *version != self.to)
            || self.staying.contains(&Self::mark(place));
        let is_on_new = pinned.is_some_and(|version| *version == self.to);
        let is_chosen = part_of(place) < self.share;
        match is_on_new || (is_chosen && !(is_on_old && self.keeps_sessions)) {
            // A part of the requests on all of its upstreams would not show a version that
            // is bad under load; on as large a part of them it makes the load to come.
            true => Permit::Few(self.to.clone(), Share::clamped(self.share)),
            false => Permit::Not(Arc::clone(&self.barred)),
        }
    }
}

impl Gate {
    /// A session in four bytes.
    #[must_use]
    pub fn mark(place: u64) -> u32 {
        place as u32
    }

    /// Whether a session at work is to be noted, so that every daemon keeps it where it is.
    ///
    /// Guards against a session whose requests come through several daemons: one that
    /// never saw it takes it for new and moves it in the middle.
    #[must_use]
    pub fn notes(&self, place: u64) -> bool {
        self.share <= 0.0 && self.keeps_sessions && part_of(place) < self.first_share
    }
}

/// Where a hash lies between 0 and 1.
fn part_of(place: u64) -> f64 {
    place as f64 / u64::MAX as f64
}
