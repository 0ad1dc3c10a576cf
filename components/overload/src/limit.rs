//! The limit on the fleet's sends to a congested service.

use types::prelude::*;

use crate::sums::Sums;

/// Share of the sends whose rejection shows that a service is congested.
const MAX_REJECTED_SHARE: f64 = 0.02;
/// Requests in flight, per slot, beyond which a service is congested. A quarter beyond the slots
/// keeps them busy, and costs a request at most a quarter of the work's time.
const TARGET_PER_SLOT: f64 = 1.25;
/// Interval at which the limit is adjusted.
const STEP: Span = Span::from_millis(500);
/// Factors of one adjustment.
const MIN_FACTOR: f64 = 0.8;
const MAX_FACTOR: f64 = 1.08;
/// Multiple of the offered rate that the limit has to exceed to end.
const ENDS_ABOVE: f64 = 1.5;
/// Time for which it has to exceed that.
const ENDS_AFTER: Span = Span::from_secs(2);
/// Highest limit, as a multiple of the offered rate. Without it, a limit that is about to end would
/// rise for so long that it does not act when the load comes back.
const MAX_OVER_OFFERED: f64 = 2.0;
/// Least limit, as a share of the completed rate, which while the slots are busy is what the upstreams
/// can do. What daemons know is a second old or more, in which the limit would go on
/// falling after the queues have emptied: without a bound, it fell to a fifth of the capacity.
const MIN_OF_CAPACITY: f64 = 0.85;
/// The same while a good part of the slots is free: the upstreams can do more than they complete, and
/// a limit below that would refuse requests for nothing.
const MIN_WHILE_FREE: f64 = 1.2;
/// Share of the slots below which that holds.
const FREE_BELOW: f64 = 0.75;
/// Share by which one adjustment moves the limit towards the completed rate, while all slots are busy and
/// the limit acts. By the requests in flight alone, which lag by a second, the limit swings between
/// 0.6 and 1 of the capacity, and those of different daemons drift apart.
const COMPLETED_WEIGHT: f64 = 0.3;
/// Least limit, in requests a second: a limit of nothing could not rise by factors.
const MIN_LIMIT: f64 = 0.5;
/// Standard deviations by which the requests in flight at a sample of the daemons have to exceed the
/// target: a sum that is scaled up from few daemons exceeds it by chance.
const SAMPLE_DEVIATIONS: f64 = 3.0;

/// The limit on the fleet's sends to one service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    per_s: f64,
    slots: u32,
    step_at: Time,
    /// Since when it has been so high that it may end.
    high_since: Option<Time>,
}

/// Whether the fleet's load shows that a service is congested.
pub(crate) fn is_congested(sums: &Sums, slots: u32) -> bool {
    is_rejecting(sums) || sums.in_flight > target(slots) + margin(sums, slots)
}

fn is_rejecting(sums: &Sums) -> bool {
    let sends = sums.completed + sums.rejected;
    sums.rejected > MAX_REJECTED_SHARE * sends && sums.rejected > 0.0
}

fn target(slots: u32) -> f64 {
    f64::from(slots) * TARGET_PER_SLOT
}

/// What the requests in flight may exceed the target by chance, where only some daemons are known.
fn margin(sums: &Sums, slots: u32) -> f64 {
    let unknown = 1.0 - sums.known_share;
    let work_s = sums.in_flight / sums.completed.max(f64::MIN_POSITIVE);
    // The average over a second of a Poisson number of requests that last `work_s` each.
    let relative = 2.0 * work_s.min(1.0) / sums.known_share.max(f64::MIN_POSITIVE);
    SAMPLE_DEVIATIONS * (target(slots) * relative * unknown).sqrt()
}

impl Limit {
    /// Begins at what the upstreams complete, which is what they can do when all slots are busy.
    pub(crate) fn begin(now: Time, sums: &Sums, slots: u32) -> Self {
        Self {
            per_s: sums.completed.max(MIN_LIMIT),
            slots,
            step_at: now + STEP,
            high_since: None,
        }
    }

    /// Sends a second.
    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Adjusts the limit to the fleet's load; returns whether it goes on.
    pub(crate) fn update(&mut self, now: Time, sums: &Sums, slots: u32) -> bool {
        if slots != self.slots {
            self.per_s *= f64::from(slots) / f64::from(self.slots.max(1));
            self.slots = slots;
        }
        if now.has_reached(self.step_at) {
            self.step_at = now + STEP;
            if is_busy(sums, slots) && self.per_s < sums.offered && sums.completed > 0.0 {
                self.per_s *= (sums.completed / self.per_s).powf(COMPLETED_WEIGHT);
            }
            self.per_s *= factor(sums, slots);
            let least = (sums.completed * MIN_OF_CAPACITY).max(MIN_LIMIT);
            let most = (sums.offered * MAX_OVER_OFFERED).max(least);
            self.per_s = self.per_s.clamp(least, most);
        }
        // At each update, since the offered and the completed rate of a sample vary together.
        if sums.in_flight < f64::from(slots) * FREE_BELOW {
            self.per_s = self.per_s.max(sums.completed * MIN_WHILE_FREE);
        }
        if self.per_s <= sums.offered * ENDS_ABOVE {
            self.high_since = None;
            return true;
        }
        let since = *self.high_since.get_or_insert(now);
        now.since(since) < ENDS_AFTER
    }
}

/// Whether all slots are busy.
fn is_busy(sums: &Sums, slots: u32) -> bool {
    sums.in_flight >= f64::from(slots)
}

fn factor(sums: &Sums, slots: u32) -> f64 {
    let ratio = target(slots) / sums.in_flight.max(f64::MIN_POSITIVE);
    match is_rejecting(sums) {
        true if is_busy(sums, slots) => MIN_FACTOR,
        // The queues have emptied since, or only some upstreams are full.
        true => ratio.clamp(MIN_FACTOR, 1.0),
        false => ratio.clamp(MIN_FACTOR, MAX_FACTOR),
    }
}
