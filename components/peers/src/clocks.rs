//! How far clocks of peers are ahead of the own one, at least.
//!
//! A peer that is asked reads its clock. When the answer is here that clock has gone on, so it is ahead
//! of the own clock by the difference at least, however long question and answer were under way: a slow
//! way makes the bound looser, never wrong. A moment of the own clock is so translated into one on the
//! peer's that is not later.

use std::collections::HashMap;
use std::net::SocketAddr;

use bincode::Options;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Clocks of two hosts drift apart by one part of so many at most.
const DRIFT: u64 = 1_000;
/// A bound is measured anew after this.
const MEASURE_EVERY: Span = Span::from_secs(30);
/// Peers remembered; the one measured longest ago goes first.
const MAX_CLOCKS: usize = 512;

/// A daemon's clock, as it read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The daemon's run, since whose begin the clock counts.
    pub run: Incarnation,
    /// In ms.
    pub clock_ms: u64,
}

impl Reading {
    pub(crate) fn encode(self) -> Result<Bytes, bincode::Error> {
        let bytes = bincode::DefaultOptions::new().serialize(&self)?;
        Ok(bytes.into())
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, bincode::Error> {
        bincode::DefaultOptions::new().deserialize(bytes)
    }
}

/// How far a peer's clock is ahead of the own one, at least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockBound {
    run: Incarnation,
    ahead_ms: i64,
    measured_at: Time,
}

impl ClockBound {
    /// From the answer to a question that was asked and answered at moments of the own clock, and the
    /// most by which the peer's clock can be ahead.
    #[must_use]
    pub fn measured(reading: Reading, asked_at: Time, answered_at: Time) -> (Self, i64) {
        let read_ms = i64::try_from(reading.clock_ms).unwrap_or(i64::MAX);
        let ahead = |own_ms: u64| read_ms - own_ms as i64;
        let bound = Self {
            run: reading.run,
            ahead_ms: ahead(millis(answered_at) + 1),
            measured_at: answered_at,
        };
        (bound, ahead(millis(asked_at)))
    }

    /// What the peer's clock showed at a moment of the own one, at least; nothing before its run.
    #[must_use]
    pub fn reading_at(&self, at: Time) -> Option<Reading> {
        let ahead_ms = self.ahead_at(at);
        let clock_ms = ahead_ms.saturating_add(millis(at) as i64);
        let clock_ms = u64::try_from(clock_ms).ok()?;
        Some(Reading {
            run: self.run,
            clock_ms,
        })
    }

    fn ahead_at(&self, at: Time) -> i64 {
        let apart = self.measured_at.since(at).max(at.since(self.measured_at));
        self.ahead_ms - apart.as_millis().div_ceil(DRIFT) as i64
    }
}

fn millis(at: Time) -> u64 {
    at.since(Time::ZERO).as_millis()
}

/// The bounds of all peers' clocks.
#[derive(Debug, Default)]
pub struct Clocks(HashMap<SocketAddr, ClockBound>);

impl Clocks {
    /// Takes a peer's answer, and keeps the closer bound. A clock that is ahead by less than was known
    /// stood still or is another.
    pub fn note(&mut self, peer: SocketAddr, reading: Reading, asked_at: Time, answered_at: Time) {
        let (mut bound, at_most) = ClockBound::measured(reading, asked_at, answered_at);
        let known = self.0.get(&peer).filter(|known| known.run == reading.run);
        let known_ahead = known.map(|known| known.ahead_at(answered_at));
        if let Some(ahead_ms) = known_ahead.filter(|ahead| *ahead <= at_most) {
            bound.ahead_ms = bound.ahead_ms.max(ahead_ms);
        }
        if self.0.len() >= MAX_CLOCKS && !self.0.contains_key(&peer) {
            let oldest = self.0.iter().min_by_key(|(_, bound)| bound.measured_at);
            let oldest = oldest.map(|(peer, _)| *peer);
            oldest.and_then(|peer| self.0.remove(&peer));
        }
        self.0.insert(peer, bound);
    }

    /// What is known of a peer's clock.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<ClockBound> {
        self.0.get(&peer).copied()
    }

    /// Whether a peer's clock was measured long ago, or never.
    #[must_use]
    pub fn is_old(&self, peer: SocketAddr, now: Time) -> bool {
        let known = self.0.get(&peer);
        known.is_none_or(|known| now.since(known.measured_at) >= MEASURE_EVERY)
    }
}
