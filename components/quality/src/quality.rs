//! Quality state of one daemon: ratings, phases of versions, and dumps.

mod choose;
mod exchange;

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use serde::Serialize;
use types::prelude::*;

use crate::budget::{Budget, BudgetTerms};
use crate::choice::{Candidate, OfferTerms};
use crate::config::Config;
use crate::fact::FactError;
use crate::rating::Rating;
use crate::rating::Totals;
use crate::sampling::{RatingBucket, SamplingInput, sampling_shares};
use crate::stream::{Dump, Name, Phase, Stream, StreamDump, StreamId, Terms};
use crate::suspension::Suspensions;
use crate::table::Table;

use exchange::Origin;

/// Maximum number of streams kept, which bounds memory.
const MAX_STREAMS: usize = 4096;
/// Weight of the newest request rate in the smoothed one, applied on each tick.
const RATE_SMOOTHING: f64 = 0.1;
/// Sampling weight of a version on a budget. Other versions weigh as much as their deviation, which
/// is well below 0.1, so a version on a budget is rated first.
const ON_BUDGET_WEIGHT: f64 = 1.0;
/// Minimum sampling weight. Every version keeps being rated, since any may turn bad.
const MIN_WEIGHT: f64 = 0.01;
/// Answers per second over the whole fleet that a suspect version may always give. Without them it
/// would stay suspect for ever if its ratings were lost.
const SUSPECT_GUARANTEED_RATE: Rate = Rate(0.2);

/// A change of a version's phase in a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// The class of work.
    pub class: ClassName,
    /// The version.
    pub version: VersionId,
    /// Phase before the change.
    pub from: Phase,
    /// Phase after the change.
    pub to: Phase,
    /// Estimated share of adequate answers at the time of the change.
    pub quality: f64,
    /// Ratings behind the estimate, after decay.
    pub ratings: f64,
}

/// Quality state of one daemon.
#[derive(Debug)]
pub struct Quality {
    cfg: Config,
    incarnation: Incarnation,
    started: Time,
    streams: BTreeMap<StreamId, Stream>,
    origins: BTreeMap<DaemonId, Origin>,
    suspensions: Suspensions,
    tables: BTreeMap<u64, Table>,
    /// Incremented whenever a phase changes, so that tables built before are rebuilt.
    generation: u64,
    rating_bucket: RatingBucket,
    fleet: usize,
    largest_fleet: usize,
    largest_fleet_until: Time,
    ticked_at: Time,
    changes: Vec<Change>,
}

