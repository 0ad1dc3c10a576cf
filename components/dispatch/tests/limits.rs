//! Tests of rate limits in the choice of an upstream.

use std::sync::Arc;

use dispatch::{
    Advertised, Fleet, NoUpstream, Permit, Requirements, UpstreamIndex, UpstreamOutcome, Upstreams,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

struct Setup {
    upstreams: Upstreams,
    rng: ChaCha8Rng,
    service: Arc<str>,
    near: FailureDomain,
}

fn upstream(id: usize, started_at: u64) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(&format!("u{id}")).expect("a name"),
        started_at: Some(WallTime(started_at)),
        service: Arc::from("plain"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east").expect("a name"),
        version: Arc::from("v1"),
        slots: 8,
        state: UpstreamState::Ready,
        warm_up_remaining: Span::ZERO,
    })
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn requirements<'a>(service: &'a Arc<str>, near: &'a FailureDomain) -> Requirements<'a> {
    Requirements {
        service,
        model: None,
        parts: &[],
        prompt_tokens: 0,
        permit: &Permit::Any,
        isolated: false,
        exclude: &[],
        local_domain: near,
    }
}

impl Setup {
    /// Asks another daemon for a request by its share; returns whether it is granted.
    fn lease(&self, now: Time, lender: &mut Self) -> bool {
        let requirements = requirements(&self.service, &self.near);
        let mut rng = self.rng.clone();
        let choice = self
            .upstreams
            .choose_leased(now, &requirements, |_| true, &mut rng);
        let Some(choice) = choice else {
            return false;
        };
        let offer = choice.lease.expect("an offer");
        let spec = self.upstreams.spec(choice.index).expect("listed");
        let upstreams = &mut lender.upstreams;
        let (reply, _) = upstreams.lend(now, &spec.id, spec.started_at, offer.bound);
        reply.is_granted
    }

    fn new(count: usize) -> Self {
        let mut upstreams = Upstreams::default();
        upstreams.configure(
            at(0),
            &(0..count).map(|id| upstream(id, 1)).collect::<Vec<_>>(),
        );
        Self {
            upstreams,
            rng: ChaCha8Rng::seed_from_u64(1),
            service: Arc::from("plain"),
            near: FailureDomain::new("east").expect("a name"),
        }
    }

    /// Sends a request that ends as given.
    fn send(&mut self, now: Time, outcome: UpstreamOutcome) -> Result<UpstreamIndex, NoUpstream> {
        let requirements = requirements(&self.service, &self.near);
        let choice = self.upstreams.choose(now, &requirements, &mut self.rng)?;
        let ticket = self
            .upstreams
            .record_start(now, choice.index, &choice.load, &[]);
        self.upstreams
            .record_end(now, choice.index, ticket, outcome);
        Ok(choice.index)
    }

    fn observe(&mut self, now: Time, index: UpstreamIndex, advertised: Advertised) {
        self.upstreams
            .observe_rate_limit(now, index, now, advertised);
    }
}

#[test]
fn requests_beyond_a_limit_go_to_other_upstreams() {
    let mut setup = Setup::new(3);
    let first = setup
        .send(at(0), UpstreamOutcome::Good)
        .expect("one is listed");
    setup.observe(at(0), first, Advertised::Limit(Rate(2.0)));
    let sent = (1..10_000).map(|ms| {
        setup
            .send(at(ms), UpstreamOutcome::Good)
            .expect("others are free")
    });
    let limited = sent.filter(|index| *index == first).count();
    assert!((10..=20).contains(&limited), "{limited}");
}

#[test]
fn a_rate_limit_does_not_eject_an_upstream() {
    let mut setup = Setup::new(1);
    let only = setup
        .send(at(0), UpstreamOutcome::Good)
        .expect("one is listed");
    setup.observe(at(0), only, Advertised::Limit(Rate(2.0)));
    assert_eq!(
        setup.send(at(100), UpstreamOutcome::Good),
        Err(NoUpstream::Limited {
            until: at(500) + Span::from_micros(1)
        })
    );
    assert_eq!(setup.send(at(501), UpstreamOutcome::Good), Ok(only));
    setup
        .upstreams
        .observe_rate_limit(at(700), only, at(650), Advertised::Nothing);
    assert_eq!(setup.send(at(701), UpstreamOutcome::Good), Ok(only));
}

#[test]
fn the_next_instance_of_an_upstream_has_no_limit() {
    let mut setup = Setup::new(1);
    let only = setup
        .send(at(0), UpstreamOutcome::Good)
        .expect("one is listed");
    setup.observe(at(0), only, Advertised::Limit(Rate(0.5)));
    assert!(setup.send(at(100), UpstreamOutcome::Good).is_err());
    setup.upstreams.configure(at(0), &[upstream(0, 2)]);
    assert!(setup.send(at(101), UpstreamOutcome::Good).is_ok());
}

#[test]
fn an_upstream_that_refused_is_chosen_when_there_is_no_other() {
    let mut setup = Setup::new(1);
    let only = setup
        .send(at(0), UpstreamOutcome::Refused)
        .expect("one is listed");
    setup.upstreams.back_off(at(0), only, at(60_000));
    assert_eq!(setup.send(at(10), UpstreamOutcome::Good), Ok(only));
    let mut setup = Setup::new(2);
    let first = setup
        .send(at(0), UpstreamOutcome::Refused)
        .expect("one is listed");
    setup.upstreams.back_off(at(0), first, at(60_000));
    assert!((1..4_999).all(|ms| setup.send(at(ms), UpstreamOutcome::Good) != Ok(first)));
    assert!((5_000..6_000).any(|ms| setup.send(at(ms), UpstreamOutcome::Good) == Ok(first)));
}

/// Creates a daemon of a fleet of two that knows the limit of the only upstream.
fn limited(me: &DaemonId, other: &DaemonId) -> Setup {
    let mut setup = Setup::new(1);
    let fleet = Fleet::new(me, std::iter::once(other));
    setup.upstreams.set_fleet(at(0), &Arc::new(fleet));
    let only = setup
        .send(at(6_000), UpstreamOutcome::Good)
        .expect("one is listed");
    setup.observe(at(6_000), only, Advertised::Limit(Rate(2.0)));
    setup
}

/// Counts the requests of two seconds that are served, of twenty; where a lender is given, by its
/// share too.
fn count_served(setup: &mut Setup, from: u64, mut lender: Option<&mut Setup>) -> usize {
    let is_served = |ms: &u64| {
        let now = at(from + ms);
        let is_sent = setup.send(now, UpstreamOutcome::Good).is_ok();
        is_sent
            || lender
                .as_mut()
                .is_some_and(|lender| setup.lease(now, lender))
    };
    (0..2_000).step_by(100).filter(is_served).count()
}

#[test]
fn a_daemon_that_refuses_requests_borrows_idle_shares() {
    let ids = ["a", "b"].map(|id| DaemonId::new(id).expect("a name"));
    let mut busy = limited(&ids[0], &ids[1]);
    let mut idle = limited(&ids[1], &ids[0]);
    count_served(&mut busy, 10_000, Some(&mut idle));
    let with_leases = count_served(&mut busy, 12_000, Some(&mut idle));
    let alone = count_served(&mut busy, 14_000, None);
    assert_eq!((with_leases, alone), (4, 2));
}
