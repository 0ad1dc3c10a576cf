//! Runs of upstreams under one id: an upstream restarts and lists itself under the id of its former
//! run, with another start or none. No state of the former run may apply to the next.

use std::sync::Arc;

use dispatch::{
    Advertised, Fleet, LeasedBound, Load, NoUpstream, Permit, Requirements, UpstreamIndex,
    UpstreamOutcome, Upstreams,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

/// Starts of two consecutive runs: another one, an earlier one by a clock that was set back, none
/// after one, and one after none.
const RUNS: [[Option<u64>; 2]; 4] = [
    [Some(7), Some(8)],
    [Some(8), Some(7)],
    [Some(7), None],
    [None, Some(7)],
];

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn upstream(id: usize, started_at: Option<u64>) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(&format!("u{id}")).expect("a name"),
        started_at: started_at.map(WallTime),
        service: Arc::from("plain"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east").expect("a name"),
        version: Arc::from("v1"),
        slots: 8,
        state: UpstreamState::Ready,
        warm_up_remaining: Span::ZERO,
    })
}

struct Setup {
    upstreams: Upstreams,
    rng: ChaCha8Rng,
    service: Arc<str>,
    near: FailureDomain,
}

impl Setup {
    /// Lists an upstream `u0` of this start, and another one.
    fn new(started_at: Option<u64>) -> Self {
        let mut setup = Self {
            upstreams: Upstreams::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
            service: Arc::from("plain"),
            near: FailureDomain::new("east").expect("a name"),
        };
        setup.list(started_at);
        setup
    }

    fn list(&mut self, started_at: Option<u64>) {
        let listed = [upstream(0, started_at), upstream(1, Some(1))];
        self.upstreams.configure(at(0), &listed);
    }

    fn index(&self, id: usize, started_at: Option<u64>) -> UpstreamIndex {
        let spec = upstream(id, started_at);
        let found = self.upstreams.find(&spec.id, spec.started_at);
        found.expect("listed").index
    }

    fn choose_from(
        &mut self,
        now: Time,
        service: &Arc<str>,
        exclude: &[UpstreamIndex],
    ) -> Result<UpstreamIndex, NoUpstream> {
        let requirements = Requirements {
            service,
            model: None,
            parts: &[],
            prompt_tokens: 0,
            permit: &Permit::Any,
            isolated: false,
            exclude,
            local_domain: &self.near,
        };
        let choice = self.upstreams.choose(now, &requirements, &mut self.rng)?;
        Ok(choice.index)
    }

    /// How many of a hundred requests in turn would go to an upstream.
    fn requests_to(&mut self, now: Time, index: UpstreamIndex) -> usize {
        let service = Arc::clone(&self.service);
        let chosen = (0..100).map(|n| self.choose_from(now + Span::from_millis(n), &service, &[]));
        let chosen = chosen.collect::<Vec<_>>();
        chosen.iter().filter(|chosen| **chosen == Ok(index)).count()
    }
}

/// Checks that something that keeps requests from a run does not keep them from the next one.
fn check_next_run(harm: impl Fn(&mut Setup, UpstreamIndex)) {
    for [first, next] in RUNS {
        let mut setup = Setup::new(first);
        let former = setup.index(0, first);
        let usual = setup.requests_to(at(10), former);
        harm(&mut setup, former);
        assert_eq!(setup.requests_to(at(10), former), 0, "{first:?}: no effect");
        setup.list(next);
        let index = setup.index(0, next);
        let requests = setup.requests_to(at(10), index);
        assert!(
            requests >= usual / 2 && usual > 0,
            "{first:?} then {next:?}: {requests} of 100 requests, {usual} before"
        );
    }
}

fn end(setup: &mut Setup, index: UpstreamIndex, outcome: UpstreamOutcome) {
    let ticket = setup
        .upstreams
        .record_start(at(0), index, &Load::default(), &[]);
    setup.upstreams.record_end(at(0), index, ticket, outcome);
}

/// The next run would get nothing for as long as the former one was ejected.
#[test]
fn ejection_ends_with_the_run() {
    check_next_run(|setup, index| {
        for _ in 0..5 {
            end(setup, index, UpstreamOutcome::Unreachable);
        }
    });
}

/// The next run would get nothing before the time that the former one named when it was full.
#[test]
fn a_pause_that_was_asked_for_ends_with_the_run() {
    check_next_run(|setup, index| setup.upstreams.back_off(at(0), index, at(4_000)));
}

/// An answer of another program on the address ends a run. The next one would never be chosen.
#[test]
fn a_replaced_run_does_not_exclude_the_next() {
    check_next_run(|setup, index| end(setup, index, UpstreamOutcome::Replaced));
}

/// Requests that ended with the crash of their run would count as load of the next for ever.
#[test]
fn requests_in_flight_stay_with_their_run() {
    check_next_run(|setup, index| {
        for _ in 0..200 {
            let load = Load {
                expected_ms: 100.0,
                ..Load::default()
            };
            setup.upstreams.record_start(at(0), index, &load, &[]);
        }
    });
}

