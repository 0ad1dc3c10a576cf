//! Slots of one service's upstreams, and the requests that wait for them.

use types::prelude::*;

use crate::bucket::Meter;
use crate::demand::KeyId;
use crate::limiter::Config;
use crate::queue::FairQueue;
use crate::shares::Shares;

/// Weight of the newest request in the moving average of the hold time.
const HELD_WEIGHT: f64 = 0.05;

/// Requests of one priority.
#[derive(Debug, Clone)]
pub(crate) struct Lane {
    pub(crate) key: KeyId,
    pub(crate) queue: FairQueue,
    pub(crate) running: u32,
    pub(crate) allowance: u32,
    pub(crate) wanted: Meter,
    pub(crate) refused: Meter,
    held: Span,
}

impl Lane {
    fn new(key: KeyId) -> Self {
        Self {
            key,
            queue: FairQueue::default(),
            running: 0,
            allowance: 0,
            wanted: Meter::default(),
            refused: Meter::default(),
            held: Span::ZERO,
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

    pub(crate) fn note_held(&mut self, held: Span) {
        let old = self.held.as_secs_f64();
        let weight = if self.held == Span::ZERO {
            1.0
        } else {
            HELD_WEIGHT
        };
        self.held = Span::from_secs_f64(old + weight * (held.as_secs_f64() - old));
    }

    /// Average time that a request holds a slot.
    pub(crate) fn held(&self) -> Span {
        self.held
    }

    /// Requests that end per second when all slots of the lane are in use.
    pub(crate) fn drain_rate(&self) -> f64 {
        let slots = f64::from(self.allowance.max(self.running)).max(1.0);
        slots / self.held.as_secs_f64().max(MIN_HELD_SECONDS)
    }

    /// Estimated wait of one more request of a customer.
    pub(crate) fn wait(&self, customer: &CustomerId, weight: f64) -> Span {
        let all = self.queue.len() as f64 + 1.0;
        let own = self.queue.flow_len(customer) as f64 + 1.0;
        let fair = own * self.queue.weight_with(customer, weight) / weight;
        Span::from_secs_f64(all.min(fair) / self.drain_rate())
    }
}

/// Lower bound of the hold time used in estimates.
const MIN_HELD_SECONDS: f64 = 0.001;

/// Slots of one service's upstreams, and the requests that wait for them.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) interactive: Lane,
    pub(crate) batch: Lane,
    /// Slots of all healthy upstreams, for the whole fleet.
    pub(crate) slots: u32,
    /// Interactive requests that were running at the last recalculation of the shares.
    shared_at: u32,
    /// Slots for all of this daemon's work that interactive work of other daemons leaves free.
    ceiling: u32,
}

impl Pool {
    pub(crate) fn new(name: &EntryName) -> Self {
        Self {
            interactive: Lane::new(KeyId::interactive(name)),
            batch: Lane::new(KeyId::batch(name)),
            slots: 0,
            shared_at: 0,
            ceiling: 0,
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

    /// Interactive requests that started or ended since the last recalculation count at once.
    fn has_room_for_batch(&self) -> bool {
        let in_use = self.batch.running + self.interactive.running;
        in_use < self.ceiling.min(self.batch.allowance + self.shared_at)
    }

    /// Applies this daemon's share of the slots.
    ///
    /// Interactive work may use all slots that interactive work of other daemons leaves free. Only
    /// if all interactive work together does not fit, each daemon is limited to its share. Batch
    /// work gets a share of what interactive work leaves free, less the reserve.
    pub(crate) fn share(&mut self, now: Time, shares: &Shares, config: &Config) {
        for lane in [&mut self.interactive, &mut self.batch] {
            let wanted = lane.wanted_slots();
            lane.wanted.follow(now, wanted);
        }
        self.shared_at = self.interactive.running;
        let slots = f64::from(self.slots);
        let own = f64::from(self.interactive.running);
        let others = shares.others(self.interactive.key);
        let part = shares.allotment(now, self.interactive.key, slots);
        let free = slots - others - own;
        let borrowed = if free > 0.0 {
            own + free * config.borrow
        } else {
            0.0
        };
        self.interactive.allowance = part.max(borrowed as u32);
        let reserve = config.reserve * slots;
        let wanted = own.max(self.interactive.wanted.level());
        let ceiling = (slots - reserve - others).max(0.0);
        self.ceiling = ceiling as u32;
        let left = (ceiling - wanted).max(0.0);
        self.batch.allowance = shares.allotment(now, self.batch.key, left);
    }
}
