//! Home upstreams of a prompt, the same for every daemon of a region.
//!
//! The first prefix level of a prompt is what many sessions share, such as instructions or a
//! document; the second distinguishes the sessions. The first level's point on the ring and its
//! popularity determine a window of members, and among these the session chooses by rendezvous
//! hashing. So a session's next request finds its cache whichever daemon it comes through, a rare
//! prefix is cached once, a popular one is spread over as many upstreams as its share of the work
//! needs, and a lost upstream moves only its own sessions.

use std::collections::HashMap;

use types::prelude::*;

use crate::affinity::prefix_key;
use crate::demand::{RouteRequest, UpstreamIndex};
use crate::pool::HashOrder;
use crate::router::Router;

/// Probability assumed for a cached prefix to be found at the first home, and at the second, which
/// is used while the first is busy.
pub(crate) const HOME_PROBABILITY: [f64; 2] = [1.0, 0.3];
/// Window size of a first level, per member of the ring and per share of the requests that have
/// this first level.
const WINDOW_FACTOR: f64 = 32.0;
/// Minimum number of members in a window.
const MIN_WINDOW: usize = 8;
/// Maximum number of members in a window; wider ones begin at the session's point instead.
const MAX_WINDOW: usize = 64;
/// Window size of a session whose first level exceeds the maximum window.
const SESSION_WINDOW: usize = 16;
/// Time that a generation of counts covers.
const GENERATION_SPAN: Span = Span::from_secs(120);
/// Maximum number of first levels counted in a generation; further ones count as unpopular.
const MAX_COUNTED_LEVELS: usize = 8_192;

/// First and second home of a prompt.
pub(crate) type Homes = [Option<UpstreamIndex>; HOME_PROBABILITY.len()];

impl Router {
    /// Returns the homes of a prompt and counts its first level.
    pub(crate) fn homes(&mut self, now: Time, request: &RouteRequest<'_>) -> Homes {
        let (Some(first), Some(pool)) = (
            request.prefix.first(),
            self.pools.get(request.target.as_usize()),
        ) else {
            return [None; HOME_PROBABILITY.len()];
        };
        let second = request.prefix.get(1).unwrap_or(first);
        let group_key = prefix_key(request.target, *first);
        let session_key = prefix_key(request.target, *second);
        let share = self.popularity.count(now, group_key);
        choose(pool.region_ring(), group_key, session_key, share)
    }
}

fn choose(ring: &HashOrder, group_key: u64, session_key: u64, share: f64) -> Homes {
    let wanted_window = (share * WINDOW_FACTOR * ring.len() as f64).ceil() as usize;
    let wanted_window = wanted_window.max(MIN_WINDOW).next_power_of_two();
    let (point, window) = if wanted_window > MAX_WINDOW {
        (session_key, SESSION_WINDOW)
    } else {
        (group_key, wanted_window)
    };
    let mut best = [(0, None); HOME_PROBABILITY.len()];
    for (hash, index) in ring.after(point, window) {
        let rank = hash_of(session_key ^ hash);
        if rank >= best[0].0 {
            best = [(rank, Some(index)), best[0]];
        } else if rank >= best[1].0 {
            best[1] = (rank, Some(index));
        }
    }
    best.map(|(_, index)| index)
}

fn hash_of(value: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&value.to_le_bytes())
}

/// Share of each first level in the recent requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Popularity {
    current: Counts,
    previous: Counts,
    rotate_at: Time,
}

#[derive(Debug, Clone, Default)]
struct Counts {
    by_key: HashMap<u64, u32>,
    total: u32,
}

impl Popularity {
    /// Counts a request and returns the share of its key in all recent ones.
    ///
    /// A key seen for the first time has share 0; otherwise a daemon with few requests would treat
    /// every rare prompt as a popular one.
    fn count(&mut self, now: Time, key: u64) -> f64 {
        if now.has_reached(self.rotate_at) {
            self.previous = std::mem::take(&mut self.current);
            self.rotate_at = now + GENERATION_SPAN;
        }
        self.current.total += 1;
        let has_room = self.current.by_key.len() < MAX_COUNTED_LEVELS;
        if has_room || self.current.by_key.contains_key(&key) {
            *self.current.by_key.entry(key).or_default() += 1;
        }
        let seen = |counts: &Counts| counts.by_key.get(&key).copied().unwrap_or(0);
        let count = seen(&self.current) + seen(&self.previous);
        f64::from(count.saturating_sub(1)) / f64::from(self.current.total + self.previous.total)
    }
}
