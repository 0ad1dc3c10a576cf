//! The state of one daemon's decisions.

mod choose;
mod exchange;

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use serde::Serialize;
use types::prelude::*;

use crate::budget::{Budget, BudgetTerms};
use crate::choice::{Candidate, OfferTerms};
use crate::config::Config;
use crate::fact::CellError;
use crate::rating::Rating;
use crate::rating::Totals;
use crate::sampling::{Bucket, Need, shares};
use crate::stream::{Dump, Name, Phase, Stream, StreamDump, StreamId, Terms};
use crate::suspension::Suspensions;
use crate::table::Table;

use exchange::Origin;

/// Most (class, version) pairs known.
const MAX_STREAMS: usize = 4096;
/// Part of a new rate in the smoothed one, a tick.
const RATE_SMOOTHING: f64 = 0.1;
/// Weight of ratings of a version on a budget, beside deviations well below 0.1.
const URGENT_WEIGHT: f64 = 1.0;
/// Weight that every version keeps, since any may turn bad.
const LEAST_WEIGHT: f64 = 0.01;
/// Answers a second that a suspect version gets over the fleet, so that it is not
/// stuck when its ratings were lost.
const SUSPECT_TRICKLE: Rate = Rate(0.2);

/// A version's standing changed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// The class of work.
    pub class: ClassName,
    /// The version.
    pub version: VersionId,
    /// What it was.
    pub from: Phase,
    /// What it is.
    pub to: Phase,
    /// Estimated share of adequate answers then.
    pub quality: f64,
    /// Ratings remembered then.
    pub ratings: f64,
}

/// The state of one daemon's decisions.
#[derive(Debug)]
pub struct Quality {
    cfg: Config,
    incarnation: Incarnation,
    started: Time,
    streams: BTreeMap<StreamId, Stream>,
    origins: BTreeMap<DaemonId, Origin>,
    suspensions: Suspensions,
    tables: BTreeMap<u64, Table>,
    /// Rises whenever a version's standing changes, so that tables are built anew.
    generation: u64,
    bucket: Bucket,
    fleet: usize,
    largest_fleet: usize,
    largest_until: Time,
    ticked_at: Time,
    changes: Vec<Change>,
}

impl Quality {
    /// A daemon that knows nothing yet. `incarnation` tells its restarts apart.
    #[must_use]
    pub fn new(cfg: Config, incarnation: Incarnation, now: Time) -> Self {
        Self {
            cfg,
            incarnation,
            started: now,
            streams: BTreeMap::new(),
            origins: BTreeMap::new(),
            suspensions: Suspensions::default(),
            tables: BTreeMap::new(),
            generation: 0,
            bucket: Bucket::new(now),
            fleet: 1,
            largest_fleet: 1,
            largest_until: Time::ZERO,
            ticked_at: now,
            changes: Vec::new(),
        }
    }

    /// Runs what goes by time, for a fleet of so many live daemons, and tells what changed.
    pub fn tick(&mut self, now: Time, fleet: usize, rng: &mut impl Rng) -> Vec<Change> {
        self.note_fleet(now, fleet);
        self.refresh_rates(now);
        let ids: Vec<StreamId> = self.streams.keys().copied().collect();
        for id in ids {
            self.settle(now, id, rng);
        }
        std::mem::take(&mut self.changes)
    }

    /// Takes a rating of one of this daemon's answers.
    ///
    /// # Errors
    /// When too many classes and versions are known.
    pub fn record_rating(
        &mut self,
        now: Time,
        class: &ClassName,
        version: &VersionId,
        rating: Rating,
        rng: &mut impl Rng,
    ) -> Result<(), CellError> {
        let id = StreamId::of(class, version, rating.escalated);
        let cfg = self.cfg.clone();
        let stream = self.stream(now, id, rng)?;
        let mut one = Totals::default();
        one.add(rating);
        stream.own.add(rating);
        stream.learn(&one, &cfg);
        self.settle(now, id, rng);
        Ok(())
    }

