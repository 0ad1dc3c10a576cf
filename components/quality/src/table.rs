//! Strategies to serve an offer, and the cheapest mixture of them.
//!
//! A table is built from the estimates a few times per second; each request only draws from it.

use std::collections::BTreeMap;

use types::prelude::*;

use crate::choice::{Candidate, OfferTerms};
use crate::config::Config;
use crate::estimate::Estimate;
use crate::mixture::{Alternative, Mixture, cheapest_mixture};
use crate::rating::BINS;
use crate::stream::{Phase, Stream, StreamId};

/// Ratings with a stated confidence that a version needs before cascades from it are considered.
const MIN_CONFIDENCE_RATINGS: f64 = 40.0;
/// Weight of the direct quality as the prior of the quality after an escalation, in ratings.
const ESCALATED_PRIOR_RATINGS: f64 = 20.0;
/// Requests of the whole fleet over which a past surplus or deficit of quality is made up for.
const CORRECTION_WINDOW_REQUESTS: f64 = 2000.0;
/// Decay length of the served counts, in correction windows. If it were no longer than one window,
/// only half of a lasting surplus or deficit would be made up for.
const DECAY_WINDOWS: f64 = 10.0;
/// Minimum correction window of one daemon, in requests.
const MIN_CORRECTION_WINDOW_REQUESTS: f64 = 50.0;
/// Maximum by which past deficits raise the target.
const MAX_DEFICIT_CORRECTION: f64 = 0.02;
/// Maximum by which past surpluses lower the target.
const MAX_SURPLUS_CORRECTION: f64 = 0.005;
/// Standard deviations added to the quality of versions when looking for ones worth exploring.
const EXPLORATION_DEVIATIONS: f64 = 1.5;
/// Minimum saving, as a share of the present score, that an exploration must promise.
const MIN_EXPLORATION_SAVING: f64 = 0.03;

/// Identifies a strategy across rebuilds of the table.
pub(crate) type StrategyKey = (StreamId, Option<(StreamId, usize)>);

/// One way to serve a request: a single version, or a cascade that escalates to a second one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Strategy {
    /// Index of the candidate asked first.
    pub(crate) first: usize,
    /// Index of the candidate escalated to, and the lowest confidence bin at which the first answer
    /// is accepted instead.
    pub(crate) next: Option<(usize, usize)>,
    pub(crate) latency: Span,
    score: f64,
    quality: f64,
    deviation: f64,
}

/// Data from which the version of a request is drawn.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) ids: Vec<StreamId>,
    /// Streams of the same candidates' answers after an escalation.
    pub(crate) escalated_ids: Vec<StreamId>,
    pub(crate) strategies: Vec<Strategy>,
    /// Mixture over all strategies.
    pub(crate) any_mixture: Option<Mixture>,
    /// Mixture over strategies with a single version.
    pub(crate) direct_mixture: Option<Mixture>,
    /// Mixture over strategies with a single version that is proved.
    pub(crate) proved_mixture: Option<Mixture>,
    /// Strategies with a single unproved version that may serve in a mixture.
    pub(crate) trial: Vec<usize>,
    /// Strategies with a single proved version that may turn out cheaper.
    pub(crate) explore: Vec<usize>,
    /// Strategies with a single version, best quality first.
    pub(crate) fallback: Vec<usize>,
    /// For a candidate being replaced, by index: its successor's index and the share of requests
    /// that goes to the successor.
    pub(crate) successors: BTreeMap<usize, (usize, f64)>,
    /// Requests of this daemon over which a surplus or deficit of quality is made up for.
    correction_window: f64,
    pub(crate) generation: u64,
    pub(crate) rebuild_at: Time,
    /// Requests served by each strategy, decayed.
    pub(crate) served: BTreeMap<StrategyKey, f64>,
}

/// Expected cost, latency in seconds, quality and its deviation, of a candidate or a strategy.
#[derive(Debug, Clone, Copy)]
struct Performance {
    cost: f64,
    latency: f64,
    quality: f64,
    deviation: f64,
}

/// All streams by id.
pub(crate) type Streams = BTreeMap<StreamId, Stream>;

