//! Choice of gossip recipients: few connections, and messages that still reach the whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fleet::{GossipKind, GossipView, Peer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::prelude::*;

const FLEET: usize = 295;
const DOMAINS: usize = 6;
/// Interval at which a daemon sends heartbeats.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(200);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 256) as u8, (n % 256) as u8], 7400))
}

/// All other daemons, as daemon `me` sees them.
fn peers_of(me: usize, fleet: usize) -> Vec<Peer> {
    let others = (0..fleet).filter(|n| *n != me);
    let peers = others.map(|n| Peer {
        address: address(n),
        is_local: n % DOMAINS == me % DOMAINS,
    });
    peers.collect()
}

fn at(turn: u64) -> Time {
    Time::ZERO + HEARTBEAT_INTERVAL.times(turn)
}

#[test]
fn a_daemon_contacts_few_peers_of_a_large_fleet() {
    // A connection stays open while it is used. With recipients drawn from the whole fleet each
    // time, each of 300 daemons held one to nearly every other after half a minute.
    let rng = &mut StdRng::seed_from_u64(1);
    let peers = peers_of(0, FLEET);
    let mut view = GossipView::default();
    let mut recipients = BTreeSet::new();
    for turn in 0..150 {
        recipients.extend(view.recipients(at(turn), &peers, GossipKind::Heartbeat, rng));
    }
    assert!(
        recipients.len() < 50,
        "{} peers in half a minute",
        recipients.len()
    );
}

#[test]
fn gossip_reaches_a_large_fleet_within_two_seconds() {
    // A change is in force everywhere only once it has reached every daemon.
    let rng = &mut StdRng::seed_from_u64(2);
    let index = (0..FLEET)
        .map(|n| (address(n), n))
        .collect::<BTreeMap<_, _>>();
    let peers = (0..FLEET).map(|n| peers_of(n, FLEET)).collect::<Vec<_>>();
    let mut views = (0..FLEET)
        .map(|_| GossipView::default())
        .collect::<Vec<_>>();
    let mut knows = BTreeSet::from([0]);
    let mut turns = 0;
    while knows.len() < FLEET {
        for n in knows.clone() {
            let recipients = views[n].recipients(at(turns), &peers[n], GossipKind::Heartbeat, rng);
            knows.extend(recipients.iter().map(|address| index[address]));
        }
        turns += 1;
        assert!(turns <= 10, "{} know after {turns} turns", knows.len());
    }
}

#[test]
fn departed_peers_get_no_messages() {
    let rng = &mut StdRng::seed_from_u64(3);
    let mut view = GossipView::default();
    let _ = view.recipients(at(0), &peers_of(0, FLEET), GossipKind::Heartbeat, rng);
    let left = peers_of(0, 30);
    for turn in 1..20 {
        let recipients = view.recipients(at(turn), &left, GossipKind::Heartbeat, rng);
        assert!(
            recipients
                .iter()
                .all(|to| left.iter().any(|p| p.address == *to))
        );
        assert!(recipients.len() >= 4);
    }
}

#[test]
fn all_peers_of_a_small_fleet_get_messages() {
    let rng = &mut StdRng::seed_from_u64(4);
    let peers = peers_of(0, 9);
    let recipients = GossipView::default().recipients(at(0), &peers, GossipKind::Heartbeat, rng);
    assert_eq!(recipients.len(), 8);
    let local = GossipView::default().recipients(at(0), &peers, GossipKind::LocalHeartbeat, rng);
    assert_eq!(local, [address(6)]);
}
