//! A fleet of daemons in front of engines of different paces.
//!
//! Each daemon chooses by what it knows: its own answers, the load of the others as it was a moment
//! ago, and the reports of the few daemons whose heartbeats it gets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::ops::Range;
use std::sync::Arc;

use dispatch::{
    AnswerStart, Load, Pace, PaceReport, PaceRotation, PaceSummary, PaceUpdate, Permit,
    PlacingPolicy, PromptPart, ReporterKey, Requirements, Ticket, UpdateVersion, UpstreamIndex,
    UpstreamKey, UpstreamOutcome, Upstreams, instance_key,
};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

/// Engines of the fleet.
pub const ENGINES: usize = 90;
const DOMAINS: usize = 3;
const STEP: Span = Span::from_millis(10);
const HEARTBEAT: Span = Span::from_millis(200);
/// Requests a second, over all daemons: five for each engine.
const RATE: f64 = 450.0;
/// Time for which an answer streams at the usual pace.
const STREAM_MS: f64 = 1_000.0;
/// Time to the first event of a prompt of no length, and per token.
const BASE_MS: f64 = 20.0;
const TOKEN_MS: f64 = 0.02;
/// Prompts whose first part is shared, and how many such parts there are.
const SHARED_SHARE: f64 = 0.5;
const SHARED_PARTS: u64 = 400;
/// Standard deviation of the logarithm of the time to the first event.
const NOISE: f64 = 0.25;

/// A point in time in s.
pub fn at(secs: f64) -> Time {
    Time::ZERO + Span::from_secs_f64(secs)
}

/// How an engine differs from the others for a time.
#[derive(Debug, Clone)]
pub struct Phase {
    /// The engine.
    pub engine: usize,
    /// From when to when, in s.
    pub secs: Range<f64>,
    /// Its pace.
    pub pace: f64,
}

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of daemons.
    pub daemons: usize,
    /// Usual pace of each engine.
    pub pace: fn(usize) -> f64,
    /// What changes.
    pub phases: Vec<Phase>,
    /// When an engine restarts under its id, and its pace from then on.
    pub restart: Option<(f64, usize, f64)>,
    /// Daemons that report all engines at the lowest pace.
    pub liars: usize,
    /// Whether pace is used.
    pub uses_pace: bool,
}

impl Scenario {
    /// Engines of one pace.
    pub fn even(daemons: usize) -> Self {
        Self {
            daemons,
            pace: |_| 1.0,
            phases: Vec::new(),
            restart: None,
            liars: 0,
            uses_pace: true,
        }
    }

    /// A quarter of the engines at 0.55, the others at 1.2.
    pub fn uneven(daemons: usize) -> Self {
        Self {
            pace: |engine| if is_slow(engine) { 0.55 } else { 1.2 },
            ..Self::even(daemons)
        }
    }
}

/// Whether an engine is one of the slow quarter.
pub fn is_slow(engine: usize) -> bool {
    engine.is_multiple_of(4)
}

struct Daemon {
    upstreams: Upstreams,
    rotation: PaceRotation,
    domain: FailureDomain,
}

struct Engine {
    spec: Arc<Upstream>,
    pace: f64,
    free_at: Time,
    cached: BTreeSet<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    First,
    End,
}

struct Sent {
    daemon: usize,
    index: UpstreamIndex,
    ticket: Ticket,
    load: Load,
    at: Time,
    end: Time,
}

/// The simulated fleet.
pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    due: BinaryHeap<Reverse<(Time, u64, Stage)>>,
    sent: BTreeMap<u64, Sent>,
    next_id: u64,
    arrivals: f64,
    /// Requests that each engine got, by 100 ms.
    got: Vec<Vec<u32>>,
    service: Arc<str>,
    model: Arc<str>,
    /// Bytes of reports sent, and the longest message.
    pub reported: (usize, usize),
    /// Changes to slow of each engine at any daemon.
    pub turned_slow: HashMap<u32, usize>,
}

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("d{}", number % DOMAINS)).expect("a name")
}

fn spec(engine: usize, started_at: u64) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(&format!("e{engine}")).expect("a name"),
        started_at: Some(WallTime(started_at)),
        service: Arc::from("model"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain(engine),
        version: Arc::from("v1"),
        slots: 16,
        state: UpstreamState::Ready,
        warm_up_remaining: Span::ZERO,
    })
}

