//! This daemon's share of each limit of the fleet.
//!
//! Every daemon calculates all shares from the same published demands, including its own, so the
//! shares add up to the whole limit, except while a fact is still spreading. A small part of each
//! limit is divided evenly, for daemons that have not published a demand yet.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::demand::{DemandFact, KeyId};

/// Fraction of each limit that is divided evenly.
const EVEN_PART: f64 = 0.1;
/// Maximum number of other daemons remembered.
const MAX_PEERS: usize = 2_048;
/// A daemon that is gone keeps its share for this time, so that a false failure detection has no
/// effect.
const GONE_HOLD: Span = Span::from_secs(3);
/// This daemon's share increases only after the others had time to receive its new demand.
const RISE_DELAY: Span = Span::from_secs(1);
/// Time constant at which the share of an isolated daemon approaches an even share.
const CUT_DECAY: Span = Span::from_secs(10);
/// Minimum interval between published facts.
const MIN_INTERVAL: Span = Span::from_millis(500);
/// Minimum interval per live daemon, so that the number of facts per second stays bounded as the
/// fleet grows.
const INTERVAL_PER_DAEMON: Span = Span::from_millis(50);
/// A change of demand is published if it exceeds this fraction of the last demand plus
/// [`CHANGED_BY`].
const CHANGED_PART: f64 = 0.1;
/// Absolute part of that threshold, so that single requests cause no message.
const CHANGED_BY: f64 = 0.5;

/// Demand of another daemon.
#[derive(Debug, Clone, Default)]
struct Peer {
    demand: DemandFact,
    gone_at: Option<Time>,
}

/// Shares that were in force when the daemon became isolated.
#[derive(Debug, Clone)]
struct Cut {
    at: Time,
    parts: BTreeMap<KeyId, f64>,
}

/// This daemon's share of each limit of the fleet.
#[derive(Debug, Clone)]
pub struct Shares {
    me: DaemonId,
    published: DemandFact,
    before: DemandFact,
    published_at: Option<Time>,
    peers: BTreeMap<DaemonId, Peer>,
    totals: BTreeMap<KeyId, f64>,
    live: usize,
    reach: Reach,
    cut: Option<Cut>,
}

/// Reachable part of the fleet, including this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Number of reachable daemons.
    pub reached: usize,
    /// Number of daemons that the fleet is known to have.
    pub known: usize,
}

impl Shares {
    /// Creates the shares of a daemon that knows no other daemon.
    #[must_use]
    pub fn new(me: DaemonId) -> Self {
        Self {
            me,
            published: DemandFact::default(),
            before: DemandFact::default(),
            published_at: None,
            peers: BTreeMap::new(),
            totals: BTreeMap::new(),
            live: 1,
            reach: Reach {
                reached: 1,
                known: 1,
            },
            cut: None,
        }
    }

    /// Updates which daemons are live and how much of the fleet is reachable.
    pub fn fleet(&mut self, now: Time, live: &BTreeSet<DaemonId>, reach: Reach) {
        for (id, peer) in &mut self.peers {
            peer.gone_at = match live.contains(id) {
                true => None,
                false => peer.gone_at.or(Some(now)),
            };
        }
        let others = live.iter().filter(|id| **id != self.me).count();
        self.live = others + 1;
        self.reach = reach;
        self.note_cut(now);
        if !self.is_cut_off() {
            self.forget_gone(now);
        }
        self.sum();
    }

