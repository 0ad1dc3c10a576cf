//! Choice of version: permissions, sessions, deadlines, budgets and mixtures.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngSeed};
use quality::{Candidate, ChoiceInput, Config, OfferTerms, Plan, Quality, Rating, RolloutShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

fn version(text: &str) -> VersionId {
    text.parse().expect("a version")
}

fn offer() -> OfferTerms {
    OfferTerms {
        name: EntryName::new("tags").expect("a name"),
        class: ClassName::new("tagging").expect("a name"),
        target: Share::clamped(0.95),
        cost_weight: 1.0,
        latency_weight: 0.0,
        exposure_weight: 0.0,
    }
}

fn candidate(text: &str, cost: u64, expected: f64) -> Candidate {
    Candidate {
        version: version(text),
        accepts_new_sessions: true,
        cost: Cost(cost),
        latency: Span::from_millis(cost),
        expected: Some(Share::clamped(expected)),
        rollout: None,
    }
}

fn input<'a>(offer: &'a OfferTerms, candidates: &'a [Candidate]) -> ChoiceInput<'a> {
    ChoiceInput {
        offer,
        candidates,
        pin: None,
        in_session: false,
        may_escalate: true,
        time_left: Span::from_secs(60),
    }
}

struct Fixture {
    quality: Quality,
    offer: OfferTerms,
    now: Time,
    rng: StdRng,
}

impl Fixture {
    fn new(seed: u64) -> Self {
        Self {
            quality: Quality::new(Config::default(), Incarnation(1), Time::ZERO),
            offer: offer(),
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self, candidates: &[Candidate], pin: Option<&VersionId>) -> Option<Plan> {
        self.now = self.now + Span::from_millis(50);
        let mut input = input(&self.offer, candidates);
        input.pin = pin;
        input.in_session = pin.is_some();
        self.quality.choose(self.now, &input, &mut self.rng)
    }

    fn rate(&mut self, text: &str, count: usize, share: f64) {
        for _ in 0..count {
            let rating = Rating::direct(self.rng.random_bool(share));
            let version = version(text);
            let class = &self.offer.class;
            self.quality
                .record_rating(self.now, class, &version, rating, &mut self.rng)
                .expect("room");
        }
    }

    fn served(&mut self, candidates: &[Candidate], count: usize, text: &str) -> usize {
        let version = version(text);
        let plans = (0..count).filter_map(|_| self.choose(candidates, None));
        plans.filter(|plan| plan.first == version).count()
    }
}

fn runner() -> RunnerConfig {
    RunnerConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..RunnerConfig::default()
    }
}

proptest! {
    #![proptest_config(runner())]

    // An escalation, an exploration or a re-pin to one of the offer's other versions would serve a
    // customer from a version that its contract excludes.
    #[test]
    fn can_only_choose_what_is_permitted(
        seed in any::<u64>(),
        permitted in prop::collection::btree_set(0usize..4, 0..4),
        draining in prop::collection::btree_set(0usize..4, 0..4),
        pin in prop::option::of(0usize..4),
        ratings in prop::collection::vec((0usize..4, 0usize..150, 0.3f64..1.0), 0..6),
    ) {
        let names = ["a@1", "b@1", "c@1", "d@1"];
        let mut fixture = Fixture::new(seed);
        let all: Vec<Candidate> = (0..4)
            .map(|n| candidate(names[n], 1 << (2 * n), 0.8 + 0.05 * n as f64))
            .collect();
        fixture.choose(&all, None);
        for (n, count, share) in ratings {
            fixture.rate(names[n], count, share);
        }
        let offered: Vec<Candidate> = permitted
            .iter()
            .map(|n| Candidate { accepts_new_sessions: !draining.contains(n), ..all[*n].clone() })
            .collect();
        let allowed: BTreeSet<VersionId> = offered.iter().map(|one| one.version.clone()).collect();
        let pin = pin.map(|n| version(names[n]));
        for _ in 0..50 {
            let Some(plan) = fixture.choose(&offered, pin.as_ref()) else { continue };
            prop_assert!(allowed.contains(&plan.first));
            prop_assert!(plan.escalation.iter().all(|step| allowed.contains(&step.to)));
            let status = fixture.quality.stream_status(&fixture.offer.class, &plan.first);
            prop_assert!(status.is_some_and(|s| s.phase != quality::Phase::Suspended));
            let pinned = pin.as_ref() == Some(&plan.first);
            let new = offered
                .iter()
                .any(|one| one.version == plan.first && one.accepts_new_sessions);
            prop_assert!(pinned || new);
        }
    }
}

// Sending only a part of the requests to the strong version meets the target on average; sending
// all of them would cost more than needed.
#[test]
fn can_mix_versions_to_meet_the_target() {
    let mut fixture = Fixture::new(1);
    let both = [
        candidate("small@1", 10, 0.85),
        candidate("large@1", 100, 0.99),
    ];
    fixture.choose(&both, None);
    fixture.rate("small@1", 4000, 0.85);
    fixture.rate("large@1", 4000, 0.99);
    let small = fixture.served(&both, 4000, "small@1") as f64 / 4000.0;
    assert!((0.22..0.33).contains(&small), "{small}");
}

#[test]
fn can_keep_a_session_on_its_version_until_it_is_suspended() {
    let mut fixture = Fixture::new(2);
    let both = [
        candidate("small@1", 10, 0.99),
        candidate("large@1", 100, 0.99),
    ];
    let pin = version("large@1");
    let plan = fixture.choose(&both, Some(&pin)).expect("a plan");
    assert_eq!((&plan.first, plan.session_moved), (&pin, false));
    let class = fixture.offer.class.clone();
    fixture
        .quality
        .suspend(fixture.now, &class, &pin, &mut fixture.rng)
        .expect("room");
    let plan = fixture.choose(&both, Some(&pin)).expect("a plan");
    assert_eq!((plan.first, plan.session_moved), (version("small@1"), true));
}

// The better but slower version would miss the deadline.
#[test]
fn can_meet_a_deadline_with_the_faster_version() {
    let mut fixture = Fixture::new(3);
    let both = [
        candidate("small@1", 10, 0.5),
        candidate("large@1", 1000, 0.99),
    ];
    let mut urgent = input(&fixture.offer, &both);
    urgent.time_left = Span::from_millis(100);
    for _ in 0..100 {
        let plan = fixture
            .quality
            .choose(Time::ZERO, &urgent, &mut fixture.rng);
        assert_eq!(plan.expect("a plan").first, version("small@1"));
    }
}

// When the rater is down, or a daemon is cut off from the others, no ratings arrive while every
// daemon keeps sending the canary its share of traffic, and its bad answers could reach hundreds of
// customers. A daemon that is cut off sees a fleet of one, yet may spend no more than its share of
// the whole fleet's budget.
#[test]
fn can_bound_an_unproved_version_when_cut_off() {
    let mut spent = 0;
    let fleet = 8;
    for seed in 0..fleet {
        let mut fixture = Fixture::new(seed);
        let mut canary = candidate("large@2", 100, 0.97);
        canary.rollout = Some(RolloutShare {
            from: version("large@1"),
            share: Share::clamped(0.5),
        });
        let both = [candidate("large@1", 100, 0.97), canary];
        fixture.choose(&both, None);
        fixture.rate("large@1", 300, 0.97);
        fixture
            .quality
            .tick(fixture.now, fleet as usize, &mut fixture.rng);
        fixture.quality.tick(fixture.now, 1, &mut fixture.rng);
        spent += fixture.served(&both, 1000, "large@2");
    }
    let base = Config::default().unproved_base as usize;
    assert!(spent <= base + fleet as usize, "{spent}");
}
