//! What is learnt from attempts, reports, cache events and signs of leaving.

use std::collections::BTreeSet;

use rand::Rng;
use types::prelude::*;

use crate::demand::{Demand, LoadReport, Outcome, PrefixHash, TargetIndex, UpstreamIndex};
use crate::health::LeavingSign;
use crate::router::Router;

/// Part of a target's upstreams that may be ejected at once.
///
/// When more fail, the fault is likelier to be this daemon's network or the work itself, and
/// a pool without upstreams helps nobody.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Weight of the newest report in the pool's mean.
const USUAL_WEIGHT: f64 = 0.05;
/// Weight of the newest answer in the pool's pace.
const POOL_PACE_WEIGHT: f64 = 0.02;
/// Times slower than its pool that ejects an upstream.
const SLOW_FACTOR: f64 = 2.5;
/// Targets that an upstream may say it has loaded; more are ignored.
const MAX_LOADED: usize = 64;

impl Router {
    /// Counts a request that is about to be sent, and remembers where its prefix goes.
    pub fn started(&mut self, index: UpstreamIndex, demand: &Demand<'_>) {
        if let Some(entry) = self.entry_mut(index) {
            entry.upstream.in_flight += 1;
        }
        for prefix in demand.prefix {
            self.prefixes.add(demand.target, *prefix, index);
        }
    }

