//! One upstream as this daemon sees it.

use std::net::SocketAddr;

use types::prelude::*;

use crate::demand::{LoadReport, TargetIndex};
use crate::health::Health;

/// Weight of the newest observation in the decayed pace.
const PACE_WEIGHT: f64 = 0.2;
/// Observations before the pace is believed.
const PACE_SAMPLES: u32 = 3;
/// Time in which a report loses most of its worth.
const REPORT_DECAY: Span = Span::from_millis(500);

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// What fails as one with it.
    pub failure_domain: FailureDomain,
    /// Failure domains near it.
    pub region: Region,
}

/// What the catalogue says of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its id.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it may have loaded until it says so itself.
    pub presumed: Vec<TargetIndex>,
}

/// Work of others at the time of a report.
#[derive(Debug, Clone, Copy)]
struct Reported {
    others: u32,
    waiting: u32,
    at: Time,
}

/// One upstream as this daemon sees it.
#[derive(Debug, Clone)]
pub struct Upstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) loaded: Vec<TargetIndex>,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    pub(crate) batch: u32,
    pub(crate) slots: u32,
    pub(crate) domain: u16,
    pub(crate) poll_at: Time,
    reported: Option<Reported>,
    per_token: f64,
    samples: u32,
}

impl Upstream {
    pub(crate) fn new(spec: UpstreamSpec, domain: u16) -> Self {
        Self {
            loaded: spec.presumed.clone(),
            slots: spec.slots.max(1),
            health: Health::default(),
            in_flight: 0,
            batch: 0,
            domain,
            poll_at: Time::ZERO,
            reported: None,
            per_token: 0.0,
            samples: 0,
            spec,
        }
    }

    /// What the catalogue says of it.
    #[must_use]
    pub fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// This daemon's requests at it.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Its fitness for new work.
    #[must_use]
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// What it has loaded, as far as known.
    #[must_use]
    pub fn loaded(&self) -> &[TargetIndex] {
        &self.loaded
    }

    /// Requests that it runs at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// When its last report came.
    #[must_use]
    pub fn reported_at(&self) -> Option<Time> {
        self.reported.map(|reported| reported.at)
    }

    /// Requests waiting there at the last report.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.reported.map_or(0, |reported| reported.waiting)
    }

    pub(crate) fn take_report(&mut self, now: Time, report: &LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        self.slots = report.slots.max(1);
        self.reported = Some(Reported {
            others: total.saturating_sub(self.in_flight),
            waiting: report.waiting,
            at: now,
        });
    }

    /// Others' work per slot at the last report.
    pub(crate) fn others_per_slot(&self) -> f64 {
        let others = self.reported.map_or(0, |reported| reported.others);
        f64::from(others) / f64::from(self.slots)
    }

    /// Estimated requests per slot, others' included.
    ///
    /// A report tells less the older it is, so the estimate of others' work moves from what
    /// was reported towards `usual`, the pool's mean: an old report of an idle upstream
    /// would otherwise draw every daemon to it.
    pub(crate) fn load(&self, now: Time, usual: f64) -> f64 {
        let own = f64::from(self.in_flight) / f64::from(self.slots);
        let Some(reported) = self.reported else {
            return own + usual;
        };
        let age = now.since(reported.at).as_secs_f64() / REPORT_DECAY.as_secs_f64();
        let trust = (-age).exp();
        let others = f64::from(reported.others) / f64::from(self.slots);
        own + others * trust + usual * (1.0 - trust)
    }

    /// Notes the time between tokens of an answer.
    pub(crate) fn observe_pace(&mut self, per_token: Span) {
        let micros = per_token.as_micros() as f64;
        self.per_token = if self.samples == 0 {
            micros
        } else {
            self.per_token + PACE_WEIGHT * (micros - self.per_token)
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// How many times slower than the pool it is; 1 while little is known.
    pub(crate) fn slowness(&self, pool_per_token: f64) -> f64 {
        if self.samples < PACE_SAMPLES || pool_per_token <= 0.0 {
            return 1.0;
        }
        (self.per_token / pool_per_token).clamp(0.5, 20.0)
    }

    /// Forgets its pace, to judge it anew after an ejection.
    pub(crate) fn forget_pace(&mut self) {
        self.samples = 0;
        self.per_token = 0.0;
    }
}