/// The next run would be sent as little as the former one's limit allowed.
#[test]
fn a_rate_limit_ends_with_the_run() {
    check_next_run(|setup, index| {
        let limit = Advertised::Limit(Rate(0.01));
        let upstreams = &mut setup.upstreams;
        upstreams.observe_rate_limit(at(0), index, at(0), limit);
        upstreams.record_start(at(1), index, &Load::default(), &[]);
    });
}

/// A lease of the former run's rate would be used at the next run, whose rate nobody knows.
#[test]
fn leases_end_with_the_run() {
    let ids = ["a", "b"].map(|id| DaemonId::new(id).expect("a name"));
    for [first, next] in RUNS {
        let mut setup = Setup::new(first);
        let fleet = Arc::new(Fleet::new(&ids[0], std::iter::once(&ids[1])));
        setup.upstreams.set_fleet(at(0), &fleet);
        let former = setup.index(0, first);
        let limit = Advertised::Limit(Rate(20.0));
        let lend = |setup: &mut Setup, now: Time, started_at: Option<u64>| {
            let spec = upstream(0, started_at);
            let upstreams = &mut setup.upstreams;
            let (reply, _) = upstreams.lend(now, &spec.id, spec.started_at, LeasedBound::Rate);
            reply.is_granted
        };
        let observe = |setup: &mut Setup, now: Time| {
            let upstreams = &mut setup.upstreams;
            upstreams.observe_rate_limit(now, former, now, limit);
        };
        observe(&mut setup, at(6_000));
        observe(&mut setup, at(10_000));
        assert!(lend(&mut setup, at(10_001), first), "no lease to test with");
        setup.list(next);
        for started_at in [first, next] {
            let is_lent = lend(&mut setup, at(11_000), started_at);
            assert!(!is_lent, "{first:?} then {next:?}: {started_at:?}");
        }
    }
}

/// What ends late at a former run would be taken off what the next run has in flight.
#[test]
fn late_ends_of_a_former_run_change_nothing() {
    for [first, next] in RUNS {
        let mut setup = Setup::new(first);
        let former = setup.index(0, first);
        let load = Load::default();
        let tickets = [0, 1].map(|_| setup.upstreams.record_start(at(0), former, &load, &[]));
        setup.list(next);
        let index = setup.index(0, next);
        setup.upstreams.record_start(at(1), index, &load, &[]);
        let before = setup.upstreams.own_loads(at(2));
        for ticket in tickets {
            let upstreams = &mut setup.upstreams;
            upstreams.record_end(at(2), former, ticket, UpstreamOutcome::Unreachable);
            upstreams.record_leased_end(former);
            upstreams.record_lent_end(former);
        }
        let after = setup.upstreams.own_loads(at(2));
        assert_eq!(before.len(), 2, "both runs have requests in flight");
        assert_eq!(after.len(), 1, "{first:?}, {next:?}");
        assert!(before.contains(&after[0]));
    }
}

/// An entry names another service under an upstream's id and start. Requests to the former service
/// would go on to it, and those to the new one would not.
#[test]
fn an_entry_that_names_another_service_moves_the_upstream() {
    let mut setup = Setup::new(Some(7));
    let moved = Upstream {
        service: Arc::from("other"),
        ..Upstream::clone(&upstream(0, Some(7)))
    };
    let listed = [Arc::new(moved), upstream(1, Some(1))];
    setup.upstreams.configure(at(0), &listed);
    let stayed = setup.index(1, Some(1));
    assert_eq!(setup.requests_to(at(10), stayed), 100);
    let other = Arc::from("other");
    let chosen = setup.choose_from(at(10), &other, &[]).expect("it is there");
    assert_eq!(
        setup.upstreams.spec(chosen).expect("listed").id.as_str(),
        "u0"
    );
}

/// An upstream that tells no start comes back at another address. Connections to the former address
/// are kept by the instance, and would be used for requests to the next.
#[test]
fn another_address_without_a_start_is_another_run() {
    let mut setup = Setup::new(None);
    let former = setup.index(0, None);
    let moved = Upstream {
        address: ([127, 0, 0, 1], 2).into(),
        ..Upstream::clone(&upstream(0, None))
    };
    setup
        .upstreams
        .configure(at(0), &[Arc::new(moved), upstream(1, Some(1))]);
    let index = setup.index(0, None);
    assert_ne!(index, former);
    assert!(setup.upstreams.is_leaving(former));
}

/// A run's entry names another address. The run was reported as gone, which counts as its crash if one
/// of its connections broke before; a run that tells no start may have ended.
#[test]
fn a_run_at_another_address_is_not_gone() {
    for started_at in [Some(7), None] {
        let mut setup = Setup::new(started_at);
        let moved = Upstream {
            address: ([127, 0, 0, 1], 2).into(),
            ..Upstream::clone(&upstream(0, started_at))
        };
        let listed = [Arc::new(moved), upstream(1, Some(1))];
        let gone = setup.upstreams.configure(at(0), &listed);
        assert_eq!(
            gone.len(),
            usize::from(started_at.is_none()),
            "{started_at:?}"
        );
    }
}
