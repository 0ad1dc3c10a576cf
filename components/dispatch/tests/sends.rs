//! Counts of sends for admission control.

use std::sync::Arc;

use dispatch::{Load, Permit, Requirements, UpstreamIndex, UpstreamOutcome, Upstreams};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

const SECOND: Span = Span::from_secs(1);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn upstream(started_at: u64, state: UpstreamState) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new("u").expect("a name"),
        started_at: Some(WallTime(started_at)),
        service: Arc::from("plain"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east").expect("a name"),
        version: Arc::from("v1"),
        slots: 6,
        state,
        warm_up_remaining: Span::ZERO,
    })
}

fn choose(upstreams: &Upstreams) -> UpstreamIndex {
    let (service, east) = (
        Arc::from("plain"),
        FailureDomain::new("east").expect("a name"),
    );
    let requirements = Requirements {
        service: &service,
        model: None,
        parts: &[],
        prompt_tokens: 0,
        permit: &Permit::Any,
        isolated: false,
        exclude: &[],
        local_domain: &east,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = upstreams.choose(at(0), &requirements, &mut rng);
    choice.expect("one is listed").index
}

#[test]
fn sends_are_counted_once_and_requests_in_flight_over_their_time() {
    let mut upstreams = Upstreams::default();
    upstreams.configure(at(0), &[upstream(1, UpstreamState::Ready)]);
    assert_eq!(
        upstreams.take_sends(at(1_000), "plain", SECOND).in_flight,
        0.0
    );
    let index = choose(&upstreams);
    let load = Load::default();
    let first = upstreams.record_start(at(1_000), index, &load, &[]);
    let second = upstreams.record_start(at(1_500), index, &load, &[]);
    upstreams.record_end(at(1_750), index, first, UpstreamOutcome::Good);
    upstreams.count_rejection(index);
    upstreams.record_end(at(1_750), index, second, UpstreamOutcome::Refused);
    let sends = upstreams.take_sends(at(2_000), "plain", SECOND);
    assert_eq!((sends.completed, sends.rejected), (1, 1));
    assert!((sends.in_flight - 1.0).abs() < 1e-9, "{}", sends.in_flight);
    let sends = upstreams.take_sends(at(3_000), "plain", SECOND);
    assert_eq!((sends.completed, sends.rejected), (0, 0));
}

/// Guards against requests at an ended run that count as load of the next.
#[test]
fn an_upstream_that_restarts_is_counted_from_zero() {
    let mut upstreams = Upstreams::default();
    upstreams.configure(at(0), &[upstream(1, UpstreamState::Ready)]);
    let index = choose(&upstreams);
    upstreams.record_start(at(0), index, &Load::default(), &[]);
    upstreams.configure(at(500), &[upstream(2, UpstreamState::Ready)]);
    let sends = upstreams.take_sends(at(1_000), "plain", SECOND);
    assert_eq!(sends.in_flight, 0.0);
    assert_eq!(upstreams.available_slots("plain"), 6);
    upstreams.configure(at(1_500), &[upstream(2, UpstreamState::Draining)]);
    assert_eq!(upstreams.available_slots("plain"), 0);
}

/// Guards against a long request that counts as thousands in flight, once its service is counted
/// again after a pause.
#[test]
fn a_request_of_300_s_counts_as_one_in_flight() {
    let mut upstreams = Upstreams::default();
    upstreams.configure(at(0), &[upstream(1, UpstreamState::Ready)]);
    let index = choose(&upstreams);
    let ticket = upstreams.record_start(at(1_000), index, &Load::default(), &[]);
    let tenth = Span::from_millis(100);
    let sends = upstreams.take_sends(at(301_000), "plain", tenth);
    assert!((sends.in_flight - 1.0).abs() < 1e-9, "{}", sends.in_flight);
    let sends = upstreams.take_sends(at(301_100), "plain", tenth);
    assert!((sends.in_flight - 1.0).abs() < 1e-9, "{}", sends.in_flight);
    upstreams.record_end(at(301_100), index, ticket, UpstreamOutcome::Good);
    let sends = upstreams.take_sends(at(301_200), "plain", tenth);
    assert_eq!((sends.completed, sends.in_flight), (1, 0.0));
}
