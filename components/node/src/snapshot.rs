//! What traffic threads read: unchanging, replaced as a whole by the control thread.

use std::sync::Arc;

use catalogue::entry::Freshness;
use catalogue::sync::{Decision, Reach, decide};
use catalogue::view::View;
use types::prelude::*;

/// Whether this daemon takes requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// No catalogue is held yet: nothing is served.
    #[default]
    Starting,
    /// Serving.
    Ready,
    /// Leaving: `/readyz` says no, requests are still served.
    Leaving,
}

/// The state that requests are served from.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Whether this daemon takes requests.
    pub readiness: Readiness,
    /// So many bills wait for the store that no more may come.
    pub is_ledger_full: bool,
    /// The catalogue.
    pub view: Arc<View>,
    /// The moment of which the catalogue was last known to be current.
    pub confirmed: Option<Time>,
    /// The part of the fleet that this daemon is in touch with.
    pub reach: Reach,
}

impl Snapshot {
    /// Why an entry with this rule is refused now since the catalogue may be out of date.
    ///
    /// Decided for each request: a snapshot ages while the control thread is held up or
    /// the process is paused, and must not pass for fresh afterwards.
    #[must_use]
    pub fn stale(&self, now: Time, rule: &Freshness) -> Option<String> {
        match decide(now, rule, self.confirmed, self.reach) {
            Decision::Refuse { reason } => Some(reason),
            Decision::InForce { .. } | Decision::ServeKnown { .. } => None,
        }
    }
}
