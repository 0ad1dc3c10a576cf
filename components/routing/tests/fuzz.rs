//! Stateful fuzzing of the router against a plain list of what each upstream has loaded.
//!
//! To run more cases: `BUCKTHORNCROSS_FUZZ_CASES=20000 cargo test -p routing --test fuzz`.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::*;
use types::prelude::*;

const UPSTREAMS: u8 = 8;
const TARGETS: u16 = 3;

#[derive(Debug, Clone)]
enum Step {
    Configure(Vec<u8>),
    Pick(u16),
    Finish(u8, u8),
    Report(u8, Vec<u16>, bool),
    Leave(u8, u8),
    Listed(u8),
    Wait(u8),
}

/// Targets that each upstream last reported or was configured with; absent once removed.
#[derive(Debug, Clone, Default)]
struct ExpectedState {
    loaded: BTreeMap<u8, Vec<u16>>,
}

impl ReferenceStateMachine for ExpectedState {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let any_upstream = 0..UPSTREAMS;
        let targets = prop::collection::vec(0..TARGETS, 0..3);
        prop_oneof![
            1 => prop::collection::vec(any_upstream.clone(), 0..8).prop_map(Step::Configure),
            8 => (0..TARGETS).prop_map(Step::Pick),
            6 => (any_upstream.clone(), 0..5u8).prop_map(|(u, o)| Step::Finish(u, o)),
            3 => (any_upstream.clone(), targets, prop::bool::weighted(0.1))
                .prop_map(|(u, t, l)| Step::Report(u, t, l)),
            1 => (any_upstream.clone(), 0..3u8).prop_map(|(u, s)| Step::Leave(u, s)),
            1 => any_upstream.prop_map(Step::Listed),
            3 => (0..40u8).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Configure(names) => {
                state.loaded.retain(|name, _| names.contains(name));
                for name in names {
                    let all = || (0..TARGETS).collect();
                    state.loaded.entry(*name).or_insert_with(all);
                }
            }
            Step::Report(name, targets, _) => {
                if let Some(loaded) = state.loaded.get_mut(name) {
                    loaded.clone_from(targets);
                }
            }
            _ => (),
        }
        state
    }
}

struct TestedRouter {
    router: Router,
    rng: SmallRng,
    now: Time,
    running: Vec<(UpstreamIndex, TargetIndex)>,
}

fn id(name: u8) -> UpstreamId {
    format!("w{name}").parse().unwrap()
}

fn spec(name: u8) -> UpstreamSpec {
    let domain = format!("domain-{}", name % 3);
    UpstreamSpec {
        id: id(name),
        address: ([127, 0, 0, 1], 4000 + u16::from(name)).into(),
        location: Location {
            failure_domain: domain.parse().unwrap(),
            region: "region".parse().unwrap(),
        },
        slots: 4,
        assumed_loaded: (0..TARGETS).map(TargetIndex).collect(),
    }
}

impl TestedRouter {
    fn pick(&mut self, target: u16) {
        let request = RouteRequest {
            target: TargetIndex(target),
            prefix: &[PrefixHash(u64::from(target))],
            priority: Priority::Interactive,
            tried: &[],
        };
        let Ok(index) = self.router.pick(self.now, &request, &mut self.rng) else {
            assert_eq!(self.router.eligible_count(request.target), 0);
            return;
        };
        let upstream = self.router.upstream(index).unwrap();
        // An ejected upstream is chosen only if no other has the target, a leaving one never.
        let nothing_else = self.router.eligible_count(request.target) == 0;
        assert!(!upstream.health().is_leaving());
        assert!(upstream.health().is_eligible() || nothing_else);
        assert!(upstream.loaded().contains(&request.target));
        assert!(self.router.index_of(&upstream.spec().id).is_some());
        self.router.started(index, &request);
        self.running.push((index, request.target));
    }

