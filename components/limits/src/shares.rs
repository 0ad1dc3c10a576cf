//! This daemon's part of what is limited for the fleet.
//!
//! Every daemon computes the parts from the same published demands, its own included, so that
//! the parts add up to the whole up to the time that a fact takes to spread. A small part of
//! every limit is split evenly, for daemons that have not published yet.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::demand::{DemandFact, KeyId};

/// Part of every limit that is split evenly.
const EVEN_PART: f64 = 0.1;
/// Daemons remembered, at most.
const MAX_PEERS: usize = 2_048;
/// A daemon that is gone keeps its part this long: a false death then costs nothing.
const GONE_HOLD: Span = Span::from_secs(3);
/// The own part rises only after the others had time to hear of it.
const RISE_DELAY: Span = Span::from_secs(1);
/// Time in which a cut-off daemon's part moves most of the way to its even part.
const CUT_DECAY: Span = Span::from_secs(10);
/// Shortest time between two facts.
const MIN_INTERVAL: Span = Span::from_millis(500);
/// The same for each daemon of the fleet, so that facts a second stay bounded as it grows.
const INTERVAL_PER_DAEMON: Span = Span::from_millis(50);
/// A change that is published: this part of the last demand ...
const CHANGED_PART: f64 = 0.1;
/// ... and this much besides, so that single requests make no message.
const CHANGED_BY: f64 = 0.5;

/// Another daemon's demand.
#[derive(Debug, Clone, Default)]
struct Peer {
    demand: DemandFact,
    gone_at: Option<Time>,
}

/// A part that was in force when the daemon was cut off.
#[derive(Debug, Clone)]
struct Cut {
    at: Time,
    parts: BTreeMap<KeyId, f64>,
}

/// This daemon's part of what is limited for the fleet.
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

/// How much of the fleet is in reach, this daemon included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Daemons in reach.
    pub reached: usize,
    /// Daemons that the fleet is known to have.
    pub known: usize,
}

impl Shares {
    /// For a daemon that knows of no other.
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

    /// Takes over who is live and how much of the fleet is in reach.
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

    /// Whether most of the fleet is out of reach. Whether the others died or this daemon
    /// is cut off cannot be told, so it must not take their parts.
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

    /// Takes another daemon's fact.
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

    /// Sums anew, which also ends what rounding has left.
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

    /// The fact to publish, when demand has changed enough since the last one.
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

    /// Own demand as the others know it; a rise counts once they can have heard of it.
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

    /// Demand of the other daemons.
    #[must_use]
    pub fn others(&self, key: KeyId) -> f64 {
        self.totals.get(&key).copied().unwrap_or(0.0).max(0.0)
    }

    /// This daemon's part of a limit, from 0 to 1.
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

    /// This daemon's part of a limit in whole units.
    ///
    /// The fractions of all daemons' parts make whole units too: they go to the daemons of
    /// the largest fractions, which all compute alike. Otherwise a limit of 10 would be 0 for
    /// each of 64 daemons.
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

    /// Breaks ties between equal fractions, differently for each key.
    fn rank(&self, id: &DaemonId, key: KeyId) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), u64::from(key.0))
    }

    /// Other daemons remembered.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}

/// Demand below which a key's coming or going makes no message.
const MIN_DEMAND: f64 = 0.05;
/// Tolerance of sums of parts.
const ROUNDING: f64 = 1e-6;
