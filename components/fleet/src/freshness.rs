//! How current copies of the store's keys are known to be.
//!
//! A claim says that at one moment the store held nothing newer than some revision. It begins with an answer of
//! the store, and travels from daemon to daemon as a moment on the **receiver's** clock: the sender
//! knows of that clock, by an answer of the receiver's, how far it is ahead of its own at least. So a
//! claim gets older on slow ways and with each hop, and never newer.

use mirror::Revision;
use peers::ClockBound;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Claims kept: the newest ones, of a few revisions.
const MAX_CLAIMS: usize = 8;
/// Claims in one message at most: the newest, and one for those that lag a change behind.
const MAX_SENT: usize = 2;

/// The store held nothing newer than a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Which revision.
    pub held: Revision,
    /// When.
    pub at: Time,
}

impl Claim {
    /// Whether it says all that another does.
    fn covers(&self, other: &Self) -> bool {
        self.held <= other.held && self.at >= other.at
    }
}

/// A claim as it travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireClaim {
    /// See [`Claim::held`].
    pub held: Revision,
    /// In ms on the receiver's clock.
    pub clock_ms: u64,
}

/// Claims for one receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The receiver's run, to whose clock the claims belong.
    pub run: Incarnation,
    /// The newest ones.
    pub claims: Vec<WireClaim>,
}

/// The claims that a daemon knows of, its own ones included.
#[derive(Debug, Clone, Default)]
pub struct Claims(Vec<Claim>);

impl Claims {
    /// Takes a claim.
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

    /// Takes a peer's claims; how many cannot be of this run's clock.
    pub fn merge(&mut self, now: Time, run: Incarnation, told: &Freshness) -> usize {
        if told.run != run {
            return told.claims.len();
        }
        let mut dropped = 0;
        for dated in told.claims.iter().take(MAX_SENT) {
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

    /// When a copy of a revision was last known to be current.
    #[must_use]
    pub fn validated_at(&self, held: Revision) -> Option<Time> {
        let claims = self.0.iter().filter(|claim| claim.held <= held);
        claims.map(|claim| claim.at).max()
    }

    /// The newest claims, for a peer whose clock is known so well.
    #[must_use]
    pub fn for_peer(&self, clock: &ClockBound) -> Option<Freshness> {
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
