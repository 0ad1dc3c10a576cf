//! Tests of the choice by even load.

use std::collections::HashMap;
use std::sync::Arc;

use balance::{AverageLoad, PeerLoad, Reports};
use dispatch::{Permit, PlacingPolicy, Requirements, UpstreamIndex, UpstreamOutcome, Upstreams};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

const DOMAINS: [&str; 2] = ["east", "west"];

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn upstream(id: usize, started_at: u64) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(&format!("u{id}")).expect("a name"),
        started_at: Some(WallTime(started_at)),
        service: Arc::from("app"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(DOMAINS[id % 2]).expect("a name"),
        version: Arc::from("v1"),
        slots: 6,
        state: UpstreamState::Ready,
        warm_up_remaining: Span::ZERO,
    })
}

struct Setup {
    upstreams: Upstreams,
    rng: ChaCha8Rng,
}

impl Setup {
    fn new(evens_load: bool, daemons: usize) -> Self {
        let mut upstreams = Upstreams::new(PlacingPolicy {
            evens_load,
            ..PlacingPolicy::default()
        });
        let listed = (0..4).map(|id| upstream(id, 1)).collect::<Vec<_>>();
        upstreams.configure(at(0), &listed);
        upstreams.set_daemons(daemons);
        upstreams.set_peer_averages(&HashMap::new());
        Self {
            upstreams,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn find(&self, id: usize, started_at: u64) -> UpstreamIndex {
        let spec = upstream(id, started_at);
        let found = self.upstreams.find(&spec.id, spec.started_at);
        found.expect("listed").index
    }

    fn choose(&mut self, now: Time) -> UpstreamIndex {
        self.choose_for(now, None)
    }

    /// Sends a request, to an engine if it names a model.
    fn choose_for(&mut self, now: Time, model: Option<&Arc<str>>) -> UpstreamIndex {
        let requirements = Requirements {
            service: &Arc::from("app"),
            model,
            parts: &[],
            prompt_tokens: 0,
            permit: &Permit::Any,
            exclude: &[],
            isolated: false,
            local_domain: &FailureDomain::new(DOMAINS[0]).expect("a name"),
        };
        let choice = self.upstreams.choose(now, &requirements, &mut self.rng);
        let choice = choice.expect("one is listed");
        self.upstreams
            .record_start(now, choice.index, &choice.load, &choice.prefixes);
        choice.index
    }

    /// Sets the requests of other daemons at upstreams.
    fn set_peers(&mut self, loads: &[(usize, f64)]) {
        let loads = loads.iter().map(|(id, requests)| {
            let spec = upstream(*id, 1);
            let load = PeerLoad {
                total: *requests,
                fresh: *requests,
            };
            (dispatch::instance_key(&spec.id, spec.started_at).0, load)
        });
        self.upstreams.set_peer_averages(&loads.collect());
    }
}

/// Requests would cross failure domains without need.
#[test]
fn near_upstreams_get_all_requests_while_they_keep_up() {
    let mut setup = Setup::new(true, 40);
    let near = [setup.find(0, 1), setup.find(2, 1)];
    for n in 0..8 {
        let chosen = setup.choose(at(2_000 + n));
        assert!(near.contains(&chosen), "request {n}");
    }
}

/// Near upstreams would queue requests while others are idle.
#[test]
fn requests_go_elsewhere_when_near_upstreams_do_not_keep_up() {
    let mut setup = Setup::new(true, 40);
    setup.set_peers(&[(0, 9.0), (1, 1.0), (2, 9.0), (3, 1.0)]);
    let far = [setup.find(1, 1), setup.find(3, 1)];
    for n in 0..4 {
        let chosen = setup.choose(at(2_000 + n));
        assert!(far.contains(&chosen), "request {n}");
    }
}

/// A full upstream would reject one request after the other.
#[test]
fn an_upstream_that_rejected_is_avoided_for_a_moment() {
    let mut setup = Setup::new(true, 40);
    let rejecting = setup.find(0, 1);
    setup.upstreams.record_rejection(at(2_000), rejecting);
    assert_eq!(setup.upstreams.avoidable_rejections(), 1);
    for n in 0..6 {
        assert_ne!(setup.choose(at(2_049)), rejecting, "request {n}");
    }
    assert_eq!(setup.choose(at(2_050)), rejecting);
}

/// The same if another daemon's share let the request in.
#[test]
fn an_upstream_that_rejected_a_leased_request_is_avoided_for_a_moment() {
    let mut setup = Setup::new(true, 40);
    let rejecting = setup.find(0, 1);
    let now = at(2_000);
    setup.upstreams.record_leased_rejection(now, rejecting);
    assert_eq!(setup.upstreams.avoidable_rejections(), 1);
    for n in 0..6 {
        assert_ne!(setup.choose(at(2_049)), rejecting, "request {n}");
    }
    assert_eq!(setup.choose(at(2_050)), rejecting);
}

/// A rejection would be counted twice, as one of this daemon's and as a leased one.
#[test]
fn a_rejection_counts_once() {
    let mut setup = Setup::new(true, 40);
    let rejecting = setup.find(0, 1);
    for n in 1..=3 {
        setup.upstreams.record_rejection(at(2_000), rejecting);
        assert_eq!(setup.upstreams.avoidable_rejections(), n);
    }
}

/// Operators would read rejections by services whose load is not evened out.
#[test]
fn rejections_of_other_services_do_not_count() {
    let mut few = Setup::new(true, 12);
    let index = few.choose(at(2_000));
    few.upstreams.record_rejection(at(2_000), index);
    assert_eq!(few.upstreams.avoidable_rejections(), 0);
    let mut engines = Setup::new(true, 40);
    let index = engines.choose_for(at(2_000), Some(&Arc::from("m")));
    engines.upstreams.record_rejection(at(2_000), index);
    assert_eq!(engines.upstreams.avoidable_rejections(), 0);
}

/// Engines would be reported and chosen as upstreams of a plain service for prompts without parts
/// that other requests share.
#[test]
fn engines_are_neither_reported_nor_evened_out() {
    let model = Arc::from("m");
    let mut engines = Setup::new(true, 40);
    let mut never = Setup::new(true, 0);
    engines.set_peers(&[(0, 30.0), (2, 30.0)]);
    for n in 0..50 {
        let chosen = engines.choose_for(at(n), Some(&model));
        assert_eq!(chosen, never.choose_for(at(n), Some(&model)), "request {n}");
    }
    assert!(engines.upstreams.own_averages(at(2_000)).is_empty());
}

/// Reports on services that no daemon evens out would take the place of others.
#[test]
fn services_that_are_not_evened_out_are_not_reported() {
    let mut few = Setup::new(true, 12);
    few.choose(at(0));
    assert!(few.upstreams.own_averages(at(2_000)).is_empty());
}

/// A cold upstream, which is used least, would get most requests while it is slow.
#[test]
fn cold_upstreams_are_avoided() {
    let mut setup = Setup::new(true, 40);
    let mut listed = (0..4).map(|id| upstream(id, 1)).collect::<Vec<_>>();
    let mut cold = Upstream::clone(&upstream(0, 2));
    cold.warm_up_remaining = Span::from_secs(5);
    listed[0] = Arc::new(cold);
    setup.upstreams.configure(at(2_000), &listed);
    setup.upstreams.set_peer_averages(&HashMap::new());
    let cold = setup.find(0, 2);
    for n in 0..8 {
        assert_ne!(setup.choose(at(2_500 + n)), cold, "request {n}");
    }
    assert_eq!(setup.choose(at(7_001)), cold);
}

/// The load of an instance that is gone would keep requests from the next one.
#[test]
fn reports_on_a_former_instance_count_for_nothing() {
    let mut setup = Setup::new(true, 40);
    let mut listed = (0..4).map(|id| upstream(id, 1)).collect::<Vec<_>>();
    listed[0] = upstream(0, 2);
    setup.upstreams.configure(at(1_000), &listed);
    setup.set_peers(&[(0, 90.0), (1, 4.0), (2, 9.0), (3, 4.0)]);
    assert_eq!(setup.choose(at(3_000)), setup.find(0, 2));
}

/// Switching it off would not bring back the former choice.
#[test]
fn a_policy_that_switches_it_off_gives_the_former_choices() {
    let mut off = Setup::new(false, 40);
    let mut never = Setup::new(true, 0);
    off.set_peers(&[(0, 30.0), (2, 30.0)]);
    for n in 0..200 {
        let now = at(10 * n);
        let chosen = off.choose(now);
        assert_eq!(chosen, never.choose(now), "request {n}");
        if n % 7 == 0 {
            off.upstreams.record_rejection(now, chosen);
            never.upstreams.record_rejection(now, chosen);
        }
    }
    assert!(off.upstreams.own_averages(at(2_000)).is_empty());
    assert!(off.upstreams.skews(at(2_000)).is_empty());
}

/// Services with many slots for each daemon would lose the choice by cost.
#[test]
fn services_with_twice_as_many_slots_as_daemons_are_chosen_as_before() {
    let mut few = Setup::new(true, 12);
    let mut never = Setup::new(true, 0);
    few.set_peers(&[(0, 30.0), (2, 30.0)]);
    for n in 0..50 {
        assert_eq!(few.choose(at(n)), never.choose(at(n)), "request {n}");
    }
}

/// Reports of one daemon would not be understood by another.
#[test]
fn averages_of_one_daemon_are_load_at_another() {
    let mut sender = Setup::new(true, 13);
    for _ in 0..3 {
        sender.choose(at(2_000));
    }
    let averages = sender.upstreams.own_averages(at(4_000));
    assert_eq!(averages.len(), 2, "both near upstreams");
    let mut reports = Reports::default();
    let daemon = DaemonId::new("d1").expect("a name");
    reports.update(at(4_000), daemon.clone(), averages);
    let domain = FailureDomain::new("east").expect("a name");
    let sums = reports.sums(at(4_000), [(&daemon, &domain)].into_iter());
    let mut receiver = Setup::new(true, 13);
    receiver.upstreams.set_peer_averages(&sums);
    let skews = receiver.upstreams.skews(at(4_000));
    assert!(skews["app"] > 1.5, "{skews:?}");
}

/// Averages of requests that have ended would keep requests away for ever.
#[test]
fn an_average_fades_after_the_requests_have_ended() {
    let mut setup = Setup::new(true, 40);
    let index = setup.find(0, 1);
    let load = dispatch::Load::default();
    let ticket = setup.upstreams.record_start(at(0), index, &load, &[]);
    setup
        .upstreams
        .record_end(at(500), index, ticket, UpstreamOutcome::Good);
    let average = setup.upstreams.own_averages(at(500));
    assert!(matches!(
        average[..],
        [AverageLoad {
            in_flight: 38..=42,
            ..
        }]
    ));
    assert!(setup.upstreams.own_averages(at(4_000)).is_empty());
}
