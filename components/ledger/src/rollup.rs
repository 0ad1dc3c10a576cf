//! Roll-up: aggregation of batches into totals, in which each request counts once.
//!
//! The roll-ups of a shard are coordinated by one key, the shard's head. A roll-up reads the
//! head, some batches, the totals that they affect, and the fingerprints it has not cached.
//! Then one transaction compares the revisions and replaces the batches by totals and
//! fingerprints. If two daemons roll up a shard at once, the second one's compares fail, so
//! this is harmless.
//!
//! Fingerprints expire by the shard's own clock, which advances with roll-ups and stops while
//! the store is down. Otherwise an outage longer than the retry window would expire the
//! fingerprints of bills whose retries are waiting on another daemon for the same outage to
//! end, and these would be billed twice.

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
use seen::KnownFingerprints;

/// Counts of this daemon's roll-ups; see [`crate::Fill`].
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) rolled: u64,
    pub(crate) repeats: u64,
    pub(crate) set_aside: u64,
}

/// The roll-ups of the shards that this daemon owns.
#[derive(Debug)]
pub(crate) struct Rollups {
    keys: Keys,
    interval: Span,
    fingerprint_retention: Span,
    /// Shards that this daemon owns.
    own_shards: BTreeSet<u16>,
    shards: BTreeMap<u16, Shard>,
    wall: WallTime,
    counts: Counts,
}

/// State of one shard's roll-up.
#[derive(Debug, Default)]
struct Shard {
    due: Time,
    step: Step,
    seen: KnownFingerprints,
}

/// Step of a roll-up. Each one except `Idle` waits for the outcome of a call.
#[derive(Debug, Default)]
enum Step {
    #[default]
    Idle,
    /// Reading the head and batches.
    Scanning,
    /// Reading totals and fingerprints.
    Loading(Scan),
    /// Writing the results.
    Committing(Commit),
}

impl Rollups {
    pub(crate) fn new(keys: Keys, cfg: &Config) -> Self {
        Self {
            keys,
            interval: cfg.roll_up_interval,
            fingerprint_retention: cfg.fingerprint_retention,
            own_shards: (0..SHARDS).collect(),
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

    /// Updates the members of the fleet and with them the shards that `me` owns.
    pub(crate) fn set_members(&mut self, me: &DaemonId, others: &[Peer]) {
        let is_owned = |shard: &u16| is_owner(*shard, me, others);
        self.own_shards = (0..SHARDS).filter(is_owned).collect();
    }

    /// Starts the roll-ups that are due.
    pub(crate) fn tick(&mut self, now: Time, wall: WallTime) -> Vec<(u16, Request)> {
        self.wall = wall;
        self.drop_foreign_shards();
        let mut requests = Vec::new();
        for number in self.own_shards.iter().copied() {
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

    /// Drops the state of shards now owned by other daemons, once no call is outstanding.
    fn drop_foreign_shards(&mut self) {
        let own_shards = &self.own_shards;
        let is_idle = |shard: &Shard| matches!(shard.step, Step::Idle);
        self.shards
            .retain(|number, shard| own_shards.contains(number) || !is_idle(shard));
    }

    /// Processes the outcome of a call and returns the next call, if any.
    pub(crate) fn on_outcome(
        &mut self,
        now: Time,
        number: u16,
        outcome: Outcome,
    ) -> Option<Request> {
        let shard = self.shards.get_mut(&number)?;
        let step = std::mem::take(&mut shard.step);
        // After any failure the next roll-up starts with a new scan, since the data read is stale.
        // If the outcome of a commit is unknown, the compares prevent it from being applied twice.
        let answer = outcome.ok()?;
        match step {
            Step::Idle => None,
            Step::Scanning => {
                let scan = Scan::from_answer(answer, &mut shard.seen)?;
                let request = scan.load_request(&self.keys, number, &shard.seen);
                shard.step = Step::Loading(scan);
                Some(request)
            }
            Step::Loading(mut scan) => {
                if !scan.add_loaded(answer, &mut shard.seen)? {
                    let request = scan.load_request(&self.keys, number, &shard.seen);
                    shard.step = Step::Loading(scan);
                    return Some(request);
                }
                let context = commit::Context {
                    keys: &self.keys,
                    shard: number,
                    wall: self.wall,
                    interval: self.interval,
                    fingerprint_retention: self.fingerprint_retention,
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

/// Whether `me` owns a shard. Rendezvous hashing gives each shard one owner and moves few
/// shards when the members change.
fn is_owner(shard: u16, me: &DaemonId, others: &[Peer]) -> bool {
    let rank = |id: &DaemonId| (xxh3_64(format!("{shard}\n{id}").as_bytes()), id.clone());
    let own_rank = rank(me);
    others.iter().all(|peer| rank(&peer.id) <= own_rank)
}
