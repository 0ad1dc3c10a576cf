//! Checks of a run: whether there is enough capacity for the demand, and whether the run has ended.

use types::prelude::*;

use super::is_active;
use super::run::{Run, TICK_INTERVAL, index_of, name};
use super::scenario::Fault;

impl Run<'_> {
    /// Number of slots of engines that have a version ready.
    fn ready(&self, version: &VersionName) -> f64 {
        let able = self.engines.iter().filter(|e| e.ready.contains(version));
        able.map(|e| f64::from(e.slots)).sum()
    }

    /// Whether the capacity no longer meets the demand after a version was removed from an engine.
    pub(super) fn is_removal_unsafe(&self, version: &VersionName) -> bool {
        let removing = !is_active(self.state()) && *version == self.dropped();
        let other = if version.as_str() == "1" {
            name("2")
        } else {
            name("1")
        };
        let short = self.ready(version) < self.demand_by_version()[index_of(version)] - 0.5;
        short || (removing && self.ready(&other) < self.total_demand - 0.5)
    }

    /// Records missing capacity and the end of the run.
    pub(super) fn check(&mut self, now: Time) {
        let (old, new) = (name("1"), name("2"));
        let demand = self.demand_by_version();
        if now.0.is_multiple_of(1_000_000) {
            let at = now.since(Time::ZERO).as_secs_f64();
            let sample = [at, self.ready(&old), self.ready(&new), demand[0], demand[1]];
            self.outcome.samples.push(sample);
        }
        let old_short = self.ready(&old) < demand[0] - 0.5;
        let new_short = self.ready(&new) < demand[1] - 0.5;
        let any_version = self
            .engines
            .iter()
            .filter(|e| e.ready.contains(&old) || e.ready.contains(&new));
        let any_version: f64 = any_version.map(|e| f64::from(e.slots)).sum();
        let short = old_short || new_short || any_version < self.total_demand;
        // The driver isn't responsible for slots lost with a failure domain.
        if short && self.scenario.fault != Fault::DomainLost {
            self.outcome.short_s += TICK_INTERVAL.as_secs_f64();
            self.outcome.both_short |= (old_short && new_short) || any_version < self.total_demand;
        }
        let drop = self.dropped();
        let is_removed = self.engines.iter().all(|e| !e.ready.contains(&drop));
        if is_removed
            && !is_active(self.state())
            && self.withdrawn.is_some()
            && self.all_resumed(now)
        {
            self.outcome.finished_s = Some(now.since(Time::ZERO).as_secs_f64());
        }
    }

    fn all_resumed(&self, now: Time) -> bool {
        self.daemons
            .iter()
            .all(|daemon| now >= daemon.paused_until && daemon.pending_effects.is_empty())
    }
}
