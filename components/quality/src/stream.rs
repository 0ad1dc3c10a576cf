//! All that is known of one version in one class of work.

use serde::Serialize;
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::budget::{Budget, Progress};
use crate::config::Config;
use crate::detector::{Detector, Thresholds};
use crate::estimate::Estimate;
use crate::rating::{BINS, Faded, Totals};

/// How far above its target a version is still held to its claim.
const HEADROOM: f64 = 0.03;
const LOWEST_REFERENCE: f64 = 0.1;
/// Deviations below the estimate at which a learned reference is set.
const LEARNED_BELOW: f64 = 3.0;
/// The reference moves only while the test is calmer than this.
const CALM: f64 = 0.15;
/// Deviations by which a version must clear the floor to be proved.
const PROOF: f64 = 1.64;
const DEFAULT_PRIOR: f64 = 0.8;

/// Identifies a version in a class of work, and whether it answers after an escalation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StreamId(pub(crate) u64);

impl StreamId {
    /// Of a version's direct answers in a class.
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

/// How far a version is trusted in a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Too little is known: its answers are counted against a budget.
    #[default]
    Unproved,
    /// Serves freely.
    Proved,
    /// The test leans towards bad: its answers are counted against a budget.
    Suspect,
    /// Takes nothing until an operator offers it again.
    Suspended,
}

/// Who a stream is about.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Name {
    pub(crate) class: ClassName,
    pub(crate) version: VersionId,
    pub(crate) escalated: bool,
}

/// What the catalogue says of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    pub(crate) claim: Option<f64>,
    pub(crate) target: f64,
    /// From 0 to 1: how much the owner minds answers from versions not yet proved.
    pub(crate) caution: f64,
}

impl Terms {
    /// What the version is compared with: its claim, but not much more than is asked for.
    fn reference(&self) -> f64 {
        let claim = self.claim.unwrap_or(self.target);
        claim.min(self.target + HEADROOM).max(LOWEST_REFERENCE)
    }

    pub(crate) fn prior(&self) -> f64 {
        self.claim.unwrap_or(DEFAULT_PRIOR.min(self.target))
    }
}

