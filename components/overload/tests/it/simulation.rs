//! A simulated fleet in front of one plain service: arrivals are the input, each caller's outcome is
//! the output.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use overload::{
    Decision, FleetView, Flow, Overload, OverloadPolicy, PeerReports, Report, Sends, retry_after,
};
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

const SLOTS: u32 = 6;
const QUEUE: usize = 24;
/// Most requests take this long, one in [`LONG_EVERY`] five times as long: 60.5 ms on average.
const WORK_MS: u64 = 56;
const LONG_EVERY: u32 = 50;
pub(crate) const CAPACITY: f64 = 99.2;
pub(crate) const OBJECTIVE_MS: u64 = 300;
const TIMEOUT_MS: u64 = 450;
const DOMAINS: usize = 4;
/// Sends of one attempt of a caller.
const MAX_SENDS: u32 = 3;
/// Pause that a caller gets when all upstreams reject its request.
const BUSY_MS: (u64, u64) = (150, 300);
const TICK_MS: u64 = 100;
/// Daemons up to which every heartbeat goes to all.
const SMALL_FLEET: usize = 16;
const FULL_HEARTBEAT_TICKS: u64 = 2;

pub(crate) struct Source {
    pub(crate) flow: Flow,
    /// Requests a second, from a time in ms on.
    pub(crate) rate: Vec<(u64, f64)>,
}

impl Source {
    fn rate_at(&self, ms: u64) -> f64 {
        let steps = self.rate.iter().rev();
        let step = steps.clone().find(|(from, _)| *from <= ms);
        step.map_or(0.0, |(_, rate)| *rate)
    }
}

pub(crate) struct Scenario {
    pub(crate) daemons: usize,
    pub(crate) sources: Vec<Source>,
    /// Upstreams listed, from a time in ms on.
    pub(crate) upstreams: Vec<(u64, usize)>,
    pub(crate) length_ms: u64,
    /// Daemons that send and get no reports.
    pub(crate) silent: usize,
    /// Whether refused callers come back at once.
    pub(crate) returns_at_once: bool,
    pub(crate) policy: OverloadPolicy,
    /// A report that the first daemon sends in place of its own.
    pub(crate) false_report: Option<Report>,
}

