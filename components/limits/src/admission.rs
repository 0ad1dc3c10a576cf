//! Decides which requests start, wait or are refused.

use rand::{Rng, RngExt};
use types::prelude::*;

use crate::account::Account;
use crate::ask::{Admission, AdmissionRequest, Code, Grant, Refusal, Ticket, Verdict};
use crate::limiter::{Limiter, QueuePosition, customer_account, offer_account, pool_entry};
use crate::pool::{Lane, Pool};
use crate::queue::QueuedRequest;

/// Minimum delay before a refused request should be retried.
const MIN_RETRY_DELAY: Span = Span::from_secs(1);
/// Maximum time in seconds over which retries are spread.
const MAX_SPREAD_SECONDS: f64 = 60.0;
/// Window in seconds: the refusals of this long at the present rate are expected to be retried
/// together.
const RETRY_WINDOW_SECONDS: f64 = 10.0;

impl Limiter {
    /// Decides whether a request starts, waits or is refused. A refusal is returned at once:
    /// nothing of the request was run.
    pub fn admit(&mut self, now: Time, ask: AdmissionRequest, rng: &mut impl Rng) -> Admission {
        let customer = customer_account(&mut self.customers, &ask.customer);
        let offer = offer_account(&mut self.offers, &ask.offer);
        let pool = pool_entry(&mut self.pools, &ask.pool);
        let (Some(customer), Some(offer), Some(pool)) = (customer, offer, pool) else {
            return Admission::Refuse(Refusal {
                code: Code::QueueFull,
                retry_after: MIN_RETRY_DELAY,
            });
        };
        customer.demand.count(now, 1.0);
        offer.demand.count(now, 1.0);
        if may_start_now(now, &ask, customer, offer, pool) {
            return Admission::Start(start(now, ask, customer, offer, pool));
        }
        let no_upstream = pool.slots == 0;
        let lane = pool.lane(ask.priority);
        if no_upstream {
            return Admission::Refuse(refuse(now, (Code::Overloaded, MIN_RETRY_DELAY), lane, rng));
        }
        let is_crowded = self.waiting.len() >= self.config.max_batch_waiting;
        if is_crowded && ask.priority == Priority::Batch {
            return Admission::Refuse(refuse(now, (Code::QueueFull, MIN_RETRY_DELAY), lane, rng));
        }
        if let Some(refusal) =
            refusal_reason(now, &ask, customer, offer, lane, self.config.limit_wait)
        {
            return Admission::Refuse(refuse(now, refusal, lane, rng));
        }
        let weight = customer.weight;
        Admission::Wait(self.enqueue(now, ask, weight, rng))
    }

    /// Turns a running request that was preempted by interactive work back into a waiting one. It
    /// starts before the customer's other requests, or is refused by [`Limiter::process_queues`] if
    /// its deadline passes first.
    pub fn requeue_preempted(&mut self, grant: Grant) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let mut weight = 1.0;
        if let Some(account) = self.customers.get_mut(&grant.customer) {
            account.refund(grant.tokens);
            weight = account.weight;
        }
        if let Some(account) = self.offers.get_mut(&grant.offer) {
            account.refund(grant.tokens);
        }
        let position = QueuePosition {
            pool: grant.pool.clone(),
            priority: grant.priority,
            customer: grant.customer.clone(),
        };
        self.waiting.insert(ticket, position);
        if let Some(pool) = self.pools.get_mut(&grant.pool) {
            let lane = pool.lane(grant.priority);
            lane.running = lane.running.saturating_sub(1);
            let ask = grant.into_ask();
            lane.queue.push_front(QueuedRequest { ticket, ask }, weight);
        }
        ticket
    }

    fn enqueue(
        &mut self,
        now: Time,
        ask: AdmissionRequest,
        weight: f64,
        rng: &mut impl Rng,
    ) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let position = QueuePosition {
            pool: ask.pool.clone(),
            priority: ask.priority,
            customer: ask.customer.clone(),
        };
        self.waiting.insert(ticket, position);
        if let Some(pool) = self.pools.get_mut(&ask.pool) {
            let lane = pool.lane(ask.priority);
            let evicted = lane.queue.push(QueuedRequest { ticket, ask }, weight);
            if let Some(evicted) = evicted {
                let refusal = refuse(now, (Code::QueueFull, MIN_RETRY_DELAY), lane, rng);
                self.resolve(evicted.ticket, Verdict::Refuse(refusal));
            }
        }
        ticket
    }

    fn resolve(&mut self, ticket: Ticket, verdict: Verdict) {
        self.waiting.remove(&ticket);
        self.verdicts.push((ticket, verdict));
    }

    /// Starts waiting requests for which there is room, and refuses those whose deadline has
    /// passed. Must be called after each release and each tick.
    pub fn process_queues(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(Ticket, Verdict)> {
        let names: Vec<_> = self.pools.keys().cloned().collect();
        for name in names {
            self.refuse_expired(now, &name, rng);
            self.start_waiting(now, &name, Priority::Interactive);
            self.start_waiting(now, &name, Priority::Batch);
        }
        std::mem::take(&mut self.verdicts)
    }

    fn refuse_expired(&mut self, now: Time, name: &EntryName, rng: &mut impl Rng) {
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let mut refused = Vec::new();
        for lane in [&mut pool.interactive, &mut pool.batch] {
            let expired = lane
                .queue
                .remove_expired(|ask| now.has_reached(ask.deadline));
            for waiting in expired {
                let refusal = refuse(now, (Code::Overloaded, MIN_RETRY_DELAY), lane, rng);
                refused.push((waiting.ticket, refusal));
            }
        }
        for (ticket, refusal) in refused {
            self.resolve(ticket, Verdict::Refuse(refusal));
        }
    }

    fn start_waiting(&mut self, now: Time, name: &EntryName, priority: Priority) {
        while let Some((ticket, grant)) = self.start_next(now, name, priority) {
            self.resolve(ticket, Verdict::Start(grant));
        }
    }

    fn start_next(
        &mut self,
        now: Time,
        name: &EntryName,
        priority: Priority,
    ) -> Option<(Ticket, Grant)> {
        let pool = self.pools.get_mut(name)?;
        if !pool.has_room(priority) {
            return None;
        }
        let (customers, offers) = (&mut self.customers, &mut self.offers);
        let waiting = pool.lane(priority).queue.pop(|ask| {
            let customer = customers.get_mut(&ask.customer);
            let offer = offers.get_mut(&ask.offer);
            customer.is_none_or(|account| account.allows(now, ask.tokens))
                && offer.is_none_or(|account| account.allows(now, ask.tokens))
        })?;
        let customer = customer_account(customers, &waiting.ask.customer)?;
        let offer = offer_account(offers, &waiting.ask.offer)?;
        let grant = start(now, waiting.ask, customer, offer, pool);
        Some((waiting.ticket, grant))
    }
}

