//! Stateful fuzz test of the whole request path: the I/O-free parts of three daemons (requests,
//! claims, ledger), a queue of pending effects, and fakes of the store, engines and peers. An
//! oracle counts the runs, bills, answers and refusals of each request.
//!
//! `BUCKTHORNCROSS_FUZZ_CASES` sets the number of sequences, for long manual runs, and
//! `BUCKTHORNCROSS_FUZZ_SEED` the seed.

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

const DEFAULT_CASES: u32 = 300;
const STEPS_PER_CASE: usize = 50;

thread_local! {
    /// Tally of the last sequence.
    static TALLY: RefCell<Tally> = RefCell::default();
}

#[derive(Debug, Clone)]
enum Transition {
    Send { request: u8, daemon: u8 },
    Perform(u8),
    PerformAll,
    Store(u8, StoreFault),
    Engine(u8, EngineFault),
    Crash(u8),
    Pause(u8),
    Resume(u8),
    StoreDown(bool),
    CallerLeaves(u8),
    AdvanceTime(u8),
}

/// Generates transitions. It has no state of its own: the oracle checks what must hold.
struct Transitions;

impl ReferenceStateMachine for Transitions {
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
            Just(EngineFault::ResetBeforeRun),
            Just(EngineFault::ResetAfterRun),
            prop_oneof![Just(400), Just(500)].prop_map(EngineFault::Error),
            Just(EngineFault::RunsAfterTimeout),
            Just(EngineFault::WrongEcho),
            (0u8..10).prop_map(EngineFault::Truncated),
        ];
        prop_oneof![
            10 => (0u8..8, 0u8..3).prop_map(|(request, daemon)| {
                Transition::Send { request, daemon }
            }),
            18 => any::<u8>().prop_map(Transition::Perform),
            3 => Just(Transition::PerformAll),
            4 => (any::<u8>(), store).prop_map(|(i, fault)| Transition::Store(i, fault)),
            6 => (any::<u8>(), engine).prop_map(|(i, fault)| Transition::Engine(i, fault)),
            1 => (0u8..3).prop_map(Transition::Crash),
            1 => (0u8..3).prop_map(Transition::Pause),
            1 => (0u8..3).prop_map(Transition::Resume),
            1 => any::<bool>().prop_map(Transition::StoreDown),
            1 => any::<u8>().prop_map(Transition::CallerLeaves),
            2 => (0u8..4).prop_map(Transition::AdvanceTime),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct RequestPath;

impl StateMachineTest for RequestPath {
    type SystemUnderTest = World;
    type Reference = Transitions;

    fn init_test((): &()) -> World {
        World::new(3)
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Send { request, daemon } => world.send(request, daemon.into()),
            Transition::Perform(i) => world.perform_one(i.into()),
            Transition::PerformAll => world.perform_all(),
            Transition::Store(i, fault) => world.fail_store(i.into(), fault),
            Transition::Engine(i, fault) => world.fail_engine(i.into(), fault),
            Transition::Crash(i) => world.crash(i.into()),
            Transition::Pause(i) => world.pause(i.into(), true),
            Transition::Resume(i) => world.pause(i.into(), false),
            Transition::StoreDown(down) => world.is_store_down = down,
            Transition::CallerLeaves(i) => world.caller_leaves(i.into()),
            Transition::AdvanceTime(i) => world.advance_time(i),
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
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(seed.unwrap_or(5)),
        failure_persistence: None,
        ..Config::default()
    }
}

// Under any sequence of faults there must be no false "not run", second run, wrong bill or lost
// request. The tally checks that the sequences reach every kind of end; without that, finding no
// violation would mean nothing.
#[test]
fn can_keep_the_promises_under_faults() {
    let tally = RefCell::new(Tally::default());
    let sequences = Transitions::sequential_strategy(STEPS_PER_CASE);
    let result = TestRunner::new(config()).run(&sequences, |(state, steps, seen)| {
        RequestPath::test_sequential(config(), state, steps, seen);
        TALLY.with_borrow_mut(|last| tally.borrow_mut().add(std::mem::take(last)));
        Ok(())
    });
    let tally = tally.into_inner();
    println!("{tally:#?}");
    result.unwrap();
    tally.check_coverage();
}

proptest! {
    #![proptest_config(Config { cases: 60, ..config() })]

    // Bills and answers must not depend on the daemon a request goes through: without faults they
    // equal those of a single daemon with neither claims nor batches.
    #[test]
    fn can_match_a_naive_router(sends in prop::collection::vec((0u8..8, 0usize..3), 1..40)) {
        let mut world = World::new(3);
        let mut naive = oracle::NaiveRouter::default();
        for (request, daemon) in sends {
            world.send(request, daemon);
            world.run_until_idle();
            prop_assert_eq!(world.oracle.last_answer(), Some(naive.send(request)));
        }
        world.finish();
        prop_assert_eq!(world.bills(), naive.bills());
    }
}
