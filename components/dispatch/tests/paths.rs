//! Choice between a direct path to an upstream and one through a peer.

use std::sync::Arc;

use dispatch::{DirectFailure, Path, Paths, UpstreamIndex, Upstreams};
use routes::{Upstream, UpstreamState};
use types::prelude::*;

/// Upstreams of one service.
fn upstreams(count: usize) -> Vec<UpstreamIndex> {
    let specs = (0..count).map(|n| {
        Arc::new(Upstream {
            id: UpstreamId::new(&format!("u{n}")).expect("a name"),
            started_at: None,
            service: Arc::from("service"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: FailureDomain::new("east").expect("a name"),
            version: Arc::from("v1"),
            slots: 4,
            state: UpstreamState::Ready,
            warm_up_remaining: Span::ZERO,
        })
    });
    let specs = specs.collect::<Vec<_>>();
    let mut upstreams = Upstreams::default();
    upstreams.configure(&specs);
    let found = specs.iter().map(|spec| upstreams.find(&spec.id, None));
    found.map(|found| found.expect("listed").index).collect()
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

/// A daemon that had lost its paths tried one unreachable upstream after the other.
#[test]
fn an_upstream_that_only_peers_reach_is_reached_through_a_peer() {
    let service = Arc::from("service");
    let all = upstreams(2);
    let mut paths = Paths::default();
    paths.record_lost(all[0], &service, DirectFailure::TimedOut, at(1_000));
    assert_eq!(paths.path(all[0], &service), Path::ThroughPeer);
    assert_eq!(paths.path(all[1], &service), Path::Direct);
}
