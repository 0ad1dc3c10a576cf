//! Who watches the store: a few daemons of each failure domain.
//!
//! Chosen by rendezvous hash over the live members, so every daemon finds the same
//! without asking, and one that comes or goes changes few choices. While views differ,
//! or a paused daemon still believes that it watches, there are briefly more or fewer
//! watchers; both are harmless, since watchers only read.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::sync::{Effect, Member, Sync};

/// The daemons that watch, `count` per failure domain.
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
    pub(super) fn choose_watching(&mut self, effects: &mut Vec<Effect>) {
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
