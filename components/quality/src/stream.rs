//! Streams: the evidence on one version in one class of work, and the phase that follows from it.

use serde::Serialize;
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::budget::{Budget, Progress};
use crate::config::Config;
use crate::detector::{Detector, Thresholds};
use crate::estimate::Estimate;
use crate::rating::{BINS, DecayedTotals, Totals};

/// Maximum by which the reference exceeds the offer's target, however high the version's claim.
const MAX_REFERENCE_ABOVE_TARGET: f64 = 0.03;
const MIN_REFERENCE: f64 = 0.1;
/// Standard deviations below the estimate at which a learned reference is set.
const REFERENCE_DEVIATIONS: f64 = 3.0;
/// Level of the test above which the reference is not changed.
const REFERENCE_MAX_LEVEL: f64 = 0.15;
/// Standard deviations by which a version's estimate must exceed the minimum share for it to be
/// proved.
const PROOF_DEVIATIONS: f64 = 1.64;
const MAX_DEFAULT_PRIOR: f64 = 0.8;

/// Identifies a stream: a version in a class of work, direct and escalated answers apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StreamId(pub(crate) u64);

impl StreamId {
    /// Returns the id of the stream of a version's direct answers in a class.
    #[must_use]
    pub fn new(class: &ClassName, version: &VersionId) -> Self {
        Self::of(class, version, false)
    }

    pub(crate) fn of(class: &ClassName, version: &VersionId, escalated: bool) -> Self {
        let mut hash = Xxh3::new();
        for part in [
            class.as_str(),
            version.model.as_str(),
            version.version.as_str(),
        ] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&[u8::from(escalated)]);
        Self(hash.digest())
    }
}

/// Trust in a version in a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Too few ratings are known; a budget limits its answers.
    #[default]
    Unproved,
    /// Its quality is established; no budget limits it.
    Proved,
    /// The sequential test is near its alarm; a budget limits its answers.
    Suspect,
    /// Gets no requests until an operator lifts the suspension.
    Suspended,
}

/// Class, version and kind of answers that a stream covers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Name {
    pub(crate) class: ClassName,
    pub(crate) version: VersionId,
    pub(crate) escalated: bool,
}

/// Values that the catalogue states for a version and the offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    pub(crate) claim: Option<f64>,
    pub(crate) target: f64,
    /// Weight that the offer's owner gives to avoiding answers from unproved versions, from 0 to 1.
    pub(crate) caution: f64,
}

impl Terms {
    /// Reference share that the version is compared with: its claim, but at most a little above the
    /// target.
    fn reference(&self) -> f64 {
        let claim = self.claim.unwrap_or(self.target);
        claim
            .min(self.target + MAX_REFERENCE_ABOVE_TARGET)
            .max(MIN_REFERENCE)
    }

    pub(crate) fn prior(&self) -> f64 {
        self.claim.unwrap_or(MAX_DEFAULT_PRIOR.min(self.target))
    }
}

/// Evidence, sequential test, phase and budget of one version in one class of work.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// `None` while the stream is known from peers' facts only.
    pub(crate) name: Option<Name>,
    pub(crate) terms: Terms,
    pub(crate) decayed: DecayedTotals,
    pub(crate) own: Totals,
    pub(crate) published: Totals,
    pub(crate) next_publication: Time,
    /// Ratings of the whole fleet since the start, without decay.
    pub(crate) ratings_seen: f64,
    pub(crate) reference: f64,
    /// Value of `ratings_seen` when the reference was last learned; 0 while the reference is the
    /// claim.
    pub(crate) reference_learned_at: f64,
    pub(crate) thresholds: Option<Thresholds>,
    pub(crate) detector: Detector,
    pub(crate) phase: Phase,
    pub(crate) budget: Budget,
    /// Requests that this daemon sent to the version, and their number at the last refresh.
    pub(crate) served: u64,
    pub(crate) served_at_refresh: u64,
    /// Requests per second, smoothed.
    pub(crate) served_rate: f64,
    /// Share of its answers to have rated.
    pub(crate) sampling: f64,
}

