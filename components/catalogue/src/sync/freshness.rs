//! How old the catalogue may be, and what an entry does past its limit.
//!
//! No two hosts' clocks are compared. An age travels only as the answer to a daemon's
//! own question and counts from the moment of the question, by the asker's clock. So a
//! message that waited in a queue, or for a paused process, can only look older than
//! it is, never fresher.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::entry::{Freshness, PastLimit};
use crate::sync::message::Told;
use crate::sync::{MAX_HEARD, Message, Sync};

/// What is in reach counts for so long. Guards against a process that was paused and
/// goes on serving by what it found before.
const REACH_HOLDS: Span = Span::from_secs(3);

/// The store's last answer leads the last confirmation when it is later by more.
const STORE_LEAD: Span = Span::from_secs(5);

/// A larger fleet is remembered for so long.
const FLEET_MEMORY: Span = Span::from_secs(600);

/// The largest fleet seen lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FleetSize {
    pub(super) size: usize,
    at: Time,
}

/// The part of the fleet that a daemon is in touch with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// Daemons of the fleet, as many as were seen lately, this one included.
    pub fleet: usize,
    /// Daemons that the membership holds for live, this one included.
    pub reached: usize,
    /// Whether the store answered any of them lately.
    pub touches_store: bool,
    /// Whether it answered one well after this daemon's catalogue was last current: others
    /// have newer, and this daemon did not get it.
    pub store_leads: bool,
    /// When this was found.
    pub at: Time,
}

impl Reach {
    /// More than half of the fleet is in reach.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.reached * 2 > self.fleet
    }
}

/// What an entry does, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Current until then.
    InForce {
        /// The limit's end, by this daemon's clock.
        until: Time,
    },
    /// Past its limit and served as known, until then.
    ServeKnown {
        /// When it is to be decided anew, by this daemon's clock.
        until: Time,
        /// Why it may be.
        reason: String,
    },
    /// Refused as not run.
    Refuse {
        /// Why.
        reason: String,
    },
}

/// Decides by the entry's rule. `confirmed` is the moment of which the catalogue was
/// last known to be current.
#[must_use]
pub fn decide(now: Time, rule: &Freshness, confirmed: Option<Time>, reach: Reach) -> Decision {
    let until = confirmed.map_or(Time::ZERO, |at| at + rule.limit);
    if !now.has_reached(until) {
        return Decision::InForce { until };
    }
    let state = match confirmed {
        Some(at) => format!("the catalogue was last confirmed {} ago", now.since(at)),
        None => "the catalogue was never confirmed since this start".to_owned(),
    };
    let Reach { fleet, reached, .. } = reach;
    let of = format!("{reached} of {fleet} daemons are in reach");
    match rule.past_limit {
        PastLimit::Serve => {
            let reason = format!("{state}; its owner has it served all the same");
            let until = Time::NEVER;
            Decision::ServeKnown { until, reason }
        }
        PastLimit::Refuse => refuse(format!("{state}; its owner has it refused then")),
        // This daemon may be the one that is cut off while edits go on elsewhere.
        PastLimit::ServeWithMajority if now.has_reached(reach.at + REACH_HOLDS) => refuse(format!(
            "{state} and who is in reach was not looked at lately"
        )),
        PastLimit::ServeWithMajority if !reach.is_majority() => {
            refuse(format!("{state} and only {of}"))
        }
        // With the store down for all, its last answer anywhere and the last confirmation
        // are of about the same moment; where the answer is later, edits may go on.
        PastLimit::ServeWithMajority if reach.store_leads => {
            refuse(format!("{state} though the store answers daemons in reach"))
        }
        PastLimit::ServeWithMajority => {
            let reason = format!("{state}; {of} and none has the store");
            let until = reach.at + REACH_HOLDS;
            Decision::ServeKnown { until, reason }
        }
    }
}

fn refuse(reason: String) -> Decision {
    Decision::Refuse { reason }
}

impl Sync {
    /// The moment of which the catalogue was last known to be current.
    #[must_use]
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// What an entry with this rule does.
    #[must_use]
    pub fn decision(&self, now: Time, rule: &Freshness) -> Decision {
        if self.catalogue.revision() == Revision(0) {
            let reason = "no catalogue is held yet".to_owned();
            return Decision::Refuse { reason };
        }
        decide(now, rule, self.confirmed, self.reach(now))
    }

    pub(super) fn tell(&self, now: Time, token: Time) -> Message {
        Message::Tell {
            told: self.told(),
            age: self.confirmed.map(|at| now.since(at)),
            store_age: self.store_answered.map(|at| now.since(at)),
            settled: self.is_settled(now),
            fleet: (self.fleet.size, now.since(self.fleet.at)),
            token,
        }
    }

    /// A peer was current `age` before it answered: so is this daemon, counted from its
    /// own question, if it holds as much.
    pub(super) fn confirm(&mut self, now: Time, told: &Told, age: Option<Span>, token: Time) {
        if self.catalogue.revision() >= told.revision {
            self.confirmed = self.confirmed.max(moment(now, age, token));
        }
    }

    pub(super) fn store_leads(&self, now: Time) -> bool {
        match (self.store_answered, self.confirmed) {
            (Some(answered), Some(confirmed)) => answered > confirmed + STORE_LEAD,
            (Some(answered), None) => now.since(answered) <= self.cfg.reach,
            (None, _) => false,
        }
    }

    pub(super) fn note_store(&mut self, now: Time, age: Option<Span>, token: Time) {
        self.store_answered = self.store_answered.max(moment(now, age, token));
    }

    /// A daemon that starts inside a part that is cut off learns from others how large
    /// the fleet was.
    pub(super) fn note_fleet(&mut self, now: Time, fleet: (usize, Span), token: Time) {
        let (size, age) = fleet;
        if size > self.fleet.size && size <= MAX_HEARD {
            let at = moment(now, Some(age), token).unwrap_or(Time::ZERO);
            self.fleet = FleetSize { size, at };
        }
    }

    /// Guards against a daemon that is cut off with a few others and takes them for the
    /// whole fleet once the membership has declared the rest dead: the size counted
    /// falls only while the catalogue is fresh, and not at once.
    pub(super) fn note_fleet_size(&mut self, now: Time) {
        let size = self.members.len();
        let patience = self.cfg.poll_interval.times(2);
        let is_fresh = self.confirmed.is_some_and(|at| now.since(at) <= patience);
        let is_old = now.since(self.fleet.at) > FLEET_MEMORY;
        if size >= self.fleet.size || (is_fresh && is_old) {
            self.fleet = FleetSize { size, at: now };
        }
    }
}

/// The moment that lies `age` before the question `token`, if it has a name here: not
/// when it is before this process's start, nor when the question is not this process's.
fn moment(now: Time, age: Option<Span>, token: Time) -> Option<Time> {
    let age = age.filter(|age| age.as_micros() <= token.0 && token <= now)?;
    Some(token - age)
}
