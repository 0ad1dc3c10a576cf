//! Choice of an upstream for one request.

use rand::{Rng, RngExt};
use types::prelude::*;

use crate::demand::{PickError, RouteRequest, UpstreamIndex};
use crate::homes::{HOME_PROBABILITY, Homes};
use crate::pool::{DISTANCES, Distance, HashOrder, Pool};
use crate::router::{Entry, Router};

/// Load of the best candidate from which the next distance is considered too.
const SPILL_LOAD: f64 = 0.9;
/// Estimated load beyond which a free slot is not certain.
pub(crate) const BUSY_LOAD: f64 = 0.8;
/// Cost of waiting for a slot, for each request per slot that is ahead in the queue.
const QUEUE_COST: f64 = 2.0;
/// Cost of an upstream in another failure domain of the same region.
const OTHER_DOMAIN_COST: f64 = 0.02;
/// Cost of an upstream in another region.
const OTHER_REGION_COST: f64 = 0.5;
/// Cost of each failure point of an upstream.
const FAILURE_POINT_COST: f64 = 0.3;
/// Cost of an upstream in a suspected failure domain.
const SUSPECT_DOMAIN_COST: f64 = 2.0;
/// Cost of an upstream in a failure domain in which an earlier attempt of the request failed.
const TRIED_DOMAIN_COST: f64 = 1.0;
/// Maximum number of times that candidates are sampled again while the best one has recent
/// failures.
const MAX_RESAMPLES: usize = 4;
/// Maximum number of upstreams considered when no sampled candidate was fit.
const MAX_SCAN: usize = 256;

/// Parameters that trade the cost of a choice against its quality.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Number of random candidates at each distance.
    pub samples: usize,
    /// Number of a target's upstreams at each distance that this daemon samples from and polls.
    pub subset: usize,
    /// Cost of the re-prefill of a whole prompt, in requests per slot.
    pub prefill_cost: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            samples: 2,
            subset: 32,
            prefill_cost: 1.5,
        }
    }
}

/// Best candidate so far.
#[derive(Debug, Clone, Copy)]
struct Best {
    index: UpstreamIndex,
    cost: f64,
    load: f64,
    is_failing: bool,
}

/// State of one choice.
struct Choice<'a> {
    router: &'a Router,
    now: Time,
    request: &'a RouteRequest<'a>,
    pool: &'a Pool,
    homes: Homes,
    best: Option<Best>,
}

impl Router {
    /// Chooses an upstream for a request. Call [`Router::started`] when the request is sent there.
    ///
    /// # Errors
    /// When no upstream is fit, with the reason. Nothing has been sent then.
    pub fn pick(
        &mut self,
        now: Time,
        request: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> Result<UpstreamIndex, PickError> {
        self.apply_due_returns(now);
        let homes = self.homes(now, request);
        let pool = self.pools.get(request.target.as_usize());
        let pool = pool.ok_or(PickError::UnknownTarget)?;
        let mut choice = Choice {
            router: self,
            now,
            request,
            pool,
            homes,
            best: None,
        };
        choice.consider_holders();
        choice.consider_homes();
        choice.consider_recently_answered();
        choice.consider_preemptible(rng);
        choice.consider_samples(rng);
        choice.resample_if_failing(rng);
        if choice.best.is_none() {
            choice.consider_first(MAX_SCAN);
        }
        if choice.best.is_none() {
            choice.consider_ejected();
        }
        let best = choice.best.ok_or(PickError::NoneLive)?;
        Ok(best.index)
    }
}

impl Choice<'_> {
    /// Considers the upstreams that this daemon sent the longest known prefix to.
    fn consider_holders(&mut self) {
        let router = self.router;
        let target = self.request.target;
        let prefixes = self.request.prefix.iter().rev();
        let mut holders = prefixes.filter_map(|prefix| router.prefixes.holders(target, *prefix));
        if let Some(holders) = holders.next() {
            for index in holders.iter() {
                self.consider(index);
            }
        }
    }

    /// Considers the home upstreams of the prompt, which are the same for every daemon of the
    /// region.
    fn consider_homes(&mut self) {
        for index in self.homes.into_iter().flatten() {
            self.consider(index);
        }
    }

