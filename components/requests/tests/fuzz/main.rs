//! Stateful fuzz of the whole request path: the pure decisions of three daemons (requests,
//! claims, ledger), a queue of pending effects, and fakes of the store, the engines and the
//! peers, against an oracle that counts runs, bills, answers and refusals of each request.
//!
//! `BUCKTHORNCROSS_FUZZ_CASES` sets the number of sequences for long runs by hand.

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use oracle::Tally;
use world::{EngineFault, StoreFault, World};

mod daemon;
mod oracle;
#[path = "../support/store.rs"]
mod store;
mod world;

const CASES_IN_CI: u32 = 300;
const STEPS: usize = 50;

thread_local! {
    /// What the sequence that ended last came to.
    static TALLY: RefCell<Tally> = RefCell::default();
}

#[derive(Debug, Clone)]
enum Transition {
    Send { request: u8, daemon: u8 },
    Do(u8),
    DoAll,
    Store(u8, StoreFault),
    Engine(u8, EngineFault),
    Crash(u8),
    Pause(u8),
    Resume(u8),
    StoreDown(bool),
    Leave(u8),
    Sleep(u8),
}

/// Generates transitions; what holds after each is the oracle's to say.
struct Plan;

impl ReferenceStateMachine for Plan {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Transition> {
        let store = prop_oneof![
            Just(StoreFault::ReplyLost),
            Just(StoreFault::Delayed),
            Just(StoreFault::NotSent),
            Just(StoreFault::Refused),
        ];
        let engine = prop_oneof![
            Just(EngineFault::NotSent),
            Just(EngineFault::RefusedNotRun),
            Just(EngineFault::ResetBefore),
            Just(EngineFault::ResetAfter),
            prop_oneof![Just(400), Just(500)].prop_map(EngineFault::Error),
            Just(EngineFault::Late),
            Just(EngineFault::Crossed),
            (0u8..10).prop_map(EngineFault::Cut),
        ];
        prop_oneof![
            10 => (0u8..8, 0u8..3).prop_map(|(request, daemon)| {
                Transition::Send { request, daemon }
            }),
            18 => any::<u8>().prop_map(Transition::Do),
            3 => Just(Transition::DoAll),
            4 => (any::<u8>(), store).prop_map(|(i, fault)| Transition::Store(i, fault)),
            6 => (any::<u8>(), engine).prop_map(|(i, fault)| Transition::Engine(i, fault)),
            1 => (0u8..3).prop_map(Transition::Crash),
            1 => (0u8..3).prop_map(Transition::Pause),
            1 => (0u8..3).prop_map(Transition::Resume),
            1 => any::<bool>().prop_map(Transition::StoreDown),
            1 => any::<u8>().prop_map(Transition::Leave),
            2 => (0u8..4).prop_map(Transition::Sleep),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct RequestPath;

impl StateMachineTest for RequestPath {
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test((): &()) -> World {
        World::new(3)
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Send { request, daemon } => world.send(request, daemon.into()),
            Transition::Do(i) => world.act(i.into()),
            Transition::DoAll => world.settle_effects(),
            Transition::Store(i, fault) => world.fail_store(i.into(), fault),
            Transition::Engine(i, fault) => world.fail_engine(i.into(), fault),
            Transition::Crash(i) => world.crash(i.into()),
            Transition::Pause(i) => world.pause(i.into(), true),
            Transition::Resume(i) => world.pause(i.into(), false),
            Transition::StoreDown(down) => world.is_store_down = down,
            Transition::Leave(i) => world.leave(i.into()),
            Transition::Sleep(i) => world.sleep(i),
        }
        world.tick(types::prelude::Span::from_millis(1));
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.oracle.check();
    }

    fn teardown(mut world: World, (): ()) {
        world.finish();
        TALLY.set(world.oracle.tally());
    }
}

fn config() -> Config {
    let cases = std::env::var("BUCKTHORNCROSS_FUZZ_CASES");
    let cases = cases.ok().and_then(|text| text.parse().ok());
    let seed = std::env::var("BUCKTHORNCROSS_FUZZ_SEED");
    let seed = seed.ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(CASES_IN_CI),
        rng_seed: RngSeed::Fixed(seed.unwrap_or(5)),
        failure_persistence: None,
        ..Config::default()
    }
}

// The tally shows that the sequences reach every end, so that "no violation" says something.
#[test]
fn can_keep_the_promises_under_faults() {
    let tally = RefCell::new(Tally::default());
    let sequences = Plan::sequential_strategy(STEPS);
    let result = TestRunner::new(config()).run(&sequences, |(state, steps, seen)| {
        RequestPath::test_sequential(config(), state, steps, seen);
        TALLY.with_borrow_mut(|one| tally.borrow_mut().add(std::mem::take(one)));
        Ok(())
    });
    let tally = tally.into_inner();
    println!("{tally:#?}");
    result.unwrap();
    tally.check_coverage();
}

proptest! {
    #![proptest_config(Config { cases: 60, ..config() })]

    // The same bills and answers as a router of one daemon that has no faults, no claims and
    // no batches, whichever daemon each request goes through.
    #[test]
    fn can_match_a_naive_router(sends in prop::collection::vec((0u8..8, 0usize..3), 1..40)) {
        let mut world = World::new(3);
        let mut naive = oracle::Naive::default();
        for (request, daemon) in sends {
            world.send(request, daemon);
            world.drain();
            prop_assert_eq!(world.oracle.last_answer(), Some(naive.send(request)));
        }
        world.finish();
        prop_assert_eq!(world.bills(), naive.bills());
    }
}
