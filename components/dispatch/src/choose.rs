//! Choice of the upstream for a request.
//!
//! For engines, the cost of an upstream is the expected time until the first event: the requests
//! sent there whose answers have not started, and the part of the prompt that the engine must
//! prefill, which counts by the engine's pace if it is slow. All daemons agree on a preferred
//! engine of each shared prefix by rendezvous hashing, so
//! a prefix cached there for one daemon's request serves its peers' requests too. If the preferred
//! engine has a long backlog, another one is cheaper and is chosen. For plain services, the cost
//! follows from the outstanding requests. A few random candidates are compared as well, so that
//! daemons do not all act on the same view. Upstreams in the daemon's own failure domain are
//! sampled more often and cost less.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::affinity::{AffinityTargets, known_cached_tokens, prefixes_of, shared_tokens};
use crate::leases::LeaseOffer;
use crate::policy::PlacingPolicy;
use crate::requirements::Requirements;
use crate::trial::Permit;
use crate::upstreams::{ENGINE_BASE_MS, Entry, Load, UpstreamIndex, Upstreams};

/// Random candidates of a short prompt, drawn once from all upstreams and once from those in
/// the daemon's own failure domain. With more of them, all daemons would act on the same view,
/// which is some hundred ms old.
const RANDOM_CANDIDATES: usize = 2;
/// Random candidates of a long prompt, for which a wider comparison pays off.
const RANDOM_CANDIDATES_LONG: usize = 12;
/// Prefill time from which a prompt counts as long, in ms.
const LONG_PREFILL_MS: f64 = 250.0;
/// Delay caused by each request that an engine is processing, in ms: a batch's step grows by about
/// a hundredth of a millisecond per request, and an answer has some hundred steps.
const RUNNING_REQUEST_MS: f64 = 2.0;
/// Error of a share of upstreams that was worked out from a whole number of them.
const ROUNDING: f64 = 1e-9;

/// The upstream chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Index of the upstream.
    pub index: UpstreamIndex,
    /// Load that the request adds to the upstream.
    pub load: Load,
    /// Hashes of the prompt prefixes that the upstream will have cached.
    pub prefixes: Vec<u64>,
    /// The lease that it needs; `None` if this daemon's own share suffices.
    pub lease: Option<LeaseOffer>,
}

/// The upstreams that a request was not sent to yet.
pub(crate) struct Untried<'a> {
    pub(crate) upstreams: Vec<(UpstreamIndex, &'a Entry)>,
    /// Number of upstreams that the request may be sent to, with those that were tried.
    permitted: usize,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum NoUpstream {
    /// No upstream is listed that the request may be sent to.
    Unknown,
    /// All listed upstreams that it may be sent to are in evacuated failure domains.
    Evacuated,
    /// All upstreams that the request may be sent to were tried.
    Tried,
    /// The rate limits of all remaining upstreams allow no request now.
    Limited {
        /// When the first of them allows one.
        until: Time,
    },
    /// All remaining upstreams are brittle and have no room now.
    Busy {
        /// When one of them may have room.
        until: Time,
    },
}

impl NoUpstream {
    /// Whether this daemon has no share left of what upstreams allow all daemons together.
    #[must_use]
    pub fn is_without_share(self) -> bool {
        matches!(self, Self::Limited { .. } | Self::Busy { .. })
    }

    /// Describes the reason in a message to the caller.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unknown => "no upstream is listed that may run it",
            Self::Evacuated => "every upstream that may run it is in an evacuated failure domain",
            Self::Tried => "every upstream that may run it was tried",
            Self::Busy { .. } => "no upstream that may run it has room",
            Self::Limited { .. } => "every upstream that may run it is at its rate limit",
        }
    }
}

