//! This daemon's share of each limit of the fleet.
//!
//! Every daemon calculates all shares from the same published demands, including its own, so the
//! shares add up to the whole limit, except while a fact is still spreading. A small part of each
//! limit is divided evenly, for daemons that have not published a demand yet.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::demand::{DemandFact, KeyId};

/// Fraction of each limit that is divided evenly.
const EVEN_FRACTION: f64 = 0.1;
/// Maximum number of other daemons remembered.
const MAX_PEERS: usize = 2_048;
/// A daemon that is gone keeps its share for this time, so that a false failure detection costs
/// nothing.
const GONE_SHARE_HOLD: Span = Span::from_secs(3);
/// This daemon's share increases only after the others had time to receive its new demand.
const INCREASE_DELAY: Span = Span::from_secs(1);
/// Time constant at which the share of an isolated daemon approaches an even share.
const ISOLATION_DECAY: Span = Span::from_secs(10);
/// Minimum interval between published facts.
const MIN_INTERVAL: Span = Span::from_millis(500);
/// Minimum interval per live daemon, so that the number of facts per second stays bounded as the
/// fleet grows.
const INTERVAL_PER_DAEMON: Span = Span::from_millis(50);
/// A change of demand is published if it exceeds this fraction of the last demand plus
/// [`CHANGE_AMOUNT`].
const CHANGE_FRACTION: f64 = 0.1;
/// Absolute part of that threshold, so that single requests cause no message.
const CHANGE_AMOUNT: f64 = 0.5;

/// Demand of another daemon.
#[derive(Debug, Clone, Default)]
struct Peer {
    demand: DemandFact,
    gone_at: Option<Time>,
}

/// Shares that were in force when the daemon became isolated.
#[derive(Debug, Clone)]
struct Isolation {
    at: Time,
    shares: BTreeMap<KeyId, f64>,
}

/// This daemon's share of each limit of the fleet.
#[derive(Debug, Clone)]
pub struct QuotaShares {
    me: DaemonId,
    published: DemandFact,
    previous: DemandFact,
    published_at: Option<Time>,
    peers: BTreeMap<DaemonId, Peer>,
    totals: BTreeMap<KeyId, f64>,
    live_daemons: usize,
    reach: Reach,
    isolation: Option<Isolation>,
}

/// Reachable part of the fleet, including this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Number of reachable daemons.
    pub reached: usize,
    /// Number of daemons that the fleet is known to have.
    pub known: usize,
}

impl QuotaShares {
    /// Creates the shares of a daemon that knows no other daemon.
    #[must_use]
    pub fn new(me: DaemonId) -> Self {
        Self {
            me,
            published: DemandFact::default(),
            previous: DemandFact::default(),
            published_at: None,
            peers: BTreeMap::new(),
            totals: BTreeMap::new(),
            live_daemons: 1,
            reach: Reach {
                reached: 1,
                known: 1,
            },
            isolation: None,
        }
    }

    /// Updates which daemons are live and how much of the fleet is reachable.
    pub fn update_fleet(&mut self, now: Time, live: &BTreeSet<DaemonId>, reach: Reach) {
        for (id, peer) in &mut self.peers {
            peer.gone_at = match live.contains(id) {
                true => None,
                false => peer.gone_at.or(Some(now)),
            };
        }
        let others = live.iter().filter(|id| **id != self.me).count();
        self.live_daemons = others + 1;
        self.reach = reach;
        self.update_isolation(now);
        if !self.is_cut_off() {
            self.remove_gone(now);
        }
        self.recalculate_totals();
    }

