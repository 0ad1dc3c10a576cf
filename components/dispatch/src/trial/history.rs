//! What earlier roll-outs of a service showed of its versions.

use std::collections::BTreeSet;
use std::sync::Arc;

use routes::RolloutState;

/// Most barred versions of a service; few of them still have upstreams.
const MAX_BARRED: usize = 32;

/// A service's versions as its roll-outs before an order left them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// Versions that get no requests: reverted, or replaced by another order while undecided, after
    /// which nothing judges them any more.
    pub barred: BTreeSet<Arc<str>>,
    /// Versions that served all requests when the last undecided roll-out began.
    pub stable: BTreeSet<Arc<str>>,
}

impl VersionHistory {
    /// The history after a roll-out to `to` that another order replaces in this state.
    #[must_use]
    pub fn after(&self, to: &Arc<str>, state: RolloutState) -> Self {
        let mut next = self.clone();
        match state {
            // It was only ordered back.
            RolloutState::Running if self.is_stable(to) => {}
            RolloutState::Running | RolloutState::Reverted => {
                next.barred.insert(to.clone());
                next.stable.remove(to);
            }
            RolloutState::Completed => {
                next.barred.remove(to);
                next.stable = BTreeSet::from([to.clone()]);
            }
        }
        next
    }

    /// Whether a version served all requests before, so that an order for it is a rollback and
    /// needs no canary.
    #[must_use]
    pub fn is_stable(&self, version: &Arc<str>) -> bool {
        self.stable.contains(version)
    }

    /// Adds what another daemon recorded, which knew the state in which the last roll-out ended: a
    /// version that is stable there is not barred.
    pub fn merge(&mut self, recorded: &Self) {
        self.barred.extend(recorded.barred.iter().cloned());
        if !recorded.stable.is_empty() {
            self.stable.clone_from(&recorded.stable);
        }
        self.barred
            .retain(|version| !recorded.stable.contains(version));
        while self.barred.len() > MAX_BARRED {
            self.barred.pop_first();
        }
    }
}