impl Fleet {
    /// Creates the fleet.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let policy = PlacingPolicy {
            uses_pace: scenario.uses_pace,
            ..PlacingPolicy::default()
        };
        let engines = (0..ENGINES).map(|engine| Engine {
            spec: spec(engine, 1),
            pace: (scenario.pace)(engine),
            free_at: Time::ZERO,
            cached: BTreeSet::new(),
        });
        let daemons = (0..scenario.daemons).map(|number| Daemon {
            upstreams: Upstreams::new(policy),
            rotation: PaceRotation::default(),
            domain: domain(number),
        });
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            daemons: daemons.collect(),
            engines: engines.collect(),
            due: BinaryHeap::new(),
            sent: BTreeMap::new(),
            next_id: 0,
            arrivals: 0.0,
            got: Vec::new(),
            service: Arc::from("model"),
            model: Arc::from("small"),
            reported: (0, 0),
            turned_slow: HashMap::new(),
            scenario,
        };
        fleet.list();
        fleet
    }

    fn list(&mut self) {
        let listed = self.engines.iter().map(|engine| Arc::clone(&engine.spec));
        let listed = listed.collect::<Vec<_>>();
        for daemon in &mut self.daemons {
            daemon.upstreams.configure(self.now, &listed);
        }
    }

    /// Runs until a point in time, in s.
    pub fn run_until(&mut self, secs: f64) {
        while self.now < at(secs) {
            self.step();
        }
    }

    fn step(&mut self) {
        let until = self.now + STEP;
        while let Some(Reverse((due, id, stage))) = self.due.peek().copied() {
            if due > until {
                break;
            }
            self.due.pop();
            self.progress(due, id, stage);
        }
        self.now = until;
        self.restart();
        self.arrivals += RATE * STEP.as_secs_f64();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            self.send();
        }
        if millis(self.now).is_multiple_of(HEARTBEAT.as_millis()) {
            self.exchange();
        }
    }

    fn restart(&mut self) {
        let Some((secs, engine, pace)) = self.scenario.restart else {
            return;
        };
        if self.now >= at(secs) {
            self.scenario.restart = None;
            self.engines[engine].spec = spec(engine, 2);
            self.engines[engine].pace = pace;
            self.engines[engine].cached.clear();
            self.list();
        }
    }

    fn pace(&self, engine: usize) -> f64 {
        let phases = self.scenario.phases.iter();
        let mut phase = phases.filter(|phase| {
            phase.engine == engine && (at(phase.secs.start)..at(phase.secs.end)).contains(&self.now)
        });
        phase
            .next()
            .map_or(self.engines[engine].pace, |phase| phase.pace)
    }

    fn send(&mut self) {
        let number = self.rng.random_range(0..self.daemons.len());
        let own = PromptPart {
            id: self.rng.random(),
            tokens: 300,
        };
        let shared = PromptPart {
            id: self.rng.random_range(0..SHARED_PARTS),
            tokens: 2_000,
        };
        let parts = match self.rng.random_bool(SHARED_SHARE) {
            true => vec![shared, own],
            false => vec![own],
        };
        let daemon = &mut self.daemons[number];
        let requirements = Requirements {
            service: &self.service,
            model: Some(&self.model),
            parts: &parts,
            prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
            permit: &Permit::Any,
            isolated: false,
            exclude: &[],
            local_domain: &daemon.domain,
        };
        let choice = daemon
            .upstreams
            .choose(self.now, &requirements, &mut self.rng);
        let choice = choice.expect("all are listed");
        let id = &daemon.upstreams.spec(choice.index).expect("listed").id;
        let engine = id.as_str()[1..].parse::<usize>().expect("a number");
        let (now, load) = (self.now, choice.load);
        let ticket = daemon
            .upstreams
            .record_start(now, choice.index, &load, &choice.prefixes);
        let (first, end) = self.process(engine, &parts);
        let tick = (millis(now) / 100) as usize;
        self.got
            .resize(self.got.len().max(tick + 1), vec![0; ENGINES]);
        self.got[tick][engine] += 1;
        let request = self.next_id;
        self.next_id += 1;
        self.due.push(Reverse((first, request, Stage::First)));
        let sent = Sent {
            daemon: number,
            index: choice.index,
            ticket,
            load,
            at: now,
            end,
        };
        self.sent.insert(request, sent);
    }

    /// When the answer begins and ends. Engines prefill one prompt after the other.
    fn process(&mut self, number: usize, parts: &[PromptPart]) -> (Time, Time) {
        let pace = self.pace(number);
        let sum = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>();
        let noise = ((sum - 6.0) * NOISE).exp();
        let engine = &mut self.engines[number];
        let shared = &parts[..parts.len() - 1];
        let uncached = parts
            .iter()
            .filter(|part| !engine.cached.contains(&part.id));
        let tokens = uncached.map(|part| f64::from(part.tokens)).sum::<f64>();
        engine.cached.extend(shared.iter().map(|part| part.id));
        let work_ms = (BASE_MS + tokens * TOKEN_MS) * noise / pace;
        let first = engine.free_at.max(self.now) + Span::from_secs_f64(work_ms / 1_000.0);
        engine.free_at = first;
        (
            first,
            first + Span::from_secs_f64(STREAM_MS / pace / 1_000.0),
        )
    }

    fn progress(&mut self, now: Time, id: u64, stage: Stage) {
        let sent = &self.sent[&id];
        let upstreams = &mut self.daemons[sent.daemon].upstreams;
        match stage {
            Stage::First => {
                let start = AnswerStart {
                    index: sent.index,
                    ticket: sent.ticket,
                    load: &sent.load,
                    model: Some(&self.model),
                    elapsed_ms: now.since(sent.at).as_secs_f64() * 1_000.0,
                };
                upstreams.record_answer_start(now, &start);
                self.due.push(Reverse((sent.end, id, Stage::End)));
            }
            Stage::End => {
                upstreams.record_end(now, sent.index, sent.ticket, UpstreamOutcome::Good);
                self.sent.remove(&id);
            }
        }
    }

    /// Daemons compute their paces, learn the load of the others, and send heartbeats to three
    /// daemons of their domain and one of another.
    fn exchange(&mut self) {
        let now = self.now;
        let mut loads = BTreeMap::<u32, (f64, u32)>::new();
        for engine in &self.engines {
            let key = instance_key(&engine.spec.id, engine.spec.started_at);
            loads.entry(key.0).or_default();
        }
        for daemon in &self.daemons {
            for load in daemon.upstreams.own_loads(now) {
                let sum = loads.entry(load.upstream).or_default();
                sum.0 += f64::from(load.backlog_ms);
                sum.1 += u32::from(load.in_flight);
            }
        }
        let count = self.daemons.len();
        for number in 0..count {
            let upstreams = &mut self.daemons[number].upstreams;
            let own = upstreams.own_loads(now);
            let own = own.iter().map(|load| (load.upstream, *load));
            let own = own.collect::<HashMap<_, _>>();
            let remote = loads.iter().map(|(key, (backlog_ms, in_flight))| {
                let own = own.get(key);
                let own_backlog_ms = own.map_or(0.0, |load| f64::from(load.backlog_ms));
                let own_in_flight = own.map_or(0, |load| u32::from(load.in_flight));
                let backlog_ms = (backlog_ms - own_backlog_ms).max(0.0);
                (*key, (backlog_ms, in_flight.saturating_sub(own_in_flight)))
            });
            upstreams.set_remote_loads(&remote.collect());
            for change in upstreams.refresh_paces(now).unwrap_or_default() {
                if change.is_slow {
                    *self.turned_slow.entry(change.upstream.0).or_default() += 1;
                }
            }
            let mut reports = upstreams.pace_reports(now);
            if number < self.scenario.liars {
                let lie = |key| PaceReport::new(UpstreamKey(key), Pace::MIN, 31.0);
                reports = loads.keys().copied().map(lie).collect();
            }
            let update = PaceUpdate {
                reporter: ReporterKey(number as u64),
                version: UpdateVersion {
                    run: Incarnation(1),
                    clock_ms: millis(now),
                },
                reports: self.daemons[number].rotation.take(&reports),
            };
            if update.reports.is_empty() {
                continue;
            }
            self.reported.0 += update.reports.len();
            self.reported.1 = self.reported.1.max(update.reports.len());
            let is_near = |peer: &usize| peer % DOMAINS == number % DOMAINS;
            let near = (0..count).filter(|peer| *peer != number && is_near(peer));
            let far = (0..count).filter(|peer| !is_near(peer));
            let mut peers = near.sample(&mut self.rng, 3);
            peers.extend(far.choose(&mut self.rng));
            for peer in peers {
                self.daemons[peer].upstreams.merge_paces(now, &update);
            }
        }
    }

    /// Requests that the engines of one kind got, per engine, over those of the others.
    pub fn share(&self, secs: Range<f64>, is_counted: impl Fn(usize) -> bool) -> f64 {
        let ticks = (secs.start * 10.0) as usize..(secs.end * 10.0) as usize;
        let (mut counted, mut others) = ((0, 0), (0, 0));
        for engine in 0..ENGINES {
            let got = self.got[ticks.clone()].iter().map(|tick| tick[engine]);
            let sums = match is_counted(engine) {
                true => &mut counted,
                false => &mut others,
            };
            sums.0 += got.sum::<u32>();
            sums.1 += 1;
        }
        let mean = |(sum, count): (u32, u32)| f64::from(sum) / f64::from(count);
        mean(counted) / mean(others)
    }

    /// What identifies an engine's pace.
    pub fn key(&self, engine: usize) -> u32 {
        let spec = &self.engines[engine].spec;
        instance_key(&spec.id, spec.started_at).0
    }

    /// An engine's pace as each daemon knows it.
    pub fn paces_of(&self, key: u32) -> impl Iterator<Item = f64> {
        let daemons = self.daemons.iter();
        daemons.map(move |daemon| daemon.upstreams.pace(UpstreamKey(key)).get())
    }

    /// The paces as each daemon knows them.
    pub fn summaries(&self) -> impl Iterator<Item = PaceSummary> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.upstreams.pace_summary())
    }
}

fn millis(time: Time) -> u64 {
    time.since(Time::ZERO).as_millis()
}