    /// Whether at least half of the fleet is unreachable. The daemon cannot tell whether the
    /// others failed or it is isolated itself, so it must not take over their shares.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.reach.reached * 2 <= self.reach.known
    }

    fn update_isolation(&mut self, now: Time) {
        if !self.is_cut_off() {
            self.isolation = None;
        } else if self.isolation.is_none() {
            let shares = self
                .totals
                .keys()
                .map(|key| (*key, self.demand_share(now, *key)));
            let shares = shares.collect();
            self.isolation = Some(Isolation { at: now, shares });
        }
    }

    fn remove_gone(&mut self, now: Time) {
        self.peers.retain(|_, peer| {
            let gone = peer.gone_at;
            gone.is_none_or(|at| now.since(at) < GONE_SHARE_HOLD)
        });
    }

    /// Updates the demand of another daemon.
    pub fn update_peer(&mut self, daemon: &DaemonId, demand: DemandFact) {
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
    fn recalculate_totals(&mut self) {
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
        let interval = MIN_INTERVAL.max(INTERVAL_PER_DAEMON.times(self.live_daemons as u64));
        if self.published_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        let fact = DemandFact::new(demands);
        if !self.has_changed(&fact) {
            return None;
        }
        self.previous = std::mem::replace(&mut self.published, fact.clone());
        self.published_at = Some(now);
        Some(fact)
    }

    fn has_changed(&self, fact: &DemandFact) -> bool {
        let keys = fact.iter().chain(self.published.iter());
        let mut keys = keys.map(|(key, _)| key);
        keys.any(|key| {
            let old = self.published.get(key);
            let new = fact.get(key);
            (new - old).abs() > CHANGE_FRACTION * old + CHANGE_AMOUNT
                || (old == 0.0) != (new == 0.0) && new.max(old) > MIN_DEMAND
        })
    }

    /// Own demand as known to the others; an increase counts once they had time to receive it.
    fn effective_demand(&self, now: Time, key: KeyId) -> f64 {
        let new = self.published.get(key);
        let is_known = self
            .published_at
            .is_some_and(|at| now.since(at) >= INCREASE_DELAY);
        if is_known {
            new
        } else {
            new.min(self.previous.get(key))
        }
    }

    /// Total demand of the other daemons.
    #[must_use]
    pub fn others_demand(&self, key: KeyId) -> f64 {
        self.totals.get(&key).copied().unwrap_or(0.0).max(0.0)
    }

    /// This daemon's share of a limit, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Time, key: KeyId) -> f64 {
        let share = self.demand_share(now, key);
        let Some(isolation) = &self.isolation else {
            return share;
        };
        let even = 1.0 / self.reach.known.max(1) as f64;
        let last = isolation.shares.get(&key).copied().unwrap_or(even);
        let age = now.since(isolation.at).as_secs_f64() / ISOLATION_DECAY.as_secs_f64();
        let decayed = even + (last - even) * (-age).exp();
        share.min(last).min(decayed.max(even.min(last)))
    }

    fn demand_share(&self, now: Time, key: KeyId) -> f64 {
        let even = 1.0 / self.live_daemons.max(1) as f64;
        let own = self.effective_demand(now, key);
        let total = own + self.others_demand(key);
        if total <= 0.0 {
            return even;
        }
        EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / total
    }

    /// This daemon's share of a limit in whole units.
    ///
    /// The fractional parts of all shares also add up to whole units, which go to the daemons with
    /// the largest fractions; every daemon calculates the same order. Otherwise a limit of 10
    /// would be 0 for each of 64 daemons.
    #[must_use]
    pub fn share_units(&self, now: Time, key: KeyId, limit: f64) -> u32 {
        let own = self.share(now, key) * limit;
        if self.isolation.is_some() {
            return own as u32;
        }
        let own_fraction = (own.fract(), self.tie_rank(&self.me, key));
        let total = self.effective_demand(now, key) + self.others_demand(key);
        let mut left = limit - own.floor();
        let mut ahead = 0_u32;
        for (id, peer) in &self.peers {
            let demand = peer.demand.get(key);
            let even = EVEN_FRACTION / self.live_daemons as f64;
            let share = match total > 0.0 {
                true => even + (1.0 - EVEN_FRACTION) * demand / total,
                false => 1.0 / self.live_daemons as f64,
            };
            let theirs = share * limit;
            left -= theirs.floor();
            ahead += u32::from((theirs.fract(), self.tie_rank(id, key)) > own_fraction);
        }
        let extra = f64::from(ahead) + 1.0 <= left + ROUNDING;
        own as u32 + u32::from(extra)
    }

    /// Breaks ties between equal fractions, in a different order for each key.
    fn tie_rank(&self, id: &DaemonId, key: KeyId) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), u64::from(key.0))
    }

    /// Number of other daemons remembered.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

/// Demand below which the appearance or disappearance of a key is not published.
const MIN_DEMAND: f64 = 0.05;
/// Tolerance for rounding errors in sums of shares.
const ROUNDING: f64 = 1e-6;