impl Upstreams {
    /// Chooses an upstream.
    ///
    /// An ejected one is chosen only when there is no other: ejection is a guess at its health
    /// and no reason to refuse a request.
    ///
    /// # Errors
    /// Says why there is none.
    pub fn choose(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoUpstream> {
        let mut untried = self.untried(requirements)?;
        self.retain_admitted(now, &mut untried.upstreams)?;
        let has_room = self.retain_with_room(now, requirements.service, &mut untried.upstreams);
        has_room.map_err(|until| NoUpstream::Busy { until })?;
        Ok(self.choose_among(now, untried, requirements, rng))
    }

    /// Returns the upstreams that a request may be sent to and was not sent to yet.
    pub(crate) fn untried(
        &self,
        requirements: &Requirements<'_>,
    ) -> Result<Untried<'_>, NoUpstream> {
        let listed = self.permitted(requirements);
        let permitted = listed.filter(|(_, entry)| entry.takes_requests());
        let mut upstreams = permitted.collect::<Vec<_>>();
        let permitted = upstreams.len();
        if permitted == 0 {
            return Err(match self.permitted(requirements).next() {
                Some(_) => NoUpstream::Evacuated,
                None => NoUpstream::Unknown,
            });
        }
        upstreams.retain(|(i, _)| !requirements.exclude.contains(i));
        match upstreams.is_empty() {
            true => Err(NoUpstream::Tried),
            false => Ok(Untried {
                upstreams,
                permitted,
            }),
        }
    }

    /// Chooses among the upstreams that may get the request now.
    pub(crate) fn choose_among(
        &self,
        now: Time,
        untried: Untried<'_>,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Choice {
        let ejects_outliers = self.policy.sets_aside;
        let is_available = |entry: &Entry| {
            let is_backoff_over = now.has_reached(entry.backoff_until);
            is_backoff_over
                && !entry.rejects_model(now, requirements.model)
                && (!ejects_outliers || !entry.health.is_ejected(now))
        };
        let Untried {
            upstreams,
            permitted,
        } = untried;
        let available = upstreams.iter().filter(|(_, entry)| is_available(entry));
        let available = available.copied().collect::<Vec<_>>();
        let mut eligible = if available.is_empty() {
            upstreams
        } else {
            available
        };
        if let Permit::Subset(_, share) = requirements.permit {
            retain_subset(&mut eligible, *share, permitted);
        }
        if requirements.isolated {
            retain_least_loaded(&mut eligible);
        }
        if let Some(choice) = self.choose_even(now, &eligible, requirements, rng) {
            return choice;
        }
        self.cheapest(now, &eligible, requirements, rng)
    }

    /// Iterates over the listed upstreams that a request may be sent to, those in evacuated failure
    /// domains included.
    fn permitted(
        &self,
        requirements: &Requirements<'_>,
    ) -> impl Iterator<Item = (UpstreamIndex, &Entry)> {
        let indices = self
            .by_service
            .get(requirements.service)
            .into_iter()
            .flatten();
        let listed = indices.filter_map(|index| Some((*index, self.entries.get(index)?)));
        listed.filter(|(_, entry)| {
            !entry.is_leaving && requirements.permit.allows(&entry.spec.version)
        })
    }