/// All that is known of one version in one class of work.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// Nothing while only peers have spoken of it.
    pub(crate) name: Option<Name>,
    pub(crate) terms: Terms,
    pub(crate) faded: Faded,
    pub(crate) own: Totals,
    pub(crate) published: Totals,
    pub(crate) next_publication: Time,
    /// Ratings of the whole fleet seen since start, never faded.
    pub(crate) seen: f64,
    pub(crate) reference: f64,
    /// Ratings seen when the reference was last learnt; none while it is the claim.
    pub(crate) checked_at: f64,
    pub(crate) thresholds: Option<Thresholds>,
    pub(crate) detector: Detector,
    pub(crate) phase: Phase,
    pub(crate) budget: Budget,
    /// Requests given to it by this daemon, and those at the last refresh.
    pub(crate) served: u64,
    pub(crate) served_before: u64,
    /// Requests a second, smoothed.
    pub(crate) served_rate: f64,
    /// Share of its answers to rate.
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
            faded: Faded::default(),
            own: Totals::default(),
            published: Totals::default(),
            next_publication: Time::ZERO,
            seen: 0.0,
            reference: terms.reference(),
            checked_at: 0.0,
            thresholds: None,
            detector: Detector::default(),
            phase: Phase::Unproved,
            budget,
            served: 0,
            served_before: 0,
            served_rate: 0.0,
            sampling: 1.0,
        }
    }

    /// Gives it its name and terms; new terms start from the catalogue's reference.
    pub(crate) fn describe(&mut self, name: Name, terms: Terms) {
        if self.name.is_none() || self.terms != terms {
            self.terms = terms;
            self.reference = terms.reference();
            self.checked_at = 0.0;
            self.thresholds = None;
        }
        self.name = Some(name);
    }

    pub(crate) fn estimate(&self, cfg: &Config) -> Estimate {
        let (good, bad) = (self.faded.good(), self.faded.bad());
        Estimate::new(self.terms.prior(), cfg.prior_ratings, good, bad)
    }

    /// The estimate of one bin of confidence, drawn towards the version's own.
    pub(crate) fn bin_estimate(&self, bin: usize, cfg: &Config) -> Estimate {
        let counts = &self.faded.0[bin];
        let mean = self.estimate(cfg).mean();
        Estimate::new(mean, 1.0, counts.good, counts.bad)
    }

    /// Ratings that had a stated confidence.
    pub(crate) fn signalled(&self) -> f64 {
        let unsignalled = self.faded.0[0].good + self.faded.0[0].bad;
        self.faded.sum() - unsignalled
    }

    pub(crate) fn bin_weight(&self, bin: usize) -> f64 {
        debug_assert!(bin < BINS);
        let counts = &self.faded.0[bin];
        (counts.good + counts.bad) / self.faded.sum().max(f64::MIN_POSITIVE)
    }

    pub(crate) fn level(&self) -> f64 {
        self.thresholds
            .as_ref()
            .map_or(0.0, |thresholds| self.detector.level(thresholds))
    }

    pub(crate) fn progress(&self) -> Progress {
        Progress {
            seen: self.seen,
            level: self.level(),
            caution: self.terms.caution,
        }
    }

    /// Takes fresh ratings of the fleet.
    pub(crate) fn learn(&mut self, more: &Totals, cfg: &Config) {
        let (good, bad) = (more.good(), more.bad());
        self.faded.add(more, cfg.memory);
        self.seen += (good + bad) as f64;
        if self.name.is_none() {
            return;
        }
        let null = self.null(cfg);
        let thresholds = self
            .thresholds
            .get_or_insert_with(|| Thresholds::new(null, cfg.false_alarm_requests));
        self.detector.add(thresholds, good, bad);
        self.adjust_reference(cfg);
    }

    /// The share below which the test calls the version bad.
    ///
    /// A claim may be off by more than a share that was learnt, and answers after an
    /// escalation are to harder requests than the claim speaks of.
    fn null(&self, cfg: &Config) -> f64 {
        if self.checked_at > 0.0 {
            return self.reference - cfg.tolerance;
        }
        self.reference - cfg.claim_tolerance - self.harder_by(cfg)
    }

    fn harder_by(&self, cfg: &Config) -> f64 {
        let escalated = self.name.as_ref().is_some_and(|name| name.escalated);
        if escalated { cfg.slack } else { 0.0 }
    }

    /// The lowest share at which it may serve in a mixture.
    fn floor(&self, cfg: &Config) -> f64 {
        let asked = self.terms.reference().min(self.terms.target);
        asked - cfg.slack - self.harder_by(cfg)
    }

    /// Learns what to compare the version with, whenever its ratings have doubled.
    ///
    /// Guards against suspending a cheap version that was never as good as its claim but
    /// serves well in a mixture. A drop must not move the reference after it, or it would
    /// hide itself: so the reference stands while the test is not calm.
    fn adjust_reference(&mut self, cfg: &Config) {
        let due = (2.0 * self.checked_at).min(self.checked_at + cfg.memory);
        if self.seen < due.max(cfg.proof_ratings) || self.phase != Phase::Proved {
            return;
        }
        if self.level() > CALM {
            return;
        }
        self.checked_at = self.seen;
        let (good, bad) = (self.faded.good(), self.faded.bad());
        let learned = Estimate::new(0.5, 2.0, good, bad).below(LEARNED_BELOW);
        let learned = learned.clamp(self.floor(cfg).max(LOWEST_REFERENCE), 1.0);
        self.reference = learned.min(self.terms.reference());
        self.thresholds = None;
    }

    /// The phase that the evidence asks for.
    pub(crate) fn next_phase(&self, cfg: &Config) -> Phase {
        let level = self.level();
        match self.phase {
            Phase::Suspended => Phase::Suspended,
            _ if level >= 1.0 => Phase::Suspended,
            Phase::Unproved if self.proves(level, cfg) => Phase::Proved,
            Phase::Proved if level >= cfg.suspect_at => Phase::Suspect,
            Phase::Suspect if level < cfg.suspect_at / 2.0 => Phase::Proved,
            same => same,
        }
    }

    fn proves(&self, level: f64, cfg: &Config) -> bool {
        let enough = self.faded.sum() >= cfg.proof_ratings;
        enough && level < cfg.suspect_at && self.estimate(cfg).below(PROOF) >= self.floor(cfg)
    }

    pub(crate) fn enter(&mut self, phase: Phase, budget: Budget) {
        self.phase = phase;
        self.budget = budget;
    }

    /// Forgets all evidence: the version starts again as unproved.
    pub(crate) fn start_again(&mut self, budget: Budget) {
        self.faded = Faded::default();
        self.detector = Detector::default();
        self.reference = self.terms.reference();
        self.checked_at = 0.0;
        self.thresholds = None;
        self.enter(Phase::Unproved, budget);
    }
}

/// One stream as the dump shows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StreamDump {
    /// The class of work.
    pub class: ClassName,
    /// The version.
    pub version: VersionId,
    /// Whether it answers after an escalation.
    pub escalated: bool,
    /// How far it is trusted.
    pub phase: Phase,
    /// Estimated share of adequate answers.
    pub quality: f64,
    /// Standard deviation of the estimate.
    pub deviation: f64,
    /// Ratings remembered.
    pub ratings: f64,
    /// What it is compared with.
    pub reference: f64,
    /// How near the test is to its alarm, 1 being there.
    pub level: f64,
    /// Share of its answers that this daemon has rated.
    pub sampling: f64,
    /// Requests that this daemon gave it.
    pub served: u64,
}

/// State of the decisions for people.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Each version in each class.
    pub streams: Vec<StreamDump>,
    /// Daemons whose counters are held.
    pub origins: usize,
    /// Fleet size by which budgets are shared.
    pub fleet: usize,
    /// Choices ready.
    pub tables: usize,
    /// When the rater is next asked, if it is paused.
    pub rater_paused_until: Option<Time>,
}
