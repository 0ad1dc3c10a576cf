//! Claims on how current copies of the store's keys are.
//!
//! A claim says that the store held nothing newer than some revision at one moment. It originates
//! from an answer of the store and travels from daemon to daemon as a moment on the **receiver's**
//! clock: from an answer of the receiver the sender knows a lower bound of how far that clock is
//! ahead of its own. A claim therefore gets older on slow links and with each hop, and never newer.

use mirror::Revision;
use peers::ClockOffsetBound;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Claims kept: the newest ones, of a few revisions.
const MAX_CLAIMS: usize = 8;
/// Claims in one message at most: the newest one, and one for peers that lag a change behind.
const MAX_SENT: usize = 2;

/// The store held nothing newer than a revision at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The revision.
    pub held: Revision,
    /// The moment, by the local clock.
    pub at: Time,
}

impl Claim {
    /// Whether this claim implies the other.
    fn covers(&self, other: &Self) -> bool {
        self.held <= other.held && self.at >= other.at
    }
}

/// A claim as sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireClaim {
    /// The revision, as in [`Claim::held`].
    pub held: Revision,
    /// The moment in ms on the receiver's clock.
    pub clock_ms: u64,
}

/// Claims for one receiver.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The receiver's process, to whose clock the claims refer.
    pub run: Incarnation,
    /// The newest claims.
    pub claims: Vec<WireClaim>,
}

/// The claims that a daemon knows, including its own.
#[derive(Debug, Clone, Default)]
pub struct Claims(Vec<Claim>);

impl Claims {
    /// Adds a claim unless a known one implies it.
    pub fn add(&mut self, claim: Claim) {
        if self.0.iter().any(|known| known.covers(&claim)) {
            return;
        }
        self.0.retain(|known| !claim.covers(known));
        self.0.push(claim);
        self.0
            .sort_unstable_by_key(|known| std::cmp::Reverse(known.at));
        self.0.truncate(MAX_CLAIMS);
    }

    /// Merges a peer's claims. Returns how many were dropped because they cannot refer to the clock
    /// of this process.
    pub fn merge(&mut self, now: Time, run: Incarnation, received: &Freshness) -> usize {
        if received.run != run {
            return received.claims.len();
        }
        let mut dropped = 0;
        for dated in received.claims.iter().take(MAX_SENT) {
            if dated.clock_ms > now.since(Time::ZERO).as_millis() {
                dropped += 1;
                continue;
            }
            self.add(Claim {
                held: dated.held,
                at: Time::ZERO + Span::from_millis(dated.clock_ms),
            });
        }
        dropped
    }

    /// Latest moment at which a copy of revision `held` was known to be current.
    #[must_use]
    pub fn validated_at(&self, held: Revision) -> Option<Time> {
        let claims = self.0.iter().filter(|claim| claim.held <= held);
        claims.map(|claim| claim.at).max()
    }

    /// Latest moment at which the store is known to have answered any daemon.
    #[must_use]
    pub fn latest(&self) -> Option<Time> {
        self.0.first().map(|claim| claim.at)
    }

    /// The newest claims dated by a peer's clock, given the bound on its offset.
    #[must_use]
    pub fn for_peer(&self, clock: &ClockOffsetBound) -> Option<Freshness> {
        let readings = self.0.iter().take(MAX_SENT);
        let readings = readings.filter_map(|claim| Some((claim.held, clock.reading_at(claim.at)?)));
        let readings = readings.collect::<Vec<_>>();
        let (_, first) = readings.first()?;
        let claims = readings.iter().map(|(held, reading)| WireClaim {
            held: *held,
            clock_ms: reading.clock_ms,
        });
        Some(Freshness {
            run: first.run,
            claims: claims.collect(),
        })
    }
}