    /// Considers the upstreams that answered last. Their load was reported just now, and only to
    /// this daemon, so other daemons do not choose them at the same time.
    fn consider_recently_answered(&mut self) {
        for index in self.router.recently_answered.into_iter().flatten() {
            self.consider(index);
        }
    }

    /// For interactive work, considers some upstreams where this daemon could cancel a batch
    /// request of its own.
    fn consider_preemptible(&mut self, rng: &mut impl Rng) {
        let router = self.router;
        let preemptible = &router.preemptible;
        if self.request.priority == Priority::Batch || preemptible.is_empty() {
            return;
        }
        for _ in 0..router.tuning.samples {
            let point = UpstreamIndex(rng.random_range(0..router.upstreams.len() as u32));
            let next = preemptible.range(point..).next();
            if let Some(index) = next.or(preemptible.first()) {
                self.consider(*index);
            }
        }
    }

    /// Considers random upstreams of the daemon's subset, far ones only when the nearer are busy.
    fn consider_samples(&mut self, rng: &mut impl Rng) {
        for distance in DISTANCES {
            let busy = self.best.is_none_or(|best| best.load >= SPILL_LOAD);
            if distance == Distance::Far && !busy {
                return;
            }
            self.consider_sample(self.pool.at_distance(distance), rng);
        }
    }

    /// Samples again while the best candidate failed recently or is in a suspected failure domain.
    /// When a failure domain is unreachable, both of two samples are often in it.
    fn resample_if_failing(&mut self, rng: &mut impl Rng) {
        for _ in 0..MAX_RESAMPLES {
            if !self.best.is_some_and(|best| best.is_failing) {
                return;
            }
            self.consider_samples(rng);
        }
        if self.best.is_some_and(|best| best.is_failing) {
            self.consider_first(self.router.tuning.subset);
        }
    }

    fn consider_sample(&mut self, list: &HashOrder, rng: &mut impl Rng) {
        let size = list.len().min(self.router.tuning.subset);
        if size == 0 {
            return;
        }
        for _ in 0..self.router.tuning.samples {
            let index = list.get(rng.random_range(0..size));
            if rng.random::<f64>() <= self.ramp(index) {
                self.consider(index);
            }
        }
    }

    /// Share of its usual work that an upstream that returned recently gets.
    fn ramp(&self, index: UpstreamIndex) -> f64 {
        let entry = self.router.entry(index);
        entry.map_or(0.0, |entry| entry.upstream.health.ramp(self.now))
    }

    /// Considers the first upstreams of each distance, when sampling found no good one.
    fn consider_first(&mut self, count: usize) {
        let pool = self.pool;
        for distance in DISTANCES {
            for index in pool.at_distance(distance).first(count) {
                self.consider(index);
            }
        }
    }

    /// Considers ejected upstreams.
    ///
    /// An ejection is only a suspicion, so it is ignored when there is nothing else. Otherwise,
    /// when the rest of a pool leaves after an upstream was ejected, callers would get "no
    /// upstream" while that one is idle and could serve them.
    fn consider_ejected(&mut self) {
        let pending_returns = &self.router.pending_returns;
        for (_, index) in pending_returns.iter().take(MAX_SCAN) {
            let Some(entry) = self.router.entry(*index) else {
                continue;
            };
            if self.runs_target(*index, entry) && !entry.upstream.health.is_leaving() {
                self.compare(*index, entry);
            }
        }
    }

    fn consider(&mut self, index: UpstreamIndex) {
        let Some(entry) = self.router.entry(index) else {
            return;
        };
        if self.is_fit(index, entry) {
            self.compare(index, entry);
        }
    }

    fn compare(&mut self, index: UpstreamIndex, entry: &Entry) {
        let load = self.load(entry);
        let failure_cost = self.failure_cost(entry);
        let cost = self.cost(index, entry, load) + failure_cost;
        if self.best.is_none_or(|best| cost < best.cost) {
            self.best = Some(Best {
                index,
                cost,
                load,
                is_failing: failure_cost > 0.0,
            });
        }
    }