    /// Whether to have an answer rated; a yes counts against the rater's rate.
    ///
    /// To be asked of every answer, also of those that were discarded: an escalated answer is
    /// counted here, since its choice did not know whether it would come to it.
    pub fn should_rate(
        &mut self,
        now: Time,
        class: &ClassName,
        version: &VersionId,
        escalated: bool,
        rng: &mut impl Rng,
    ) -> bool {
        let id = StreamId::of(class, version, escalated);
        if escalated {
            self.serve(id, true);
        }
        let Some(stream) = self.streams.get(&id) else {
            return false;
        };
        let urgent = on_budget(stream.phase);
        if !urgent && !rand::RngExt::random_bool(rng, stream.sampling.clamp(0.0, 1.0)) {
            return false;
        }
        let part = Rate(self.cfg.ratings.0 / self.fleet as f64);
        self.bucket.take(now, part, urgent)
    }

    /// The rater failed or refused: it is left alone until then.
    pub fn pause_rating(&mut self, until: Time) {
        self.bucket.paused_until = until;
    }

    /// Whether a version is suspended in any class.
    #[must_use]
    pub fn suspended(&self, version: &VersionId) -> bool {
        let mut streams = self.streams.values();
        streams.any(|stream| {
            let named = stream.name.as_ref();
            stream.phase == Phase::Suspended && named.is_some_and(|name| name.version == *version)
        })
    }

    /// An operator's word: suspends a version in a class.
    ///
    /// # Errors
    /// When too many classes and versions are known.
    pub fn suspend(
        &mut self,
        now: Time,
        class: &ClassName,
        version: &VersionId,
        rng: &mut impl Rng,
    ) -> Result<(), CellError> {
        let id = StreamId::new(class, version);
        self.stream(now, id, rng)?;
        self.suspensions.begin(id);
        self.settle(now, id, rng);
        Ok(())
    }

    /// An operator's word: a version starts again as unproved wherever it is suspended.
    /// Says in how many of the classes that was. Peers may have told of a suspension before
    /// any request did, hence the classes.
    pub fn lift(
        &mut self,
        now: Time,
        version: &VersionId,
        classes: &[ClassName],
        rng: &mut impl Rng,
    ) -> usize {
        let classes: BTreeSet<&ClassName> = classes.iter().collect();
        let mut lifted = 0;
        for class in classes {
            let ids = [false, true].map(|escalated| StreamId::of(class, version, escalated));
            let open = ids.map(|id| self.suspensions.lift(id));
            lifted += usize::from(open.contains(&true));
            for id in ids {
                self.settle(now, id, rng);
            }
        }
        lifted
    }

    /// How far a version is trusted in a class, with its estimate.
    #[must_use]
    pub fn standing(&self, class: &ClassName, version: &VersionId) -> Option<StreamDump> {
        let id = StreamId::new(class, version);
        self.streams
            .get(&id)
            .and_then(|stream| self.dump_of(stream))
    }

