//! Who is told: few connections, and word that still crosses the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fleet::{Audience, Peer, Word};
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::prelude::*;

const FLEET: usize = 295;
const DOMAINS: usize = 6;
/// A daemon tells others this often.
const TURN: Span = Span::from_millis(200);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 256) as u8, (n % 256) as u8], 7400))
}

/// All others, as a daemon sees them.
fn peers_of(me: usize, fleet: usize) -> Vec<Peer> {
    let others = (0..fleet).filter(|n| *n != me);
    let peers = others.map(|n| Peer {
        address: address(n),
        is_near: n % DOMAINS == me % DOMAINS,
    });
    peers.collect()
}

fn at(turn: u64) -> Time {
    Time::ZERO + TURN.times(turn)
}

#[test]
fn a_daemon_speaks_to_few_of_a_large_fleet() {
    // Peers were drawn from all at each turn, and a connection stays open while it is used:
    // after half a minute each of 300 daemons held one to nearly every other.
    let rng = &mut StdRng::seed_from_u64(1);
    let peers = peers_of(0, FLEET);
    let mut audience = Audience::default();
    let mut told = BTreeSet::new();
    for turn in 0..150 {
        told.extend(audience.told(at(turn), &peers, Word::Everywhere, rng));
    }
    assert!(told.len() < 50, "{} peers in half a minute", told.len());
}

#[test]
fn word_crosses_a_large_fleet_in_two_seconds() {
    // A change that one daemon has is in force everywhere only once all were told of it.
    let rng = &mut StdRng::seed_from_u64(2);
    let index = (0..FLEET)
        .map(|n| (address(n), n))
        .collect::<BTreeMap<_, _>>();
    let peers = (0..FLEET).map(|n| peers_of(n, FLEET)).collect::<Vec<_>>();
    let mut audiences = (0..FLEET).map(|_| Audience::default()).collect::<Vec<_>>();
    let mut knows = BTreeSet::from([0]);
    let mut turns = 0;
    while knows.len() < FLEET {
        for n in knows.clone() {
            let told = audiences[n].told(at(turns), &peers[n], Word::Everywhere, rng);
            knows.extend(told.iter().map(|address| index[address]));
        }
        turns += 1;
        assert!(turns <= 10, "{} know after {turns} turns", knows.len());
    }
}

#[test]
fn a_peer_that_is_gone_is_told_no_more() {
    let rng = &mut StdRng::seed_from_u64(3);
    let mut audience = Audience::default();
    let _ = audience.told(at(0), &peers_of(0, FLEET), Word::Everywhere, rng);
    let left = peers_of(0, 30);
    for turn in 1..20 {
        let told = audience.told(at(turn), &left, Word::Everywhere, rng);
        assert!(told.iter().all(|to| left.iter().any(|p| p.address == *to)));
        assert!(told.len() >= 4);
    }
}

#[test]
fn all_of_a_small_fleet_are_told() {
    let rng = &mut StdRng::seed_from_u64(4);
    let peers = peers_of(0, 9);
    let told = Audience::default().told(at(0), &peers, Word::Everywhere, rng);
    assert_eq!(told.len(), 8);
    let near = Audience::default().told(at(0), &peers, Word::Near, rng);
    assert_eq!(near, [address(6)]);
}
