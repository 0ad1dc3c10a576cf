//! The ways of choosing an upstream that are compared.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use routing::{
    LoadReport, Location, Outcome, PrefixHash, RouteRequest, Router, Target, TargetIndex, Tuning,
    UpstreamIndex, UpstreamSpec,
};
use types::prelude::*;

use crate::fake::engine::{Engine, Job};

/// Failure domains that the engines stand in.
pub const DOMAINS: usize = 4;

/// How one daemon chooses.
#[derive(Debug)]
pub enum Policy {
    /// Each in turn.
    RoundRobin(usize),
    /// Any.
    Random,
    /// The least loaded by the last reports; the first of several.
    LeastReported(Vec<Option<u32>>),
    /// Ours.
    Ours(Box<Ours>),
    /// Knows every engine's true state and cache.
    Oracle,
}

/// The component that is measured.
#[derive(Debug)]
pub struct Ours {
    router: Router,
    target: TargetIndex,
}

/// Which policy an arm uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// Each in turn.
    RoundRobin,
    /// Any.
    Random,
    /// The least loaded by the last reports.
    LeastReported,
    /// Ours with these numbers.
    Ours(Tuning),
    /// Knows everything.
    Oracle,
}

impl Policy {
    /// One daemon's policy.
    pub fn new(kind: Kind, daemon: usize, engines: &[Engine]) -> Self {
        match kind {
            Kind::RoundRobin => Self::RoundRobin(daemon * 7),
            Kind::Random => Self::Random,
            Kind::LeastReported => Self::LeastReported(vec![Some(0); engines.len()]),
            Kind::Ours(tuning) => Self::Ours(Box::new(Ours::new(daemon, engines, tuning))),
            Kind::Oracle => Self::Oracle,
        }
    }

    /// Chooses an engine for a job.
    pub fn pick(
        &mut self,
        now: Time,
        job: &Job,
        tried: &[usize],
        engines: &[Engine],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let fit: Vec<_> = (0..engines.len()).filter(|e| !tried.contains(e)).collect();
        match self {
            Self::RoundRobin(next) => {
                *next += 1;
                fit.get(*next % fit.len().max(1)).copied()
            }
            Self::Random => fit.get(rng.random_range(0..fit.len().max(1))).copied(),
            Self::LeastReported(loads) => {
                let known = fit.into_iter().filter(|e| loads[*e].is_some());
                known.min_by_key(|e| loads[*e])
            }
            Self::Ours(ours) => ours.pick(now, job, tried, rng),
            Self::Oracle => {
                let alive = fit.into_iter().filter(|e| engines[*e].alive);
                let wait = |e: &usize| engines[*e].oracle_wait(now, job);
                alive.min_by(|a, b| wait(a).total_cmp(&wait(b)))
            }
        }
    }

    /// Takes a polled load; nothing when the engine did not answer.
    pub fn polled(&mut self, now: Time, engine: usize, load: Option<(u32, u32)>, slots: u32) {
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

    /// Takes the load that came with an answer.
    pub fn told(&mut self, now: Time, engine: usize, load: (u32, u32), slots: u32) {
        if let Self::Ours(ours) = self {
            ours.report(now, engine, load, slots, None);
        }
    }

    /// Learns how an attempt ended.
    pub fn finished(&mut self, now: Time, engine: usize, outcome: Outcome, rng: &mut SmallRng) {
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
    let domain = format!("domain-{}", number % DOMAINS);
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

/// A seeded generator.
pub fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}
