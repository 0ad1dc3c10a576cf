//! The observed state that a driver decides on.

use catalogue::entry::Model;
use types::prelude::*;

/// The state as far as the driving daemon knows it.
#[derive(Debug, Clone)]
pub struct Observed<'a> {
    /// The model as the catalogue has it.
    pub model: &'a Model,
    /// The revision of the model's entry.
    pub revision: Revision,
    /// The engines of the model's service, sorted by id.
    pub engines: &'a [Engine],
    /// What is known about the quality of the answers.
    pub evidence: Evidence,
    /// Running and waiting requests, over the whole fleet.
    pub demand: Demand,
    /// This daemon's place in the standby order for the lease; `None` when it should not try to
    /// acquire it.
    pub standby_rank: Option<u32>,
}

/// An engine according to its last load report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The engine's upstream id.
    pub id: UpstreamId,
    /// The engine's failure domain.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// When its last report was read, if any was.
    pub read_at: Option<Time>,
    /// Versions of the model that it can run.
    pub ready: Vec<VersionName>,
    /// Versions of the model that it is loading.
    pub loading: Vec<VersionName>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it last refused a load for lack of room.
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

/// What is known about the answers of a roll-out's versions, over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ratings of the new version so far; never decreases.
    pub ratings: u64,
    /// Whether the new version is suspended.
    pub new_suspended: bool,
    /// Whether the old version is suspended.
    pub old_suspended: bool,
}

/// Running and waiting requests, in slots, over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Demand on the old version, `from` in the roll-out.
    pub from: f64,
    /// Demand on the new version, `to` in the roll-out.
    pub to: f64,
}

impl Demand {
    /// Demand on both versions.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.from + self.to
    }
}
