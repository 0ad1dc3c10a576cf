//! Slots of one service's upstreams, and the requests that wait for them.

use types::prelude::*;

use crate::bucket::Meter;
use crate::demand::KeyId;
use crate::limiter::Config;
use crate::queue::FairQueue;
use crate::shares::QuotaShares;

/// Weight of the newest request in the moving average of the hold time.
const HOLD_TIME_WEIGHT: f64 = 0.05;

/// Requests of one priority.
#[derive(Debug, Clone)]
pub(crate) struct Lane {
    pub(crate) key: KeyId,
    pub(crate) queue: FairQueue,
    pub(crate) running: u32,
    pub(crate) allowance: u32,
    pub(crate) demand: Meter,
    pub(crate) refusals: Meter,
    hold_time: Span,
}

impl Lane {
    fn new(key: KeyId) -> Self {
        Self {
            key,
            queue: FairQueue::default(),
            running: 0,
            allowance: 0,
            demand: Meter::default(),
            refusals: Meter::default(),
            hold_time: Span::ZERO,
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.running < self.allowance
    }

    /// Slots in use, and those that waiting requests would use if there were room. Requests held
    /// back by their customer's limit need no slot yet.
    fn wanted_slots(&self) -> f64 {
        let waiting = if self.has_room() { 0 } else { self.queue.len() };
        f64::from(self.running) + waiting as f64
    }

    pub(crate) fn record_hold_time(&mut self, hold_time: Span) {
        let old = self.hold_time.as_secs_f64();
        let weight = if self.hold_time == Span::ZERO {
            1.0
        } else {
            HOLD_TIME_WEIGHT
        };
        self.hold_time = Span::from_secs_f64(old + weight * (hold_time.as_secs_f64() - old));
    }

    /// Average time that a request holds a slot.
    pub(crate) fn hold_time(&self) -> Span {
        self.hold_time
    }

    /// Requests that end per second when all slots of the lane are in use.
    pub(crate) fn drain_rate(&self) -> f64 {
        let slots = f64::from(self.allowance.max(self.running)).max(1.0);
        slots / self.hold_time.as_secs_f64().max(MIN_HOLD_SECONDS)
    }

    /// Estimated wait of one more request of a customer.
    pub(crate) fn estimated_wait(&self, customer: &CustomerId, weight: f64) -> Span {
        let all = self.queue.len() as f64 + 1.0;
        let own = self.queue.flow_len(customer) as f64 + 1.0;
        let fair = own * self.queue.total_weight_with(customer, weight) / weight;
        Span::from_secs_f64(all.min(fair) / self.drain_rate())
    }
}

/// Lower bound of the hold time used in estimates.
const MIN_HOLD_SECONDS: f64 = 0.001;

/// Slots of one service's upstreams, and the requests that wait for them.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) interactive: Lane,
    pub(crate) batch: Lane,
    /// Slots of all healthy upstreams, for the whole fleet.
    pub(crate) slots: u32,
    /// Interactive requests that were running at the last recalculation of the shares.
    interactive_at_update: u32,
    /// Slots for all of this daemon's work that interactive work of other daemons leaves free.
    available: u32,
}

impl Pool {
    pub(crate) fn new(name: &EntryName) -> Self {
        Self {
            interactive: Lane::new(KeyId::interactive(name)),
            batch: Lane::new(KeyId::batch(name)),
            slots: 0,
            interactive_at_update: 0,
            available: 0,
        }
    }

    pub(crate) fn lane(&mut self, priority: Priority) -> &mut Lane {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }

    /// Whether the next request of a priority may start, apart from its customer's limits.
    pub(crate) fn has_room(&self, priority: Priority) -> bool {
        match priority {
            Priority::Interactive => self.interactive.has_room(),
            Priority::Batch => self.has_room_for_batch(),
        }
    }

    /// Whether a batch request may start. Interactive requests that started or ended since the last
    /// recalculation are counted immediately.
    fn has_room_for_batch(&self) -> bool {
        let in_use = self.batch.running + self.interactive.running;
        in_use
            < self
                .available
                .min(self.batch.allowance + self.interactive_at_update)
    }

    /// Applies this daemon's share of the slots.
    ///
    /// Interactive work may use all slots that interactive work of other daemons leaves free. Only
    /// if all interactive work together does not fit, each daemon is limited to its share. Batch
    /// work gets a share of what interactive work leaves free, less the reserve.
    pub(crate) fn apply_shares(&mut self, now: Time, shares: &QuotaShares, config: &Config) {
        for lane in [&mut self.interactive, &mut self.batch] {
            let wanted = lane.wanted_slots();
            lane.demand.follow(now, wanted);
        }
        self.interactive_at_update = self.interactive.running;
        let slots = f64::from(self.slots);
        let own = f64::from(self.interactive.running);
        let others = shares.others_demand(self.interactive.key);
        let share = shares.share_units(now, self.interactive.key, slots);
        let free = slots - others - own;
        let borrowed = if free > 0.0 {
            own + free * config.borrow
        } else {
            0.0
        };
        self.interactive.allowance = share.max(borrowed as u32);
        let reserve = config.reserve * slots;
        let wanted = own.max(self.interactive.demand.level());
        let available = (slots - reserve - others).max(0.0);
        self.available = available as u32;
        let left = (available - wanted).max(0.0);
        self.batch.allowance = shares.share_units(now, self.batch.key, left);
    }
}
