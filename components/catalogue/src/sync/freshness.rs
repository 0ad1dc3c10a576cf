//! Staleness of the catalogue and what follows for entries past their freshness limit.
//!
//! The clocks of two hosts are never compared. An age is sent only in reply to a request
//! and is subtracted from the time of the request by the requester's clock. A reply that
//! waited in a queue, or for a paused process, can therefore make the catalogue look older
//! than it is, never fresher.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::entry::{Freshness, PastLimit};
use crate::sync::message::Summary;
use crate::sync::{MAX_REPORTS, Message, Sync};

/// How long a [`Reach`] may be used after it was determined. Without this limit, a process
/// resumed after a pause would keep serving by what it found before the pause.
const REACH_LIFETIME: Span = Span::from_secs(3);

/// How much later than the catalogue's last validation the store's last answer must be for
/// the store to count as ahead of this daemon.
const STORE_LEAD_MARGIN: Span = Span::from_secs(5);

/// How long a larger fleet size is remembered after it was last seen.
const FLEET_MEMORY: Span = Span::from_secs(600);

/// The largest recent fleet size and when it was seen.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FleetSize {
    pub(super) size: usize,
    at: Time,
}

/// The part of the fleet that a daemon can reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// Size of the fleet: the largest number of daemons seen recently, this one included.
    pub fleet: usize,
    /// Daemons that the membership considers live, this one included.
    pub reached: usize,
    /// Whether the store answered any of them recently.
    #[serde(rename = "touches_store")]
    pub reaches_store: bool,
    /// Whether the store answered one of them well after this daemon's catalogue was last
    /// validated: others may hold newer edits that this daemon did not receive.
    pub store_leads: bool,
    /// When this was determined, by this daemon's clock.
    pub at: Time,
}

impl Reach {
    /// Whether more than half of the fleet can be reached.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.reached * 2 > self.fleet
    }
}

/// Whether requests for an entry are served, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// The catalogue is within the entry's freshness limit.
    InForce {
        /// When the freshness limit ends, by this daemon's clock.
        until: Time,
    },
    /// The freshness limit has passed; the entry is served as last known.
    #[serde(rename = "serve-known")]
    ServeStale {
        /// When the decision must be made again, by this daemon's clock.
        until: Time,
        /// Why the entry may still be served.
        reason: String,
    },
    /// Requests are refused without having been run.
    Refuse {
        /// Why requests are refused.
        reason: String,
    },
}

/// Applies an entry's freshness rule. `validated_at` is the latest time as of which the
/// catalogue is known to have been current.
#[must_use]
pub fn decide(now: Time, rule: &Freshness, validated_at: Option<Time>, reach: Reach) -> Decision {
    let until = validated_at.map_or(Time::ZERO, |at| at + rule.limit);
    if !now.has_reached(until) {
        return Decision::InForce { until };
    }
    let state = match validated_at {
        Some(at) => format!("the catalogue was last confirmed {} ago", now.since(at)),
        None => "the catalogue was never confirmed since this start".to_owned(),
    };
    let Reach { fleet, reached, .. } = reach;
    let members_in_reach = format!("{reached} of {fleet} daemons are in reach");
    match rule.past_limit {
        PastLimit::Serve => {
            let reason = format!("{state}; its owner has it served all the same");
            let until = Time::NEVER;
            Decision::ServeStale { until, reason }
        }
        PastLimit::Refuse => refuse(format!("{state}; its owner has it refused then")),
        // This daemon may be partitioned from the rest while edits continue elsewhere.
        PastLimit::ServeWithMajority if now.has_reached(reach.at + REACH_LIFETIME) => refuse(
            format!("{state} and who is in reach was not looked at lately"),
        ),
        PastLimit::ServeWithMajority if !reach.is_majority() => {
            refuse(format!("{state} and only {members_in_reach}"))
        }
        // When the store is unreachable for all daemons, its last answer to any of them and the
        // last validation are about equally old. A later answer means that edits may continue.
        PastLimit::ServeWithMajority if reach.store_leads => {
            refuse(format!("{state} though the store answers daemons in reach"))
        }
        PastLimit::ServeWithMajority => {
            let reason = format!("{state}; {members_in_reach} and none has the store");
            let until = reach.at + REACH_LIFETIME;
            Decision::ServeStale { until, reason }
        }
    }
}

