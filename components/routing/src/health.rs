//! Ejection of failing and slow upstreams, their return, and leaving.

use rand::{Rng, RngExt};
use types::prelude::*;

/// Failure points that eject an upstream.
const EJECT_POINTS: u32 = 3;
/// Points of an upstream that could not be reached.
const UNREACHABLE_POINTS: u32 = 2;
/// Points of an error.
const FAILED_POINTS: u32 = 1;
/// Length of a first ejection; each one after that is twice as long.
const FIRST_EJECTION: Span = Span::from_secs(5);
/// Doublings of the ejection's length, at most.
const MAX_DOUBLINGS: u32 = 4;
/// Time from an upstream's return to its full part of the work.
const RAMP: Span = Span::from_secs(10);
/// Part of the work right after a return.
const RAMP_START: f64 = 0.05;
/// An upstream that says it is leaving gets nothing for this long after the last sign.
const LEAVING_HOLD: Span = Span::from_secs(30);
/// A closed connection may also be an idle one timing out, so it weighs shorter.
const CLOSED_HOLD: Span = Span::from_secs(3);

/// How it was learnt that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSign {
    /// The platform's host list.
    HostList,
    /// The upstream's own refusal or load report.
    Refusal,
    /// It closed a connection before answering.
    ClosedConnection,
}

/// What makes an upstream fit or unfit for new work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    points: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    returned_at: Option<Time>,
    leaving_until: Option<Time>,
    listed_leaving: bool,
}

impl Health {
    /// Whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// End of the ejection.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Whether the upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving_until.is_some()
    }

    /// When a sign of leaving that no list repeats loses its force.
    #[must_use]
    pub fn leaving_until(&self) -> Option<Time> {
        self.leaving_until
    }

    /// Whether it may get new work.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        !self.is_ejected() && !self.is_leaving()
    }

    /// Failure points since the last answer.
    #[must_use]
    pub fn points(&self) -> u32 {
        self.points
    }

    /// Part of its usual work that it should get, from 0 to 1.
    #[must_use]
    pub fn ramp(&self, now: Time) -> f64 {
        let Some(returned) = self.returned_at else {
            return 1.0;
        };
        let part = now.since(returned).as_secs_f64() / RAMP.as_secs_f64();
        (RAMP_START + part * (1.0 - RAMP_START)).min(1.0)
    }

    pub(crate) fn answered(&mut self, now: Time) {
        self.points = 0;
        if self.ramp(now) >= 1.0 {
            self.returned_at = None;
            self.ejections = 0;
        }
    }

    /// Counts a failure; says whether it is enough to eject.
    ///
    /// One that has just returned is ejected by its first failure: otherwise a broken
    /// upstream would get [`EJECT_POINTS`] requests at each return.
    pub(crate) fn failed(&mut self, unreachable: bool) -> bool {
        let points = if unreachable {
            UNREACHABLE_POINTS
        } else {
            FAILED_POINTS
        };
        self.points = self.points.saturating_add(points);
        self.points >= EJECT_POINTS || self.returned_at.is_some()
    }

    /// Ejects, for longer each time; the end is spread so that returns do not coincide.
    pub(crate) fn eject(&mut self, now: Time, rng: &mut impl Rng) -> Time {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let length = FIRST_EJECTION.times(1 << doublings);
        let spread = Span(rng.random_range(0..=length.as_micros() / 4));
        let until = now + length + spread;
        self.ejections += 1;
        self.ejected_until = Some(until);
        until
    }

    pub(crate) fn readmit(&mut self, now: Time) {
        self.ejected_until = None;
        self.returned_at = Some(now);
        self.points = 0;
    }

    pub(crate) fn leave(&mut self, now: Time, sign: LeavingSign) -> Option<Time> {
        let hold = match sign {
            LeavingSign::HostList => {
                self.listed_leaving = true;
                return None;
            }
            LeavingSign::Refusal => LEAVING_HOLD,
            LeavingSign::ClosedConnection => CLOSED_HOLD,
        };
        let until = self.leaving_until.unwrap_or(Time::ZERO).max(now + hold);
        self.leaving_until = Some(until);
        Some(until)
    }

    /// The host list has it as live. Its own signs count on: the list lags.
    pub(crate) fn listed_live(&mut self) {
        self.listed_leaving = false;
    }

    /// Ends a sign of leaving whose time is over.
    pub(crate) fn stay(&mut self, now: Time) {
        if self
            .leaving_until
            .is_some_and(|until| now.has_reached(until))
        {
            self.leaving_until = None;
        }
    }
}
