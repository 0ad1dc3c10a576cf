//! The policies for choosing an upstream that are compared.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use routing::{
    LoadReport, Location, Outcome, PrefixHash, RouteRequest, Router, Target, TargetIndex, Tuning,
    UpstreamIndex, UpstreamSpec,
};
use types::prelude::*;

use crate::fake::engine::{Engine, Job};

/// Number of failure domains over which the engines are spread.
pub const FAILURE_DOMAINS: usize = 4;

/// State of a daemon's policy.
#[derive(Debug)]
pub enum Policy {
    /// Round robin.
    RoundRobin(usize),
    /// Uniformly random.
    Random,
    /// The engine with the least load in its last report; the first one if several are equal.
    LeastReported(Vec<Option<u32>>),
    /// The router's own policy.
    Ours(Box<Ours>),
    /// The best engine by its true state and cache.
    Oracle,
}

/// The component under test.
#[derive(Debug)]
pub struct Ours {
    router: Router,
    target: TargetIndex,
}

/// Policy of an arm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// Round robin.
    RoundRobin,
    /// Uniformly random.
    Random,
    /// Least load in the last report.
    LeastReported,
    /// The router's own policy with this tuning.
    Ours(Tuning),
    /// Chooses by true state.
    Oracle,
}

impl Policy {
    /// Creates the policy of one daemon.
    pub fn new(kind: Kind, daemon: usize, engines: &[Engine]) -> Self {
        match kind {
            Kind::RoundRobin => Self::RoundRobin(daemon * 7),
            Kind::Random => Self::Random,
            Kind::LeastReported => Self::LeastReported(vec![Some(0); engines.len()]),
            Kind::Ours(tuning) => Self::Ours(Box::new(Ours::new(daemon, engines, tuning))),
            Kind::Oracle => Self::Oracle,
        }
    }

    /// Chooses an engine for a job, excluding those already tried.
    pub fn pick(
        &mut self,
        now: Time,
        job: &Job,
        tried: &[usize],
        engines: &[Engine],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let untried: Vec<_> = (0..engines.len()).filter(|e| !tried.contains(e)).collect();
        match self {
            Self::RoundRobin(next) => {
                *next += 1;
                untried.get(*next % untried.len().max(1)).copied()
            }
            Self::Random => untried
                .get(rng.random_range(0..untried.len().max(1)))
                .copied(),
            Self::LeastReported(loads) => {
                let known = untried.into_iter().filter(|e| loads[*e].is_some());
                known.min_by_key(|e| loads[*e])
            }
            Self::Ours(ours) => ours.pick(now, job, tried, rng),
            Self::Oracle => {
                let alive = untried.into_iter().filter(|e| engines[*e].alive);
                let wait = |e: &usize| engines[*e].oracle_wait(now, job);
                alive.min_by(|a, b| wait(a).total_cmp(&wait(b)))
            }
        }
    }

    /// Records the running and waiting jobs of a polled engine; `None` if it didn't answer.
    pub fn record_polled_load(
        &mut self,
        now: Time,
        engine: usize,
        load: Option<(u32, u32)>,
        slots: u32,
    ) {
        match self {
            Self::LeastReported(loads) => loads[engine] = load.map(|(r, w)| r + w),
            Self::Ours(ours) => {
                let loaded = Some(vec![ours.target]);
                if let Some(load) = load {
                    ours.report(now, engine, load, slots, loaded);
                }
            }
            _ => (),
        }
    }

    /// Records the load report that is attached to an answer.
    pub fn record_attached_report(
        &mut self,
        now: Time,
        engine: usize,
        load: (u32, u32),
        slots: u32,
    ) {
        if let Self::Ours(ours) = self {
            ours.report(now, engine, load, slots, None);
        }
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        now: Time,
        engine: usize,
        outcome: Outcome,
        rng: &mut SmallRng,
    ) {
        if let Self::Ours(ours) = self {
            let index = UpstreamIndex(engine as u32);
            let target = ours.target;
            ours.router.finished(now, index, target, outcome, rng);
        }
    }
}

impl Ours {
    fn new(daemon: usize, engines: &[Engine], tuning: Tuning) -> Self {
        let id = format!("daemon-{daemon}").parse().expect("a name");
        let mut router = Router::new(&id, location(daemon), tuning);
        let version = "model@1".parse().expect("a version");
        let target = router.add_target(&Target::Version(version));
        let target = target.expect("room for a target");
        let specs = engines.iter().enumerate();
        let specs = specs.map(|(number, engine)| spec(number, engine, target));
        router.configure(specs.collect());
        Self { router, target }
    }

    fn pick(&mut self, now: Time, job: &Job, tried: &[usize], rng: &mut SmallRng) -> Option<usize> {
        let prefix: Vec<_> = job
            .prompt
            .iter()
            .map(|(hash, _)| PrefixHash(*hash))
            .collect();
        let tried: Vec<_> = tried.iter().map(|e| UpstreamIndex(*e as u32)).collect();
        let request = RouteRequest {
            target: self.target,
            prefix: &prefix,
            priority: job.priority,
            tried: &tried,
        };
        let index = self.router.pick(now, &request, rng).ok()?;
        self.router.started(index, &request);
        Some(index.0 as usize)
    }

    fn report(
        &mut self,
        now: Time,
        engine: usize,
        (running, waiting): (u32, u32),
        slots: u32,
        loaded: Option<Vec<TargetIndex>>,
    ) {
        let report = LoadReport {
            running,
            waiting,
            slots,
            loaded,
            leaving: false,
        };
        let index = UpstreamIndex(engine as u32);
        self.router.record_report(now, index, &report);
    }
}

fn location(number: usize) -> Location {
    let domain = format!("domain-{}", number % FAILURE_DOMAINS);
    Location {
        failure_domain: domain.parse().expect("a name"),
        region: "region".parse().expect("a name"),
    }
}

fn spec(number: usize, engine: &Engine, target: TargetIndex) -> UpstreamSpec {
    let port = 1_000 + u16::try_from(number).expect("few engines");
    UpstreamSpec {
        id: format!("worker-{number}").parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        location: location(number),
        slots: engine.slots,
        assumed_loaded: vec![target],
    }
}

/// Creates a seeded random number generator.
pub fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}