    /// State for people.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let streams = self.streams.values();
        Dump {
            streams: streams.filter_map(|stream| self.dump_of(stream)).collect(),
            origins: self.origins.len(),
            fleet: self.largest_fleet,
            tables: self.tables.len(),
            rater_paused_until: Some(self.bucket.paused_until)
                .filter(|until| !self.ticked_at.has_reached(*until)),
        }
    }

    fn dump_of(&self, stream: &Stream) -> Option<StreamDump> {
        let name = stream.name.clone()?;
        let estimate = stream.estimate(&self.cfg);
        Some(StreamDump {
            class: name.class,
            version: name.version,
            escalated: name.escalated,
            phase: stream.phase,
            quality: estimate.mean(),
            deviation: estimate.deviation(),
            ratings: stream.faded.sum(),
            reference: stream.reference,
            level: stream.level(),
            sampling: stream.sampling,
            served: stream.served,
        })
    }

    /// Remembers the largest fleet of late.
    ///
    /// Guards against a cut: a daemon that sees few others would take a larger part of
    /// every budget, as would the other side. Its part stays that of the whole fleet.
    fn note_fleet(&mut self, now: Time, fleet: usize) {
        self.fleet = fleet.max(1);
        if self.fleet >= self.largest_fleet || now.has_reached(self.largest_until) {
            self.largest_fleet = self.fleet;
            self.largest_until = now + self.cfg.fleet_memory;
        }
    }

    /// Smooths the rates of requests and shares out the ratings.
    fn refresh_rates(&mut self, now: Time) {
        let elapsed = now.since(self.ticked_at).as_secs_f64();
        self.ticked_at = now;
        if elapsed <= 0.0 {
            return;
        }
        let mut needs = Vec::with_capacity(self.streams.len());
        for stream in self.streams.values_mut() {
            let rate = (stream.served - stream.served_before) as f64 / elapsed;
            stream.served_before = stream.served;
            stream.served_rate += RATE_SMOOTHING * (rate - stream.served_rate);
            needs.push(Need {
                rate: stream.served_rate,
                weight: weight(stream, &self.cfg),
            });
        }
        let part = Rate(self.cfg.ratings.0 / self.fleet as f64);
        let shares = shares(&needs, part);
        for (stream, share) in self.streams.values_mut().zip(shares) {
            stream.sampling = share;
        }
    }

    /// Brings a stream's phase in line with the suspensions and the evidence.
    fn settle(&mut self, now: Time, id: StreamId, rng: &mut impl Rng) {
        let active = self.suspensions.is_active(id);
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let before = stream.phase;
        if active {
            stream.phase = Phase::Suspended;
        } else if before == Phase::Suspended {
            let budget = budget(&self.cfg, Phase::Unproved, now, stream.seen, rng);
            stream.start_again(budget);
        } else {
            let next = stream.next_phase(&self.cfg);
            if next != before {
                let budget = budget(&self.cfg, next, now, stream.seen, rng);
                stream.enter(next, budget);
            }
        }
        let after = stream.phase;
        if after == before {
            return;
        }
        self.generation += 1;
        if after == Phase::Suspended {
            self.suspend_version(now, id, rng);
        }
        self.note_change(id, before);
    }

    /// A version that is bad after escalations is bad: its direct answers stop too.
    fn suspend_version(&mut self, now: Time, id: StreamId, rng: &mut impl Rng) {
        self.suspensions.begin(id);
        let name = self.streams.get(&id).and_then(|stream| stream.name.clone());
        let Some(name) = name.filter(|name| name.escalated) else {
            return;
        };
        let direct = StreamId::new(&name.class, &name.version);
        self.suspensions.begin(direct);
        self.settle(now, direct, rng);
    }

    fn note_change(&mut self, id: StreamId, from: Phase) {
        let stream = &self.streams[&id];
        let Some(name) = stream.name.clone() else {
            return;
        };
        self.changes.push(Change {
            class: name.class,
            version: name.version,
            from,
            to: stream.phase,
            quality: stream.estimate(&self.cfg).mean(),
            ratings: stream.faded.sum(),
        });
    }

    fn stream(
        &mut self,
        now: Time,
        id: StreamId,
        rng: &mut impl Rng,
    ) -> Result<&mut Stream, CellError> {
        if !self.streams.contains_key(&id) {
            if self.streams.len() >= MAX_STREAMS {
                return Err(CellError::TooMany(MAX_STREAMS));
            }
            let budget = budget(&self.cfg, Phase::Unproved, now, 0.0, rng);
            self.streams.insert(id, Stream::unnamed(budget));
        }
        self.streams
            .get_mut(&id)
            .ok_or(CellError::TooMany(MAX_STREAMS))
    }

    /// Names a candidate's streams and takes over what the catalogue says of it.
    fn describe(
        &mut self,
        now: Time,
        offer: &OfferTerms,
        candidate: &Candidate,
        rng: &mut impl Rng,
    ) {
        for escalated in [false, true] {
            let id = StreamId::of(&offer.class, &candidate.version, escalated);
            let Ok(stream) = self.stream(now, id, rng) else {
                continue;
            };
            let name = Name {
                class: offer.class.clone(),
                version: candidate.version.clone(),
                escalated,
            };
            let terms = Terms {
                claim: candidate.expected.map(Share::get),
                target: offer.target.get(),
                caution: offer.caution(),
            };
            stream.describe(name, terms);
        }
    }
}

fn on_budget(phase: Phase) -> bool {
    matches!(phase, Phase::Unproved | Phase::Suspect)
}

/// How much a rating of a stream teaches.
fn weight(stream: &Stream, cfg: &Config) -> f64 {
    if on_budget(stream.phase) {
        URGENT_WEIGHT
    } else {
        stream.estimate(cfg).deviation() + LEAST_WEIGHT
    }
}

fn budget(cfg: &Config, phase: Phase, now: Time, seen: f64, rng: &mut impl Rng) -> Budget {
    let suspect = phase == Phase::Suspect;
    let terms = BudgetTerms {
        base: if suspect {
            cfg.suspect_base
        } else {
            cfg.unproved_base
        },
        per_rating: cfg.answers_per_rating,
        trickle: if suspect { SUSPECT_TRICKLE } else { Rate(0.0) },
    };
    Budget::new(terms, now, seen, rng)
}
