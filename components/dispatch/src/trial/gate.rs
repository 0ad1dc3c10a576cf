//! Division of traffic between two versions.

use std::collections::BTreeSet;
use std::sync::Arc;

use types::prelude::*;

/// Which versions a request may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub enum Permit {
    /// Any version.
    Any,
    /// Only this version.
    Only(Arc<str>),
    /// Only this version, and only this share of its upstreams.
    Subset(Arc<str>, Share),
    /// Any version but these.
    Except(Arc<[Arc<str>]>),
}

impl Permit {
    /// Whether a version is permitted.
    #[must_use]
    pub fn allows(&self, version: &Arc<str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) | Self::Subset(only, _) => only == version,
            Self::Except(except) => !except.contains(version),
        }
    }
}

/// Current division of a service's traffic, copied to the threads that serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Gate {
    /// The service that is rolled out.
    pub service: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// The new version, and those of earlier orders that were reverted or replaced while undecided.
    ///
    /// The upstreams of a reverted version leave only seconds later, those of a replaced one stay. If
    /// the next order excluded only its own version, sessions would go to the bad one.
    pub barred: Arc<[Arc<str>]>,
    /// The store's revision of the order.
    pub order: u64,
    /// Share of sessions that go to the new version.
    pub share: f64,
    /// Whether a session that is on the old version stays there.
    pub keeps_sessions: bool,
    /// Share of sessions that the new version will get first. While [`Gate::share`] is zero,
    /// those of them that are active on another version are noted.
    pub first_share: f64,
    /// Sessions that were active on another version when the new one got its first requests, by
    /// [`Gate::mark`].
    pub staying: Arc<BTreeSet<u32>>,
}

impl Gate {
    /// Whether any requests still go to a version.
    #[must_use]
    pub fn admits(&self, version: &Arc<str>) -> bool {
        match self.share {
            share if share >= 1.0 => *version == self.to,
            share if share <= 0.0 => !self.barred.contains(version),
            _ => *version == self.to || !self.barred.contains(version),
        }
    }

    /// Returns the versions that a session's requests may be sent to; `session_hash` is its hash,
    /// `pinned` the version it is on.
    #[must_use]
    pub fn permit(&self, session_hash: u64, pinned: Option<&Arc<str>>) -> Permit {
        if self.share >= 1.0 {
            return Permit::Only(self.to.clone());
        }
        if self.share <= 0.0 {
            return Permit::Except(Arc::clone(&self.barred));
        }
        let is_on_old = pinned.is_some_and(|version| *version != self.to)
            || self.staying.contains(&Self::mark(session_hash));
        let is_on_new = pinned.is_some_and(|version| *version == self.to);
        let is_chosen = position_in_range(session_hash) < self.share;
        match is_on_new || (is_chosen && !(is_on_old && self.keeps_sessions)) {
            // A small share of the requests, spread over all upstreams of the version, would not
            // show that it is bad under load. Sent to an equal share of its upstreams, the requests
            // cause the load that is to come.
            true => Permit::Subset(self.to.clone(), Share::clamped(self.share)),
            false => Permit::Except(Arc::clone(&self.barred)),
        }
    }
}

impl Gate {
    /// Shortens a session's hash to four bytes.
    #[must_use]
    pub fn mark(session_hash: u64) -> u32 {
        session_hash as u32
    }

    /// Whether an active session is to be noted, so that every daemon keeps it on its version.
    ///
    /// A session's requests may come through several daemons. One that has not seen the session
    /// would treat it as new and move it to the other version.
    #[must_use]
    pub fn should_note(&self, session_hash: u64) -> bool {
        self.share <= 0.0
            && self.keeps_sessions
            && position_in_range(session_hash) < self.first_share
    }
}

/// Maps a hash to the range from 0 to 1.
fn position_in_range(session_hash: u64) -> f64 {
    session_hash as f64 / u64::MAX as f64
}
