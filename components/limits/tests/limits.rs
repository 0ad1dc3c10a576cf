//! Admission control: priorities, fairness, limits of the fleet, early refusals.

use std::collections::BTreeSet;

use limits::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use types::prelude::*;

const STEP: Span = Span::from_millis(100);

struct Fixture {
    limiter: Limiter,
    rng: SmallRng,
    now: Time,
}

impl Fixture {
    fn new(slots: u32) -> Self {
        let now = Time::ZERO + Span::from_secs(10);
        let mut limiter = Limiter::new(daemon(0), Config::default());
        limiter.set_slots(now, &pool(), slots);
        let rng = SmallRng::seed_from_u64(1);
        Self { limiter, rng, now }
    }

    fn ask(&self, customer: &str, priority: Priority) -> AdmissionRequest {
        AdmissionRequest {
            customer: customer.parse().unwrap(),
            offer: "offer".parse().unwrap(),
            pool: pool(),
            priority,
            tokens: Tokens(100),
            deadline: self.now + Span::from_secs(30),
        }
    }

    fn admit(&mut self, ask: AdmissionRequest) -> Admission {
        self.limiter.admit(self.now, ask, &mut self.rng)
    }

    fn start(&mut self, customer: &str, priority: Priority) -> Grant {
        match self.admit(self.ask(customer, priority)) {
            Admission::Start(grant) => grant,
            other => panic!("{other:?}"),
        }
    }

    fn wait(&mut self, customer: &str, priority: Priority) -> Ticket {
        match self.admit(self.ask(customer, priority)) {
            Admission::Wait(ticket) => ticket,
            other => panic!("{other:?}"),
        }
    }

    fn refused(&mut self, ask: AdmissionRequest) -> Refusal {
        match self.admit(ask) {
            Admission::Refuse(refusal) => refusal,
            other => panic!("{other:?}"),
        }
    }

    fn pump(&mut self) -> Vec<(Ticket, Verdict)> {
        self.limiter.process_queues(self.now, &mut self.rng)
    }

    /// Releases a grant and returns the verdicts on requests that start in its place.
    fn release(&mut self, grant: Grant, used: u64) -> Vec<(Ticket, Verdict)> {
        self.limiter.release(self.now, grant, Tokens(used));
        self.pump()
    }

    fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        self.limiter.tick(self.now);
    }
}

fn pool() -> EntryName {
    "pool".parse().unwrap()
}

fn daemon(number: usize) -> DaemonId {
    format!("d{number}").parse().unwrap()
}

fn bounds(requests: f64) -> Limits {
    Limits {
        requests: Some(Rate(requests)),
        ..Limits::default()
    }
}

use Priority::{Batch, Interactive};

#[test]
fn can_start_interactive_before_batch_that_waited_longer() {
    let mut f = Fixture::new(4);
    let mut held: Vec<_> = (0..4).map(|_| f.start("a", Interactive)).collect();
    let batch = f.wait("b", Batch);
    let interactive = f.wait("a", Interactive);
    f.advance(STEP);
    let started = f.release(held.pop().unwrap(), 100);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, interactive);
    assert_ne!(started[0].0, batch);
}

#[test]
fn can_reserve_slots_for_interactive_requests() {
    // A partner sends ten times the batch work that the pool can run. If it filled all slots, the
    // next interactive request would wait until a batch answer is complete.
    let mut f = Fixture::new(20);
    let config = Config {
        reserve: 0.05,
        ..Config::default()
    };
    f.limiter = Limiter::new(daemon(0), config);
    f.limiter.set_slots(f.now, &pool(), 20);
    let mut running = Vec::new();
    for _ in 0..200 {
        let ask = f.ask("partner", Batch);
        if let Admission::Start(grant) = f.admit(ask) {
            running.push(grant);
        }
    }
    assert_eq!(running.len(), 19);
    let _ = f.start("person", Interactive);
}

