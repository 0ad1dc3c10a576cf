//! Which peers receive a gossip message.
//!
//! In a small fleet all do. In a large one a few do, drawn each time from a partial view that
//! changes slowly: a change still reaches the whole fleet in a few rounds, while a daemon keeps
//! connections to its view only. If peers were drawn from the whole fleet, each daemon would end up
//! with a connection to nearly every other: 460 of them, and 15 MB, with 300 daemons.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use types::prelude::*;

/// A fleet of up to this many daemons is small: each daemon sends its heartbeats to all its peers.
const SMALL_FLEET: usize = 16;
/// Peers of the own failure domain in the view. Load at upstreams matters most there, and traffic
/// between failure domains costs money. About as many peers send to each daemon, and their loads
/// stand for those of the rest of the fleet.
const LOCAL_VIEW: usize = 24;
/// Peers of other failure domains in the view.
const REMOTE_VIEW: usize = 6;
/// Peers of the local view that receive a heartbeat. Each message wakes four threads, two at either
/// end, which is most of the cost of an idle daemon in a large fleet.
const LOCAL_FANOUT: usize = 3;
/// Peers of the local view that receive a change: each daemon sends it only once, so more peers
/// must receive it.
const LOCAL_CHANGE_FANOUT: usize = 5;
/// Peers of the remote view that receive a message: one that starts at one daemon reaches 88 peers
/// in some four rounds, at the same cost per daemon in a fleet of any size.
const REMOTE_FANOUT: usize = 1;
/// Interval at which one peer of each view is replaced: often enough that no part of the fleet
/// stays separate from the rest, and seldom enough that few connections are opened.
const VIEW_REFRESH: Span = Span::from_secs(4);

/// Another daemon that is present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Whether it is in the same failure domain.
    pub is_local: bool,
}

/// Kind of a gossip message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipKind {
    /// A heartbeat to the own failure domain only; the next one follows soon.
    LocalHeartbeat,
    /// A heartbeat to all failure domains.
    Heartbeat,
    /// A change, sent once to all failure domains.
    Change,
}

/// Whether every daemon of a fleet of this size sends to all its peers.
#[must_use]
pub fn is_small(fleet: usize) -> bool {
    fleet <= SMALL_FLEET
}

/// A partial view of the fleet; the peers that have been in it longest come first.
#[derive(Debug, Default)]
pub struct GossipView {
    local: VecDeque<SocketAddr>,
    remote: VecDeque<SocketAddr>,
    refresh_at: Time,
}

impl GossipView {
    /// Chooses the peers that receive a message now.
    pub fn recipients(
        &mut self,
        now: Time,
        peers: &[Peer],
        kind: GossipKind,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let also_remote = kind != GossipKind::LocalHeartbeat;
        let is_included = |peer: &&Peer| also_remote || peer.is_local;
        if is_small(peers.len() + 1) {
            return peers
                .iter()
                .filter(is_included)
                .map(|p| p.address)
                .collect();
        }
        if now.has_reached(self.refresh_at) {
            self.refresh_at = now + VIEW_REFRESH;
            self.local.pop_front();
            self.remote.pop_front();
        }
        refill(&mut self.local, peers, true, LOCAL_VIEW, rng);
        refill(&mut self.remote, peers, false, REMOTE_VIEW, rng);
        let count = match kind {
            GossipKind::Change => LOCAL_CHANGE_FANOUT,
            GossipKind::LocalHeartbeat | GossipKind::Heartbeat => LOCAL_FANOUT,
        };
        let mut recipients = sample(&mut self.local, count, rng);
        if also_remote {
            recipients.extend(sample(&mut self.remote, REMOTE_FANOUT, rng));
        }
        recipients
    }
}

/// Drops peers that are gone from a view and fills it up to `size`.
fn refill(
    view: &mut VecDeque<SocketAddr>,
    peers: &[Peer],
    is_local: bool,
    size: usize,
    rng: &mut impl Rng,
) {
    let peers = peers.iter().filter(|peer| peer.is_local == is_local);
    let peers = peers.map(|peer| peer.address).collect::<Vec<_>>();
    view.retain(|address| peers.contains(address));
    let missing = size.saturating_sub(view.len());
    let others = peers.into_iter().filter(|address| !view.contains(address));
    let others = others.sample(rng, missing);
    view.extend(others);
}

fn sample(view: &mut VecDeque<SocketAddr>, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let view = view.make_contiguous();
    view.sample(rng, count).copied().collect()
}
