//! The immutable state that callers are served from, replaced as a whole by the control thread.

use std::sync::Arc;

use catalogue::entry::Freshness;
use catalogue::sync::{Decision, Reach, decide};
use catalogue::view::View;
use types::prelude::*;

/// Whether this daemon takes requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// No catalogue is loaded yet: nothing is served.
    #[default]
    Starting,
    /// Requests are served.
    Ready,
    /// The daemon is shutting down: `/readyz` reports not ready, requests are still served.
    Leaving,
}

/// The state that requests are served from.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Whether this daemon takes requests.
    pub readiness: Readiness,
    /// Whether so many bills wait for the store that no more work may start.
    pub is_ledger_full: bool,
    /// The catalogue indexed for serving requests.
    pub view: Arc<View>,
    /// The last time at which the catalogue was known to be current.
    pub confirmed: Option<Time>,
    /// The part of the fleet that this daemon can reach.
    pub reach: Reach,
}

impl Snapshot {
    /// The reason to refuse an entry with this freshness rule because the catalogue may be out of
    /// date, if there is one.
    ///
    /// Decided for each request: a snapshot ages while the control thread is held up or the process
    /// is paused, and must not be treated as fresh afterwards.
    #[must_use]
    pub fn stale(&self, now: Time, rule: &Freshness) -> Option<String> {
        match decide(now, rule, self.confirmed, self.reach) {
            Decision::Refuse { reason } => Some(reason),
            Decision::InForce { .. } | Decision::ServeStale { .. } => None,
        }
    }
}
