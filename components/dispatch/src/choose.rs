//! Which upstream gets a request.
//!
//! For engines the cost of a choice is the time until the first event: what was sent there
//! and has not begun to answer, and the part of the prompt that the engine must read. All
//! daemons agree on a home engine of each shared prompt by rendezvous hashing, so what one
//! daemon had read there serves the others too; a home that is behind loses to others.
//! For plain services it is the requests out there. A few candidates are
//! compared at random besides, so that daemons do not all follow one picture. Upstreams of
//! the own failure domain are looked at more closely and cost less.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::affinity::{Homes, held_tokens, prefixes_of, shared_tokens};
use crate::need::Need;
use crate::policy::PlacingPolicy;
use crate::trial::Permit;
use crate::upstreams::{ENGINE_BASE_MS, Entry, Load, UpstreamIndex, Upstreams};

/// Candidates drawn at random beside the homes, from all and from the own failure domain
/// each, of a short prompt: with more of them the daemons would follow one picture that is some hundred ms old.
const DRAWN: usize = 2;
/// Candidates of a long prompt, which is worth a closer look.
const DRAWN_LONG: usize = 12;
/// Reading that takes this long makes a prompt a long one, in ms.
const LONG_MS: f64 = 250.0;
/// Delay by each request that an engine runs, in ms: a batch's step grows by about a
/// hundredth of a millisecond a request and an answer has some hundred steps.
const RUNNING_MS: f64 = 2.0;
/// An upstream that just started takes about so many times as long.
const COLD_TIMES: f64 = 2.0;

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub index: UpstreamIndex,
    /// What the request means for it.
    pub load: Load,
    /// The prefixes that it will hold.
    pub prefixes: Vec<u64>,
}

/// Why a request goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum NoUpstream {
    /// None is listed that it may run on.
    Unknown,
    /// Those that it may run on were tried.
    Tried,
    /// The rate limits of those that it may run on allow no request now.
    Limited {
        /// One of them does from this moment on.
        until: Time,
    },
}

impl NoUpstream {
    /// In words.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unknown => "no upstream is listed that may run it",
            Self::Tried => "every upstream that may run it was tried",
            Self::Limited { .. } => "every upstream that may run it is at its rate limit",
        }
    }
}

impl Upstreams {
    /// Chooses an upstream.
    ///
    /// One that is set aside is taken only when there is no other: a guess at its health
    /// is no reason to refuse.
    ///
    /// # Errors
    /// Says why there is none.
    pub fn choose(
        &self,
        now: Time,
        need: &Need<'_>,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoUpstream> {
        let listed = self.by_service.get(need.service).into_iter().flatten();
        let permitted = listed.filter_map(|index| self.permitted(*index, need));
        let permitted = permitted.collect::<Vec<_>>();
        if permitted.is_empty() {
            return Err(NoUpstream::Unknown);
        }
        let untried = permitted.iter().filter(|(i, _)| !need.exclude.contains(i));
        let mut untried = untried.copied().collect::<Vec<_>>();
        if untried.is_empty() {
            return Err(NoUpstream::Tried);
        }
        self.keep_open(now, &mut untried)?;
        let sets_aside = self.policy.sets_aside;
        let is_well = |entry: &Entry| {
            let is_free = now.has_reached(entry.busy_until);
            is_free && (!sets_aside || !entry.health.is_aside(now))
        };
        let well = untried.iter().filter(|(_, entry)| is_well(entry));
        let well = well.copied().collect::<Vec<_>>();
        let mut eligible = if well.is_empty() { untried } else { well };
        if let Permit::Few(_, share) = need.permit {
            keep_few(&mut eligible, *share, permitted.len());
        }
        if need.apart {
            keep_emptiest(&mut eligible);
        }
        Ok(self.cheapest(now, &eligible, need, rng))
    }

    fn permitted(&self, index: UpstreamIndex, need: &Need<'_>) -> Option<(UpstreamIndex, &Entry)> {
        let entry = self.entries.get(&index)?;
        let is_permitted = !entry.is_leaving && need.permit.allows(&entry.spec.version);
        is_permitted.then_some((index, entry))
    }

