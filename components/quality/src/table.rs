//! The ways to serve an offer, and the mixture that serves it cheapest.
//!
//! Built a few times a second from the estimates; a request then only draws from it.

use std::collections::BTreeMap;

use types::prelude::*;

use crate::choice::{Candidate, OfferTerms};
use crate::config::Config;
use crate::estimate::Estimate;
use crate::mixture::{Alternative, Mixture, cheapest_mixture};
use crate::rating::BINS;
use crate::stream::{Phase, Stream, StreamId};

/// Ratings with a stated confidence before a cascade is weighed.
const SIGNAL_RATINGS: f64 = 40.0;
/// Ratings that the direct quality counts for, as a guess of that after an escalation.
const ESCALATED_PRIOR: f64 = 20.0;
/// Requests of the whole fleet over which a surplus or deficit of quality is made good.
const ACCOUNT_WINDOW: f64 = 2000.0;
/// How many times as long the account reaches back. Were it no longer than the time in which
/// it is made good, only half of a lasting surplus would be.
const ACCOUNT_MEMORY: f64 = 10.0;
/// Fewest requests of one daemon for the same.
const SHORTEST_WINDOW: f64 = 50.0;
/// Largest correction of the target for past deficits.
const LARGEST_CORRECTION: f64 = 0.02;
/// Largest correction for past surpluses.
const LARGEST_SAVING: f64 = 0.005;
/// Deviations of optimism when looking for versions worth exploring.
const OPTIMISM: f64 = 1.5;
/// Part of the score that an exploration must promise to save.
const WORTH_EXPLORING: f64 = 0.03;

/// Tells ways of serving apart across rebuilds.
pub(crate) type WayKey = (StreamId, Option<(StreamId, usize)>);

/// One way to serve a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Way {
    /// Index of the candidate to ask first.
    pub(crate) first: usize,
    /// Candidate to go on to, and the lowest bin of confidence that is accepted.
    pub(crate) next: Option<(usize, usize)>,
    pub(crate) latency: Span,
    score: f64,
    quality: f64,
    deviation: f64,
}

/// All that a request's choice needs.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) ids: Vec<StreamId>,
    /// The same versions' answers after an escalation.
    pub(crate) escalated_ids: Vec<StreamId>,
    pub(crate) ways: Vec<Way>,
    /// Over all ways.
    pub(crate) any: Option<Mixture>,
    /// Over ways with one version.
    pub(crate) direct: Option<Mixture>,
    /// Over ways with one version that is proved.
    pub(crate) proved: Option<Mixture>,
    /// Ways with one unproved version that may serve in a mixture.
    pub(crate) trial: Vec<usize>,
    /// Ways with one proved version that may turn out cheaper.
    pub(crate) explore: Vec<usize>,
    /// Ways with one version, best quality first.
    pub(crate) fallback: Vec<usize>,
    /// Candidate that takes over part of another's work, by the other's index.
    pub(crate) takeover: BTreeMap<usize, (usize, f64)>,
    /// Requests of this daemon over which its account is made good.
    window: f64,
    pub(crate) generation: u64,
    pub(crate) rebuild_at: Time,
    /// Requests served by each way, faded.
    pub(crate) account: BTreeMap<WayKey, f64>,
}

/// What a candidate is worth at present.
#[derive(Debug, Clone, Copy)]
struct Worth {
    cost: f64,
    latency: f64,
    quality: f64,
    deviation: f64,
}

/// Estimates by stream.
pub(crate) type Streams = BTreeMap<StreamId, Stream>;

impl Table {
    pub(crate) fn build(
        offer: &OfferTerms,
        candidates: &[Candidate],
        streams: &Streams,
        cfg: &Config,
        account: BTreeMap<WayKey, f64>,
        fleet: usize,
    ) -> Self {
        let usable = |candidate: &&Candidate| {
            let id = StreamId::new(&offer.class, &candidate.version);
            let phase = streams.get(&id).map(|stream| stream.phase);
            candidate.takes_new && phase != Some(Phase::Suspended)
        };
        let candidates: Vec<Candidate> = candidates.iter().filter(usable).cloned().collect();
        let id = |candidate: &Candidate, escalated| {
            StreamId::of(&offer.class, &candidate.version, escalated)
        };
        let ids = candidates.iter().map(|one| id(one, false)).collect();
        let escalated_ids = candidates.iter().map(|one| id(one, true)).collect();
        let mut table = Self {
            takeover: takeover(&candidates),
            candidates,
            ids,
            escalated_ids,
            ways: Vec::new(),
            any: None,
            direct: None,
            proved: None,
            trial: Vec::new(),
            explore: Vec::new(),
            fallback: Vec::new(),
            window: (ACCOUNT_WINDOW / fleet as f64).max(SHORTEST_WINDOW),
            generation: 0,
            rebuild_at: Time::ZERO,
            account,
        };
        table.add_ways(offer, streams, cfg);
        table.solve(offer, streams, cfg);
        table
    }

