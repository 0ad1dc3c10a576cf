//! What a request that was refused found of a bound: how much it allows the fleet, and how much of
//! that this daemon has.

use std::fmt;

use types::prelude::*;

use crate::choose::NoUpstream;
use crate::requirements::Requirements;
use crate::upstreams::Upstreams;

/// A bound that a request was refused for, summed over the upstreams that it could have gone to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// The bound.
    pub bound: ReachedBound,
    /// Number of upstreams.
    pub upstreams: usize,
    /// What the bound allows all daemons together, in requests a second or in flight.
    pub allowed: f64,
    /// This daemon's share of that.
    pub share: f64,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// Those of them that were sent by other daemons' shares.
    pub leased: u32,
    /// Requests of other daemons in flight by this daemon's share.
    pub lent: u32,
    /// Requests of other daemons in flight, as last reported.
    pub elsewhere: u32,
}

/// Kinds of bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachedBound {
    /// The rate that upstreams advertise, or tolerate while they are cold.
    Rate,
    /// The room of brittle upstreams.
    Room,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (bound, unit) = match self.bound {
            ReachedBound::Rate => ("rate", "/s"),
            ReachedBound::Room => ("room", " in flight"),
        };
        write!(
            f,
            "{bound} of {} upstreams: {:.1}{unit} allowed, {:.1}{unit} here; {} in flight here, {} \
             of them leased, {} lent, {} elsewhere",
            self.upstreams,
            self.allowed,
            self.share,
            self.in_flight,
            self.leased,
            self.lent,
            self.elsewhere
        )
    }
}

impl Upstreams {
    /// Returns the bound for which a request was refused; `None` if it was not refused for one.
    #[must_use]
    pub fn shortage(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        no: NoUpstream,
    ) -> Option<Shortage> {
        let bound = match no {
            NoUpstream::Limited { .. } => ReachedBound::Rate,
            NoUpstream::Busy { .. } => ReachedBound::Room,
            _ => return None,
        };
        let room = self.room_shares(requirements.service);
        let untried = self.untried(requirements).ok()?;
        let mut shortage = Shortage {
            bound,
            upstreams: untried.upstreams.len(),
            allowed: 0.0,
            share: 0.0,
            in_flight: 0,
            leased: 0,
            lent: 0,
            elsewhere: 0,
        };
        for (index, entry) in &untried.upstreams {
            let (allowed, share) = match bound {
                ReachedBound::Rate => {
                    let shares = self.limits.shares(now, entry.instance);
                    shares.map_or((0.0, 0.0), |shares| (shares.rate.0, shares.own.0))
                }
                ReachedBound::Room => {
                    let room = room.as_ref();
                    room.map_or((0.0, 0.0), |room| room.shares(*index, entry))
                }
            };
            shortage.allowed += allowed;
            shortage.share += share;
            shortage.in_flight += entry.in_flight;
            shortage.leased += entry.leased;
            shortage.lent += entry.lent;
            shortage.elsewhere += entry.remote.in_flight;
        }
        Some(shortage)
    }
}
