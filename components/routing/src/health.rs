//! Outlier ejection of failing and slow upstreams, their gradual return, and leaving.

use rand::{Rng, RngExt};
use types::prelude::*;

/// Failure points at which an upstream is ejected.
const EJECT_POINTS: u32 = 3;
/// Points of a failure to reach the upstream.
const UNREACHABLE_POINTS: u32 = 2;
/// Points of an error of the upstream.
const FAILED_POINTS: u32 = 1;
/// Length of the first ejection; each further one is twice as long as the one before.
const FIRST_EJECTION: Span = Span::from_secs(5);
/// Maximum number of doublings of the ejection's length.
const MAX_DOUBLINGS: u32 = 4;
/// Time from an upstream's return until it gets its full share of the work.
const RAMP_UP: Span = Span::from_secs(10);
/// Share of its usual work that an upstream gets right after its return.
const RAMP_UP_START_SHARE: f64 = 0.05;
/// How long an upstream gets no work after it last announced that it is leaving.
const LEAVING_HOLD: Span = Span::from_secs(30);
/// How long an upstream gets no work after it closed a connection. Shorter than after an
/// announcement, since the connection may only have been idle and timed out.
const CLOSED_CONNECTION_HOLD: Span = Span::from_secs(3);

/// Sign by which a daemon learns that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSign {
    /// The platform's host list shows the upstream as leaving.
    HostList,
    /// The upstream refused a request, or announced its leaving in a load report.
    Refusal,
    /// The upstream closed a connection before answering.
    ClosedConnection,
}

/// Fitness of an upstream for new work.
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

    /// Returns the end of the ejection.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Whether the upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving_until.is_some()
    }

    /// Returns when the signs of leaving expire, apart from the host list's.
    #[must_use]
    pub fn leaving_until(&self) -> Option<Time> {
        self.leaving_until
    }

    /// Whether it may get new work.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        !self.is_ejected() && !self.is_leaving()
    }

    /// Returns the failure points since the last answer.
    #[must_use]
    pub fn points(&self) -> u32 {
        self.points
    }

    /// Returns the share of its usual work that it should get, from 0 to 1.
    #[must_use]
    pub fn ramp(&self, now: Time) -> f64 {
        let Some(returned) = self.returned_at else {
            return 1.0;
        };
        let progress = now.since(returned).as_secs_f64() / RAMP_UP.as_secs_f64();
        (RAMP_UP_START_SHARE + progress * (1.0 - RAMP_UP_START_SHARE)).min(1.0)
    }

    pub(crate) fn record_answer(&mut self, now: Time) {
        self.points = 0;
        if self.ramp(now) >= 1.0 {
            self.returned_at = None;
            self.ejections = 0;
        }
    }

    /// Counts a failure; returns whether the upstream must be ejected.
    ///
    /// One that has just returned is ejected at its first failure; otherwise a broken upstream
    /// would get [`EJECT_POINTS`] requests at each return.
    pub(crate) fn record_failure(&mut self, unreachable: bool) -> bool {
        let points = if unreachable {
            UNREACHABLE_POINTS
        } else {
            FAILED_POINTS
        };
        self.points = self.points.saturating_add(points);
        self.points >= EJECT_POINTS || self.returned_at.is_some()
    }

    /// Ejects the upstream, for longer each time, and returns when it may return. The end is
    /// randomized so that the returns of several upstreams do not coincide.
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

    pub(crate) fn mark_leaving(&mut self, now: Time, sign: LeavingSign) -> Option<Time> {
        let hold = match sign {
            LeavingSign::HostList => {
                self.listed_leaving = true;
                return None;
            }
            LeavingSign::Refusal => LEAVING_HOLD,
            LeavingSign::ClosedConnection => CLOSED_CONNECTION_HOLD,
        };
        let until = self.leaving_until.unwrap_or(Time::ZERO).max(now + hold);
        self.leaving_until = Some(until);
        Some(until)
    }

    /// Clears the host list's sign of leaving. Signs from the upstream itself still apply, since
    /// the list lags.
    pub(crate) fn clear_listed_leaving(&mut self) {
        self.listed_leaving = false;
    }

    /// Clears the signs of leaving that have expired.
    pub(crate) fn expire_leaving(&mut self, now: Time) {
        if self
            .leaving_until
            .is_some_and(|until| now.has_reached(until))
        {
            self.leaving_until = None;
        }
    }
}