    fn cheapest(
        &self,
        now: Time,
        eligible: &[(UpstreamIndex, &Entry)],
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Choice {
        let prefixes = prefixes_of(requirements);
        let all = (0..eligible.len()).collect::<Vec<_>>();
        let is_local = |position: &usize| {
            eligible[*position].1.spec.failure_domain == *requirements.local_domain
        };
        let local = all.iter().copied().filter(is_local).collect::<Vec<_>>();
        let re_prefill_ms = self.re_prefill_cost_ms(requirements);
        let far_ms = self.policy.far_ms;
        let targets = match self.policy.uses_homes {
            true => AffinityTargets::new(eligible, &local, &prefixes, re_prefill_ms, far_ms),
            false => AffinityTargets::default(),
        };
        let full_prefill_ms =
            self.prefill_ms(requirements.model, f64::from(requirements.prompt_tokens));
        let count = match full_prefill_ms > LONG_PREFILL_MS {
            true => RANDOM_CANDIDATES_LONG,
            false => RANDOM_CANDIDATES,
        };
        let drawn = draw(&all, count, rng);
        let drawn_local = draw(&local, count, rng);
        let positions = targets.positions().chain(drawn).chain(drawn_local);
        let priced = positions.map(|position| {
            let (index, entry) = eligible[position];
            let known = known_cached_tokens(entry, requirements, &prefixes);
            let cached = targets.expected_cached(position, known, shared_tokens(requirements));
            let load = self.load(now, entry, requirements, cached);
            let slowdown = match entry.is_cold(now) {
                true => self.cold_slowdown(requirements.service),
                false => 1.0,
            };
            let cost = cost(now, &self.policy, entry, &load, requirements, slowdown);
            (cost, index, load)
        });
        let least = priced.min_by(|a, b| a.0.total_cmp(&b.0));
        let (index, load) = least.map_or((eligible[0].0, Load::default()), |(_, i, l)| (i, l));
        Choice {
            index,
            load,
            prefixes,
            lease: None,
        }
    }

    fn load(&self, now: Time, entry: &Entry, requirements: &Requirements<'_>, cached: f64) -> Load {
        if requirements.parts.is_empty() {
            return self.plain_load(entry, requirements);
        }
        let shared = f64::from(shared_tokens(requirements));
        let uncached = (f64::from(requirements.prompt_tokens) - cached).max(0.0);
        Load {
            uncached_tokens: uncached as u32,
            uncached_shared_tokens: (shared - cached).max(0.0) as u32,
            expected_ms: ENGINE_BASE_MS + self.prefill_ms(requirements.model, uncached),
            expected_uncached_ms: ENGINE_BASE_MS
                + self.prefill_ms(requirements.model, f64::from(requirements.prompt_tokens)),
            wait_ms: entry.backlog.wait_ms(now) + entry.remote.backlog_ms,
            is_engine: requirements.model.is_some(),
        }
    }

    /// Cost of prefilling a prompt's shared parts again, in ms.
    fn re_prefill_cost_ms(&self, requirements: &Requirements<'_>) -> f64 {
        let shared = f64::from(shared_tokens(requirements));
        self.prefill_ms(requirements.model, shared)
            + shared / 1_000.0 * self.policy.read_again_ms_per_1000
    }

    pub(crate) fn plain_load(&self, entry: &Entry, requirements: &Requirements<'_>) -> Load {
        let expected_ms = self.plain_ms(requirements.service);
        let outstanding = entry.in_flight + entry.remote.in_flight;
        let slots = entry.spec.slots.max(1);
        let waiting = outstanding.saturating_sub(slots - 1);
        Load {
            uncached_tokens: 0,
            uncached_shared_tokens: 0,
            expected_ms,
            expected_uncached_ms: expected_ms,
            wait_ms: f64::from(waiting) * expected_ms / f64::from(slots),
            is_engine: requirements.model.is_some(),
        }
    }
}

fn cost(
    now: Time,
    policy: &PlacingPolicy,
    entry: &Entry,
    load: &Load,
    requirements: &Requirements<'_>,
    slowdown: f64,
) -> f64 {
    let is_cross_domain = entry.spec.failure_domain != *requirements.local_domain;
    let cross_domain = if is_cross_domain { policy.far_ms } else { 0.0 };
    let outstanding = f64::from(entry.in_flight + entry.remote.in_flight);
    let per_request_ms = match requirements.parts.is_empty() {
        true => load.expected_ms / f64::from(entry.spec.slots.max(1)),
        false => RUNNING_REQUEST_MS + policy.harm_share * load.expected_ms,
    };
    let re_prefill =
        f64::from(load.uncached_shared_tokens) / 1_000.0 * policy.read_again_ms_per_1000;
    let silence = entry.silent_ms(now) * policy.silence_share;
    let pace = entry.pace.get();
    (load.wait_ms + load.expected_ms / pace + outstanding * per_request_ms / pace) * slowdown
        + cross_domain
        + re_prefill
        + silence
}

/// Retains the upstreams with the fewest outstanding requests.
fn retain_least_loaded(eligible: &mut Vec<(UpstreamIndex, &Entry)>) {
    let outstanding = |entry: &Entry| entry.in_flight + entry.remote.in_flight;
    let least = eligible.iter().map(|(_, entry)| outstanding(entry)).min();
    eligible.retain(|(_, entry)| Some(outstanding(entry)) == least);
}

/// Retains a share of the `total` upstreams, the same ones at every daemon.
fn retain_subset(eligible: &mut Vec<(UpstreamIndex, &Entry)>, share: Share, total: usize) {
    let count = (share.get() * total as f64 - ROUNDING).ceil() as usize;
    eligible.sort_by_key(|(_, entry)| xxh3_64(entry.spec.id.as_str().as_bytes()));
    eligible.truncate(count.max(1));
}

/// Draws `count` positions at random. When there are no more than that, returns all of them
/// shuffled, since the first of equally cheap candidates is chosen.
fn draw(positions: &[usize], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    if positions.len() <= count {
        let mut shuffled = positions.to_vec();
        shuffled.shuffle(rng);
        return shuffled;
    }
    let drawn = (0..count).map(|_| positions[rng.random_range(0..positions.len())]);
    drawn.collect()
}
