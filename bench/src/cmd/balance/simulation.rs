//! Sessions, daemons and engines of one arm in fast time.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::rngs::SmallRng;
use routing::Outcome;
use types::prelude::*;

use super::policy::{DOMAINS, Kind, Policy, rng};
use super::workload::{Fault, Workload};
use crate::fake::engine::{Engine, Job, Started};
use crate::fake::events::Events;

const ENGINES: usize = 20;
const SLOTS: u32 = 16;
/// Mean time between an answer and the session's next request.
const THINK_SECONDS: f64 = 12.0;
/// Mean tokens of an answer.
const OUTPUT_TOKENS: f64 = 150.0;
const FIRST_TOKENS: u32 = 500;
const TURN_TOKENS: u32 = 300;
/// Engines are asked this often, and the answer is this old when it is used.
const REPORT_INTERVAL: Span = Span::from_secs(4);
const REPORT_LAG: Span = Span::from_millis(500);
/// Time until an attempt to reach a lost host is given up.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);
const MAX_ATTEMPTS: usize = 4;
/// What comes before is not measured.
const WARM_UP: Time = Time(60_000_000);
const END: Time = Time(360_000_000);
/// When a failure happens.
pub const FAULT: Time = Time(180_000_000);

#[derive(Debug)]
enum Event {
    Begin,
    Turn(Session),
    Attempt(u64),
    Unreachable(u64, usize),
    FirstToken(u64),
    End(u64, usize, Span),
    Sample,
    Report(Vec<Option<(u32, u32)>>),
    Fault,
}

/// Its own generator makes a session the same whatever the policy does to others.
#[derive(Debug, Clone)]
struct Session {
    rng: SmallRng,
    prompt: Vec<(u64, u32)>,
    turns_left: u32,
}

#[derive(Debug)]
struct Request {
    session: Session,
    daemon: usize,
    output: u32,
    arrived: Time,
    tried: Vec<usize>,
    engine: Option<usize>,
    first_token: Option<Time>,
    sent: Time,
}

/// What an arm showed.
#[derive(Debug)]
pub struct Found {
    /// Microseconds to the first token.
    pub first_token: Histogram<u64>,
    /// Mean milliseconds to the first token by second.
    pub by_second: BTreeMap<u64, (f64, u64)>,
    /// Prompt tokens found in caches, and all.
    pub cached: (u64, u64),
    /// Attempts beyond the first.
    pub retries: u64,
    /// Requests given up while engines were alive.
    pub lost: u64,
}

/// One arm under way.
pub struct World {
    events: Events<Event>,
    engines: Vec<Engine>,
    policies: Vec<Policy>,
    requests: BTreeMap<u64, Request>,
    workload: Workload,
    fault: Fault,
    rng: SmallRng,
    policy_rng: SmallRng,
    last_id: u64,
    found: Found,
}

