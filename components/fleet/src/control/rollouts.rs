//! Judging roll-outs on the fleet's evidence, and reporting this daemon's evidence.

use dispatch::Evidence;
use types::prelude::*;

use super::Control;
use crate::codec::Codec;
use crate::rollouts::FleetFindings;

/// Evidence on roll-outs is reported once per this many ticks at most.
const REPORT_TICKS: u32 = 2;
/// Adds one tick between two reports for this many daemons in the fleet. The two aggregators then
/// get some 500 reports a second from a fleet of any size; 295 daemons that report at every second
/// tick would send each of them 1,475.
const DAEMONS_PER_TICK: usize = 50;
/// For this long after an order every daemon reports at every second tick: sessions in progress
/// must be known everywhere before the new version gets its first requests.
const FAST_REPORT_PERIOD: Span = Span::from_secs(3);
/// Evidence gives a roll-out's age in steps of this many ms, so that a daemon without traffic has
/// nothing new to send.
const ELAPSED_STEP_MS: u64 = 500;

impl<C: Codec> Control<C> {
    /// Judges the roll-outs and, when it is this daemon's turn, reports its evidence to the
    /// aggregators.
    pub(super) fn step_rollouts(&mut self, now: Time, is_tick: bool) {
        let services = self.rollouts.services();
        if services.is_empty() {
            return;
        }
        let observed = self.traffic.observed.evidence();
        for (service, order) in services {
            let mut own = observed.get(&service).copied().unwrap_or_default();
            if own.order != order.revision {
                own = Evidence::default();
            }
            own.order = order.revision;
            let known_for = self.rollouts.elapsed(now, &service);
            let elapsed = known_for.as_millis();
            let elapsed = elapsed - elapsed % ELAPSED_STEP_MS;
            own.elapsed_ms = u32::try_from(elapsed).unwrap_or(u32::MAX);
            let summary = self.peering.aggregate(&own);
            let ready = self.ready_upstreams(&service, &order.to);
            let findings = FleetFindings {
                fleet: &summary.fleet,
                serving_capacity: ready.serving_capacity(),
                new_upstreams: ready.new,
                is_marked_bad: summary.is_bad,
                staying: self.peering.staying(order.revision),
            };
            let stepped = self.rollouts.step(now, &service, findings);
            self.must_plan |= stepped.has_changed;
            if stepped.is_newly_bad {
                self.peering.mark_bad(stepped.order);
            }
            // Evidence on a decided roll-out is not needed.
            if !stepped.is_running {
                continue;
            }
            if is_tick && self.is_report_due(known_for) {
                let staying = self.traffic.observed.staying(order.revision);
                self.peering.report(now, &own, &staying);
            }
        }
    }

    /// Whether this daemon reports at this tick on an order that it has known for `known_for`.
    fn is_report_due(&self, known_for: Span) -> bool {
        let by_fleet = u32::try_from(self.size.present / DAEMONS_PER_TICK).unwrap_or(u32::MAX);
        let every = match known_for < FAST_REPORT_PERIOD {
            true => REPORT_TICKS,
            false => REPORT_TICKS.max(by_fleet),
        };
        self.ticks.is_multiple_of(every)
    }

    fn ready_upstreams(&self, service: &str, version: &str) -> ReadyUpstreams {
        let upstreams = self.planner.upstreams();
        let ready = upstreams.iter().filter(|upstream| {
            *upstream.service == *service && upstream.state == routes::UpstreamState::Ready
        });
        let evacuated = self.planner.evacuated();
        let (new, old) = ready.fold((0, 0), |(new, old), upstream| {
            let is_new = *upstream.version == *version;
            let takes_requests = !evacuated.contains(&upstream.failure_domain);
            let is_usable = is_new && takes_requests;
            (new + usize::from(is_usable), old + usize::from(!is_new))
        });
        ReadyUpstreams { new, old }
    }
}

/// Ready upstreams of a service by version; those of the new version in evacuated failure domains
/// are left out, since they can take none of the traffic.
#[derive(Debug, Clone, Copy)]
struct ReadyUpstreams {
    new: usize,
    old: usize,
}

impl ReadyUpstreams {
    /// Fraction of the service's traffic that the new version's upstreams can take: all of it once
    /// they are at least half as many as the remaining ones.
    fn serving_capacity(self) -> f64 {
        match (self.new, self.old) {
            (0, _) => 0.0,
            (new, old) if new * 2 >= old => 1.0,
            (new, old) => new as f64 / (new + old) as f64,
        }
    }
}