    /// Counts the end of an attempt and learns from it.
    pub fn finished(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        target: TargetIndex,
        outcome: Outcome,
        rng: &mut impl Rng,
    ) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.upstream.in_flight = entry.upstream.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered {
                first_token,
                per_token,
            } => {
                let pace = if per_token == Span::ZERO {
                    first_token
                } else {
                    per_token
                };
                self.answered(now, index, target, pace, rng);
            }
            Outcome::Unreachable => self.failed(now, index, true, rng),
            Outcome::Failed => self.failed(now, index, false, rng),
            Outcome::NotLoaded => self.change(index, |upstream| {
                upstream.loaded.retain(|loaded| *loaded != target);
            }),
            Outcome::Busy | Outcome::Cancelled => (),
        }
        self.forget_removed(index);
    }

    /// An upstream asked for its load could not be reached.
    pub fn unreachable(&mut self, now: Time, index: UpstreamIndex, rng: &mut impl Rng) {
        self.failed(now, index, true, rng);
    }

    fn answered(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        target: TargetIndex,
        pace: Span,
        rng: &mut impl Rng,
    ) {
        let usual = self.note_pace(target, pace);
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.upstream.health.answered(now);
        entry.upstream.observe_pace(pace);
        let slow = entry.upstream.slowness(usual) >= SLOW_FACTOR;
        let domain = usize::from(entry.upstream.domain);
        self.domains[domain].answered();
        if slow {
            self.eject(now, index, rng);
        }
    }

    /// Adds an answer's pace to its pool's; one outlier moves it only a little.
    fn note_pace(&mut self, target: TargetIndex, pace: Span) -> f64 {
        let Some(pool) = self.candidates.get_mut(target.slot()) else {
            return 0.0;
        };
        let micros = pace.as_micros() as f64;
        if pool.per_token <= 0.0 {
            pool.per_token = micros;
        }
        pool.paced = pool.paced.saturating_add(1);
        let weight = POOL_PACE_WEIGHT.max(1.0 / f64::from(pool.paced));
        let bounded = micros.clamp(pool.per_token / 2.0, pool.per_token * 2.0);
        pool.per_token += weight * (bounded - pool.per_token);
        pool.per_token
    }

    fn failed(&mut self, now: Time, index: UpstreamIndex, unreachable: bool, rng: &mut impl Rng) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let enough = entry.upstream.health.failed(unreachable);
        let domain = usize::from(entry.upstream.domain);
        if unreachable {
            self.domains[domain].failed(index);
        }
        if enough {
            self.eject(now, index, rng);
        }
    }

    fn eject(&mut self, now: Time, index: UpstreamIndex, rng: &mut impl Rng) {
        if !self.may_eject(index) {
            return;
        }
        let mut until = now;
        self.change(index, |upstream| {
            until = upstream.health.eject(now, rng);
            upstream.forget_pace();
        });
        self.returns.insert((until, index));
    }

    fn may_eject(&self, index: UpstreamIndex) -> bool {
        let Some(upstream) = self.upstream(index) else {
            return false;
        };
        let room = |target: &TargetIndex| {
            let pool = &self.candidates[target.slot()];
            (pool.ejected + 1) as f64 <= pool.present as f64 * MAX_EJECTED_SHARE
        };
        upstream.health.is_eligible() && upstream.loaded.iter().all(room)
    }

    /// Takes a load report, polled or come with an answer.
    pub fn report(&mut self, now: Time, index: UpstreamIndex, report: &LoadReport) {
        if report.loaded.is_none() {
            self.answered.rotate_right(1);
            self.answered[0] = Some(index);
        }
        if report.leaving {
            self.leaving(now, index, LeavingSign::Refusal);
        }
        let loaded = report
            .loaded
            .as_ref()
            .map(|loaded| self.known_targets(loaded));
        if self.is_news(index, report.slots, loaded.as_ref()) {
            self.change(index, |upstream| {
                if let Some(loaded) = loaded {
                    upstream.loaded = loaded;
                }
                upstream.take_report(now, report);
            });
        } else if let Some(entry) = self.entry_mut(index) {
            entry.upstream.take_report(now, report);
        }
        self.note_usual(index);
    }

    /// What a report says is loaded, checked: an upstream may say anything.
    fn known_targets(&self, loaded: &[TargetIndex]) -> Vec<TargetIndex> {
        let known = loaded.iter().copied();
        let known = known.filter(|target| target.slot() < self.targets.len());
        let unique: BTreeSet<_> = known.take(MAX_LOADED).collect();
        unique.into_iter().collect()
    }

    fn is_news(&self, index: UpstreamIndex, slots: u32, loaded: Option<&Vec<TargetIndex>>) -> bool {
        self.upstream(index).is_some_and(|upstream| {
            upstream.slots != slots.max(1) || loaded.is_some_and(|l| *l != upstream.loaded)
        })
    }

    fn note_usual(&mut self, index: UpstreamIndex) {
        let Some(Some(entry)) = self.upstreams.get(index.slot()) else {
            return;
        };
        let others = entry.upstream.others_per_slot();
        for target in &entry.upstream.loaded {
            let pool = &mut self.candidates[target.slot()];
            pool.usual_others += USUAL_WEIGHT * (others - pool.usual_others);
        }
    }

    /// Notes a cache event of an engine.
    pub fn cache_event(
        &mut self,
        index: UpstreamIndex,
        target: TargetIndex,
        prefix: PrefixHash,
        stored: bool,
    ) {
        if stored {
            self.prefixes.add(target, prefix, index);
        } else {
            self.prefixes.remove(target, prefix, index);
        }
    }

    /// Notes a sign that an upstream is leaving: it gets nothing new from now on.
    pub fn leaving(&mut self, now: Time, index: UpstreamIndex, sign: LeavingSign) {
        let before = self.upstream(index).and_then(|u| u.health.leaving_until());
        let mut until = None;
        self.change(index, |upstream| until = upstream.health.leave(now, sign));
        if let Some(until) = until {
            before.map(|before| self.returns.remove(&(before, index)));
            self.returns.insert((until, index));
        }
    }

    /// The host list has the upstream as live.
    pub fn listed_live(&mut self, index: UpstreamIndex) {
        let listed = self.upstream(index).is_some_and(|u| u.health.is_leaving());
        if listed {
            self.change(index, |upstream| upstream.health.listed_live());
        }
    }
}
