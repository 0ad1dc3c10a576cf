//! Judging roll-outs on the fleet's evidence, and reporting what this daemon saw.

use dispatch::Evidence;
use types::prelude::*;

use super::Control;
use crate::codec::Codec;
use crate::rollouts::FleetFindings;

/// What was seen of roll-outs is reported every so many ticks at least.
const REPORT_TICKS: u32 = 2;
/// Daemons of a fleet for each tick between two reports: the two judges take some 500 reports a
/// second from a fleet of any size, where 295 daemons at every second tick sent them 1,475 each.
const DAEMONS_PER_TICK: usize = 50;
/// So long after an order all report at every second tick: sessions that are at work must be
/// known everywhere before the new version gets its first requests.
const FAST_REPORT_PERIOD: Span = Span::from_secs(3);
/// Evidence tells a roll-out's age in these steps, so that a quiet daemon has nothing to say.
const ELAPSED_STEP_MS: u64 = 500;

impl<C: Codec> Control<C> {
    /// Judges the roll-outs, and reports to the watchers when it is this daemon's turn.
    pub(super) fn step_rollouts(&mut self, now: Time, is_tick: bool) {
        let services = self.rollouts.services();
        if services.is_empty() {
            return;
        }
        let seen = self.traffic.seen.evidence();
        for (service, order) in services {
            let mut own = seen.get(&service).copied().unwrap_or_default();
            if own.order != order.revision {
                own = Evidence::default();
            }
            own.order = order.revision;
            let known_for = self.rollouts.elapsed(now, &service);
            let elapsed = known_for.as_millis();
            let elapsed = elapsed - elapsed % ELAPSED_STEP_MS;
            own.elapsed_ms = u32::try_from(elapsed).unwrap_or(u32::MAX);
            let word = self.peering.gather(&own);
            let findings = FleetFindings {
                fleet: &word.fleet,
                serving_capacity: self.serving_capacity(&service, &order.to),
                is_marked_bad: word.is_bad,
                staying: self.peering.staying(order.revision),
            };
            let stepped = self.rollouts.step(now, &service, findings);
            self.must_plan |= stepped.has_changed;
            if stepped.is_newly_bad {
                self.peering.mark_bad(stepped.order);
            }
            // Once it is decided nothing more is learnt from it.
            if !stepped.is_running {
                continue;
            }
            if is_tick && self.is_report_due(known_for) {
                let staying = self.traffic.seen.staying(order.revision);
                self.peering.report(now, &own, &staying);
            }
        }
    }

    /// Whether this tick is one of this daemon's to report on an order known for so long.
    fn is_report_due(&self, known_for: Span) -> bool {
        let by_fleet = u32::try_from(self.daemons / DAEMONS_PER_TICK).unwrap_or(u32::MAX);
        let every = match known_for < FAST_REPORT_PERIOD {
            true => REPORT_TICKS,
            false => REPORT_TICKS.max(by_fleet),
        };
        self.ticks.is_multiple_of(every)
    }

    /// Part of a service's traffic that the upstreams of a version can take: all of it once
    /// they are at least as many as the others.
    fn serving_capacity(&self, service: &str, version: &str) -> f64 {
        let upstreams = self.planner.upstreams();
        let ready = upstreams.iter().filter(|upstream| {
            *upstream.service == *service && upstream.state == routes::UpstreamState::Ready
        });
        let (new, old) = ready.fold((0, 0), |(new, old), upstream| {
            let is_new = *upstream.version == *version;
            (new + usize::from(is_new), old + usize::from(!is_new))
        });
        match (new, old) {
            (0, _) => 0.0,
            (new, old) if new * 2 >= old => 1.0,
            (new, old) => new as f64 / (new + old) as f64,
        }
    }
}