    fn finish(&mut self, number: u8, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let at = usize::from(number) % self.running.len();
        let (index, target) = self.running.swap_remove(at);
        let outcome = match outcome {
            0 => Outcome::Unreachable,
            1 => Outcome::Failed,
            2 => Outcome::Busy,
            3 => Outcome::Cancelled,
            _ => Outcome::Answered {
                first_token: Span::from_millis(5),
                per_token: Span::from_millis(u64::from(number) + 1),
            },
        };
        self.router
            .finished(self.now, index, target, outcome, &mut self.rng);
    }

    fn report(&mut self, name: u8, targets: &[u16], leaving: bool) {
        let Some(index) = self.router.index_of(&id(name)) else {
            return;
        };
        let report = LoadReport {
            running: 1,
            waiting: 0,
            slots: 4,
            loaded: Some(targets.iter().copied().map(TargetIndex).collect()),
            leaving,
        };
        self.router.record_report(self.now, index, &report);
    }

    fn leave(&mut self, name: u8, sign: u8) {
        use LeavingSign::*;
        let sign = [HostList, Refusal, ClosedConnection][usize::from(sign)];
        if let Some(index) = self.router.index_of(&id(name)) {
            self.router.record_leaving(self.now, index, sign);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Configure(names) => self.router.configure(names.into_iter().map(spec).collect()),
            Step::Pick(target) => self.pick(target),
            Step::Finish(number, outcome) => self.finish(number, outcome),
            Step::Report(name, targets, leaving) => self.report(name, &targets, leaving),
            Step::Leave(name, sign) => self.leave(name, sign),
            Step::Listed(name) => {
                if let Some(index) = self.router.index_of(&id(name)) {
                    self.router.record_listed_live(index);
                }
            }
            Step::Wait(secs) => self.now = self.now + Span::from_secs(u64::from(secs)),
        }
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = TestedRouter;
    type Reference = ExpectedState;

    fn init_test(_: &ExpectedState) -> TestedRouter {
        let location = spec(0).location;
        let mut router = Router::new(&"d0".parse().unwrap(), location, Tuning::default());
        for target in 0..TARGETS {
            let version = format!("m@{target}").parse().unwrap();
            router.add_target(&Target::Version(version)).unwrap();
        }
        TestedRouter {
            router,
            rng: SmallRng::seed_from_u64(7),
            now: Time::ZERO,
            running: Vec::new(),
        }
    }

    fn apply(mut tested: TestedRouter, _: &ExpectedState, step: Step) -> TestedRouter {
        tested.apply(step);
        tested
    }

    fn check_invariants(tested: &TestedRouter, expected: &ExpectedState) {
        let known: Vec<_> = tested.router.upstreams().collect();
        assert_eq!(known.len(), expected.loaded.len());
        for target in (0..TARGETS).map(TargetIndex) {
            let fit = known.iter().filter(|(_, upstream)| {
                upstream.health().is_eligible() && upstream.loaded().contains(&target)
            });
            assert_eq!(fit.clone().count(), tested.router.eligible_count(target));
            let slots: u64 = fit.map(|(_, upstream)| u64::from(upstream.slots())).sum();
            assert_eq!(slots, tested.router.slots(target));
        }
        for (name, loaded) in &expected.loaded {
            let index = tested.router.index_of(&id(*name)).unwrap();
            let mut loaded: Vec<_> = loaded.iter().copied().map(TargetIndex).collect();
            loaded.sort_unstable();
            loaded.dedup();
            assert_eq!(tested.router.upstream(index).unwrap().loaded(), loaded);
        }
        let in_flight: u32 = known.iter().map(|(_, upstream)| upstream.in_flight()).sum();
        assert!(in_flight as usize <= tested.running.len());
    }
}

fn cases() -> u32 {
    let cases = std::env::var("BUCKTHORNCROSS_FUZZ_CASES").ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(200)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn can_keep_the_pools_consistent(sequential 1..60 => Fuzz);
}