impl Stream {
    pub(crate) fn unnamed(budget: Budget) -> Self {
        let terms = Terms {
            claim: None,
            target: 1.0,
            caution: 0.0,
        };
        Self {
            name: None,
            terms,
            decayed: DecayedTotals::default(),
            own: Totals::default(),
            published: Totals::default(),
            next_publication: Time::ZERO,
            ratings_seen: 0.0,
            reference: terms.reference(),
            reference_learned_at: 0.0,
            thresholds: None,
            detector: Detector::default(),
            phase: Phase::Unproved,
            budget,
            served: 0,
            served_at_refresh: 0,
            served_rate: 0.0,
            sampling: 1.0,
        }
    }

    /// Sets name and terms; changed terms reset the reference to the catalogue's.
    pub(crate) fn describe(&mut self, name: Name, terms: Terms) {
        if self.name.is_none() || self.terms != terms {
            self.terms = terms;
            self.reference = terms.reference();
            self.reference_learned_at = 0.0;
            self.thresholds = None;
        }
        self.name = Some(name);
    }

    pub(crate) fn estimate(&self, cfg: &Config) -> Estimate {
        let (good, bad) = (self.decayed.good(), self.decayed.bad());
        Estimate::new(self.terms.prior(), cfg.prior_ratings, good, bad)
    }

    /// Estimate of one confidence bin, with the version's overall estimate as its prior.
    pub(crate) fn bin_estimate(&self, bin: usize, cfg: &Config) -> Estimate {
        let counts = &self.decayed.0[bin];
        let mean = self.estimate(cfg).mean();
        Estimate::new(mean, 1.0, counts.good, counts.bad)
    }

    /// Number of ratings with a stated confidence, after decay.
    pub(crate) fn ratings_with_confidence(&self) -> f64 {
        let without_confidence = self.decayed.0[0].good + self.decayed.0[0].bad;
        self.decayed.sum() - without_confidence
    }

    pub(crate) fn bin_share(&self, bin: usize) -> f64 {
        debug_assert!(bin < BINS);
        let counts = &self.decayed.0[bin];
        (counts.good + counts.bad) / self.decayed.sum().max(f64::MIN_POSITIVE)
    }

    pub(crate) fn level(&self) -> f64 {
        self.thresholds
            .as_ref()
            .map_or(0.0, |thresholds| self.detector.level(thresholds))
    }

    pub(crate) fn progress(&self) -> Progress {
        Progress {
            ratings_seen: self.ratings_seen,
            level: self.level(),
            caution: self.terms.caution,
        }
    }

    /// Adds new ratings of the fleet to the evidence and to the test.
    pub(crate) fn add_ratings(&mut self, ratings: &Totals, cfg: &Config) {
        let (good, bad) = (ratings.good(), ratings.bad());
        self.decayed.add(ratings, cfg.memory);
        self.ratings_seen += (good + bad) as f64;
        if self.name.is_none() {
            return;
        }
        let null_share = self.null_share(cfg);
        let thresholds = self
            .thresholds
            .get_or_insert_with(|| Thresholds::new(null_share, cfg.false_alarm_requests));
        self.detector.add(thresholds, good, bad);
        self.update_reference(cfg);
    }

    /// Null share of the test: the version counts as bad when its share of adequate answers lies
    /// below.
    ///
    /// A claim may be further off than a learned reference, so its tolerance is larger; and
    /// escalated requests are harder than those that the claim is about.
    fn null_share(&self, cfg: &Config) -> f64 {
        if self.reference_learned_at > 0.0 {
            return self.reference - cfg.tolerance;
        }
        self.reference - cfg.claim_tolerance - self.escalation_allowance(cfg)
    }

    fn escalation_allowance(&self, cfg: &Config) -> f64 {
        let escalated = self.name.as_ref().is_some_and(|name| name.escalated);
        if escalated { cfg.slack } else { 0.0 }
    }