fn refuse(reason: String) -> Decision {
    Decision::Refuse { reason }
}

impl Sync {
    /// Returns the latest time as of which the catalogue is known to have been current.
    #[must_use]
    pub fn validated_at(&self) -> Option<Time> {
        self.validated_at
    }

    /// Decides whether an entry with this freshness rule is served now.
    #[must_use]
    pub fn decision(&self, now: Time, rule: &Freshness) -> Decision {
        if self.catalogue.revision() == Revision(0) {
            let reason = "no catalogue is held yet".to_owned();
            return Decision::Refuse { reason };
        }
        decide(now, rule, self.validated_at, self.reach(now))
    }

    /// Builds the reply to a summary request that the asker sent at `asked_at`.
    pub(super) fn summary_reply(&self, now: Time, asked_at: Time) -> Message {
        Message::SummaryReply {
            summary: self.summary(),
            validated_age: self.validated_at.map(|at| now.since(at)),
            store_answer_age: self.store_answered_at.map(|at| now.since(at)),
            established: self.is_established(now),
            largest_fleet: (self.fleet.size, now.since(self.fleet.at)),
            asked_at,
        }
    }

    /// Records that a peer with this summary was current `age` before it replied. Unless it
    /// lags behind the peer, this daemon was current too, `age` before its own request.
    pub(super) fn mark_validated(
        &mut self,
        now: Time,
        summary: &Summary,
        age: Option<Span>,
        asked_at: Time,
    ) {
        if self.catalogue.revision() >= summary.revision {
            self.validated_at = self
                .validated_at
                .max(time_before_request(now, age, asked_at));
        }
    }

    /// Whether the store has answered a daemon well after this one's catalogue was last validated.
    pub(super) fn store_leads(&self, now: Time) -> bool {
        match (self.store_answered_at, self.validated_at) {
            (Some(answered), Some(validated_at)) => answered > validated_at + STORE_LEAD_MARGIN,
            (Some(answered), None) => now.since(answered) <= self.cfg.reach_window,
            (None, _) => false,
        }
    }

    /// Records that the store answered a daemon `age` before it replied to the request sent at
    /// `asked_at`.
    pub(super) fn note_store_answer(&mut self, now: Time, age: Option<Span>, asked_at: Time) {
        self.store_answered_at = self
            .store_answered_at
            .max(time_before_request(now, age, asked_at));
    }

    /// Adopts a larger fleet size that a peer remembers, so that a daemon which starts inside
    /// a partition knows how large the fleet was.
    pub(super) fn adopt_fleet_size(
        &mut self,
        now: Time,
        largest_fleet: (usize, Span),
        asked_at: Time,
    ) {
        let (size, age) = largest_fleet;
        if size > self.fleet.size && size <= MAX_REPORTS {
            let at = time_before_request(now, Some(age), asked_at).unwrap_or(Time::ZERO);
            self.fleet = FleetSize { size, at };
        }
    }

    /// Tracks the fleet size. It shrinks only while the catalogue is fresh and after
    /// [`FLEET_MEMORY`]. Otherwise a daemon partitioned with a few others would count them as the
    /// whole fleet once the membership has declared the rest dead.
    pub(super) fn update_fleet_size(&mut self, now: Time) {
        let size = self.members.len();
        let max_age = self.cfg.poll_interval.times(2);
        let is_fresh = self.validated_at.is_some_and(|at| now.since(at) <= max_age);
        let is_old = now.since(self.fleet.at) > FLEET_MEMORY;
        if size >= self.fleet.size || (is_fresh && is_old) {
            self.fleet = FleetSize { size, at: now };
        }
    }
}

/// Returns the time `age` before the request sent at `asked_at`, or `None` if that is before
/// this process's start, or if `asked_at` lies ahead and so is not from this process.
fn time_before_request(now: Time, age: Option<Span>, asked_at: Time) -> Option<Time> {
    let age = age.filter(|age| age.as_micros() <= asked_at.0 && asked_at <= now)?;
    Some(asked_at - age)
}