impl Scenario {
    pub(crate) fn new(daemons: usize, sources: Vec<Source>) -> Self {
        Self {
            daemons,
            sources,
            upstreams: vec![(0, 4)],
            length_ms: 34_000,
            silent: 0,
            returns_at_once: false,
            policy: OverloadPolicy::default(),
            false_report: None,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Call {
    source: usize,
    first_ms: u64,
    is_retry: bool,
}

/// A caller's outcome.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) source: usize,
    pub(crate) first_ms: u64,
    /// When an answer came; `None` if the request was refused in the end.
    pub(crate) answered_ms: Option<u64>,
}

impl Outcome {
    pub(crate) fn is_in_time(&self) -> bool {
        self.answered_ms
            .is_some_and(|at| at - self.first_ms <= OBJECTIVE_MS)
    }
}

#[derive(Debug, Clone, Copy)]
struct Job {
    call: Call,
    daemon: usize,
}

#[derive(Default)]
struct Upstream {
    /// End of each running job.
    running: Vec<(u64, Job)>,
    queue: VecDeque<Job>,
}

struct Daemon {
    overload: Overload,
    peers: PeerReports,
    completed: u32,
    rejected: u32,
    in_flight: u32,
    /// Requests in flight times ms since the last update.
    in_flight_ms: u64,
}

pub(crate) struct Play {
    pub(crate) outcomes: Vec<Outcome>,
    /// Times in ms at which daemons refused requests.
    pub(crate) refused_ms: Vec<u64>,
    /// Requests that upstreams rejected.
    pub(crate) rejected: usize,
    /// Limits of the daemons at the end.
    pub(crate) limits: Vec<f64>,
    /// Size of the largest report.
    pub(crate) report_bytes: usize,
}

struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    service: Arc<str>,
    daemons: Vec<Daemon>,
    /// Daemons present in each failure domain.
    present: BTreeMap<FailureDomain, usize>,
    ids: Vec<(DaemonId, FailureDomain)>,
    upstreams: Vec<Upstream>,
    returning: BinaryHeap<Reverse<(u64, usize, u64)>>,
    play: Play,
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn domain(daemon: usize) -> FailureDomain {
    FailureDomain::new(&format!("domain-{}", daemon % DOMAINS)).expect("a name")
}

fn id(daemon: usize) -> DaemonId {
    DaemonId::new(&format!("daemon-{daemon}")).expect("a name")
}

pub(crate) fn play(seed: u64, scenario: Scenario) -> Play {
    let daemons = (0..scenario.daemons).map(|_| Daemon {
        overload: Overload::new(scenario.policy),
        peers: PeerReports::default(),
        completed: 0,
        rejected: 0,
        in_flight: 0,
        in_flight_ms: 0,
    });
    let most = scenario.upstreams.iter().map(|(_, count)| *count).max();
    let mut present = BTreeMap::new();
    for daemon in 0..scenario.daemons {
        *present.entry(domain(daemon)).or_insert(0) += 1;
    }
    let mut world = World {
        present,
        ids: (0..scenario.daemons)
            .map(|daemon| (id(daemon), domain(daemon)))
            .collect(),
        daemons: daemons.collect(),
        upstreams: (0..most.unwrap_or_default())
            .map(|_| Upstream::default())
            .collect(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        service: Arc::from("web"),
        returning: BinaryHeap::new(),
        scenario,
        play: Play {
            outcomes: Vec::new(),
            refused_ms: Vec::new(),
            rejected: 0,
            limits: Vec::new(),
            report_bytes: 0,
        },
    };
    for ms in 0..world.scenario.length_ms {
        world.step(ms);
    }
    let statuses = world.daemons.iter().flat_map(|d| d.overload.services());
    let limits = statuses.filter_map(|(_, status)| status.limit);
    world.play.limits = limits.map(|limit| limit.0).collect();
    world.play
}

impl World {
    fn listed(&self, ms: u64) -> usize {
        let steps = self.scenario.upstreams.iter().rev();
        let step = steps.clone().find(|(from, _)| *from <= ms);
        step.map_or(0, |(_, count)| *count)
    }

    fn step(&mut self, ms: u64) {
        for index in 0..self.upstreams.len() {
            self.run_upstream(ms, index);
        }
        while let Some(Reverse((due, source, first_ms))) = self.returning.peek().copied()
            && due <= ms
        {
            self.returning.pop();
            let is_retry = true;
            self.handle(
                ms,
                Call {
                    source,
                    first_ms,
                    is_retry,
                },
            );
        }
        for source in 0..self.scenario.sources.len() {
            let per_ms = self.scenario.sources[source].rate_at(ms) / 1_000.0;
            let arrivals = u32::from(self.rng.random::<f64>() < per_ms);
            for _ in 0..arrivals {
                let first_ms = ms;
                let is_retry = false;
                self.handle(
                    ms,
                    Call {
                        source,
                        first_ms,
                        is_retry,
                    },
                );
            }
        }
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            state.in_flight_ms += u64::from(state.in_flight);
            // Daemons tick at different moments.
            if (ms + daemon as u64 * 37).is_multiple_of(TICK_MS) {
                self.tick(ms, daemon);
            }
        }
    }

    fn work_ms(&mut self) -> u64 {
        let is_long = self.rng.random_range(0..LONG_EVERY) == 0;
        // Varies by a quarter, so that requests do not end in step.
        let base = self.rng.random_range(WORK_MS * 3 / 4..=WORK_MS * 5 / 4);
        if is_long { base * 5 } else { base }
    }

    fn run_upstream(&mut self, ms: u64, index: usize) {
        let running = std::mem::take(&mut self.upstreams[index].running);
        let (done, running) = running
            .into_iter()
            .partition::<Vec<_>, _>(|(end, _)| *end <= ms);
        self.upstreams[index].running = running;
        for (_, job) in done {
            let daemon = &mut self.daemons[job.daemon];
            daemon.completed += 1;
            daemon.in_flight -= 1;
            self.end(job.call, Some(ms));
        }
        while self.upstreams[index].running.len() < SLOTS as usize
            && let Some(job) = self.upstreams[index].queue.pop_front()
        {
            let end = ms + self.work_ms();
            self.upstreams[index].running.push((end, job));
        }
    }

    fn end(&mut self, call: Call, answered_ms: Option<u64>) {
        self.play.outcomes.push(Outcome {
            source: call.source,
            first_ms: call.first_ms,
            answered_ms,
        });
    }

    fn handle(&mut self, ms: u64, call: Call) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let flow = self.scenario.sources[call.source].flow;
        let state = &mut self.daemons[daemon];
        let decision = state
            .overload
            .decide(at(ms), &self.service, flow, &mut self.rng);
        if let Decision::Refuse(_) = decision {
            self.play.refused_ms.push(ms);
            let deadline = at(call.first_ms + TIMEOUT_MS);
            let wait = match self.scenario.returns_at_once {
                true => 1,
                false => retry_after(at(ms), deadline, &mut self.rng).as_millis(),
            };
            return self.refuse(ms + wait, call);
        }
        for _ in 0..MAX_SENDS {
            let listed = self.listed(ms);
            let load = |index: &usize| {
                let upstream = &self.upstreams[*index];
                upstream.running.len() + upstream.queue.len()
            };
            let candidates = (0..listed).sample(&mut self.rng, 2);
            let Some(index) = candidates.into_iter().min_by_key(load) else {
                break;
            };
            let upstream = &mut self.upstreams[index];
            if upstream.queue.len() < QUEUE {
                upstream.queue.push_back(Job { call, daemon });
                self.daemons[daemon].in_flight += 1;
                return;
            }
            self.daemons[daemon].rejected += 1;
            self.play.rejected += 1;
        }
        let wait = self.rng.random_range(BUSY_MS.0..=BUSY_MS.1);
        self.refuse(ms + wait, call);
    }

    /// A refused caller comes back once.
    fn refuse(&mut self, back_ms: u64, call: Call) {
        match call.is_retry {
            true => self.end(call, None),
            false => self
                .returning
                .push(Reverse((back_ms, call.source, call.first_ms))),
        }
    }

    fn is_silent(&self, daemon: usize) -> bool {
        daemon < self.scenario.silent
    }

    fn tick(&mut self, ms: u64, daemon: usize) {
        let slots = self.listed(ms) as u32 * SLOTS;
        let present = &self.present;
        let own = &self.ids[daemon].1;
        let state = &mut self.daemons[daemon];
        let view = match daemon < self.scenario.silent {
            true => FleetView {
                domains: PeerReports::default().view(at(ms), present, own).domains,
            },
            false => state.peers.view(at(ms), present, own),
        };
        let sends = Sends {
            completed: std::mem::take(&mut state.completed),
            rejected: std::mem::take(&mut state.rejected),
            in_flight: std::mem::take(&mut state.in_flight_ms) as f64 / TICK_MS as f64,
        };
        state.overload.update(at(ms), &view, |_| sends, |_| slots);
        self.send_report(ms, daemon);
    }

    /// Sends a report to all daemons of a small fleet; of a large one, to three of the own failure
    /// domain and to another.
    fn send_report(&mut self, ms: u64, daemon: usize) {
        let count = self.daemons.len();
        let is_due = (ms / TICK_MS).is_multiple_of(FULL_HEARTBEAT_TICKS);
        if self.is_silent(daemon) || (count > SMALL_FLEET && !is_due) {
            return;
        }
        let report = self.daemons[daemon].overload.report();
        let bytes = report.encode(&mut self.rng);
        self.play.report_bytes = self.play.report_bytes.max(bytes.len());
        let mut report = Report::decode(&bytes).expect("its own form");
        if let Some(false_report) = self.scenario.false_report.as_ref().filter(|_| daemon == 0) {
            report = false_report.clone();
        }
        let others = (0..count).filter(|other| *other != daemon);
        let others = others.collect::<Vec<_>>();
        let targets = match count <= SMALL_FLEET {
            true => others,
            false => {
                let is_local = |other: &&usize| **other % DOMAINS == daemon % DOMAINS;
                let local = others.iter().filter(is_local).copied();
                let mut targets = local.sample(&mut self.rng, 3);
                let away = others.iter().filter(|other| !is_local(other));
                let away = away.copied().collect::<Vec<_>>();
                targets.extend(away.choose(&mut self.rng));
                targets
            }
        };
        for target in targets {
            if !self.is_silent(target) {
                let peers = &mut self.daemons[target].peers;
                let (id, domain) = self.ids[daemon].clone();
                peers.update(at(ms), id, domain, report.clone());
            }
        }
    }
}
