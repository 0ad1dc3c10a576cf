//! What a driver sees.

use catalogue::entry::Model;
use types::prelude::*;

/// What is, as far as the driving daemon knows.
#[derive(Debug, Clone)]
pub struct Observed<'a> {
    /// The model as the catalogue has it.
    pub model: &'a Model,
    /// The revision of the model's entry.
    pub revision: Revision,
    /// The engines of the model's service, by id.
    pub engines: &'a [Engine],
    /// What is known of the answers.
    pub evidence: Evidence,
    /// What runs and waits, over the whole fleet.
    pub demand: Demand,
    /// This daemon's turn among those that may drive; nothing when it should not try.
    pub rank: Option<u32>,
}

/// An engine by its last load report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its id.
    pub id: UpstreamId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When its last report was read, if any was.
    pub read_at: Option<Time>,
    /// Versions of the model that it can run.
    pub ready: Vec<VersionName>,
    /// Versions of the model that it is loading.
    pub loading: Vec<VersionName>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it last refused a load for want of room.
    pub is_full: bool,
}

impl Engine {
    /// Whether it can run a version now.
    #[must_use]
    pub fn has_ready(&self, version: &VersionName) -> bool {
        self.ready.contains(version)
    }

    /// Whether it can run a version now or soon.
    #[must_use]
    pub fn has(&self, version: &VersionName) -> bool {
        self.ready.contains(version) || self.loading.contains(version)
    }

    /// Whether its report was read within `span`.
    #[must_use]
    pub fn is_fresh(&self, now: Time, span: Span) -> bool {
        self.read_at.is_some_and(|at| now.since(at) <= span)
    }
}

/// What is known of the answers of a roll-out's versions, over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ratings of the new version so far; only ever rises.
    pub ratings: u64,
    /// Whether the new version is suspended.
    pub new_suspended: bool,
    /// Whether the old version is suspended.
    pub old_suspended: bool,
}

/// Requests that run and wait, in slots, over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// On the version that goes.
    pub from: f64,
    /// On the version that comes.
    pub to: f64,
}

impl Demand {
    /// On both.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.from + self.to
    }
}
