//! The daemons that may drive, and what each of them sees.

use std::collections::BTreeMap;

use catalogue::entry::Model;
use keyvalue::Outcome;
use rollout::observed::{Demand, Engine as Report, Evidence, Observed};
use rollout::{Config, Driver, Effect};
use types::prelude::*;

use super::Way;
use super::environment::Engine;
use super::naive::Naive;

/// What drives in a daemon.
#[derive(Debug)]
enum Mind {
    Driver(Box<Driver>),
    Naive(Naive),
}

/// A daemon.
#[derive(Debug)]
pub(super) struct Daemon {
    mind: Mind,
    rank: u32,
    reports: BTreeMap<UpstreamId, Report>,
    /// Does nothing until then.
    pub(super) paused_until: Time,
    /// What it was about to do when it was paused.
    pub(super) in_hand: Vec<Effect>,
    /// Outcomes that came since the last tick.
    pub(super) outcomes: Vec<(u64, Outcome)>,
}

impl Daemon {
    pub(super) fn new(way: Way, rank: u32, engines: &[Engine]) -> Self {
        let key = "rollouts/model".to_owned();
        let name = DaemonId::new(&format!("daemon-{rank}")).expect("a plain name");
        let cfg = Config {
            announces_fencing: way == Way::ClaimFirst,
            ..Config::default()
        };
        let mind = match way {
            Way::Naive => Mind::Naive(Naive::new(key, name)),
            Way::Driver | Way::ClaimFirst => Mind::Driver(Box::new(Driver::new(key, name, cfg))),
        };
        Self {
            mind,
            rank,
            reports: engines.iter().map(|e| (e.id.clone(), unread(e))).collect(),
            paused_until: Time::ZERO,
            in_hand: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// Whether it writes only what it has compared.
    pub(super) fn compares(&self) -> bool {
        matches!(self.mind, Mind::Driver(_))
    }

    /// The fencing number that it believes to be good.
    pub(super) fn fencing(&self, now: Time) -> Option<u64> {
        match &self.mind {
            Mind::Driver(driver) => driver.held(now).map(|held| held.fencing),
            Mind::Naive(naive) => naive.fencing(),
        }
    }

    /// Keeps an engine's report.
    pub(super) fn read(&mut self, now: Time, engine: &Engine) {
        let report = Report {
            read_at: Some(now),
            ready: engine.ready.iter().cloned().collect(),
            loading: engine.loading.keys().cloned().collect(),
            ..unread(engine)
        };
        self.reports.insert(engine.id.clone(), report);
    }

    /// One tick: outcomes first, then what is.
    pub(super) fn tick(
        &mut self,
        now: Time,
        model: &Model,
        revision: Revision,
        evidence: Evidence,
        demand: Demand,
    ) -> Vec<Effect> {
        let standby_rank = Some(self.rank);
        let mut effects = Vec::new();
        for (number, outcome) in std::mem::take(&mut self.outcomes) {
            effects.extend(match &mut self.mind {
                Mind::Driver(driver) => driver.on_store_outcome(now, number, outcome, standby_rank),
                Mind::Naive(naive) => naive.on_store_outcome(now, number, outcome, standby_rank),
            });
        }
        let engines: Vec<Report> = self.reports.values().cloned().collect();
        let seen = Observed {
            model,
            revision,
            engines: &engines,
            evidence,
            demand,
            standby_rank,
        };
        effects.extend(match &mut self.mind {
            Mind::Driver(driver) => driver.tick(now, &seen),
            Mind::Naive(naive) => naive.tick(now, &seen),
        });
        effects
    }

    /// Hands the weight store's answer over.
    pub(super) fn on_permit(&mut self, now: Time, answer: Result<(), Span>) {
        if let Mind::Driver(driver) = &mut self.mind {
            driver.on_permit(now, answer);
        }
    }
}

/// An engine of the catalogue that has not reported yet.
fn unread(engine: &Engine) -> Report {
    report_of(engine, None)
}

/// An engine's report, read at a moment.
pub(super) fn report_of(engine: &Engine, read_at: Option<Time>) -> Report {
    Report {
        id: engine.id.clone(),
        failure_domain: engine.failure_domain.clone(),
        slots: engine.slots,
        read_at,
        ready: Vec::new(),
        loading: Vec::new(),
        leaving: false,
        is_full: false,
    }
}
