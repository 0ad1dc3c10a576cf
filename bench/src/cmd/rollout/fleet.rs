//! The daemons that may drive the roll-out, with their view of the engines.

use std::collections::BTreeMap;

use catalogue::entry::Model;
use keyvalue::Outcome;
use rollout::observed::{Demand, Engine as Report, Evidence, Observed};
use rollout::{Config, Driver, Effect};
use types::prelude::*;

use super::DriverKind;
use super::environment::Engine;
use super::naive::Naive;

/// Driver implementation of a daemon.
#[derive(Debug)]
enum Implementation {
    Driver(Box<Driver>),
    Naive(Naive),
}

/// A daemon that may drive the roll-out.
#[derive(Debug)]
pub(super) struct Daemon {
    implementation: Implementation,
    rank: u32,
    reports: BTreeMap<UpstreamId, Report>,
    /// Time until which the daemon is paused.
    pub(super) paused_until: Time,
    /// Effects that it had not carried out when it was paused.
    pub(super) pending_effects: Vec<Effect>,
    /// Outcomes of store calls since the last tick.
    pub(super) outcomes: Vec<(u64, Outcome)>,
}

impl Daemon {
    pub(super) fn new(driver_kind: DriverKind, rank: u32, engines: &[Engine]) -> Self {
        let key = "rollouts/model".to_owned();
        let name = DaemonId::new(&format!("daemon-{rank}")).expect("a plain name");
        let cfg = Config {
            announces_fencing: driver_kind == DriverKind::ClaimFirst,
            ..Config::default()
        };
        let implementation = match driver_kind {
            DriverKind::Naive => Implementation::Naive(Naive::new(key, name)),
            DriverKind::Driver | DriverKind::ClaimFirst => {
                Implementation::Driver(Box::new(Driver::new(key, name, cfg)))
            }
        };
        Self {
            implementation,
            rank,
            reports: engines
                .iter()
                .map(|e| (e.id.clone(), unread_report(e)))
                .collect(),
            paused_until: Time::ZERO,
            pending_effects: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// Whether its writes are conditional on the revision.
    pub(super) fn checks_revision(&self) -> bool {
        matches!(self.implementation, Implementation::Driver(_))
    }

    /// Returns the fencing token that it believes to be valid.
    pub(super) fn fencing(&self, now: Time) -> Option<u64> {
        match &self.implementation {
            Implementation::Driver(driver) => driver.held(now).map(|held| held.fencing),
            Implementation::Naive(naive) => naive.fencing(),
        }
    }

    /// Stores an engine's report.
    pub(super) fn read(&mut self, now: Time, engine: &Engine) {
        let report = Report {
            read_at: Some(now),
            ready: engine.ready.iter().cloned().collect(),
            loading: engine.loading.keys().cloned().collect(),
            ..unread_report(engine)
        };
        self.reports.insert(engine.id.clone(), report);
    }

    /// Runs one tick: handles outcomes of store calls, then observes the current state.
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
            effects.extend(match &mut self.implementation {
                Implementation::Driver(driver) => {
                    driver.on_store_outcome(now, number, outcome, standby_rank)
                }
                Implementation::Naive(naive) => {
                    naive.on_store_outcome(now, number, outcome, standby_rank)
                }
            });
        }
        let engines: Vec<Report> = self.reports.values().cloned().collect();
        let observed = Observed {
            model,
            revision,
            engines: &engines,
            evidence,
            demand,
            standby_rank,
        };
        effects.extend(match &mut self.implementation {
            Implementation::Driver(driver) => driver.tick(now, &observed),
            Implementation::Naive(naive) => naive.tick(now, &observed),
        });
        effects
    }

    /// Passes the weight store's answer to the driver.
    pub(super) fn on_permit(&mut self, now: Time, answer: Result<(), Span>) {
        if let Implementation::Driver(driver) = &mut self.implementation {
            driver.on_permit(now, answer);
        }
    }
}

/// Report of an engine that has not been read yet.
fn unread_report(engine: &Engine) -> Report {
    report_of(engine, None)
}

/// Report of an engine with the time at which it was read.
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