    /// Whether at least half of the fleet is unreachable. The daemon cannot tell whether the
    /// others failed or it is isolated itself, so it must not take over their shares.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.reach.reached * 2 <= self.reach.known
    }

    fn note_cut(&mut self, now: Time) {
        if !self.is_cut_off() {
            self.cut = None;
        } else if self.cut.is_none() {
            let parts = self
                .totals
                .keys()
                .map(|key| (*key, self.raw_part(now, *key)));
            let parts = parts.collect();
            self.cut = Some(Cut { at: now, parts });
        }
    }

    fn forget_gone(&mut self, now: Time) {
        self.peers.retain(|_, peer| {
            let gone = peer.gone_at;
            gone.is_none_or(|at| now.since(at) < GONE_HOLD)
        });
    }

    /// Updates the demand of another daemon.
    pub fn peer_fact(&mut self, daemon: &DaemonId, demand: DemandFact) {
        let is_new = !self.peers.contains_key(daemon);
        if *daemon == self.me || (is_new && self.peers.len() >= MAX_PEERS) {
            return;
        }
        let peer = self.peers.entry(daemon.clone()).or_default();
        for (key, demand) in peer.demand.iter() {
            *self.totals.entry(key).or_default() -= demand;
        }
        for (key, demand) in demand.iter() {
            *self.totals.entry(key).or_default() += demand;
        }
        peer.demand = demand;
    }

    /// Recalculates the totals, which also removes accumulated rounding errors.
    fn sum(&mut self) {
        self.totals.clear();
        for peer in self.peers.values() {
            for (key, demand) in peer.demand.iter() {
                *self.totals.entry(key).or_default() += demand;
            }
        }
        for (key, _) in self.published.iter() {
            self.totals.entry(key).or_default();
        }
    }

    /// Returns the fact to publish if demand has changed enough since the last one.
    pub fn publish(
        &mut self,
        now: Time,
        demands: impl IntoIterator<Item = (KeyId, f64)>,
    ) -> Option<DemandFact> {
        let interval = MIN_INTERVAL.max(INTERVAL_PER_DAEMON.times(self.live as u64));
        if self.published_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        let fact = DemandFact::new(demands);
        if !self.differs(&fact) {
            return None;
        }
        self.before = std::mem::replace(&mut self.published, fact.clone());
        self.published_at = Some(now);
        Some(fact)
    }

    fn differs(&self, fact: &DemandFact) -> bool {
        let keys = fact.iter().chain(self.published.iter());
        let mut keys = keys.map(|(key, _)| key);
        keys.any(|key| {
            let old = self.published.get(key);
            let new = fact.get(key);
            (new - old).abs() > CHANGED_PART * old + CHANGED_BY
                || (old == 0.0) != (new == 0.0) && new.max(old) > MIN_DEMAND
        })
    }

    /// Own demand as known to the others; an increase counts once they had time to receive it.
    fn own(&self, now: Time, key: KeyId) -> f64 {
        let new = self.published.get(key);
        let heard = self
            .published_at
            .is_some_and(|at| now.since(at) >= RISE_DELAY);
        if heard {
            new
        } else {
            new.min(self.before.get(key))
        }
    }

    /// Total demand of the other daemons.
    #[must_use]
    pub fn others(&self, key: KeyId) -> f64 {
        self.totals.get(&key).copied().unwrap_or(0.0).max(0.0)
    }

    /// This daemon's share of a limit, from 0 to 1.
    #[must_use]
    pub fn part(&self, now: Time, key: KeyId) -> f64 {
        let part = self.raw_part(now, key);
        let Some(cut) = &self.cut else {
            return part;
        };
        let even = 1.0 / self.reach.known.max(1) as f64;
        let last = cut.parts.get(&key).copied().unwrap_or(even);
        let age = now.since(cut.at).as_secs_f64() / CUT_DECAY.as_secs_f64();
        let fading = even + (last - even) * (-age).exp();
        part.min(last).min(fading.max(even.min(last)))
    }

    fn raw_part(&self, now: Time, key: KeyId) -> f64 {
        let even = 1.0 / self.live.max(1) as f64;
        let own = self.own(now, key);
        let total = own + self.others(key);
        if total <= 0.0 {
            return even;
        }
        EVEN_PART * even + (1.0 - EVEN_PART) * own / total
    }

    /// This daemon's share of a limit in whole units.
    ///
    /// The fractional parts of all shares also add up to whole units, which go to the daemons with
    /// the largest fractions; every daemon calculates the same order. Otherwise a limit of 10
    /// would be 0 for each of 64 daemons.
    #[must_use]
    pub fn allotment(&self, now: Time, key: KeyId, limit: f64) -> u32 {
        let own = self.part(now, key) * limit;
        if self.cut.is_some() {
            return own as u32;
        }
        let own_fraction = (own.fract(), self.rank(&self.me, key));
        let total = self.own(now, key) + self.others(key);
        let mut left = limit - own.floor();
        let mut ahead = 0_u32;
        for (id, peer) in &self.peers {
            let demand = peer.demand.get(key);
            let even = EVEN_PART / self.live as f64;
            let part = match total > 0.0 {
                true => even + (1.0 - EVEN_PART) * demand / total,
                false => 1.0 / self.live as f64,
            };
            let theirs = part * limit;
            left -= theirs.floor();
            ahead += u32::from((theirs.fract(), self.rank(id, key)) > own_fraction);
        }
        let extra = f64::from(ahead) + 1.0 <= left + ROUNDING;
        own as u32 + u32::from(extra)
    }

    /// Breaks ties between equal fractions, in a different order for each key.
    fn rank(&self, id: &DaemonId, key: KeyId) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), u64::from(key.0))
    }

    /// Number of other daemons remembered.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}

/// Demand below which the appearance or disappearance of a key is not published.
const MIN_DEMAND: f64 = 0.05;
/// Tolerance for rounding errors in sums of shares.
const ROUNDING: f64 = 1e-6;
