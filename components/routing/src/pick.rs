//! The choice itself.

use rand::{Rng, RngExt};
use types::prelude::*;

use crate::demand::{Demand, NoUpstream, UpstreamIndex};
use crate::homes::{HOME_TRUST, Homes};
use crate::pool::{Candidates, DISTANCES, Distance, HashOrder};
use crate::router::{Entry, Router};

/// Load at which the next distance is looked at too.
const SPILL_LOAD: f64 = 0.9;
/// Estimated load beyond which a free slot is not certain.
pub(crate) const BUSY_LOAD: f64 = 0.8;
/// Cost of a request that must wait for a slot, for each request per slot ahead of it.
const QUEUE_COST: f64 = 2.0;
/// Cost of another failure domain of the region.
const REGION_COST: f64 = 0.02;
/// Cost of another region.
const FAR_COST: f64 = 0.5;
/// Cost of a failure point.
const POINT_COST: f64 = 0.3;
/// Cost of a suspected failure domain.
const SUSPECT_COST: f64 = 2.0;
/// Cost of a failure domain in which the request's earlier attempt failed.
const TRIED_DOMAIN_COST: f64 = 1.0;
/// Rounds of samples while the best candidate is in trouble.
const TROUBLE_ROUNDS: usize = 4;
/// Upstreams looked at when no candidate was fit, at most.
const MAX_SCAN: usize = 256;

/// Numbers that trade cost of a choice against its quality.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Random candidates at each distance.
    pub samples: usize,
    /// Upstreams of a target at each distance that this daemon samples from and polls.
    pub subset: usize,
    /// Cost of a prefix that must be computed anew, in requests per slot.
    pub miss_cost: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            samples: 2,
            subset: 32,
            miss_cost: 1.5,
        }
    }
}

/// The best candidate so far.
#[derive(Debug, Clone, Copy)]
struct Best {
    index: UpstreamIndex,
    cost: f64,
    load: f64,
    in_trouble: bool,
}

/// One choice under way.
struct Choice<'a> {
    router: &'a Router,
    now: Time,
    demand: &'a Demand<'a>,
    pool: &'a Candidates,
    homes: Homes,
    best: Option<Best>,
}

impl Router {
    /// Chooses an upstream for a request; tell [`Router::started`] when it is used.
    ///
    /// # Errors
    /// Says why none is fit; nothing has been sent then.
    pub fn pick(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        rng: &mut impl Rng,
    ) -> Result<UpstreamIndex, NoUpstream> {
        self.settle(now);
        let homes = self.homes(now, demand);
        let pool = self.candidates.get(demand.target.slot());
        let pool = pool.ok_or(NoUpstream::UnknownTarget)?;
        let mut choice = Choice {
            router: self,
            now,
            demand,
            pool,
            homes,
            best: None,
        };
        choice.consider_holders();
        choice.consider_homes();
        choice.consider_answered();
        choice.consider_yielding(rng);
        choice.consider_samples(rng);
        choice.escape_trouble(rng);
        if choice.best.is_none() {
            choice.consider_first(MAX_SCAN);
        }
        if choice.best.is_none() {
            choice.consider_ejected();
        }
        let best = choice.best.ok_or(NoUpstream::NoneLive)?;
        Ok(best.index)
    }
}

