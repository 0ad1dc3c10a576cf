//! State of one upstream: load, pace and health as this daemon knows them.

use std::net::SocketAddr;

use pace::Estimate;
use types::prelude::*;

use crate::demand::{LoadReport, TargetIndex};
use crate::health::Health;

/// Minimum number of answers before the pace is used.
const MIN_PACE_SAMPLES: u32 = 3;
/// Weight of all former answers together, so that the newest one weighs 0.2. Without a bound, an
/// upstream that turned slow after long healthy traffic was not ejected for many answers.
const MAX_FORMER_WEIGHT: f64 = 4.0;
/// Time constant with which the weight of a report decays.
const REPORT_DECAY: Span = Span::from_millis(500);

/// Location of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Region, a group of failure domains near each other.
    pub region: Region,
}

/// Upstream as listed in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Location of the upstream.
    pub location: Location,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Targets assumed to be loaded until it reports what is.
    pub assumed_loaded: Vec<TargetIndex>,
}

/// Load at the time of the last report.
#[derive(Debug, Clone, Copy)]
struct Reported {
    /// Requests of other daemons, running or waiting.
    others: u32,
    waiting: u32,
    at: Time,
}

/// State of one upstream as this daemon knows it.
#[derive(Debug, Clone)]
pub struct Upstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) loaded: Vec<TargetIndex>,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    pub(crate) batch_in_flight: u32,
    pub(crate) slots: u32,
    pub(crate) domain: u16,
    pub(crate) poll_at: Time,
    reported: Option<Reported>,
    pace: Estimate,
    pace_samples: u32,
}

impl Upstream {
    pub(crate) fn new(spec: UpstreamSpec, domain: u16) -> Self {
        Self {
            loaded: spec.assumed_loaded.clone(),
            slots: spec.slots.max(1),
            health: Health::default(),
            in_flight: 0,
            batch_in_flight: 0,
            domain,
            poll_at: Time::ZERO,
            reported: None,
            pace: Estimate::default(),
            pace_samples: 0,
            spec,
        }
    }

    /// Returns its entry in the catalogue.
    #[must_use]
    pub fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// Returns the number of this daemon's requests in flight there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns its fitness for new work.
    #[must_use]
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Returns the targets that it has loaded, as far as known.
    #[must_use]
    pub fn loaded(&self) -> &[TargetIndex] {
        &self.loaded
    }

    /// Returns the number of requests that it runs at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns when its last report came.
    #[must_use]
    pub fn reported_at(&self) -> Option<Time> {
        self.reported.map(|reported| reported.at)
    }

    /// Returns the number of requests waiting there at the last report.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.reported.map_or(0, |reported| reported.waiting)
    }

    pub(crate) fn record_report(&mut self, now: Time, report: &LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        self.slots = report.slots.max(1);
        self.reported = Some(Reported {
            others: total.saturating_sub(self.in_flight),
            waiting: report.waiting,
            at: now,
        });
    }

    /// Other daemons' requests per slot at the last report.
    pub(crate) fn others_per_slot(&self) -> f64 {
        let others = self.reported.map_or(0, |reported| reported.others);
        f64::from(others) / f64::from(self.slots)
    }

    /// Estimated requests per slot, those of other daemons included.
    ///
    /// A report loses its value with age, so the estimate of the others' load moves from the
    /// reported value towards `mean_others`, the pool's mean. An old report of an idle upstream
    /// would otherwise attract every daemon to it.
    pub(crate) fn load(&self, now: Time, mean_others: f64) -> f64 {
        let own = f64::from(self.in_flight) / f64::from(self.slots);
        let Some(reported) = self.reported else {
            return own + mean_others;
        };
        let age = now.since(reported.at).as_secs_f64() / REPORT_DECAY.as_secs_f64();
        let weight = (-age).exp();
        let others = f64::from(reported.others) / f64::from(self.slots);
        own + others * weight + mean_others * (1.0 - weight)
    }

    /// Records the ratio of an answer's time per token to the pool's.
    ///
    /// All answers bear the same time, so that none decays with age: a single late answer of an
    /// upstream that is used rarely would otherwise outweigh all former ones.
    pub(crate) fn record_pace(&mut self, ratio: f64) {
        self.pace.record(Time::ZERO, ratio);
        self.pace.cap_weight(MAX_FORMER_WEIGHT);
        self.pace_samples = self.pace_samples.saturating_add(1);
    }

    /// Ratio of its time per token to the pool's; 1 while too little is known.
    pub(crate) fn slowness(&self) -> f64 {
        match self.pace_samples < MIN_PACE_SAMPLES {
            true => 1.0,
            false => 1.0 / self.pace.pace().get(),
        }
    }

    /// Forgets its pace, so that it is judged anew after an ejection.
    pub(crate) fn reset_pace(&mut self) {
        self.pace = Estimate::default();
        self.pace_samples = 0;
    }
}
