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
const VIEW_NEAR: usize = 24;
/// Daemons elsewhere in the view.
const VIEW_FAR: usize = 6;
/// Of the view near, told each time how this daemon stands. Each message wakes four threads, two
/// at either end, and that is most of what a daemon of a large fleet costs at rest.
const TOLD_NEAR: usize = 3;
/// Of the view near, told of a change: it is told once by each, so that more must hear of it.
const TOLD_CHANGES: usize = 5;
/// Of the view elsewhere: word from one reaches 88 others in some four rounds, and costs each
/// daemon the same in a fleet of any size.
const TOLD_FAR: usize = 1;
/// One daemon of each view makes room for another this often, so that no part of the fleet
/// stays apart from the rest, and a connection is opened seldom.
const REPLACE: Span = Span::from_secs(4);

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
pub enum Word {
    /// How this daemon stands, to those near; soon told again.
    Near,
    /// The same, also to other failure domains.
    Everywhere,
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
pub struct Audience {
    near: VecDeque<SocketAddr>,
    far: VecDeque<SocketAddr>,
    replace_at: Time,
}

impl Audience {
    /// Who is told now.
    pub fn told(
        &mut self,
        now: Time,
        peers: &[Peer],
        word: Word,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let also_far = word != Word::Near;
        let far_due = |peer: &&Peer| also_far || peer.is_near;
        if is_small(peers.len() + 1) {
            return peers.iter().filter(far_due).map(|p| p.address).collect();
        }
        if now.has_reached(self.replace_at) {
            self.replace_at = now + REPLACE;
            self.near.pop_front();
            self.far.pop_front();
        }
        keep_full(&mut self.near, peers, true, VIEW_NEAR, rng);
        keep_full(&mut self.far, peers, false, VIEW_FAR, rng);
        let count = match word {
            Word::Change => TOLD_CHANGES,
            Word::Near | Word::Everywhere => TOLD_NEAR,
        };
        let mut told = sample(&mut self.near, count, rng);
        if also_far {
            told.extend(sample(&mut self.far, TOLD_FAR, rng));
        }
        told
    }
}

/// Drops who is gone from a view, and fills it.
fn keep_full(
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