/// Whether a request may start at once, ahead of the queue. If there is room, requests that are
/// already waiting are held back by their own limits, not by a lack of slots.
fn may_start_now(
    now: Time,
    ask: &AdmissionRequest,
    customer: &mut Account,
    offer: &mut Account,
    pool: &mut Pool,
) -> bool {
    pool.has_room(ask.priority)
        && pool.lane(ask.priority).queue.flow_len(&ask.customer) == 0
        && customer.allows(now, ask.tokens)
        && offer.allows(now, ask.tokens)
}

fn start(
    now: Time,
    ask: AdmissionRequest,
    customer: &mut Account,
    offer: &mut Account,
    pool: &mut Pool,
) -> Grant {
    customer.reserve(ask.tokens);
    offer.reserve(ask.tokens);
    pool.lane(ask.priority).running += 1;
    Grant {
        customer: ask.customer,
        offer: ask.offer,
        pool: ask.pool,
        priority: ask.priority,
        tokens: ask.tokens,
        started: now,
        deadline: ask.deadline,
    }
}

/// Reason to refuse a request instead of letting it wait, with the time that the reason is expected
/// to last.
fn refusal_reason(
    now: Time,
    ask: &AdmissionRequest,
    customer: &Account,
    offer: &Account,
    lane: &Lane,
    limit_wait: Span,
) -> Option<(Code, Span)> {
    let remaining = now.until(ask.deadline);
    let waiting = lane.queue.flow_len(&ask.customer);
    let limits = [
        (
            Code::CustomerLimit,
            customer.estimated_wait(waiting, ask.tokens),
        ),
        (
            Code::OfferLimit,
            offer.estimated_wait(lane.queue.len(), ask.tokens),
        ),
    ];
    let exceeded = limits
        .into_iter()
        .find(|(_, wait)| *wait > limit_wait.min(remaining));
    if exceeded.is_some() {
        return exceeded;
    }
    let wait = lane.estimated_wait(&ask.customer, customer.weight);
    if wait + lane.hold_time() > remaining {
        return Some((Code::Overloaded, wait));
    }
    let is_full = !lane.queue.has_room(&ask.customer);
    is_full.then_some((Code::QueueFull, wait))
}

/// Refuses a request, and spreads the retries over the time in which they can be served.
///
/// Otherwise all requests refused during one overload would be retried at the same moment and
/// refused again.
fn refuse(now: Time, why: (Code, Span), lane: &mut Lane, rng: &mut impl Rng) -> Refusal {
    let (code, wait) = why;
    lane.refusals.count(now, 1.0);
    let expected_retries = lane.refusals.rate(now) * RETRY_WINDOW_SECONDS;
    let spread_seconds = (expected_retries / lane.drain_rate()).min(MAX_SPREAD_SECONDS);
    let jitter = Span::from_secs_f64(spread_seconds * rng.random::<f64>());
    Refusal {
        code,
        retry_after: wait.max(MIN_RETRY_DELAY) + jitter,
    }
}