    fn cheapest(
        &self,
        now: Time,
        eligible: &[(UpstreamIndex, &Entry)],
        need: &Need<'_>,
        rng: &mut impl Rng,
    ) -> Choice {
        let prefixes = prefixes_of(need);
        let all = (0..eligible.len()).collect::<Vec<_>>();
        let is_near = |place: &usize| eligible[*place].1.spec.failure_domain == *need.near;
        let near = all.iter().copied().filter(is_near).collect::<Vec<_>>();
        let again_ms = self.reading_again_ms(need);
        let far_ms = self.policy.far_ms;
        let homes = match self.policy.uses_homes {
            true => Homes::of(eligible, &near, &prefixes, again_ms, far_ms),
            false => Homes::default(),
        };
        let whole_ms = self.reading_ms(need.model, f64::from(need.prompt_tokens));
        let count = match whole_ms > LONG_MS {
            true => DRAWN_LONG,
            false => DRAWN,
        };
        let drawn = draw(&all, count, rng);
        let drawn_near = draw(&near, count, rng);
        let places = homes.places().chain(drawn).chain(drawn_near);
        let priced = places.map(|place| {
            let (index, entry) = eligible[place];
            let known = held_tokens(entry, need, &prefixes);
            let held = homes.held(place, known, shared_tokens(need));
            let load = self.load(now, entry, need, held);
            let cost = cost(now, &self.policy, entry, &load, need);
            (cost, index, load)
        });
        let least = priced.min_by(|a, b| a.0.total_cmp(&b.0));
        let (index, load) = least.map_or((eligible[0].0, Load::default()), |(_, i, l)| (i, l));
        Choice {
            index,
            load,
            prefixes,
        }
    }

    fn load(&self, now: Time, entry: &Entry, need: &Need<'_>, held: f64) -> Load {
        if need.parts.is_empty() {
            return self.plain_load(entry, need);
        }
        let shared = f64::from(shared_tokens(need));
        let missing = (f64::from(need.prompt_tokens) - held).max(0.0);
        Load {
            missing: missing as u32,
            missing_shared: (shared - held).max(0.0) as u32,
            expected_ms: ENGINE_BASE_MS + self.reading_ms(need.model, missing),
            unheld_ms: ENGINE_BASE_MS + self.reading_ms(need.model, f64::from(need.prompt_tokens)),
            wait_ms: entry.backlog.ms(now) + entry.others.backlog_ms,
        }
    }

    /// What reading a prompt's shared parts once more costs, in ms.
    fn reading_again_ms(&self, need: &Need<'_>) -> f64 {
        let shared = f64::from(shared_tokens(need));
        self.reading_ms(need.model, shared) + shared / 1_000.0 * self.policy.read_again_ms_per_1000
    }

    fn plain_load(&self, entry: &Entry, need: &Need<'_>) -> Load {
        let expected_ms = self.plain_ms(need.service);
        let out = entry.in_flight + entry.others.in_flight;
        let slots = entry.spec.slots.max(1);
        let waiting = out.saturating_sub(slots - 1);
        Load {
            missing: 0,
            missing_shared: 0,
            expected_ms,
            unheld_ms: expected_ms,
            wait_ms: f64::from(waiting) * expected_ms / f64::from(slots),
        }
    }
}

fn cost(now: Time, policy: &PlacingPolicy, entry: &Entry, load: &Load, need: &Need<'_>) -> f64 {
    let is_far = entry.spec.failure_domain != *need.near;
    let far = if is_far { policy.far_ms } else { 0.0 };
    let cold = match entry.spec.cold_for > Span::ZERO {
        true => COLD_TIMES,
        false => 1.0,
    };
    let out = f64::from(entry.in_flight + entry.others.in_flight);
    let each = match need.parts.is_empty() {
        true => load.expected_ms / f64::from(entry.spec.slots.max(1)),
        false => RUNNING_MS + policy.harm_share * load.expected_ms,
    };
    let read_again = f64::from(load.missing_shared) / 1_000.0 * policy.read_again_ms_per_1000;
    let silence = entry.silent_ms(now) * policy.silence_share;
    (load.wait_ms + load.expected_ms + out * each) * cold + far + read_again + silence
}

/// Keeps those that have least to do.
fn keep_emptiest(eligible: &mut Vec<(UpstreamIndex, &Entry)>) {
    let out = |entry: &Entry| entry.in_flight + entry.others.in_flight;
    let least = eligible.iter().map(|(_, entry)| out(entry)).min();
    eligible.retain(|(_, entry)| Some(out(entry)) == least);
}

/// Keeps a share of `all` upstreams, the same ones at every daemon.
fn keep_few(eligible: &mut Vec<(UpstreamIndex, &Entry)>, share: Share, all: usize) {
    let few = (share.get() * all as f64).ceil() as usize;
    eligible.sort_by_key(|(_, entry)| xxh3_64(entry.spec.id.as_str().as_bytes()));
    eligible.truncate(few.max(1));
}

/// Places drawn at random; all of them, in any order, when they are few: of equal ones the
/// first is taken.
fn draw(places: &[usize], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    if places.len() <= count {
        let mut all = places.to_vec();
        all.shuffle(rng);
        return all;
    }
    let drawn = (0..count).map(|_| places[rng.random_range(0..places.len())]);
    drawn.collect()
}