impl Choice<'_> {
    /// Upstreams that this daemon sent the longest known prefix to.
    fn consider_holders(&mut self) {
        let router = self.router;
        let target = self.demand.target;
        let prefixes = self.demand.prefix.iter().rev();
        let mut held = prefixes.filter_map(|prefix| router.prefixes.holders(target, *prefix));
        if let Some(holders) = held.next() {
            for index in holders.iter() {
                self.consider(index);
            }
        }
    }

    /// Homes of the prompt, the same for every daemon of the region.
    fn consider_homes(&mut self) {
        for index in self.homes.into_iter().flatten() {
            self.consider(index);
        }
    }

    /// Those whose answers came last: their load is known for the moment, and to this daemon
    /// only, so that no others crowd there.
    fn consider_answered(&mut self) {
        for index in self.router.answered.into_iter().flatten() {
            self.consider(index);
        }
    }

    /// For interactive work, some upstreams where own batch work could give way.
    fn consider_yielding(&mut self, rng: &mut impl Rng) {
        let router = self.router;
        let yielding = &router.yielding;
        if self.demand.priority == Priority::Batch || yielding.is_empty() {
            return;
        }
        for _ in 0..router.tuning.samples {
            let point = UpstreamIndex(rng.random_range(0..router.upstreams.len() as u32));
            let after = yielding.range(point..).next();
            if let Some(index) = after.or(yielding.first()) {
                self.consider(*index);
            }
        }
    }

    /// Random ones of the daemon's subset; farther ones only when the nearer are busy.
    fn consider_samples(&mut self, rng: &mut impl Rng) {
        for distance in DISTANCES {
            let busy = self.best.is_none_or(|best| best.load >= SPILL_LOAD);
            if distance == Distance::Far && !busy {
                return;
            }
            self.consider_sample(self.pool.at(distance), rng);
        }
    }

    /// Samples again while the best has failed of late or stands in a suspected domain: with
    /// a failure domain lost, both of two samples often stand in it.
    fn escape_trouble(&mut self, rng: &mut impl Rng) {
        for _ in 0..TROUBLE_ROUNDS {
            if !self.best.is_some_and(|best| best.in_trouble) {
                return;
            }
            self.consider_samples(rng);
        }
        if self.best.is_some_and(|best| best.in_trouble) {
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

    /// Part of its work that one let back a moment ago gets.
    fn ramp(&self, index: UpstreamIndex) -> f64 {
        let entry = self.router.entry(index);
        entry.map_or(0.0, |entry| entry.upstream.health.ramp(self.now))
    }

    /// The first of each distance, when sampling found nothing good.
    fn consider_first(&mut self, count: usize) {
        let pool = self.pool;
        for distance in DISTANCES {
            for index in pool.at(distance).first(count) {
                self.consider(index);
            }
        }
    }

    /// Guards against refusing work that an upstream would do: the rest of its pool left
    /// after it was ejected, so callers see "no upstream" while one stands idle. An ejection
    /// is a doubt, not a certainty; it yields when there is nothing else.
    fn consider_ejected(&mut self) {
        let returns = &self.router.returns;
        for (_, index) in returns.iter().take(MAX_SCAN) {
            let Some(entry) = self.router.entry(*index) else {
                continue;
            };
            if self.runs_target(*index, entry) && !entry.upstream.health.is_leaving() {
                self.weigh(*index, entry);
            }
        }
    }

    fn consider(&mut self, index: UpstreamIndex) {
        let Some(entry) = self.router.entry(index) else {
            return;
        };
        if self.is_fit(index, entry) {
            self.weigh(index, entry);
        }
    }

    fn weigh(&mut self, index: UpstreamIndex, entry: &Entry) {
        let load = self.load(entry);
        let trouble = self.trouble(entry);
        let cost = self.cost(index, entry, load) + trouble;
        if self.best.is_none_or(|best| cost < best.cost) {
            self.best = Some(Best {
                index,
                cost,
                load,
                in_trouble: trouble > 0.0,
            });
        }
    }

    /// Estimated load that stands in the request's way. Where own batch work can give way
    /// to interactive work a slot is certain, whatever the estimate.
    fn load(&self, entry: &Entry) -> f64 {
        let upstream = &entry.upstream;
        let load = upstream.load(self.now, self.pool.usual_others);
        if self.demand.priority == Priority::Batch || upstream.batch == 0 {
            return load;
        }
        let batch = f64::from(upstream.batch) / f64::from(upstream.slots);
        (load - batch).clamp(0.0, BUSY_LOAD)
    }

    fn is_fit(&self, index: UpstreamIndex, entry: &Entry) -> bool {
        entry.upstream.health.is_eligible() && self.runs_target(index, entry)
    }

    fn runs_target(&self, index: UpstreamIndex, entry: &Entry) -> bool {
        !entry.removed
            && entry.upstream.loaded.contains(&self.demand.target)
            && !self.demand.avoid.contains(&index)
    }

    /// Cost of a candidate, in requests per slot of a usual upstream.
    fn cost(&self, index: UpstreamIndex, entry: &Entry, load: f64) -> f64 {
        let upstream = &entry.upstream;
        let after = load + 1.0 / f64::from(upstream.slots);
        let queued = QUEUE_COST * (after - self.queue_load()).max(0.0);
        let slowness = upstream.slowness(self.pool.per_token);
        let distance = match entry.ranks.distance {
            Distance::SameDomain => 0.0,
            Distance::SameRegion => REGION_COST,
            Distance::Far => FAR_COST,
        };
        (after + queued) * slowness + self.miss_cost(index) + distance
    }

    /// Load from which a request may have to wait. Estimates lag, so interactive work keeps
    /// away from what is nearly full.
    fn queue_load(&self) -> f64 {
        match self.demand.priority {
            Priority::Interactive => BUSY_LOAD + 1.0 / 16.0,
            Priority::Batch => 1.0,
        }
    }

    /// Cost of recent failures, its own or its failure domain's. A request that failed in a
    /// domain goes to another: with a domain lost it would else meet it again and again.
    fn trouble(&self, entry: &Entry) -> f64 {
        let own = POINT_COST * f64::from(entry.upstream.health.points());
        let domain = &self.router.domains[usize::from(entry.upstream.domain)];
        let suspect = if domain.is_suspect() {
            SUSPECT_COST
        } else {
            0.0
        };
        let tried = self.demand.avoid.iter();
        let tried = tried.filter_map(|index| self.router.entry(*index));
        let shared = tried.filter(|other| other.upstream.domain == entry.upstream.domain);
        own + suspect + TRIED_DOMAIN_COST * shared.count() as f64
    }

    /// Cost of the part of the prompt that the candidate is not known to hold.
    fn miss_cost(&self, index: UpstreamIndex) -> f64 {
        let levels = self.demand.prefix.len();
        if levels == 0 {
            return 0.0;
        }
        let held = self.held_levels(index) as f64 / levels as f64;
        let missing = 1.0 - held.max(self.home_part(index));
        self.router.tuning.miss_cost * missing
    }

    /// Levels that this daemon has sent there.
    fn held_levels(&self, index: UpstreamIndex) -> usize {
        let prefixes = self.demand.prefix.iter().enumerate().rev();
        let mut held = prefixes.filter(|(_, prefix)| {
            let holders = self.router.prefixes.holders(self.demand.target, **prefix);
            holders.is_some_and(|holders| holders.contains(index))
        });
        held.next().map_or(0, |(level, _)| level + 1)
    }

    /// Part of the prompt that should be cached there since the other daemons send it there
    /// too: all but its last level, which is new.
    fn home_part(&self, index: UpstreamIndex) -> f64 {
        let levels = self.demand.prefix.len() as f64;
        let part = (levels - 1.0).max(1.0) / levels;
        let homes = self.homes.iter().zip(HOME_TRUST);
        let mut trusts = homes.filter(|(home, _)| **home == Some(index));
        trusts.next().map_or(0.0, |(_, trust)| trust * part)
    }
}
