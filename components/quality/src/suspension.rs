//! Suspensions as facts that only grow.
//!
//! Each (class, version) has rounds: it is suspended while more rounds were begun than lifted.
//! Both numbers merge by the larger, so order, repeats and loss do not matter. A
//! suspension ends by an operator's word only. Each daemon that learns of one may be asked to
//! hold it too, since the daemon that found it may be replaced within the minute.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt};
use types::prelude::*;

use crate::stream::StreamId;

/// Daemons that publish a suspension at least.
const HOLDERS: usize = 3;

/// Rounds of one stream's suspension.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Rounds {
    pub(crate) suspended: u32,
    pub(crate) lifted: u32,
}

impl Rounds {
    pub(crate) fn is_active(self) -> bool {
        self.suspended > self.lifted
    }

    fn merged(self, other: Self) -> Self {
        Self {
            suspended: self.suspended.max(other.suspended),
            lifted: self.lifted.max(other.lifted),
        }
    }
}

/// One stream's rounds, and who is known to publish them.
#[derive(Debug, Clone, Default)]
struct Held {
    rounds: Rounds,
    published: Option<Rounds>,
    holders: BTreeSet<DaemonId>,
}

/// All suspensions that are or were.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspensions {
    held: BTreeMap<StreamId, Held>,
}

impl Suspensions {
    pub(crate) fn is_active(&self, id: StreamId) -> bool {
        self.held
            .get(&id)
            .is_some_and(|held| held.rounds.is_active())
    }

    /// Begins a round unless one is open; it is to be published at once.
    pub(crate) fn begin(&mut self, id: StreamId) {
        let held = self.held.entry(id).or_default();
        if !held.rounds.is_active() {
            held.rounds.suspended = held.rounds.lifted + 1;
            held.holders.clear();
        }
    }

    /// Ends the open round; says whether there was one.
    pub(crate) fn lift(&mut self, id: StreamId) -> bool {
        let Some(held) = self.held.get_mut(&id) else {
            return false;
        };
        let open = held.rounds.is_active();
        if open {
            held.rounds.lifted = held.rounds.suspended;
            held.holders.clear();
        }
        open
    }

    /// Takes a peer's rounds.
    pub(crate) fn merge(&mut self, origin: &DaemonId, id: StreamId, rounds: Rounds) {
        let held = self.held.entry(id).or_default();
        let merged = held.rounds.merged(rounds);
        if merged != held.rounds {
            held.rounds = merged;
            held.holders.clear();
        }
        if rounds == held.rounds && held.holders.len() < HOLDERS {
            held.holders.insert(origin.clone());
        }
    }

    /// A daemon is gone: what it published is too.
    pub(crate) fn forget(&mut self, origin: &DaemonId) {
        for held in self.held.values_mut() {
            held.holders.remove(origin);
        }
    }

    /// Rounds that this daemon should publish now.
    ///
    /// Guards against losing a suspension with its finder: while fewer than [`HOLDERS`] others
    /// publish it, each daemon joins with a chance that lets about that many join a tick.
    pub(crate) fn take_unpublished(
        &mut self,
        fleet: usize,
        rng: &mut impl Rng,
    ) -> Vec<(StreamId, Rounds)> {
        let chance = HOLDERS as f64 / fleet.max(1) as f64;
        let mut due = Vec::new();
        for (id, held) in &mut self.held {
            let stale = held.published != Some(held.rounds);
            let lonely = held.holders.len() < HOLDERS;
            let first = held.published.is_some() || held.holders.is_empty();
            if stale && (first || (lonely && rng.random_bool(chance.min(1.0)))) {
                held.published = Some(held.rounds);
                due.push((*id, held.rounds));
            }
        }
        due
    }
}