impl Quality {
    /// Creates the state of a daemon without any evidence. `incarnation` distinguishes this
    /// run of the daemon from earlier ones.
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
            rating_bucket: RatingBucket::new(now),
            fleet: 1,
            largest_fleet: 1,
            largest_fleet_until: Time::ZERO,
            ticked_at: now,
            changes: Vec::new(),
        }
    }

    /// Does the periodic work for a fleet of `fleet` live daemons; returns the phases that changed
    /// since the last tick.
    pub fn tick(&mut self, now: Time, fleet: usize, rng: &mut impl Rng) -> Vec<Change> {
        self.update_fleet_size(now, fleet);
        self.refresh_rates(now);
        let ids: Vec<StreamId> = self.streams.keys().copied().collect();
        for id in ids {
            self.update_phase(now, id, rng);
        }
        std::mem::take(&mut self.changes)
    }

    /// Adds a rating of one of this daemon's answers.
    ///
    /// # Errors
    /// When the maximum number of streams is reached.
    pub fn record_rating(
        &mut self,
        now: Time,
        class: &ClassName,
        version: &VersionId,
        rating: Rating,
        rng: &mut impl Rng,
    ) -> Result<(), FactError> {
        let id = StreamId::of(class, version, rating.escalated);
        let cfg = self.cfg.clone();
        let stream = self.stream(now, id, rng)?;
        let mut ratings = Totals::default();
        ratings.add(rating);
        stream.own.add(rating);
        stream.add_ratings(&ratings, &cfg);
        self.update_phase(now, id, rng);
        Ok(())
    }

    /// Whether to have an answer rated; `true` uses up a token of the rater's rate limit.
    ///
    /// Call it for every answer, discarded ones included: it also counts escalated answers, since
    /// at the time of the choice it was not known whether the request would be escalated.
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
            self.record_served(id, true);
        }
        let Some(stream) = self.streams.get(&id) else {
            return false;
        };
        let urgent = on_budget(stream.phase);
        if !urgent && !rand::RngExt::random_bool(rng, stream.sampling.clamp(0.0, 1.0)) {
            return false;
        }
        let daemon_rate = Rate(self.cfg.ratings.0 / self.fleet as f64);
        self.rating_bucket.take(now, daemon_rate, urgent)
    }

    /// Stops asking for ratings until the given time, after the rater failed or refused.
    pub fn pause_rating(&mut self, until: Time) {
        self.rating_bucket.paused_until = until;
    }

    /// Whether a version is suspended in any class.
    #[must_use]
    pub fn is_suspended(&self, version: &VersionId) -> bool {
        let mut streams = self.streams.values();
        streams.any(|stream| {
            let name = stream.name.as_ref();
            stream.phase == Phase::Suspended && name.is_some_and(|name| name.version == *version)
        })
    }

    /// Suspends a version in a class at an operator's request.
    ///
    /// # Errors
    /// When the maximum number of streams is reached.
    pub fn suspend(
        &mut self,
        now: Time,
        class: &ClassName,
        version: &VersionId,
        rng: &mut impl Rng,
    ) -> Result<(), FactError> {
        let id = StreamId::new(class, version);
        self.stream(now, id, rng)?;
        self.suspensions.begin(id);
        self.update_phase(now, id, rng);
        Ok(())
    }

    /// Lifts a version's suspension at an operator's request: it starts again as unproved.
    ///
    /// Returns in how many of `classes` it was suspended. The caller lists the classes since a
    /// suspension may have been learned from peers before this daemon saw a request of that class.
    pub fn lift_suspension(
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
            let was_suspended = ids.map(|id| self.suspensions.lift(id));
            lifted += usize::from(was_suspended.contains(&true));
            for id in ids {
                self.update_phase(now, id, rng);
            }
        }
        lifted
    }

    /// Phase and estimate of a version's direct answers in a class.
    #[must_use]
    pub fn stream_status(&self, class: &ClassName, version: &VersionId) -> Option<StreamDump> {
        let id = StreamId::new(class, version);
        self.streams
            .get(&id)
            .and_then(|stream| self.dump_of(stream))
    }

    /// Snapshot of the state for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let streams = self.streams.values();
        Dump {
            streams: streams.filter_map(|stream| self.dump_of(stream)).collect(),
            origins: self.origins.len(),
            fleet: self.largest_fleet,
            tables: self.tables.len(),
            rater_paused_until: Some(self.rating_bucket.paused_until)
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
            ratings: stream.decayed.sum(),
            reference: stream.reference,
            level: stream.level(),
            sampling: stream.sampling,
            served: stream.served,
        })
    }

    /// Updates the fleet size and the largest size seen within the configured period.
    ///
    /// Budgets are divided by the largest recent size. If they were divided by the present size,
    /// the daemons on each side of a network partition, which see few others, would take larger
    /// shares of every budget.
    fn update_fleet_size(&mut self, now: Time, fleet: usize) {
        self.fleet = fleet.max(1);
        if self.fleet >= self.largest_fleet || now.has_reached(self.largest_fleet_until) {
            self.largest_fleet = self.fleet;
            self.largest_fleet_until = now + self.cfg.fleet_memory;
        }
    }

    /// Updates the smoothed request rates and divides the ratings among the streams.
    fn refresh_rates(&mut self, now: Time) {
        let elapsed = now.since(self.ticked_at).as_secs_f64();
        self.ticked_at = now;
        if elapsed <= 0.0 {
            return;
        }
        let mut inputs = Vec::with_capacity(self.streams.len());
        for stream in self.streams.values_mut() {
            let rate = (stream.served - stream.served_at_refresh) as f64 / elapsed;
            stream.served_at_refresh = stream.served;
            stream.served_rate += RATE_SMOOTHING * (rate - stream.served_rate);
            inputs.push(SamplingInput {
                rate: stream.served_rate,
                weight: sampling_weight(stream, &self.cfg),
            });
        }
        let daemon_rate = Rate(self.cfg.ratings.0 / self.fleet as f64);
        let shares = sampling_shares(&inputs, daemon_rate);
        for (stream, share) in self.streams.values_mut().zip(shares) {
            stream.sampling = share;
        }
    }

    /// Updates a stream's phase from the suspensions and the evidence.
    fn update_phase(&mut self, now: Time, id: StreamId, rng: &mut impl Rng) {
        let suspended = self.suspensions.is_active(id);
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let before = stream.phase;
        if suspended {
            stream.phase = Phase::Suspended;
        } else if before == Phase::Suspended {
            let budget = new_budget(&self.cfg, Phase::Unproved, now, stream.ratings_seen, rng);
            stream.reset(budget);
        } else {
            let next = stream.next_phase(&self.cfg);
            if next != before {
                let budget = new_budget(&self.cfg, next, now, stream.ratings_seen, rng);
                stream.enter_phase(next, budget);
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
        self.record_change(id, before);
    }

    /// Suspends a version. One that is bad on escalated requests stops giving direct answers too.
    fn suspend_version(&mut self, now: Time, id: StreamId, rng: &mut impl Rng) {
        self.suspensions.begin(id);
        let name = self.streams.get(&id).and_then(|stream| stream.name.clone());
        let Some(name) = name.filter(|name| name.escalated) else {
            return;
        };
        let direct = StreamId::new(&name.class, &name.version);
        self.suspensions.begin(direct);
        self.update_phase(now, direct, rng);
    }

    fn record_change(&mut self, id: StreamId, from: Phase) {
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
            ratings: stream.decayed.sum(),
        });
    }

    fn stream(
        &mut self,
        now: Time,
        id: StreamId,
        rng: &mut impl Rng,
    ) -> Result<&mut Stream, FactError> {
        if !self.streams.contains_key(&id) {
            if self.streams.len() >= MAX_STREAMS {
                return Err(FactError::TooMany(MAX_STREAMS));
            }
            let budget = new_budget(&self.cfg, Phase::Unproved, now, 0.0, rng);
            self.streams.insert(id, Stream::unnamed(budget));
        }
        self.streams
            .get_mut(&id)
            .ok_or(FactError::TooMany(MAX_STREAMS))
    }

    /// Sets the names of a candidate's streams and the catalogue's values for it.
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

/// Sampling weight of a stream: the less certain its estimate, the more of its answers are rated.
fn sampling_weight(stream: &Stream, cfg: &Config) -> f64 {
    if on_budget(stream.phase) {
        ON_BUDGET_WEIGHT
    } else {
        stream.estimate(cfg).deviation() + MIN_WEIGHT
    }
}

fn new_budget(
    cfg: &Config,
    phase: Phase,
    now: Time,
    ratings_seen: f64,
    rng: &mut impl Rng,
) -> Budget {
    let suspect = phase == Phase::Suspect;
    let terms = BudgetTerms {
        base: if suspect {
            cfg.suspect_base
        } else {
            cfg.unproved_base
        },
        per_rating: cfg.answers_per_rating,
        guaranteed_rate: if suspect {
            SUSPECT_GUARANTEED_RATE
        } else {
            Rate(0.0)
        },
    };
    Budget::new(terms, now, ratings_seen, rng)
}
