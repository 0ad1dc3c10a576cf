//! Roll-up: batches become totals, and each request counts once.
//!
//! A shard's roll-ups agree through one key, its head. A roll-up reads the head, some
//! batches, the totals they touch and the fingerprints it has not read before. Then one
//! transaction compares all of them and replaces batches by totals and fingerprints. Two
//! daemons that roll up one shard at once are harmless: the second one's compares fail.
//!
//! Fingerprints are dropped by the shard's own clock, which advances with roll-ups and
//! stands still while the store is down, so that an outage longer than the retry window
//! does not forget bills whose repeats wait out the same outage elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use keyvalue::{Outcome, Request};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::bill::SHARDS;
use crate::keys::Keys;
use crate::ledger::{Config, Peer};

mod commit;
mod scan;
mod seen;

use commit::Commit;
pub use commit::MAX_BATCHES_PER_ROLLUP;
use scan::Scan;
use seen::Seen;

/// What this daemon's roll-ups did.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) rolled: u64,
    pub(crate) repeats: u64,
    pub(crate) set_aside: u64,
}

/// The roll-ups of the shards that fall to this daemon.
#[derive(Debug)]
pub(crate) struct Roller {
    keys: Keys,
    interval: Span,
    seen_for: Span,
    /// The shards that fall to this daemon.
    mine: BTreeSet<u16>,
    shards: BTreeMap<u16, Shard>,
    wall: WallTime,
    counts: Counts,
}

/// One shard's roll-up.
#[derive(Debug, Default)]
struct Shard {
    due: Time,
    step: Step,
    seen: Seen,
}

/// How far a roll-up is. Each step waits for one call's outcome.
#[derive(Debug, Default)]
enum Step {
    #[default]
    Idle,
    /// Reads the head and batches.
    Scanning,
    /// Reads totals and fingerprints.
    Loading(Scan),
    /// Writes.
    Committing(Commit),
}

impl Roller {
    pub(crate) fn new(keys: Keys, cfg: &Config) -> Self {
        Self {
            keys,
            interval: cfg.roll_interval,
            seen_for: cfg.seen_for,
            mine: (0..SHARDS).collect(),
            shards: BTreeMap::new(),
            wall: WallTime::default(),
            counts: Counts::default(),
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn has_shard(&self, number: u16) -> bool {
        self.shards.contains_key(&number)
    }

    pub(crate) fn fingerprints(&self) -> usize {
        self.shards.values().map(|shard| shard.seen.len()).sum()
    }

    /// Takes the members of the fleet and works out which shards fall to `me`.
    pub(crate) fn set_members(&mut self, me: &DaemonId, others: &[Peer]) {
        let falls = |shard: &u16| falls_to(*shard, me, others);
        self.mine = (0..SHARDS).filter(falls).collect();
    }

    /// Starts what is due.
    pub(crate) fn tick(&mut self, now: Time, wall: WallTime) -> Vec<(u16, Request)> {
        self.wall = wall;
        self.leave_others();
        let mut requests = Vec::new();
        for number in self.mine.iter().copied() {
            let phase = self.interval.as_micros() * u64::from(number) / u64::from(SHARDS);
            let shard = self.shards.entry(number).or_insert_with(|| Shard {
                due: now + Span(phase),
                ..Shard::default()
            });
            if matches!(shard.step, Step::Idle) && now.has_reached(shard.due) {
                shard.step = Step::Scanning;
                shard.due = now + self.interval;
                requests.push((number, scan::request(&self.keys, number)));
            }
        }
        requests
    }

    /// Forgets shards that fell to other daemons, once no call is under way.
    fn leave_others(&mut self) {
        let mine = &self.mine;
        let is_idle = |shard: &Shard| matches!(shard.step, Step::Idle);
        self.shards
            .retain(|number, shard| mine.contains(number) || !is_idle(shard));
    }

    /// Takes an outcome and gives the next call, if any.
    pub(crate) fn on_outcome(
        &mut self,
        now: Time,
        number: u16,
        outcome: Outcome,
    ) -> Option<Request> {
        let shard = self.shards.get_mut(&number)?;
        let step = std::mem::take(&mut shard.step);
        // After any failure the next scan starts afresh: what was read is stale, and the
        // compares keep a commit of unknown outcome from being done twice.
        let answer = outcome.ok()?;
        match step {
            Step::Idle => None,
            Step::Scanning => {
                let scan = Scan::read(answer, &mut shard.seen)?;
                let request = scan.load(&self.keys, number, &shard.seen);
                shard.step = Step::Loading(scan);
                Some(request)
            }
            Step::Loading(mut scan) => {
                if !scan.take_loaded(answer, &mut shard.seen)? {
                    let request = scan.load(&self.keys, number, &shard.seen);
                    shard.step = Step::Loading(scan);
                    return Some(request);
                }
                let context = commit::Context {
                    keys: &self.keys,
                    shard: number,
                    wall: self.wall,
                    interval: self.interval,
                    seen_for: self.seen_for,
                };
                let (commit, request) = Commit::prepare(scan, &shard.seen, &context);
                shard.step = Step::Committing(commit);
                Some(request)
            }
            Step::Committing(commit) => {
                let done = commit.finish(answer, &mut shard.seen, &mut self.counts);
                if done == Some(true) {
                    shard.due = now;
                }
                None
            }
        }
    }
}

/// Rendezvous hashing: each shard falls to one member, and few move when members change.
fn falls_to(shard: u16, me: &DaemonId, others: &[Peer]) -> bool {
    let rank = |id: &DaemonId| (xxh3_64(format!("{shard}\n{id}").as_bytes()), id.clone());
    let mine = rank(me);
    others.iter().all(|peer| rank(&peer.id) <= mine)
}