    /// Estimated load ahead of the request. Where a batch request of this daemon can be cancelled
    /// for interactive work, its batch requests do not count and the load is at most [`BUSY_LOAD`],
    /// since a slot is certain.
    fn load(&self, entry: &Entry) -> f64 {
        let upstream = &entry.upstream;
        let load = upstream.load(self.now, self.pool.mean_others);
        if self.request.priority == Priority::Batch || upstream.batch_in_flight == 0 {
            return load;
        }
        let batch_load = f64::from(upstream.batch_in_flight) / f64::from(upstream.slots);
        (load - batch_load).clamp(0.0, BUSY_LOAD)
    }

    fn is_fit(&self, index: UpstreamIndex, entry: &Entry) -> bool {
        entry.upstream.health.is_eligible() && self.runs_target(index, entry)
    }

    fn runs_target(&self, index: UpstreamIndex, entry: &Entry) -> bool {
        !entry.removed
            && entry.upstream.loaded.contains(&self.request.target)
            && !self.request.tried.contains(&index)
    }

    /// Cost of a candidate, in requests per slot of an average upstream.
    fn cost(&self, index: UpstreamIndex, entry: &Entry, load: f64) -> f64 {
        let upstream = &entry.upstream;
        let after = load + 1.0 / f64::from(upstream.slots);
        let queued = QUEUE_COST * (after - self.queue_load()).max(0.0);
        let slowness = upstream.slowness();
        let distance = match entry.keys.distance {
            Distance::SameDomain => 0.0,
            Distance::SameRegion => OTHER_DOMAIN_COST,
            Distance::Far => OTHER_REGION_COST,
        };
        (after + queued) * slowness + self.prefill_cost(index) + distance
    }

    /// Load from which a request may have to wait. Estimates lag, so interactive work avoids
    /// upstreams that are nearly full.
    fn queue_load(&self) -> f64 {
        match self.request.priority {
            Priority::Interactive => BUSY_LOAD + 1.0 / 16.0,
            Priority::Batch => 1.0,
        }
    }

    /// Cost of recent failures of the upstream or its failure domain. A request that failed in a
    /// domain is retried in another one; if the domain is unreachable, retries there would fail
    /// too.
    fn failure_cost(&self, entry: &Entry) -> f64 {
        let upstream_cost = FAILURE_POINT_COST * f64::from(entry.upstream.health.points());
        let domain = &self.router.domains[usize::from(entry.upstream.domain)];
        let domain_cost = if domain.is_suspect() {
            SUSPECT_DOMAIN_COST
        } else {
            0.0
        };
        let tried = self.request.tried.iter();
        let tried_entries = tried.filter_map(|index| self.router.entry(*index));
        let same_domain =
            tried_entries.filter(|other| other.upstream.domain == entry.upstream.domain);
        upstream_cost + domain_cost + TRIED_DOMAIN_COST * same_domain.count() as f64
    }

    /// Cost of the re-prefill of the part of the prompt that the candidate is not known to have
    /// cached.
    fn prefill_cost(&self, index: UpstreamIndex) -> f64 {
        let levels = self.request.prefix.len();
        if levels == 0 {
            return 0.0;
        }
        let cached = self.cached_levels(index) as f64 / levels as f64;
        let uncached = 1.0 - cached.max(self.home_cached_share(index));
        self.router.tuning.prefill_cost * uncached
    }

    /// Number of prefix levels that this daemon has sent there.
    fn cached_levels(&self, index: UpstreamIndex) -> usize {
        let prefixes = self.request.prefix.iter().enumerate().rev();
        let mut cached = prefixes.filter(|(_, prefix)| {
            let holders = self.router.prefixes.holders(self.request.target, **prefix);
            holders.is_some_and(|holders| holders.contains(index))
        });
        cached.next().map_or(0, |(level, _)| level + 1)
    }

    /// Share of the prompt expected to be cached there since the other daemons send it there too:
    /// all but its last level, which is new.
    fn home_cached_share(&self, index: UpstreamIndex) -> f64 {
        let levels = self.request.prefix.len() as f64;
        let share = (levels - 1.0).max(1.0) / levels;
        let homes = self.homes.iter().zip(HOME_PROBABILITY);
        let mut probabilities = homes.filter(|(home, _)| **home == Some(index));
        probabilities
            .next()
            .map_or(0.0, |(_, probability)| probability * share)
    }
}