impl Table {
    pub(crate) fn build(
        offer: &OfferTerms,
        candidates: &[Candidate],
        streams: &Streams,
        cfg: &Config,
        served: BTreeMap<StrategyKey, f64>,
        fleet: usize,
    ) -> Self {
        let is_usable = |candidate: &&Candidate| {
            let id = StreamId::new(&offer.class, &candidate.version);
            let phase = streams.get(&id).map(|stream| stream.phase);
            candidate.accepts_new_sessions && phase != Some(Phase::Suspended)
        };
        let candidates: Vec<Candidate> = candidates.iter().filter(is_usable).cloned().collect();
        let id = |candidate: &Candidate, escalated| {
            StreamId::of(&offer.class, &candidate.version, escalated)
        };
        let ids = candidates
            .iter()
            .map(|candidate| id(candidate, false))
            .collect();
        let escalated_ids = candidates
            .iter()
            .map(|candidate| id(candidate, true))
            .collect();
        let mut table = Self {
            successors: successors(&candidates),
            candidates,
            ids,
            escalated_ids,
            strategies: Vec::new(),
            any_mixture: None,
            direct_mixture: None,
            proved_mixture: None,
            trial: Vec::new(),
            explore: Vec::new(),
            fallback: Vec::new(),
            correction_window: (CORRECTION_WINDOW_REQUESTS / fleet as f64)
                .max(MIN_CORRECTION_WINDOW_REQUESTS),
            generation: 0,
            rebuild_at: Time::ZERO,
            served,
        };
        table.add_strategies(offer, streams, cfg);
        table.choose_mixtures(offer, streams, cfg);
        table
    }

    fn add_strategies(&mut self, offer: &OfferTerms, streams: &Streams, cfg: &Config) {
        let performances: Vec<Performance> = (0..self.candidates.len())
            .map(|index| self.performance(index, streams, cfg))
            .collect();
        let successors: Vec<usize> = self.successors.values().map(|(to, _)| *to).collect();
        let scale = ScoreScale::new(offer, &performances);
        let independent = |index: &usize| !successors.contains(index);
        for first in (0..performances.len()).filter(independent) {
            self.strategies
                .push(scale.strategy(first, None, performances[first]));
        }
        self.fallback = (0..self.strategies.len()).collect();
        let strategies = &self.strategies;
        self.fallback
            .sort_by(|a, b| strategies[*b].quality.total_cmp(&strategies[*a].quality));
        for first in (0..performances.len()).filter(independent) {
            for next in (0..performances.len()).filter(independent) {
                if performances[first].cost < performances[next].cost {
                    self.add_cascades(first, next, &performances, &scale, streams, cfg);
                }
            }
        }
    }

    /// Performance of a candidate, blended with its successor's if a proved one takes over a share.
    fn performance(&self, index: usize, streams: &Streams, cfg: &Config) -> Performance {
        let own = self.own_performance(index, streams, cfg);
        let Some((to, share)) = self.successors.get(&index).copied() else {
            return own;
        };
        let next = self.own_performance(to, streams, cfg);
        if streams[&self.ids[to]].phase != Phase::Proved {
            return own;
        }
        let blend = |old: f64, new: f64| old * (1.0 - share) + new * share;
        Performance {
            cost: blend(own.cost, next.cost),
            latency: blend(own.latency, next.latency),
            quality: blend(own.quality, next.quality),
            deviation: blend(own.deviation, next.deviation),
        }
    }

    fn own_performance(&self, index: usize, streams: &Streams, cfg: &Config) -> Performance {
        let candidate = &self.candidates[index];
        let stream = &streams[&self.ids[index]];
        let estimate = stream.estimate(cfg);
        Performance {
            cost: candidate.cost.0 as f64,
            latency: candidate.latency.as_secs_f64(),
            quality: estimate.mean(),
            deviation: estimate.deviation() * uncertainty_weight(stream.decayed.sum(), cfg),
        }
    }

    fn add_cascades(
        &mut self,
        first: usize,
        next: usize,
        performances: &[Performance],
        scale: &ScoreScale,
        streams: &Streams,
        cfg: &Config,
    ) {
        let stream = &streams[&self.ids[first]];
        if stream.ratings_with_confidence() < MIN_CONFIDENCE_RATINGS {
            return;
        }
        let escalated = self.escalated_performance(next, performances[next], streams);
        for bin in 2..BINS {
            let performance = cascade_performance(stream, performances[first], escalated, bin, cfg);
            self.strategies
                .push(scale.strategy(first, Some((next, bin)), performance));
        }
    }