    /// Lowest share of adequate answers at which the version may serve in a mixture.
    fn minimum_share(&self, cfg: &Config) -> f64 {
        let required = self.terms.reference().min(self.terms.target);
        required - cfg.slack - self.escalation_allowance(cfg)
    }

    /// Learns the reference from the ratings, each time their number has doubled.
    ///
    /// A cheap version that never was as good as its claim, but serves well in a mixture, would
    /// otherwise be suspended. The reference is not changed while the level of the test is raised:
    /// a drop in quality that lowered it would go undetected.
    fn update_reference(&mut self, cfg: &Config) {
        let due = (2.0 * self.reference_learned_at).min(self.reference_learned_at + cfg.memory);
        if self.ratings_seen < due.max(cfg.proof_ratings) || self.phase != Phase::Proved {
            return;
        }
        if self.level() > REFERENCE_MAX_LEVEL {
            return;
        }
        self.reference_learned_at = self.ratings_seen;
        let (good, bad) = (self.decayed.good(), self.decayed.bad());
        let learned = Estimate::new(0.5, 2.0, good, bad).lower_bound(REFERENCE_DEVIATIONS);
        let learned = learned.clamp(self.minimum_share(cfg).max(MIN_REFERENCE), 1.0);
        self.reference = learned.min(self.terms.reference());
        self.thresholds = None;
    }

    /// The phase that follows from the evidence.
    pub(crate) fn next_phase(&self, cfg: &Config) -> Phase {
        let level = self.level();
        match self.phase {
            Phase::Suspended => Phase::Suspended,
            _ if level >= 1.0 => Phase::Suspended,
            Phase::Unproved if self.meets_proof(level, cfg) => Phase::Proved,
            Phase::Proved if level >= cfg.suspect_at => Phase::Suspect,
            Phase::Suspect if level < cfg.suspect_at / 2.0 => Phase::Proved,
            unchanged => unchanged,
        }
    }

    fn meets_proof(&self, level: f64, cfg: &Config) -> bool {
        let enough = self.decayed.sum() >= cfg.proof_ratings;
        enough
            && level < cfg.suspect_at
            && self.estimate(cfg).lower_bound(PROOF_DEVIATIONS) >= self.minimum_share(cfg)
    }

    pub(crate) fn enter_phase(&mut self, phase: Phase, budget: Budget) {
        self.phase = phase;
        self.budget = budget;
    }

    /// Forgets all evidence and returns to the unproved phase.
    pub(crate) fn reset(&mut self, budget: Budget) {
        self.decayed = DecayedTotals::default();
        self.detector = Detector::default();
        self.reference = self.terms.reference();
        self.reference_learned_at = 0.0;
        self.thresholds = None;
        self.enter_phase(Phase::Unproved, budget);
    }
}

/// State of one stream as shown in a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StreamDump {
    /// The class of work.
    pub class: ClassName,
    /// The version.
    pub version: VersionId,
    /// Whether the stream covers answers after an escalation.
    pub escalated: bool,
    /// Trust in the version.
    pub phase: Phase,
    /// Estimated share of adequate answers.
    pub quality: f64,
    /// Standard deviation of the estimate.
    pub deviation: f64,
    /// Ratings behind the estimate, after decay.
    pub ratings: f64,
    /// Reference share that the test compares it with.
    pub reference: f64,
    /// Level of the test: 0 is far from the alarm, 1 raises it.
    pub level: f64,
    /// Share of its answers that this daemon has rated.
    pub sampling: f64,
    /// Requests that this daemon sent to the version.
    pub served: u64,
}

/// Snapshot of the quality state for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// State of each version in each class.
    pub streams: Vec<StreamDump>,
    /// Number of daemons whose counters are kept.
    pub origins: usize,
    /// Fleet size by which the budgets are divided.
    pub fleet: usize,
    /// Number of tables kept.
    pub tables: usize,
    /// When the rater is asked again, if it is paused.
    pub rater_paused_until: Option<Time>,
}
