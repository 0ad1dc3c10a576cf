//! Where a prompt is at home: the same upstreams for every daemon of a region.
//!
//! A prompt's first level is what many sessions share, such as instructions or a document;
//! the second tells one session from another. The first level's point on the ring and its
//! popularity give a window of members, and among these the session chooses by rendezvous
//! hashing. So a session's next request finds its cache whichever daemon it comes through,
//! what is seldom asked for is cached once, what is popular is spread over as many upstreams
//! as its part of the work needs, and a lost upstream moves only its own sessions.

use std::collections::HashMap;

use types::prelude::*;

use crate::affinity::key_of;
use crate::demand::{Demand, UpstreamIndex};
use crate::pool::HashOrder;
use crate::router::Router;

/// Trust that what is cached is found at the first home, and at the second, which is used
/// while the first is busy.
pub(crate) const HOME_TRUST: [f64; 2] = [1.0, 0.3];
/// Members for a first level, as a multiple of its part of the work.
const SPREAD: f64 = 32.0;
/// Members of a window, at least.
const MIN_WINDOW: usize = 8;
/// Members of a window, at most; wider ones begin at the session's point.
const MAX_WINDOW: usize = 64;
/// Members among which a session of a very popular first level chooses.
const SESSION_WINDOW: usize = 16;
/// Time that a generation of counts covers.
const GENERATION: Span = Span::from_secs(120);
/// First levels counted in a generation; later ones count as unpopular.
const MAX_COUNTED: usize = 8_192;

/// First and second home of a prompt.
pub(crate) type Homes = [Option<UpstreamIndex>; HOME_TRUST.len()];

impl Router {
    /// Where a prompt is at home; counts its first level.
    pub(crate) fn homes(&mut self, now: Time, demand: &Demand<'_>) -> Homes {
        let (Some(first), Some(pool)) = (
            demand.prefix.first(),
            self.candidates.get(demand.target.slot()),
        ) else {
            return [None; HOME_TRUST.len()];
        };
        let second = demand.prefix.get(1).unwrap_or(first);
        let group = key_of(demand.target, *first);
        let session = key_of(demand.target, *second);
        let share = self.popularity.count(now, group);
        choose(pool.near_ring(), group, session, share)
    }
}

fn choose(ring: &HashOrder, group: u64, session: u64, share: f64) -> Homes {
    let wanted = (share * SPREAD * ring.len() as f64).ceil() as usize;
    let wanted = wanted.max(MIN_WINDOW).next_power_of_two();
    let (point, window) = if wanted > MAX_WINDOW {
        (session, SESSION_WINDOW)
    } else {
        (group, wanted)
    };
    let mut best = [(0, None); HOME_TRUST.len()];
    for (hash, index) in ring.after(point, window) {
        let rank = mix(session ^ hash);
        if rank >= best[0].0 {
            best = [(rank, Some(index)), best[0]];
        } else if rank >= best[1].0 {
            best[1] = (rank, Some(index));
        }
    }
    best.map(|(_, index)| index)
}

fn mix(value: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&value.to_le_bytes())
}

/// How often each first level was seen of late, as a part of all.
#[derive(Debug, Clone, Default)]
pub(crate) struct Popularity {
    young: Counts,
    old: Counts,
    turn_at: Time,
}

#[derive(Debug, Clone, Default)]
struct Counts {
    by_key: HashMap<u64, u32>,
    all: u32,
}

impl Popularity {
    /// Counts one and says its part of all. One seen for the first time has none: otherwise a
    /// daemon that sees few requests would take every rare prompt for a popular one.
    fn count(&mut self, now: Time, key: u64) -> f64 {
        if now.has_reached(self.turn_at) {
            self.old = std::mem::take(&mut self.young);
            self.turn_at = now + GENERATION;
        }
        self.young.all += 1;
        let is_room = self.young.by_key.len() < MAX_COUNTED;
        if is_room || self.young.by_key.contains_key(&key) {
            *self.young.by_key.entry(key).or_default() += 1;
        }
        let seen = |counts: &Counts| counts.by_key.get(&key).copied().unwrap_or(0);
        let own = seen(&self.young) + seen(&self.old);
        f64::from(own.saturating_sub(1)) / f64::from(self.young.all + self.old.all)
    }
}
