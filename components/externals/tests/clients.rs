//! Tests of the clients against stand-ins for the services.

use externals::{HostList, HostState, PlatformError, Rater, Sample, WeightStore};
use standins::hosts::{HostList as HostListStandIn, HostsConfig};
use standins::rater::{Rater as RaterStandIn, RaterConfig};
use standins::weights::{WeightStore as WeightStoreStandIn, WeightsConfig};
use types::prelude::*;

fn sample() -> Sample {
    Sample {
        class: "answer".parse().unwrap(),
        version: "small@v1".parse().unwrap(),
        prompt: "a".to_owned(),
        answer: "b #00000000".to_owned(),
    }
}

#[test]
fn can_rate_an_answer() {
    let cfg = RaterConfig {
        lag: Span::ZERO,
        default_quality: 1.0,
        ..RaterConfig::default()
    };
    let rater = RaterStandIn::start(&cfg).unwrap();
    assert_eq!(Rater::new(rater.address()).rate(&sample()), Ok(true));
}

#[test]
fn errors_with_a_delay_when_the_rater_is_at_its_rate_limit() {
    let cfg = RaterConfig {
        lag: Span::ZERO,
        max_ratings: 1,
        ..RaterConfig::default()
    };
    let rater = RaterStandIn::start(&cfg).unwrap();
    let client = Rater::new(rater.address());
    let refused = (0..20).map(|_| client.rate(&sample())).find(Result::is_err);
    assert!(
        matches!(refused, Some(Err(PlatformError::Later(_)))),
        "{refused:?}"
    );
}

#[test]
fn can_read_hosts() {
    let live = "127.0.0.1:1".parse().unwrap();
    let leaving = "127.0.0.1:2".parse().unwrap();
    let cfg = HostsConfig {
        lag: Span::ZERO,
        live: vec![live],
        ..HostsConfig::default()
    };
    let hosts = HostListStandIn::start(&cfg).unwrap();
    hosts.set(leaving, standins::hosts::HostState::Leaving);
    let mut read = HostList::new(hosts.address()).read().unwrap();
    read.sort_by_key(|host| host.address);
    let read: Vec<_> = read.iter().map(|host| (host.address, host.state)).collect();
    assert_eq!(
        read,
        [(live, HostState::Live), (leaving, HostState::Leaving)]
    );
}

#[test]
fn errors_when_the_host_list_is_unreachable() {
    let mut hosts = HostListStandIn::start(&HostsConfig::default()).unwrap();
    let client = HostList::new(hosts.address());
    hosts.stop();
    assert!(matches!(client.read(), Err(PlatformError::Failed(_))));
}

#[test]
fn errors_with_a_delay_when_all_weight_slots_are_taken() {
    let weights = WeightStoreStandIn::start(&WeightsConfig::default()).unwrap();
    let client = WeightStore::new(weights.address());
    weights.set_max_slots(1);
    let version = "small@v1".parse().unwrap();
    let refused = (0..20)
        .map(|_| client.take_slot(&version))
        .find(Result::is_err);
    assert!(
        matches!(refused, Some(Err(PlatformError::Later(_)))),
        "{refused:?}"
    );
}
