//! How a daemon stands: what it tells a few others several times a second.
//!
//! Only two daemons watch the store, since every change costs a call for each watcher. The
//! others must notice at once when no watcher is left that reaches both the store and them.
//! So every message says who is known to watch with success, and how old that word is; a
//! relay adds its own holding time, and no two clocks are compared.
//!
//! What was added to the message after its first form follows behind it, so that daemons of either
//! form read each other: the older one passes over what it does not know, the newer one does without.
//!
//! How current copies of the store's keys are goes with it, see [`crate::freshness`].

use std::collections::HashMap;

use bytes::Bytes;
use dispatch::{Advertisement, RolloutWord, SharedLoad};
use mirror::Revision;
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::clocks::ReporterClocks;
use crate::freshness::Freshness;

/// Upstreams named in one message at most; the busiest daemons have some hundred out.
const MAX_LOADS: usize = 1_024;
/// Rate limits taken of one message at most.
const MAX_RATE_LIMITS: usize = 64;
/// Daemons of one kind named in one message at most: two watchers are enough, the rest is for
/// overlaps.
const MAX_REPORTS: usize = 4;
/// So many daemons must find the store silent before others take it for away: fewer may be cut
/// off from it, and those after them in the order of watchers are answered a moment later.
const UNREACHABLE_REPORTS: usize = 3;

/// A daemon that said something of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Which.
    pub daemon: DaemonId,
    /// How long ago it said so, as far as relays know: the way between them is not in it.
    pub age_ms: u16,
    /// Its run, and when it said so by its own clock, in ms.
    pub run: Incarnation,
    /// See [`Self::run`].
    pub clock_ms: u64,
    /// The store's revision that it held then, for the release before.
    pub held: Revision,
    /// How long before that copy was known to be current, for the release before.
    pub validated_ms: Option<u16>,
}

/// When a message was sent, by its sender's clock, for the release before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentAt {
    /// The sender's run.
    pub run: Incarnation,
    /// In ms since the begin of that run.
    pub clock_ms: u64,
}

/// How a daemon stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The store's revision that it holds.
    pub held: Revision,
    /// Who watches the store, as far as it knows.
    pub watchers: Vec<StoreReport>,
    /// Whom the store does not answer, as far as it knows.
    pub store_unreachable: Vec<StoreReport>,
    /// The fleet's figures of roll-outs, as far as it knows.
    pub rollouts: Vec<RolloutWord>,
    /// What it has out.
    pub loads: Vec<SharedLoad>,
    /// Rate limits of upstreams, as far as it knows.
    #[serde(skip)]
    pub rate_limits: Vec<Advertisement>,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Option<SentAt>,
    /// How current copies are, by the receiver's clock; nothing from a release that does not say so, or
    /// where that clock is not known yet.
    #[serde(skip)]
    pub freshness: Option<Freshness>,
}

/// What follows the message's first form. It has its fields for good: what is newer follows behind it in turn.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Extension {
    rate_limits: Vec<Advertisement>,
    sent_at: Option<SentAt>,
}

/// Bytes that are no standing.
#[derive(Debug, thiserror::Error)]
#[error("a peer's standing cannot be read: {0}")]
pub struct HeartbeatError(#[from] postcard::Error);

impl Heartbeat {
    /// As bytes, for any receiver.
    ///
    /// # Errors
    /// Never for a message of this form.
    pub fn encode(&self) -> Result<Bytes, HeartbeatError> {
        let mut bytes = postcard::to_allocvec(self)?;
        let extension = Extension {
            rate_limits: self.rate_limits.clone(),
            sent_at: self.sent_at,
        };
        bytes.extend(postcard::to_allocvec(&extension)?);
        Ok(bytes.into())
    }

    /// An encoded message with what is for one receiver only.
    ///
    /// # Errors
    /// Never for a message of this form.
    pub fn encode_for(encoded: &Bytes, freshness: &Freshness) -> Result<Bytes, HeartbeatError> {
        let mut bytes = encoded.to_vec();
        bytes.extend(postcard::to_allocvec(freshness)?);
        Ok(bytes.into())
    }

    /// From bytes, also of an older or newer form.
    ///
    /// # Errors
    /// When its first form cannot be read.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        let (mut heartbeat, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        heartbeat.loads.truncate(MAX_LOADS);
        // What follows and cannot be read must not cost the message.
        let extension = postcard::take_from_bytes::<Extension>(rest);
        let (extension, rest) = extension.unwrap_or_default();
        heartbeat.freshness = postcard::from_bytes(rest).ok();
        heartbeat.sent_at = extension.sent_at;
        heartbeat.rate_limits = extension.rate_limits;
        heartbeat.rate_limits.truncate(MAX_RATE_LIMITS);
        Ok(heartbeat)
    }
}

#[derive(Debug, Clone, Copy)]
struct PeerRevision {
    until: Time,
    held: Revision,
}

/// What a daemon said last.
#[derive(Debug, Clone)]
struct DatedReport {
    at: Time,
    word: StoreReport,
}

/// How the others stand, as far as they spoke lately.
#[derive(Debug, Default)]
pub struct PeerStates {
    revisions: HashMap<DaemonId, PeerRevision>,
    /// What each watcher last said whose watch works.
    watchers: HashMap<DaemonId, DatedReport>,
    /// What each daemon last said that the store does not answer.
    store_unreachable: HashMap<DaemonId, DatedReport>,
    clocks: ReporterClocks,
}