#[test]
fn can_share_by_weight_between_customers() {
    let mut f = Fixture::new(10);
    f.limiter
        .set_customer(f.now, &"big".parse().unwrap(), Limits::default(), 3);
    let mut held: Vec<_> = (0..10).map(|_| f.start("x", Interactive)).collect();
    let big: BTreeSet<_> = (0..40).map(|_| f.wait("big", Interactive)).collect();
    let small: BTreeSet<_> = (0..40).map(|_| f.wait("small", Interactive)).collect();
    let mut served = (0, 0);
    for _ in 0..40 {
        for (ticket, verdict) in f.release(held.remove(0), 100) {
            let Verdict::Start(grant) = verdict else {
                panic!("refused");
            };
            held.push(grant);
            served.0 += usize::from(big.contains(&ticket));
            served.1 += usize::from(small.contains(&ticket));
        }
    }
    assert_eq!(served, (30, 10));
}

#[test]
fn can_evict_from_the_longest_flow_of_a_full_queue() {
    let mut f = Fixture::new(1);
    let _held = f.start("x", Interactive);
    for number in 0..4 {
        for _ in 0..256 {
            f.wait(&format!("flood-{number}"), Interactive);
        }
    }
    f.wait("late", Interactive);
    let refused = f.pump();
    assert_eq!(refused.len(), 1);
    assert!(matches!(refused[0].1, Verdict::Refuse(_)));
}

#[test]
fn can_refuse_at_once_if_the_deadline_cannot_be_met() {
    // A caller with two seconds left joins a queue of ten seconds. If it were held until its
    // deadline, it would be refused too late to go elsewhere.
    let mut f = Fixture::new(1);
    let first = f.start("x", Interactive);
    f.advance(Span::from_secs(1));
    f.release(first, 100);
    let _held = f.start("x", Interactive);
    for _ in 0..10 {
        f.wait("x", Interactive);
    }
    let mut ask = f.ask("x", Interactive);
    ask.deadline = f.now + Span::from_secs(2);
    let refusal = f.refused(ask);
    assert_eq!(refusal.code, Code::Overloaded);
    assert!(refusal.retry_after >= Span::from_secs(10));
}

#[test]
fn can_spread_retries_of_simultaneous_refusals() {
    // If a thousand callers that are refused in one second all got the same retry delay, they would
    // be refused together again.
    let mut f = Fixture::new(1);
    let first = f.start("x", Interactive);
    f.advance(Span::from_secs(1));
    f.release(first, 100);
    let _held = f.start("x", Interactive);
    let mut latest = Span::ZERO;
    for _ in 0..200 {
        let mut ask = f.ask("x", Interactive);
        ask.deadline = f.now + Span::from_millis(1500);
        latest = latest.max(f.refused(ask).retry_after);
    }
    assert!(latest > Span::from_secs(20), "{latest}");
}

#[test]
fn can_refuse_when_the_deadline_passes_in_the_queue() {
    let mut f = Fixture::new(1);
    let _held = f.start("x", Interactive);
    let ticket = f.wait("x", Interactive);
    f.advance(Span::from_secs(31));
    let ended = f.pump();
    assert!(matches!(&ended[..], [(t, Verdict::Refuse(_))] if *t == ticket));
    assert_eq!(f.limiter.fill().waiting, 0);
}

#[test]
fn can_refuse_when_no_upstream_is_left() {
    let mut f = Fixture::new(0);
    let ask = f.ask("x", Interactive);
    assert_eq!(f.refused(ask).code, Code::Overloaded);
}

#[test]
fn can_cancel_a_waiting_request() {
    let mut f = Fixture::new(1);
    let held = f.start("x", Interactive);
    let ticket = f.wait("x", Interactive);
    assert!(f.limiter.cancel(ticket));
    assert!(!f.limiter.cancel(ticket));
    assert!(f.release(held, 100).is_empty());
}

#[test]
fn can_resume_a_preempted_request_first() {
    // A batch request is half done when an interactive request preempts it. At the end of its
    // customer's queue of a thousand requests its deadline would pass and the finished half would
    // be lost.
    let mut f = Fixture::new(1);
    let grant = f.start("b", Batch);
    let later = f.wait("b", Batch);
    let interactive = f.start("a", Interactive);
    let ticket = f.limiter.requeue_preempted(grant);
    assert!(f.pump().is_empty());
    f.advance(Span::from_secs(20));
    let started = f.release(interactive, 100);
    let first = started.first().map(|(ticket, _)| *ticket);
    assert_eq!(first, Some(ticket));
    assert_ne!(first, Some(later));
}

