//! Lower bounds on the offsets of peers' clocks from the local one.
//!
//! A queried peer reads its clock and replies. That clock has advanced by the time the reply arrives, so
//! its offset from the local clock is at least the difference of the two readings, however long the round
//! trip took: a slow network makes the bound looser, never wrong. With this bound a local time translates
//! into a time on the peer's clock that is never too late.

use std::collections::HashMap;
use std::net::SocketAddr;

use bincode::Options;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Inverse of the highest assumed drift between the clocks of two hosts: one part in 1000.
const INVERSE_MAX_DRIFT: u64 = 1_000;
/// Time after which a bound is measured again.
const MEASURE_INTERVAL: Span = Span::from_secs(30);
/// Maximum number of peers remembered; the one measured longest ago is evicted.
const MAX_CLOCKS: usize = 512;

/// A daemon's reading of its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// The incarnation of the daemon at whose start the clock began at zero.
    pub run: Incarnation,
    /// Milliseconds since that start.
    pub clock_ms: u64,
}

impl ClockReading {
    pub(crate) fn encode(self) -> Result<Bytes, bincode::Error> {
        let bytes = bincode::DefaultOptions::new().serialize(&self)?;
        Ok(bytes.into())
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, bincode::Error> {
        bincode::DefaultOptions::new().deserialize(bytes)
    }
}

/// A lower bound on the offset of a peer's clock from the local one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockOffsetBound {
    run: Incarnation,
    min_offset_ms: i64,
    measured_at: Time,
}

impl ClockOffsetBound {
    /// Derives a bound from a peer's reading and the local times of the query and its reply. Also
    /// returns the upper bound on the offset, in ms.
    #[must_use]
    pub fn measured(reading: ClockReading, asked_at: Time, answered_at: Time) -> (Self, i64) {
        let read_ms = i64::try_from(reading.clock_ms).unwrap_or(i64::MAX);
        let offset = |local_ms: u64| read_ms - local_ms as i64;
        let bound = Self {
            run: reading.run,
            min_offset_ms: offset(millis(answered_at) + 1),
            measured_at: answered_at,
        };
        (bound, offset(millis(asked_at)))
    }

    /// Returns the earliest reading that the peer's clock can have shown at a local time, or `None` if
    /// that is before the peer's start.
    #[must_use]
    pub fn reading_at(&self, at: Time) -> Option<ClockReading> {
        let min_offset_ms = self.min_offset_at(at);
        let clock_ms = min_offset_ms.saturating_add(millis(at) as i64);
        let clock_ms = u64::try_from(clock_ms).ok()?;
        Some(ClockReading {
            run: self.run,
            clock_ms,
        })
    }

    fn min_offset_at(&self, at: Time) -> i64 {
        let elapsed = self.measured_at.since(at).max(at.since(self.measured_at));
        self.min_offset_ms - elapsed.as_millis().div_ceil(INVERSE_MAX_DRIFT) as i64
    }
}

fn millis(at: Time) -> u64 {
    at.since(Time::ZERO).as_millis()
}

/// Clock offset bounds by peer address.
#[derive(Debug, Default)]
pub struct PeerClocks(HashMap<SocketAddr, ClockOffsetBound>);

impl PeerClocks {
    /// Records a peer's reading and keeps the tighter bound. The known bound is discarded if it exceeds
    /// the measured upper bound: the peer's clock then paused or is a different one.
    pub fn note(
        &mut self,
        peer: SocketAddr,
        reading: ClockReading,
        asked_at: Time,
        answered_at: Time,
    ) {
        let (mut bound, max_offset_ms) = ClockOffsetBound::measured(reading, asked_at, answered_at);
        let known = self.0.get(&peer).filter(|known| known.run == reading.run);
        let known_offset = known.map(|known| known.min_offset_at(answered_at));
        if let Some(min_offset_ms) = known_offset.filter(|offset| *offset <= max_offset_ms) {
            bound.min_offset_ms = bound.min_offset_ms.max(min_offset_ms);
        }
        if self.0.len() >= MAX_CLOCKS && !self.0.contains_key(&peer) {
            let oldest = self.0.iter().min_by_key(|(_, bound)| bound.measured_at);
            let oldest = oldest.map(|(peer, _)| *peer);
            oldest.and_then(|peer| self.0.remove(&peer));
        }
        self.0.insert(peer, bound);
    }

    /// Returns the offset bound of a peer's clock, if it was measured.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<ClockOffsetBound> {
        self.0.get(&peer).copied()
    }

    /// Whether a peer's clock needs a measurement: it has none, or the last one is too old.
    #[must_use]
    pub fn is_old(&self, peer: SocketAddr, now: Time) -> bool {
        let known = self.0.get(&peer);
        known.is_none_or(|known| now.since(known.measured_at) >= MEASURE_INTERVAL)
    }
}