    /// Performance of a version on requests escalated to it, which are harder than the average.
    fn escalated_performance(
        &self,
        next: usize,
        direct: Performance,
        streams: &Streams,
    ) -> Performance {
        let stream = streams.get(&self.escalated_ids[next]);
        let (good, bad) = stream.map_or((0.0, 0.0), |stream| {
            (stream.decayed.good(), stream.decayed.bad())
        });
        let estimate = Estimate::new(direct.quality, ESCALATED_PRIOR_RATINGS, good, bad);
        Performance {
            quality: estimate.mean(),
            deviation: estimate.deviation(),
            ..direct
        }
    }

    fn choose_mixtures(&mut self, offer: &OfferTerms, streams: &Streams, cfg: &Config) {
        let target = offer.target.get();
        let every: Vec<usize> = (0..self.strategies.len()).collect();
        let single: Vec<usize> = self.fallback.clone();
        let phase = |index: usize| streams[&self.ids[self.strategies[index].first]].phase;
        let proved = |index: &usize| phase(*index) == Phase::Proved;
        let proved: Vec<usize> = single.iter().copied().filter(proved).collect();
        self.any_mixture = self.mixture_for(&every, target, cfg);
        self.direct_mixture = self.mixture_for(&single, target, cfg);
        self.proved_mixture = self.mixture_for(&proved, target, cfg);
        let unproved = |index: &usize| phase(*index) == Phase::Unproved;
        self.trial = self.trial_strategies(single.iter().copied().filter(unproved));
        self.explore = self.exploration_strategies(&proved, target);
    }

    /// The cheapest mixture whose strategies exceed the corrected target by their own uncertainty.
    ///
    /// Each strategy is held to its own lower bound. If the whole mixture were held to the
    /// uncertainty of its best version, one uncertain version would drive the choice to other
    /// versions and never be rated.
    fn mixture_for(&self, among: &[usize], target: f64, cfg: &Config) -> Option<Mixture> {
        let corrected_target = target + self.correction(target, cfg);
        self.mixture(among, corrected_target, -cfg.confidence)
    }

    fn mixture(&self, among: &[usize], target: f64, deviations: f64) -> Option<Mixture> {
        let alternative = |index: &usize| {
            let strategy = &self.strategies[*index];
            Alternative {
                cost: strategy.score,
                quality: (strategy.quality + deviations * strategy.deviation).min(1.0),
            }
        };
        let alternatives: Vec<Alternative> = among.iter().map(alternative).collect();
        let mixture = cheapest_mixture(&alternatives, target)?;
        Some(Mixture {
            weak: among[mixture.weak],
            strong: among[mixture.strong],
            ..mixture
        })
    }

    /// Unproved versions cheaper than the strongest one in use, which may serve in a mixture or
    /// begin a cascade.
    fn trial_strategies(&self, unproved: impl Iterator<Item = usize>) -> Vec<usize> {
        let Some(current) = self.direct_mixture else {
            return Vec::new();
        };
        let highest_score = self.strategies[current.strong].score;
        let cheaper = |index: &usize| self.strategies[*index].score < highest_score;
        unproved.filter(cheaper).collect()
    }

    /// Proved versions not in use that would make the mixture cheaper if their quality were at the
    /// upper end of its estimate.
    fn exploration_strategies(&self, proved: &[usize], target: f64) -> Vec<usize> {
        let Some(current) = self.direct_mixture else {
            return Vec::new();
        };
        let score = current.average(|index| self.strategies[index].score);
        let would_save = |index: &usize| {
            let mixed = [current.weak, current.strong, *index];
            let Some(optimistic) = self.mixture(&mixed, target, EXPLORATION_DEVIATIONS) else {
                return false;
            };
            let is_used = optimistic.weak == *index || optimistic.strong == *index;
            let optimistic_score = optimistic.average(|index| self.strategies[index].score);
            is_used && optimistic_score < score * (1.0 - MIN_EXPLORATION_SAVING)
        };
        let is_unused = |index: &&usize| **index != current.weak && **index != current.strong;
        let unused = proved.iter().filter(is_unused);
        unused.copied().filter(would_save).collect()
    }

