//! Stateful fuzzing: every request is answered exactly once, and slot counts stay correct.
//!
//! To run more cases by hand: `BUCKTHORNCROSS_FUZZ_CASES=20000 cargo test -p limits --test fuzz`.

use std::collections::BTreeSet;

use limits::*;
use proptest::prelude::*;
use proptest::test_runner::{Config as Proptest, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use types::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Admit(u8, bool, u16, u16),
    Release(u8, u16),
    Cancel(u8),
    SetSlots(u8),
    SetBounds(u8, u8),
    PeerDemand(u8, u8),
    Advance(u16),
}

/// Empty reference model: the invariants are checked on the answers alone.
#[derive(Debug, Clone)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..4u8, any::<bool>(), 0..5000u16, 0..2000u16)
                .prop_map(|(c, b, t, d)| Step::Admit(c, b, t, d)),
            6 => (any::<u8>(), 0..5000u16).prop_map(|(g, t)| Step::Release(g, t)),
            1 => any::<u8>().prop_map(Step::Cancel),
            1 => (0..12u8).prop_map(Step::SetSlots),
            1 => (0..4u8, 0..20u8).prop_map(|(c, l)| Step::SetBounds(c, l)),
            1 => (1..4u8, 0..20u8).prop_map(|(d, l)| Step::PeerDemand(d, l)),
            4 => (0..3000u16).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

struct System {
    limiter: Limiter,
    rng: SmallRng,
    now: Time,
    grants: Vec<Grant>,
    waiting: BTreeSet<Ticket>,
    slots: u32,
}

fn pool() -> EntryName {
    "pool".parse().unwrap()
}

fn customer(number: u8) -> CustomerId {
    format!("c{number}").parse().unwrap()
}

impl System {
    /// Number of interactive and batch requests with a grant.
    fn running(&self) -> (u32, u32) {
        let lane = |priority| self.limiter.lane(&pool(), priority);
        let running = |priority| lane(priority).map_or(0, |lane| lane.running);
        (running(Priority::Interactive), running(Priority::Batch))
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Admit(who, is_batch, tokens, millis) => self.admit(who, is_batch, tokens, millis),
            Step::Release(number, used) if !self.grants.is_empty() => {
                let at = usize::from(number) % self.grants.len();
                let grant = self.grants.swap_remove(at);
                self.limiter
                    .release(self.now, grant, Tokens(u64::from(used)));
            }
            Step::Cancel(number) => self.cancel(number),
            Step::SetSlots(slots) => {
                self.slots = u32::from(slots);
                self.limiter.set_slots(self.now, &pool(), self.slots);
            }
            Step::SetBounds(who, limit) => {
                let bounds = Limits {
                    requests: (limit > 0).then_some(Rate(f64::from(limit))),
                    tokens: (limit > 10).then_some(Rate(f64::from(limit) * 100.0)),
                    concurrent: (limit > 5).then_some(u32::from(limit)),
                };
                self.limiter
                    .set_customer(self.now, &customer(who), bounds, 1);
            }
            Step::PeerDemand(number, demand) => {
                let id = format!("peer{number}").parse().unwrap();
                let key = KeyId::interactive(&pool());
                let fact = DemandFact::new([(key, f64::from(demand))]);
                self.limiter.update_peer(&id, fact);
            }
            Step::Advance(millis) => {
                self.now = self.now + Span::from_millis(u64::from(millis));
                self.limiter.tick(self.now);
            }
            Step::Release(..) => (),
        }
        self.pump();
    }

    fn admit(&mut self, who: u8, is_batch: bool, tokens: u16, millis: u16) {
        let ask = AdmissionRequest {
            customer: customer(who),
            offer: "offer".parse().unwrap(),
            pool: pool(),
            priority: if is_batch {
                Priority::Batch
            } else {
                Priority::Interactive
            },
            tokens: Tokens(u64::from(tokens)),
            deadline: self.now + Span::from_millis(u64::from(millis)),
        };
        match self.limiter.admit(self.now, ask, &mut self.rng) {
            Admission::Start(grant) => self.grants.push(grant),
            Admission::Wait(ticket) => assert!(self.waiting.insert(ticket)),
            Admission::Refuse(refusal) => assert!(refusal.retry_after > Span::ZERO),
        }
    }

    fn cancel(&mut self, number: u8) {
        let at = usize::from(number) % self.waiting.len().max(1);
        if let Some(ticket) = self.waiting.iter().nth(at).copied() {
            assert!(self.limiter.cancel(ticket));
            self.waiting.remove(&ticket);
        }
    }

    fn pump(&mut self) {
        for (ticket, verdict) in self.limiter.process_queues(self.now, &mut self.rng) {
            assert!(
                self.waiting.remove(&ticket),
                "a second answer to {ticket:?}"
            );
            if let Verdict::Start(grant) = verdict {
                self.grants.push(grant);
            }
        }
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test(_: &Model) -> System {
        System {
            limiter: Limiter::new("me".parse().unwrap(), Config::default()),
            rng: SmallRng::seed_from_u64(3),
            now: Time::ZERO,
            grants: Vec::new(),
            waiting: BTreeSet::new(),
            slots: 0,
        }
    }

    fn apply(mut system: System, _: &Model, step: Step) -> System {
        let before = system.running();
        system.apply(&step);
        let after = system.running();
        assert!(
            after.0 <= before.0.max(system.slots),
            "too much interactive"
        );
        let is_full = after.0 + after.1 > system.slots;
        assert!(after.1 <= before.1 || !is_full, "batch without room");
        system
    }

    fn check_invariants(system: &System, _: &Model) {
        assert_eq!(system.limiter.fill().waiting, system.waiting.len());
        let lanes = [Priority::Interactive, Priority::Batch];
        let lanes = lanes.map(|priority| system.limiter.lane(&pool(), priority));
        let running: u32 = lanes.iter().flatten().map(|lane| lane.running).sum();
        assert_eq!(running as usize, system.grants.len());
        let queued: usize = lanes.iter().flatten().map(|lane| lane.waiting).sum();
        assert_eq!(queued, system.waiting.len());
    }
}

fn cases() -> u32 {
    let cases = std::env::var("BUCKTHORNCROSS_FUZZ_CASES").ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(200)
}

prop_state_machine! {
    #![proptest_config(Proptest {
        cases: cases(),
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Proptest::default()
    })]

    #[test]
    fn can_answer_each_request_once(sequential 1..60 => Fuzz);
}