    fn add_ways(&mut self, offer: &OfferTerms, streams: &Streams, cfg: &Config) {
        let worth: Vec<Worth> = (0..self.candidates.len())
            .map(|index| self.worth(index, streams, cfg))
            .collect();
        let taking: Vec<usize> = self.takeover.values().map(|(to, _)| *to).collect();
        let scale = Scale::new(offer, &worth);
        let free = |index: &usize| !taking.contains(index);
        for first in (0..worth.len()).filter(free) {
            self.ways.push(scale.way(first, None, worth[first]));
        }
        self.fallback = (0..self.ways.len()).collect();
        let ways = &self.ways;
        self.fallback
            .sort_by(|a, b| ways[*b].quality.total_cmp(&ways[*a].quality));
        for first in (0..worth.len()).filter(free) {
            for next in (0..worth.len()).filter(free) {
                if worth[first].cost < worth[next].cost {
                    self.add_cascades(first, next, &worth, &scale, streams, cfg);
                }
            }
        }
    }

    /// A candidate's worth, with its successor's where one takes over a part.
    fn worth(&self, index: usize, streams: &Streams, cfg: &Config) -> Worth {
        let own = self.worth_alone(index, streams, cfg);
        let Some((to, share)) = self.takeover.get(&index).copied() else {
            return own;
        };
        let next = self.worth_alone(to, streams, cfg);
        if streams[&self.ids[to]].phase != Phase::Proved {
            return own;
        }
        let blend = |own: f64, next: f64| own * (1.0 - share) + next * share;
        Worth {
            cost: blend(own.cost, next.cost),
            latency: blend(own.latency, next.latency),
            quality: blend(own.quality, next.quality),
            deviation: blend(own.deviation, next.deviation),
        }
    }

    fn worth_alone(&self, index: usize, streams: &Streams, cfg: &Config) -> Worth {
        let candidate = &self.candidates[index];
        let stream = &streams[&self.ids[index]];
        let estimate = stream.estimate(cfg);
        Worth {
            cost: candidate.cost.0 as f64,
            latency: candidate.latency.as_secs_f64(),
            quality: estimate.mean(),
            deviation: estimate.deviation() * weight_of(stream.faded.sum(), cfg),
        }
    }

    fn add_cascades(
        &mut self,
        first: usize,
        next: usize,
        worth: &[Worth],
        scale: &Scale,
        streams: &Streams,
        cfg: &Config,
    ) {
        let stream = &streams[&self.ids[first]];
        if stream.signalled() < SIGNAL_RATINGS {
            return;
        }
        let escalated = self.escalated_worth(next, worth[next], streams);
        for bin in 2..BINS {
            let worth = cascade_worth(stream, worth[first], escalated, bin, cfg);
            self.ways.push(scale.way(first, Some((next, bin)), worth));
        }
    }

    /// Quality of a version on the requests that another was unsure of: harder ones.
    fn escalated_worth(&self, next: usize, direct: Worth, streams: &Streams) -> Worth {
        let stream = streams.get(&self.escalated_ids[next]);
        let (good, bad) = stream.map_or((0.0, 0.0), |s| (s.faded.good(), s.faded.bad()));
        let estimate = Estimate::new(direct.quality, ESCALATED_PRIOR, good, bad);
        Worth {
            quality: estimate.mean(),
            deviation: estimate.deviation(),
            ..direct
        }
    }

    fn solve(&mut self, offer: &OfferTerms, streams: &Streams, cfg: &Config) {
        let target = offer.target.get();
        let all: Vec<usize> = (0..self.ways.len()).collect();
        let single: Vec<usize> = self.fallback.clone();
        let phase = |index: usize| streams[&self.ids[self.ways[index].first]].phase;
        let proved = |index: &usize| phase(*index) == Phase::Proved;
        let proved: Vec<usize> = single.iter().copied().filter(proved).collect();
        self.any = self.aimed(&all, target, cfg);
        self.direct = self.aimed(&single, target, cfg);
        self.proved = self.aimed(&proved, target, cfg);
        let unproved = |index: &usize| phase(*index) == Phase::Unproved;
        self.trial = self.worth_trying(single.iter().copied().filter(unproved));
        self.explore = self.worth_exploring(&proved, target);
    }

    /// The cheapest mixture whose ways clear the target by their own uncertainty, and which
    /// makes good what was served so far.
    ///
    /// Each way is held to its own lower bound: were the whole mixture held to the
    /// uncertainty of the best guess's, one uncertain version would drive the choice to
    /// other versions and never be rated.
    fn aimed(&self, among: &[usize], target: f64, cfg: &Config) -> Option<Mixture> {
        let aim = target + self.correction(target, cfg);
        self.mixture(among, aim, -cfg.confidence)
    }