    /// Whether unproved versions are limited by their budgets.
    ///
    /// They are not until the proved versions meet the target by themselves, as in a fleet that has
    /// just started: until then no safer choice exists than to trust the catalogue's claims.
    pub(crate) fn budgets_apply(&self) -> bool {
        self.proved_mixture.is_some_and(|mixture| mixture.met)
    }

    /// Amount to add to the target to make up for quality served below or above it.
    fn correction(&self, target: f64, cfg: &Config) -> f64 {
        let deficit_of = |strategy: &Strategy| {
            let requests = self.served.get(&self.key(strategy)).copied().unwrap_or(0.0);
            requests * (target - strategy.quality + cfg.confidence * strategy.deviation)
        };
        let deficit: f64 = self.strategies.iter().map(deficit_of).sum();
        (deficit / self.correction_window).clamp(-MAX_SURPLUS_CORRECTION, MAX_DEFICIT_CORRECTION)
    }

    pub(crate) fn key(&self, strategy: &Strategy) -> StrategyKey {
        let next = strategy.next.map(|(next, bin)| (self.ids[next], bin));
        (self.ids[strategy.first], next)
    }

    /// Counts a request served by a strategy.
    pub(crate) fn record_use(&mut self, strategy: usize) {
        let key = self.key(&self.strategies[strategy]);
        let decay = 1.0 - 1.0 / (DECAY_WINDOWS * self.correction_window);
        for requests in self.served.values_mut() {
            *requests *= decay;
        }
        *self.served.entry(key).or_default() += 1.0;
    }
}

/// Successors by the index of the candidate they replace, where both are candidates.
fn successors(candidates: &[Candidate]) -> BTreeMap<usize, (usize, f64)> {
    let position = |version: &VersionId| {
        let mut all = candidates.iter();
        all.position(|candidate| candidate.version == *version)
    };
    let replaced = candidates.iter().enumerate().filter_map(|(to, candidate)| {
        let rollout = candidate.rollout.as_ref()?;
        let from = position(&rollout.from)?;
        Some((from, (to, rollout.share.get())))
    });
    replaced.filter(|(from, (to, _))| from != to).collect()
}

/// Share of an estimate's uncertainty that counts against the version. It is small while the
/// estimate is mostly the catalogue's claim, since the correction of the target makes up for the
/// deficit if such a version turns out worse than claimed.
fn uncertainty_weight(ratings: f64, cfg: &Config) -> f64 {
    ratings / (ratings + cfg.claim_ratings)
}

fn cascade_performance(
    first: &Stream,
    own: Performance,
    next: Performance,
    bin: usize,
    cfg: &Config,
) -> Performance {
    let mut accepted = 0.0;
    let mut quality = 0.0;
    let mut variance = 0.0;
    for accepted_bin in bin..BINS {
        let weight = first.bin_share(accepted_bin);
        let estimate = first.bin_estimate(accepted_bin, cfg);
        accepted += weight;
        quality += weight * estimate.mean();
        variance += (weight * estimate.deviation()).powi(2);
    }
    let escalated = 1.0 - accepted;
    Performance {
        cost: own.cost + escalated * next.cost,
        latency: own.latency + escalated * next.latency,
        quality: quality + escalated * next.quality,
        deviation: (variance + (escalated * next.deviation).powi(2)).sqrt(),
    }
}

/// Converts cost and latency to one score by the offer's weights.
struct ScoreScale {
    cost: f64,
    latency: f64,
}

impl ScoreScale {
    fn new(offer: &OfferTerms, performances: &[Performance]) -> Self {
        let weights = offer.cost_weight + offer.latency_weight;
        let unit = 1.0 / weights.max(f64::MIN_POSITIVE);
        let largest = |value: fn(&Performance) -> f64| {
            let all = performances.iter().map(value);
            all.fold(f64::MIN_POSITIVE, f64::max)
        };
        Self {
            cost: offer.cost_weight * unit / largest(|performance| performance.cost),
            latency: offer.latency_weight * unit / largest(|performance| performance.latency),
        }
    }

    fn strategy(
        &self,
        first: usize,
        next: Option<(usize, usize)>,
        performance: Performance,
    ) -> Strategy {
        let score = self.cost * performance.cost + self.latency * performance.latency;
        Strategy {
            first,
            next,
            latency: Span::from_secs_f64(performance.latency),
            score,
            quality: performance.quality,
            deviation: performance.deviation,
        }
    }
}
