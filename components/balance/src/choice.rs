//! Choice by a daemon's own use of the upstreams, bounded by the estimated load.
//!
//! Reports are older than the time of an answer, so the upstream that they show as least loaded is
//! no longer that. What a daemon knows exactly are its own requests. Each daemon gives a request to
//! the upstream where it has the fewest in flight, the one that it has not used for longest first,
//! so its requests spread more evenly than random ones. The estimate only tells which upstreams
//! don't keep up.

use rand::{Rng, RngExt};
use types::prelude::*;

/// Up to this many upstreams are all compared; of more, a few random ones are.
const MAX_COMPARED: usize = 16;
/// Random candidates among the near upstreams, and as many among all.
const CANDIDATES: usize = 2;
/// Load per slot from which a near upstream does not keep up.
const KEEPS_UP_BELOW: f64 = 0.8;
/// Load per slot by other daemons above the service's mean from which an upstream is avoided. Less
/// than half a request per slot is within the error of the estimate in a large fleet.
const MAX_EXCESS: f64 = 0.5;
/// How long an upstream that rejected a request is taken to be full.
const FULL_FOR: Span = Span::from_millis(50);
/// Slots per daemon from which a service is not balanced: each daemon then has enough requests in
/// flight to see the load itself.
const SLOTS_PER_DAEMON: u64 = 2;

/// Whether the upstreams of a service with this number of slots are balanced.
#[must_use]
pub fn applies(slots: u64, daemons: usize) -> bool {
    slots < SLOTS_PER_DAEMON.saturating_mul(daemons as u64)
}

/// Returns until when an upstream that rejects a request now is taken to be full.
#[must_use]
pub fn full_until(now: Time) -> Time {
    now + FULL_FOR
}

/// An upstream as a candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// This daemon's requests in flight.
    pub own: u32,
    /// When this daemon last sent a request there.
    pub used_at: Time,
    /// Estimated requests in flight of other daemons.
    pub others: f64,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it rejected a request so recently that it is taken to be full.
    pub is_full: bool,
    /// Whether it is cold: it is slow, and has few requests because it is avoided.
    pub is_cold: bool,
}

impl Candidate {
    fn others_per_slot(&self) -> f64 {
        self.others / f64::from(self.slots.max(1))
    }

    /// Whether a slot is believed to be free.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        !self.is_full && f64::from(self.own) + self.others < f64::from(self.slots.max(1))
    }

    /// Whether it is avoided while there is another one.
    fn is_avoided(&self) -> bool {
        self.is_full || self.is_cold
    }

    fn keeps_up(&self) -> bool {
        let load = (f64::from(self.own) + self.others) / f64::from(self.slots.max(1));
        !self.is_avoided() && load < KEEPS_UP_BELOW
    }

    fn key(&self, mean: f64) -> (bool, bool, u32, Time) {
        let is_overloaded = self.others_per_slot() > mean + MAX_EXCESS;
        (self.is_avoided(), is_overloaded, self.own, self.used_at)
    }
}

/// Chooses among upstreams at positions `0..count`, of which those in `near` are in the daemon's own
/// failure domain; `mean` is the service's mean load per slot by other daemons.
///
/// A near upstream is chosen while it keeps up, otherwise one of all. Returns `None` if there are no
/// upstreams.
pub fn choose(
    count: usize,
    near: &[usize],
    mean: f64,
    candidate: impl Fn(usize) -> Candidate,
    rng: &mut impl Rng,
) -> Option<usize> {
    let near_best = best(near.len(), |i| near[i], mean, &candidate, rng);
    if let Some((position, _)) = near_best.filter(|(_, candidate)| candidate.keeps_up()) {
        return Some(position);
    }
    let all_best = best(count, |i| i, mean, &candidate, rng);
    let both = all_best.into_iter().chain(near_best);
    let best = both.min_by_key(|(_, candidate)| candidate.key(mean));
    best.map(|(position, _)| position)
}

/// Returns the best of all positions, or of a few random ones. Comparing starts at a random
/// position, since the first of equal ones is kept.
fn best(
    count: usize,
    position: impl Fn(usize) -> usize,
    mean: f64,
    candidate: &impl Fn(usize) -> Candidate,
    rng: &mut impl Rng,
) -> Option<(usize, Candidate)> {
    if count == 0 {
        return None;
    }
    let start = rng.random_range(0..count);
    let compared = match count <= MAX_COMPARED {
        true => count,
        false => CANDIDATES,
    };
    let positions = (0..compared).map(|i| match count <= MAX_COMPARED || i == 0 {
        true => (start + i) % count,
        false => (start + rng.random_range(1..count)) % count,
    });
    let candidates = positions.map(|drawn| {
        let position = position(drawn);
        (position, candidate(position))
    });
    candidates.min_by_key(|(_, candidate)| candidate.key(mean))
}