impl World {
    /// A fleet of daemons that choose alike. The arrivals depend on the seed only.
    pub fn new(kind: Kind, daemons: usize, workload: Workload, fault: Fault, seed: u64) -> Self {
        let engines: Vec<_> = (0..ENGINES).map(|_| Engine::new(SLOTS)).collect();
        let policies = (0..daemons).map(|daemon| Policy::new(kind, daemon, &engines));
        let mut events = Events::new();
        events.add(Time::ZERO, Event::Begin);
        events.add(Time::ZERO, Event::Sample);
        events.add(FAULT, Event::Fault);
        Self {
            policies: policies.collect(),
            events,
            engines,
            requests: BTreeMap::new(),
            workload,
            fault,
            rng: rng(seed),
            policy_rng: rng(seed ^ 0x5eed),
            last_id: 0,
            found: Found {
                first_token: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds"),
                by_second: BTreeMap::new(),
                cached: (0, 0),
                retries: 0,
                lost: 0,
            },
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Found {
        while let Some((now, event)) = self.events.next() {
            if now > END {
                break;
            }
            self.handle(now, event);
        }
        self.found
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Begin => self.begin(now),
            Event::Turn(session) => self.turn(now, session),
            Event::Attempt(id) => self.attempt(now, id),
            Event::Unreachable(id, engine) => {
                self.learn(now, id, engine, Outcome::Unreachable);
                self.attempt(now, id);
            }
            Event::FirstToken(id) => self.first_token(now, id),
            Event::End(id, engine, per_token) => self.end(now, id, engine, per_token),
            Event::Sample => self.sample(now),
            Event::Report(loads) => self.report(now, &loads),
            Event::Fault => self.break_something(now),
        }
    }

    fn begin(&mut self, now: Time) {
        let next = exponential(&mut self.rng, 1.0 / self.workload.sessions);
        self.events.add(now + next, Event::Begin);
        let group = zipf(&mut self.rng, self.workload.groups);
        let own = self.rng.random::<u64>();
        let mut rng = rng(own);
        let turns_left = exponential(&mut rng, self.workload.turns - 0.5)
            .as_secs_f64()
            .ceil();
        let session = Session {
            rng,
            prompt: vec![
                (u64::from(group) * 0x9e37_79b9, self.workload.group_tokens),
                (own, FIRST_TOKENS),
            ],
            turns_left: turns_left as u32,
        };
        self.turn(now, session);
    }

    fn turn(&mut self, now: Time, mut session: Session) {
        self.last_id += 1;
        let output = exponential(&mut session.rng, OUTPUT_TOKENS).as_secs_f64();
        let daemon = session.rng.random_range(0..self.policies.len());
        let request = Request {
            session,
            daemon,
            output: output.clamp(5.0, 600.0) as u32,
            arrived: now,
            tried: Vec::new(),
            engine: None,
            first_token: None,
            sent: now,
        };
        self.requests.insert(self.last_id, request);
        self.attempt(now, self.last_id);
    }

    fn attempt(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.tried.len() >= MAX_ATTEMPTS {
            self.requests.remove(&id);
            self.found.lost += 1;
            return;
        }
        let job = Job {
            id,
            priority: Priority::Interactive,
            prompt: request.session.prompt.clone(),
            output: request.output,
        };
        let policy = &mut self.policies[request.daemon];
        let rng = &mut self.policy_rng;
        let Some(engine) = policy.pick(now, &job, &request.tried, &self.engines, rng) else {
            self.requests.remove(&id);
            self.found.lost += 1;
            return;
        };
        self.found.retries += u64::from(!request.tried.is_empty());
        request.tried.push(engine);
        request.sent = now;
        if !self.engines[engine].alive {
            let late = now + CONNECT_TIMEOUT;
            self.events.add(late, Event::Unreachable(id, engine));
            return;
        }
        request.engine = Some(engine);
        let started = self.engines[engine].arrive(now, job);
        self.follow(engine, started);
    }

    fn follow(&mut self, engine: usize, started: Option<Started>) {
        let Some(started) = started else {
            return;
        };
        let end = Event::End(started.id, engine, started.per_token);
        self.events.add(started.end, end);
        self.events
            .add(started.first_token, Event::FirstToken(started.id));
        let is_measured = self
            .requests
            .get(&started.id)
            .is_some_and(|request| request.arrived >= WARM_UP);
        if is_measured {
            self.found.cached.0 += u64::from(started.cached.0);
            self.found.cached.1 += u64::from(started.cached.1);
        }
    }

    fn first_token(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let is_alive = request.engine.is_some_and(|e| self.engines[e].alive);
        if !is_alive || request.first_token.is_some() {
            return;
        }
        request.first_token = Some(now);
        if request.arrived < WARM_UP {
            return;
        }
        let wait = now.since(request.arrived);
        let second = request.arrived.0 / 1_000_000;
        let mean = self.found.by_second.entry(second).or_default();
        mean.0 += wait.as_secs_f64() * 1e3;
        mean.1 += 1;
        self.found.first_token.saturating_record(wait.as_micros());
    }

    fn end(&mut self, now: Time, id: u64, engine: usize, per_token: Span) {
        if !self.engines[engine].alive {
            return;
        }
        let started = self.engines[engine].end(now);
        self.follow(engine, started);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let first_token = request.first_token.unwrap_or(now).since(request.sent);
        let outcome = Outcome::Answered {
            first_token,
            per_token,
        };
        let load = (self.engines[engine].running, self.engines[engine].waiting());
        let policy = &mut self.policies[request.daemon];
        policy.finished(now, engine, outcome, &mut self.policy_rng);
        policy.told(now, engine, load, SLOTS);
        if let Some(request) = self.requests.remove(&id) {
            self.next_turn(now, request.session);
        }
    }

    fn next_turn(&mut self, now: Time, mut session: Session) {
        if session.turns_left == 0 {
            return;
        }
        session.turns_left -= 1;
        session.prompt.push((session.rng.random(), TURN_TOKENS));
        let think = exponential(&mut session.rng, THINK_SECONDS);
        self.events.add(now + think, Event::Turn(session));
    }

    fn learn(&mut self, now: Time, id: u64, engine: usize, outcome: Outcome) {
        if let Some(request) = self.requests.get(&id) {
            let policy = &mut self.policies[request.daemon];
            policy.finished(now, engine, outcome, &mut self.policy_rng);
        }
    }

    fn sample(&mut self, now: Time) {
        self.events.add(now + REPORT_INTERVAL, Event::Sample);
        let engines = self.engines.iter();
        let loads = engines.map(|e| e.alive.then(|| (e.running, e.waiting())));
        let loads = loads.collect();
        self.events.add(now + REPORT_LAG, Event::Report(loads));
    }

    fn report(&mut self, now: Time, loads: &[Option<(u32, u32)>]) {
        for policy in &mut self.policies {
            for (engine, load) in loads.iter().enumerate() {
                policy.polled(now, engine, *load, SLOTS);
            }
        }
    }

    fn break_something(&mut self, now: Time) {
        match self.fault {
            Fault::None => (),
            Fault::Slow => self.engines[0].speed = 0.2,
            Fault::DomainLost => {
                for engine in (0..ENGINES).step_by(DOMAINS) {
                    self.fail_engine(now, engine);
                }
            }
        }
    }

    fn fail_engine(&mut self, now: Time, engine: usize) {
        self.engines[engine].fail();
        let cut = self.requests.iter();
        let cut = cut.filter(|(_, request)| request.engine == Some(engine));
        let cut: Vec<_> = cut.map(|(id, _)| *id).collect();
        for id in cut {
            self.learn(now, id, engine, Outcome::Failed);
            self.events.add(now, Event::Attempt(id));
            if let Some(request) = self.requests.get_mut(&id) {
                request.engine = None;
            }
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> Span {
    Span::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln())
}

/// A number from 0, the low ones more often: the n-th in proportion to 1/n.
fn zipf(rng: &mut SmallRng, count: u32) -> u32 {
    let sum: f64 = (1..=count).map(|n| 1.0 / f64::from(n)).sum();
    let mut point = rng.random::<f64>() * sum;
    for n in 1..count {
        point -= 1.0 / f64::from(n);
        if point <= 0.0 {
            return n - 1;
        }
    }
    count - 1
}