#[test]
fn can_exclude_rate_limited_requests_from_slot_demand() {
    // A customer sends three times its limit. Its requests that wait for the rate limit need no
    // slot yet: when they were counted as demand, they kept batch work off idle slots.
    let mut f = Fixture::new(10);
    f.limiter
        .set_customer(f.now, &"x".parse().unwrap(), bounds(1.0), 1);
    let _held = f.start("x", Interactive);
    f.wait("x", Interactive);
    f.wait("x", Interactive);
    for _ in 0..10 {
        f.advance(Span::from_secs(1));
    }
    let lane = f.limiter.lane(&pool(), Batch).unwrap();
    assert_eq!(lane.allowance, 9);
}

#[test]
fn can_charge_tokens_used_beyond_the_estimate() {
    let mut f = Fixture::new(10);
    let tokens = Limits {
        tokens: Some(Rate(1000.0)),
        ..Limits::default()
    };
    f.limiter
        .set_customer(f.now, &"x".parse().unwrap(), tokens, 1);
    let grant = f.start("x", Interactive);
    f.release(grant, 5100);
    let refusal = f.refused(f.ask("x", Interactive));
    assert_eq!(refusal.code, Code::CustomerLimit);
    f.advance(Span::from_secs(5));
    let _ = f.start("x", Interactive);
}

/// Daemons that receive each other's facts almost a second late.
struct Fleet {
    shares: Vec<QuotaShares>,
    in_flight: Vec<(Time, usize, DemandFact)>,
    now: Time,
}

fn key() -> KeyId {
    KeyId::customer(&"x".parse().unwrap())
}

impl Fleet {
    fn new(size: usize) -> Self {
        let shares = (0..size).map(|number| QuotaShares::new(daemon(number)));
        let mut fleet = Self {
            shares: shares.collect(),
            in_flight: Vec::new(),
            now: Time::ZERO,
        };
        fleet.update(0..size, 0..size, size);
        fleet
    }

    fn update(&mut self, who: std::ops::Range<usize>, live: std::ops::Range<usize>, known: usize) {
        let live: BTreeSet<_> = live.map(daemon).collect();
        for number in who {
            let reach = Reach {
                reached: live.len(),
                known,
            };
            self.shares[number].update_fleet(self.now, &live, reach);
        }
    }

