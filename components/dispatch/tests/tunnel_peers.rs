//! Choice of the peer through which an upstream is reached.

use std::collections::BTreeMap;
use std::sync::Arc;

use dispatch::{TunnelNeed, TunnelPeer, TunnelPeers};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use types::prelude::*;

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("a name")
}

fn peers(domains: &[&str]) -> Vec<TunnelPeer> {
    let peers = domains.iter().enumerate();
    let peers = peers.map(|(n, name)| TunnelPeer {
        id: DaemonId::new(&format!("d{n}")).expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain(name),
    });
    peers.collect()
}

fn offered(domains: &[&str]) -> TunnelPeers {
    let mut offered = TunnelPeers::default();
    offered.set(Arc::new(peers(domains)));
    offered
}

/// Counts the peers chosen for tunnels that all stay open.
fn chosen(offered: &mut TunnelPeers, now: Time, count: usize) -> BTreeMap<String, usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let (local, upstream) = (domain("a"), domain("b"));
    let mut chosen = BTreeMap::<_, usize>::new();
    for _ in 0..count {
        let need = TunnelNeed {
            service: "service",
            upstream_domain: &upstream,
            local_domain: &local,
            exclude: &[],
        };
        let peer = offered.choose(now, &need, &mut rng).expect("one");
        offered.record_start(&peer.id);
        *chosen.entry(peer.id.to_string()).or_default() += 1;
    }
    chosen
}

/// Traffic between failure domains would double.
#[test]
fn peers_in_the_domains_of_either_end_go_first() {
    let mut offered = offered(&["c", "a", "b", "c"]);
    let chosen = chosen(&mut offered, Time::ZERO, 2);
    assert_eq!(chosen.into_keys().collect::<Vec<_>>(), ["d1", "d2"]);
}

/// The last host of a domain would carry the requests of all its neighbours.
#[test]
fn requests_are_spread_over_peers_in_other_domains_too() {
    let mut offered = offered(&["a", "c", "c", "c"]);
    let chosen = chosen(&mut offered, Time::ZERO, 40);
    assert_eq!(chosen.len(), 4);
    assert!(
        chosen.values().all(|count| (7..=13).contains(count)),
        "{chosen:?}"
    );
}

/// A peer without a path itself would be asked for each request.
#[test]
fn a_peer_that_cannot_help_with_a_service_is_left_alone_for_a_while() {
    let mut offered = offered(&["a", "a"]);
    let id = DaemonId::new("d0").expect("a name");
    offered.record_no_help(Time::ZERO, &id, &Arc::from("service"));
    let early = Time::ZERO + Span::from_millis(500);
    assert_eq!(chosen(&mut offered, early, 6).len(), 1);
    let later = Time::ZERO + Span::from_secs(2);
    assert_eq!(chosen(&mut offered, later, 12).len(), 2);
}

/// With no other peer left, one that could not help a moment ago may be able to by now.
#[test]
fn a_peer_that_could_not_help_is_asked_when_there_is_no_other() {
    let mut offered = offered(&["a"]);
    let id = DaemonId::new("d0").expect("a name");
    offered.record_no_help(Time::ZERO, &id, &Arc::from("service"));
    assert_eq!(chosen(&mut offered, Time::ZERO, 1).len(), 1);
}
