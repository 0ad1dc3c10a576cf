//! Selection of the daemons that watch the store: a few in each failure domain.
//!
//! They are chosen by rendezvous hashing over the live members, so every daemon arrives at
//! the same choice without communication, and a daemon that joins or leaves changes few
//! choices. While memberships differ, or a paused daemon still considers itself a watcher,
//! there are briefly more or fewer watchers. Both are harmless, since watchers only read.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::sync::{Effect, Member, Sync};

/// Returns the daemons that watch the store, `count` per failure domain.
#[must_use]
pub fn watchers(members: &[Member], count: usize) -> BTreeSet<DaemonId> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<(u64, &DaemonId)>> = BTreeMap::new();
    for member in members {
        let domain = by_domain.entry(&member.failure_domain).or_default();
        domain.push((rank(member), &member.id));
    }
    let chosen = by_domain.into_values().flat_map(|mut ranked| {
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, id)| id.clone())
    });
    chosen.collect()
}

fn rank(member: &Member) -> u64 {
    xxh3_64(format!("{}\0{}", member.failure_domain, member.id).as_bytes())
}

impl Sync {
    /// Starts or stops watching when the members' choice of watchers has changed.
    pub(super) fn update_watching(&mut self, effects: &mut Vec<Effect>) {
        let chosen = watchers(&self.members, self.cfg.watchers_per_domain);
        let is_chosen = chosen.contains(&self.cfg.me);
        if is_chosen != self.watching {
            self.watching = is_chosen;
            effects.push(if is_chosen {
                Effect::Watch
            } else {
                Effect::StopWatch
            });
        }
    }
}