    fn run(&mut self, secs: u64, demand: impl Fn(usize) -> f64) {
        for _ in 0..secs * 10 {
            self.now = self.now + STEP;
            for number in 0..self.shares.len() {
                let fact = self.shares[number].publish(self.now, [(key(), demand(number))]);
                let due = self.now + Span::from_millis(900);
                self.in_flight.extend(fact.map(|fact| (due, number, fact)));
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, in_flight) = self
            .in_flight
            .drain(..)
            .partition(|(at, ..)| now.has_reached(*at));
        self.in_flight = in_flight;
        let due: Vec<(Time, usize, DemandFact)> = due;
        for (_, from, fact) in due {
            for shares in &mut self.shares {
                shares.update_peer(&daemon(from), fact.clone());
            }
        }
    }

    fn share(&self, number: usize) -> f64 {
        self.shares[number].share(self.now, key())
    }

    fn sum(&self) -> f64 {
        (0..self.shares.len())
            .map(|number| self.share(number))
            .sum()
    }
}

#[test]
fn can_share_by_demand_and_add_up_to_the_limit() {
    let mut fleet = Fleet::new(9);
    let demand = |number| if number == 0 { 80.0 } else { 2.5 };
    fleet.run(6, demand);
    assert!((fleet.sum() - 1.0).abs() < 0.02, "{}", fleet.sum());
    assert!(fleet.share(0) > 0.7, "{}", fleet.share(0));
}

#[test]
fn can_delay_an_increase_until_others_know() {
    // The demand at one daemon grows tenfold. If it took the larger share at once, the others would
    // still use theirs until the fact arrives, and the customer would exceed its limit.
    let mut fleet = Fleet::new(4);
    fleet.run(6, |_| 10.0);
    for _ in 0..50 {
        fleet.now = fleet.now + STEP;
        fleet.run(0, |_| 0.0);
        for number in 0..4 {
            let demand = if number == 0 { 100.0 } else { 10.0 };
            let fact = fleet.shares[number].publish(fleet.now, [(key(), demand)]);
            let due = fleet.now + Span::from_millis(900);
            fleet.in_flight.extend(fact.map(|fact| (due, number, fact)));
        }
        fleet.deliver();
        assert!(fleet.sum() <= 1.0 + 1e-3, "{}", fleet.sum());
    }
    assert!(fleet.share(0) > 0.7);
}

#[test]
fn can_redistribute_the_share_of_a_failed_daemon() {
    let mut fleet = Fleet::new(4);
    fleet.run(5, |_| 10.0);
    fleet.update(0..3, 0..3, 4);
    fleet.run(4, |_| 10.0);
    fleet.update(0..3, 0..3, 4);
    let sum: f64 = (0..3).map(|number| fleet.share(number)).sum();
    assert!((sum - 1.0).abs() < 0.01, "{sum}");
}

#[test]
fn can_keep_at_most_the_last_share_when_isolated() {
    // A daemon loses contact with all others, which are alive and use the whole limit. Guards
    // against taking over their shares, which would give the customer twice its limit.
    let mut fleet = Fleet::new(8);
    fleet.run(5, |number| if number == 0 { 70.0 } else { 10.0 });
    let last = fleet.share(0);
    fleet.update(0..1, 0..1, 8);
    fleet.now = fleet.now + Span::from_secs(5);
    fleet.update(0..1, 0..1, 8);
    assert!(fleet.share(0) <= last);
    fleet.now = fleet.now + Span::from_secs(60);
    fleet.update(0..1, 0..1, 8);
    assert!((fleet.share(0) - 0.125).abs() < 0.01, "{}", fleet.share(0));
}

#[test]
fn can_allot_whole_units_that_add_up() {
    let mut fleet = Fleet::new(64);
    fleet.run(10, |number| 1.0 + (number % 7) as f64);
    for limit in [1.0, 10.0, 64.0, 333.0] {
        let shares = fleet.shares.iter();
        let sum: u32 = shares.map(|s| s.share_units(fleet.now, key(), limit)).sum();
        assert!((f64::from(sum) - limit).abs() <= 1.0, "{sum} of {limit}");
    }
}

#[test]
fn can_enforce_a_customers_limit_at_one_daemon() {
    let mut f = Fixture::new(1000);
    f.limiter
        .set_customer(f.now, &"x".parse().unwrap(), bounds(10.0), 1);
    let mut started = 0;
    for _ in 0..100 {
        f.advance(STEP);
        started += f.pump().len();
        for _ in 0..10 {
            let ask = f.ask("x", Interactive);
            started += usize::from(matches!(f.admit(ask), Admission::Start(_)));
        }
    }
    assert!((95..=115).contains(&started), "{started}");
}

#[test]
fn errors_on_facts_of_wrong_length() {
    assert!(DemandFact::from_bytes(&[0; 7]).is_err());
    assert!(DemandFact::from_bytes(&[0; 258]).is_err());
    let bad_number = [0, 0, 0, 1, 0x7f, 0xc0];
    assert_eq!(
        DemandFact::from_bytes(&bad_number).unwrap().iter().count(),
        0
    );
}

#[test]
fn can_round_trip_facts_of_limited_size() {
    let demands = (0..100).map(|n| (KeyId(n), f64::from(n)));
    let fact = DemandFact::new(demands);
    let bytes = fact.to_bytes();
    assert!(bytes.len() <= 256);
    assert_eq!(DemandFact::from_bytes(&bytes).unwrap(), fact);
    assert_eq!(fact.get(KeyId(99)), 99.0);
}