impl PeerStates {
    /// Takes a message, whose word on revisions counts for `fresh`.
    pub fn take(&mut self, now: Time, daemon: &DaemonId, heartbeat: &Heartbeat, ttl: Span) {
        let revisions = PeerRevision {
            until: now + ttl,
            held: heartbeat.held,
        };
        self.revisions.insert(daemon.clone(), revisions);
        let clocks = &mut self.clocks;
        merge_reports(now, clocks, &mut self.watchers, &heartbeat.watchers);
        merge_reports(
            now,
            clocks,
            &mut self.store_unreachable,
            &heartbeat.store_unreachable,
        );
        self.keep_latest();
    }

    /// Keeps the later word of each daemon.
    ///
    /// Guards against watchers whose connections to the store go silent while those to their peers
    /// do not: until their last success is too old nobody would watch, for 2.2 s where a change
    /// is to be in force within 2.
    fn keep_latest(&mut self) {
        let store_unreachable = &self.store_unreachable;
        self.watchers.retain(|daemon, said| {
            store_unreachable
                .get(daemon)
                .is_none_or(|no| no.at < said.at)
        });
        let watchers = &self.watchers;
        self.store_unreachable
            .retain(|daemon, _| !watchers.contains_key(daemon));
    }

    /// Notes that the store does not answer this daemon.
    pub(crate) fn note_store_unreachable(&mut self, now: Time, word: StoreReport) {
        let daemon = word.daemon.clone();
        self.store_unreachable
            .insert(daemon, DatedReport { at: now, word });
        self.keep_latest();
    }

    /// Whom the store does not answer, the latest word first.
    pub(crate) fn store_unreachable(&self, now: Time) -> Vec<StoreReport> {
        latest_reports(now, &self.store_unreachable, MAX_REPORTS)
    }

    /// Whether anybody's watch works.
    #[must_use]
    pub fn has_watcher(&self) -> bool {
        !self.watchers.is_empty()
    }

    /// Whether the store is taken for away in a fleet of so many: it answers none of some, and
    /// nobody says that it does.
    #[must_use]
    pub fn is_store_unreachable(&self, fleet: usize) -> bool {
        let others = fleet.saturating_sub(1);
        let needed = UNREACHABLE_REPORTS.min(others).max(1);
        self.store_unreachable.len() >= needed && !self.has_watcher()
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Time, ttl: Span) {
        self.revisions.retain(|_, revisions| now < revisions.until);
        for said in [&mut self.watchers, &mut self.store_unreachable] {
            said.retain(|_, said| now.since(said.at) < ttl);
        }
        self.clocks.expire(now);
    }

    /// Who watches with success, the latest word first.
    pub(crate) fn watcher_reports(&self, now: Time) -> Vec<StoreReport> {
        latest_reports(now, &self.watchers, MAX_REPORTS - 1)
    }

    /// The first daemons in the order of watchers whose watch works.
    pub(crate) fn first_watchers(&self, count: usize) -> Vec<DaemonId> {
        let mut watchers = self.watchers.keys().cloned().collect::<Vec<_>>();
        watchers.sort_by(|a, b| watch_order(a).cmp(&watch_order(b)));
        watchers.truncate(count);
        watchers
    }

    /// Daemons before `me` in the order of watchers whose watch works.
    pub(crate) fn watchers_ahead(&self, me: &DaemonId) -> usize {
        watch_rank(me, self.watchers.keys().filter(|daemon| *daemon != me))
    }

    /// Daemons whose word counts.
    pub(crate) fn len(&self) -> usize {
        self.revisions.len()
    }

    /// Daemons that can be asked for what is behind a revision: those that are furthest ahead, or
    /// all that hold anything for one that holds nothing.
    ///
    /// Guards against a whole fleet that wants a copy from the few daemons that heard of the last
    /// change: each change of the store made these others for a moment, and nobody took
    /// copies from the hundred that had one.
    pub fn ahead_of(&self, held: Revision) -> impl Iterator<Item = &DaemonId> {
        let furthest = self
            .revisions
            .values()
            .map(|revisions| revisions.held)
            .max();
        let least = match held == Revision::default() {
            true => Revision(1),
            false => furthest.unwrap_or_default().max(Revision(held.0 + 1)),
        };
        let ahead = self.revisions.iter();
        let ahead = ahead.filter(move |(_, revisions)| revisions.held >= least);
        ahead.map(|(daemon, _)| daemon)
    }
}

/// Takes what a message says of others, with its age.
fn merge_reports(
    now: Time,
    clocks: &mut ReporterClocks,
    said: &mut HashMap<DaemonId, DatedReport>,
    word: &[StoreReport],
) {
    for word in word.iter().take(MAX_REPORTS) {
        if let Some(at) = clocks.reported_at(now, word) {
            let word = word.clone();
            said.insert(word.daemon.clone(), DatedReport { at, word });
        }
    }
}

/// The latest of what was said, as it travels.
fn latest_reports(
    now: Time,
    said: &HashMap<DaemonId, DatedReport>,
    count: usize,
) -> Vec<StoreReport> {
    let known = said.values().map(|said| StoreReport {
        age_ms: u16::try_from(now.since(said.at).as_millis()).unwrap_or(u16::MAX),
        ..said.word.clone()
    });
    let mut known = known.collect::<Vec<_>>();
    known.sort_by_key(|report| report.age_ms);
    known.truncate(count);
    known
}

/// An order that spreads over hosts and that all daemons share.
fn watch_order(daemon: &DaemonId) -> (u64, &DaemonId) {
    (xxh3_64(daemon.as_str().as_bytes()), daemon)
}

/// Place of `me` among daemons in the order of watchers.
pub(crate) fn watch_rank<'a>(me: &DaemonId, others: impl Iterator<Item = &'a DaemonId>) -> usize {
    let mine = watch_order(me);
    others.filter(|other| watch_order(other) < mine).count()
}