    fn mixture(&self, among: &[usize], target: f64, optimism: f64) -> Option<Mixture> {
        let alternative = |index: &usize| {
            let way = &self.ways[*index];
            Alternative {
                cost: way.score,
                quality: (way.quality + optimism * way.deviation).min(1.0),
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

    /// Unproved versions cheaper than the strongest in use: they may serve in a mixture
    /// or begin a cascade.
    fn worth_trying(&self, unproved: impl Iterator<Item = usize>) -> Vec<usize> {
        let Some(present) = self.direct else {
            return Vec::new();
        };
        let dearest = self.ways[present.strong].score;
        let cheaper = |index: &usize| self.ways[*index].score < dearest;
        unproved.filter(cheaper).collect()
    }

    /// Proved versions out of use that would make the mixture cheaper were they as good as
    /// they may be.
    fn worth_exploring(&self, proved: &[usize], target: f64) -> Vec<usize> {
        let Some(present) = self.direct else {
            return Vec::new();
        };
        let score = present.average(|index| self.ways[index].score);
        let promises = |index: &usize| {
            let mixed = [present.weak, present.strong, *index];
            let Some(hopeful) = self.mixture(&mixed, target, OPTIMISM) else {
                return false;
            };
            let uses = hopeful.weak == *index || hopeful.strong == *index;
            let hoped = hopeful.average(|index| self.ways[index].score);
            uses && hoped < score * (1.0 - WORTH_EXPLORING)
        };
        let idle = |index: &&usize| **index != present.weak && **index != present.strong;
        let idle = proved.iter().filter(idle);
        idle.copied().filter(promises).collect()
    }

    /// Whether versions that are not proved are held to their budgets.
    ///
    /// Until the proved ones meet the target by themselves, as in a fleet that has just
    /// started, there is nothing safer to serve from than what the catalogue claims.
    pub(crate) fn budgets_bind(&self) -> bool {
        self.proved.is_some_and(|mixture| mixture.met)
    }

    /// How far to move the aim for what was served below or above it.
    fn correction(&self, target: f64, cfg: &Config) -> f64 {
        let deficit = |way: &Way| {
            let served = self.account.get(&self.key(way)).copied().unwrap_or(0.0);
            served * (target - way.quality + cfg.confidence * way.deviation)
        };
        let deficit: f64 = self.ways.iter().map(deficit).sum();
        (deficit / self.window).clamp(-LARGEST_SAVING, LARGEST_CORRECTION)
    }

    pub(crate) fn key(&self, way: &Way) -> WayKey {
        let next = way.next.map(|(next, bin)| (self.ids[next], bin));
        (self.ids[way.first], next)
    }

    /// Notes that a way served a request.
    pub(crate) fn note(&mut self, way: usize) {
        let key = self.key(&self.ways[way]);
        let fade = 1.0 - 1.0 / (ACCOUNT_MEMORY * self.window);
        for served in self.account.values_mut() {
            *served *= fade;
        }
        *self.account.entry(key).or_default() += 1.0;
    }
}

/// Which candidate takes over from which, where both are there.
fn takeover(candidates: &[Candidate]) -> BTreeMap<usize, (usize, f64)> {
    let position = |version: &VersionId| {
        let mut all = candidates.iter();
        all.position(|candidate| candidate.version == *version)
    };
    let rolled = candidates.iter().enumerate().filter_map(|(to, candidate)| {
        let rollout = candidate.rollout.as_ref()?;
        let from = position(&rollout.from)?;
        Some((from, (to, rollout.share.get())))
    });
    rolled.filter(|(from, (to, _))| from != to).collect()
}

/// How much of an estimate's uncertainty is held against it: little while it is but the
/// catalogue's claim, since what it serves too badly meanwhile is made good by the account.
fn weight_of(ratings: f64, cfg: &Config) -> f64 {
    ratings / (ratings + cfg.claim_ratings)
}

fn cascade_worth(first: &Stream, own: Worth, next: Worth, bin: usize, cfg: &Config) -> Worth {
    let mut accepted = 0.0;
    let mut quality = 0.0;
    let mut variance = 0.0;
    for sure in bin..BINS {
        let weight = first.bin_weight(sure);
        let estimate = first.bin_estimate(sure, cfg);
        accepted += weight;
        quality += weight * estimate.mean();
        variance += (weight * estimate.deviation()).powi(2);
    }
    let passed_on = 1.0 - accepted;
    Worth {
        cost: own.cost + passed_on * next.cost,
        latency: own.latency + passed_on * next.latency,
        quality: quality + passed_on * next.quality,
        deviation: (variance + (passed_on * next.deviation).powi(2)).sqrt(),
    }
}

/// Brings money and time to one scale by the offer's weights.
struct Scale {
    cost: f64,
    latency: f64,
}

impl Scale {
    fn new(offer: &OfferTerms, worth: &[Worth]) -> Self {
        let weights = offer.cost_weight + offer.latency_weight;
        let unit = 1.0 / weights.max(f64::MIN_POSITIVE);
        let most = |figure: fn(&Worth) -> f64| {
            let all = worth.iter().map(figure);
            all.fold(f64::MIN_POSITIVE, f64::max)
        };
        Self {
            cost: offer.cost_weight * unit / most(|worth| worth.cost),
            latency: offer.latency_weight * unit / most(|worth| worth.latency),
        }
    }

    fn way(&self, first: usize, next: Option<(usize, usize)>, worth: Worth) -> Way {
        let score = self.cost * worth.cost + self.latency * worth.latency;
        Way {
            first,
            next,
            latency: Span::from_secs_f64(worth.latency),
            score,
            quality: worth.quality,
            deviation: worth.deviation,
        }
    }
}
