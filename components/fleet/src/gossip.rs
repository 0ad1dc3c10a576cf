//! Who is told how this daemon stands.
//!
//! All of a small fleet. In a large one a few, drawn each time from a view that stays: word
//! still crosses the fleet in a few rounds, while a daemon keeps connections to its view only.
//! Drawn from all, each daemon ends with a connection to nearly every other one: 460 of them,
//! and 15 MB, with 300 daemons.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use types::prelude::*;

/// A fleet of up to so many daemons is small: each tells all others how it stands.
const SMALL_FLEET: usize = 16;
/// Daemons of the own failure domain in the view: what is out at upstreams matters there most, and
/// bytes between failure domains are paid for. So many speak to each daemon too, and their
/// loads stand for those of the others.
const LOCAL_VIEW: usize = 24;
/// Daemons elsewhere in the view.
const REMOTE_VIEW: usize = 6;
/// Of the view near, told each time how this daemon stands. Each message wakes four threads, two
/// at either end, and that is most of what a daemon of a large fleet costs at rest.
const LOCAL_FANOUT: usize = 3;
/// Of the view near, told of a change: it is told once by each, so that more must hear of it.
const LOCAL_CHANGE_FANOUT: usize = 5;
/// Of the view elsewhere: word from one reaches 88 others in some four rounds, and costs each
/// daemon the same in a fleet of any size.
const REMOTE_FANOUT: usize = 1;
/// One daemon of each view makes room for another this often, so that no part of the fleet
/// stays apart from the rest, and a connection is opened seldom.
const VIEW_REFRESH: Span = Span::from_secs(4);

/// Another daemon of the fleet that is present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whether it stands in the same failure domain.
    pub is_near: bool,
}

/// What is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipKind {
    /// How this daemon stands, to those near; soon told again.
    LocalHeartbeat,
    /// The same, also to other failure domains.
    Heartbeat,
    /// A change, told once.
    Change,
}

/// Whether each daemon tells all others.
#[must_use]
pub fn is_small(fleet: usize) -> bool {
    fleet <= SMALL_FLEET
}

/// The view, the one longest in it first.
#[derive(Debug, Default)]
pub struct GossipView {
    near: VecDeque<SocketAddr>,
    far: VecDeque<SocketAddr>,
    replace_at: Time,
}

impl GossipView {
    /// Who is told now.
    pub fn recipients(
        &mut self,
        now: Time,
        peers: &[Peer],
        kind: GossipKind,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let also_far = kind != GossipKind::LocalHeartbeat;
        let far_due = |peer: &&Peer| also_far || peer.is_near;
        if is_small(peers.len() + 1) {
            return peers.iter().filter(far_due).map(|p| p.address).collect();
        }
        if now.has_reached(self.replace_at) {
            self.replace_at = now + VIEW_REFRESH;
            self.near.pop_front();
            self.far.pop_front();
        }
        refill(&mut self.near, peers, true, LOCAL_VIEW, rng);
        refill(&mut self.far, peers, false, REMOTE_VIEW, rng);
        let count = match kind {
            GossipKind::Change => LOCAL_CHANGE_FANOUT,
            GossipKind::LocalHeartbeat | GossipKind::Heartbeat => LOCAL_FANOUT,
        };
        let mut recipients = sample(&mut self.near, count, rng);
        if also_far {
            recipients.extend(sample(&mut self.far, REMOTE_FANOUT, rng));
        }
        recipients
    }
}

/// Drops who is gone from a view, and fills it.
fn refill(
    view: &mut VecDeque<SocketAddr>,
    peers: &[Peer],
    is_near: bool,
    size: usize,
    rng: &mut impl Rng,
) {
    let peers = peers.iter().filter(|peer| peer.is_near == is_near);
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
