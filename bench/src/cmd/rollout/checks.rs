//! What is watched in a run: whether the demand has its capacity, and the end.

use types::prelude::*;

use super::is_under_way;
use super::run::{Run, TICK, index_of, name};
use super::scenario::Trouble;

impl Run<'_> {
    /// Slots of engines that have a version ready.
    fn ready(&self, version: &VersionName) -> f64 {
        let able = self.engines.iter().filter(|e| e.ready.contains(version));
        able.map(|e| f64::from(e.slots)).sum()
    }

    /// Whether the demand did not fit any more once a version lost an engine.
    pub(super) fn is_unsafe_without(&self, version: &VersionName) -> bool {
        let removing = !is_under_way(self.state()) && *version == self.dropped();
        let other = if version.as_str() == "1" {
            name("2")
        } else {
            name("1")
        };
        let short = self.ready(version) < self.on()[index_of(version)] - 0.5;
        short || (removing && self.ready(&other) < self.total - 0.5)
    }

    /// Whether the demand has its capacity, and whether all is done.
    pub(super) fn judge(&mut self, now: Time) {
        let (old, new) = (name("1"), name("2"));
        let on = self.on();
        if now.0.is_multiple_of(1_000_000) {
            let at = now.since(Time::ZERO).as_secs_f64();
            let sample = [at, self.ready(&old), self.ready(&new), on[0], on[1]];
            self.outcome.samples.push(sample);
        }
        let old_short = self.ready(&old) < on[0] - 0.5;
        let new_short = self.ready(&new) < on[1] - 0.5;
        let any = self
            .engines
            .iter()
            .filter(|e| e.ready.contains(&old) || e.ready.contains(&new));
        let any: f64 = any.map(|e| f64::from(e.slots)).sum();
        let short = old_short || new_short || any < self.total;
        // Slots that a domain's loss takes are not the driver's.
        if short && self.scenario.trouble != Trouble::DomainLost {
            self.outcome.short_s += TICK.as_secs_f64();
            self.outcome.both_short |= (old_short && new_short) || any < self.total;
        }
        let drop = self.dropped();
        let gone = self.engines.iter().all(|e| !e.ready.contains(&drop));
        if gone && !is_under_way(self.state()) && self.withdrawn.is_some() && self.all_awake(now) {
            self.outcome.finished_s = Some(now.since(Time::ZERO).as_secs_f64());
        }
    }

    fn all_awake(&self, now: Time) -> bool {
        self.daemons
            .iter()
            .all(|daemon| now >= daemon.paused_until && daemon.in_hand.is_empty())
    }
}
