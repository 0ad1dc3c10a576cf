//! Simulates the sessions, daemons and engines of one arm.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::rngs::SmallRng;
use routing::Outcome;
use types::prelude::*;

use super::policy::{FAILURE_DOMAINS, Kind, Policy, rng};
use super::workload::{Fault, Workload};
use crate::fake::engine::{Engine, Job, Started};
use crate::fake::events::Events;

const ENGINES: usize = 20;
const SLOTS: u32 = 16;
/// Mean time between an answer and the next request of the session.
const THINK_SECONDS: f64 = 12.0;
/// Mean number of output tokens.
const OUTPUT_TOKENS: f64 = 150.0;
const FIRST_TOKENS: u32 = 500;
const TURN_TOKENS: u32 = 300;
/// Interval at which daemons poll the engines' load. Each report arrives `REPORT_LAG` later.
const REPORT_INTERVAL: Span = Span::from_secs(4);
const REPORT_LAG: Span = Span::from_millis(500);
/// Time after which a connection attempt to a failed host is abandoned.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);
const MAX_ATTEMPTS: usize = 4;
/// Requests that arrive before this time are not measured.
const WARM_UP: Time = Time(60_000_000);
const END: Time = Time(360_000_000);
/// Time at which the fault is injected.
pub const FAULT: Time = Time(180_000_000);

#[derive(Debug)]
enum Event {
    StartSession,
    StartRequest(Session),
    Attempt(u64),
    Unreachable(u64, usize),
    FirstToken(u64),
    End(u64, usize, Span),
    Sample,
    Report(Vec<Option<(u32, u32)>>),
    Fault,
}

/// A session. It has its own random number generator, so that its requests don't depend on what the
/// policy does to other sessions.
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

/// Results of one arm.
#[derive(Debug)]
pub struct Results {
    /// Time to first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Sum of the times to first token in milliseconds and their count, by second of arrival.
    pub by_second: BTreeMap<u64, (f64, u64)>,
    /// Prompt tokens found in caches, and all prompt tokens.
    pub cached: (u64, u64),
    /// Number of retries.
    pub retries: u64,
    /// Requests that were given up while some engines were alive.
    pub given_up: u64,
}

/// Simulation of one arm.
pub struct Simulation {
    events: Events<Event>,
    engines: Vec<Engine>,
    policies: Vec<Policy>,
    requests: BTreeMap<u64, Request>,
    workload: Workload,
    fault: Fault,
    rng: SmallRng,
    policy_rng: SmallRng,
    last_id: u64,
    results: Results,
}

impl Simulation {
    /// Creates a fleet of daemons with the same policy. Arrivals depend on the seed only.
    pub fn new(kind: Kind, daemons: usize, workload: Workload, fault: Fault, seed: u64) -> Self {
        let engines: Vec<_> = (0..ENGINES).map(|_| Engine::new(SLOTS)).collect();
        let policies = (0..daemons).map(|daemon| Policy::new(kind, daemon, &engines));
        let mut events = Events::new();
        events.add(Time::ZERO, Event::StartSession);
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
            results: Results {
                first_token: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds"),
                by_second: BTreeMap::new(),
                cached: (0, 0),
                retries: 0,
                given_up: 0,
            },
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        while let Some((now, event)) = self.events.next() {
            if now > END {
                break;
            }
            self.handle(now, event);
        }
        self.results
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::StartSession => self.start_session(now),
            Event::StartRequest(session) => self.start_request(now, session),
            Event::Attempt(id) => self.attempt(now, id),
            Event::Unreachable(id, engine) => {
                self.report_outcome(now, id, engine, Outcome::Unreachable);
                self.attempt(now, id);
            }
            Event::FirstToken(id) => self.first_token(now, id),
            Event::End(id, engine, per_token) => self.end_request(now, id, engine, per_token),
            Event::Sample => self.sample_loads(now),
            Event::Report(loads) => self.deliver_reports(now, &loads),
            Event::Fault => self.inject_fault(now),
        }
    }

    fn start_session(&mut self, now: Time) {
        let next = exponential(&mut self.rng, 1.0 / self.workload.sessions);
        self.events.add(now + next, Event::StartSession);
        let group = zipf(&mut self.rng, self.workload.groups);
        let session_seed = self.rng.random::<u64>();
        let mut rng = rng(session_seed);
        let turns_left = exponential(&mut rng, self.workload.turns - 0.5)
            .as_secs_f64()
            .ceil();
        let session = Session {
            rng,
            prompt: vec![
                (u64::from(group) * 0x9e37_79b9, self.workload.group_tokens),
                (session_seed, FIRST_TOKENS),
            ],
            turns_left: turns_left as u32,
        };
        self.start_request(now, session);
    }

    fn start_request(&mut self, now: Time, mut session: Session) {
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
            self.results.given_up += 1;
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
            self.results.given_up += 1;
            return;
        };
        self.results.retries += u64::from(!request.tried.is_empty());
        request.tried.push(engine);
        request.sent = now;
        if !self.engines[engine].alive {
            let timed_out_at = now + CONNECT_TIMEOUT;
            self.events
                .add(timed_out_at, Event::Unreachable(id, engine));
            return;
        }
        request.engine = Some(engine);
        let started = self.engines[engine].arrive(now, job);
        self.schedule_job_events(engine, started);
    }

    fn schedule_job_events(&mut self, engine: usize, started: Option<Started>) {
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
            self.results.cached.0 += u64::from(started.cached.0);
            self.results.cached.1 += u64::from(started.cached.1);
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
        let latency = now.since(request.arrived);
        let second = request.arrived.0 / 1_000_000;
        let mean = self.results.by_second.entry(second).or_default();
        mean.0 += latency.as_secs_f64() * 1e3;
        mean.1 += 1;
        self.results
            .first_token
            .saturating_record(latency.as_micros());
    }

    fn end_request(&mut self, now: Time, id: u64, engine: usize, per_token: Span) {
        if !self.engines[engine].alive {
            return;
        }
        let started = self.engines[engine].end(now);
        self.schedule_job_events(engine, started);
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
        policy.record_outcome(now, engine, outcome, &mut self.policy_rng);
        policy.record_attached_report(now, engine, load, SLOTS);
        if let Some(request) = self.requests.remove(&id) {
            self.schedule_next_request(now, request.session);
        }
    }

    fn schedule_next_request(&mut self, now: Time, mut session: Session) {
        if session.turns_left == 0 {
            return;
        }
        session.turns_left -= 1;
        session.prompt.push((session.rng.random(), TURN_TOKENS));
        let think_time = exponential(&mut session.rng, THINK_SECONDS);
        self.events
            .add(now + think_time, Event::StartRequest(session));
    }

    fn report_outcome(&mut self, now: Time, id: u64, engine: usize, outcome: Outcome) {
        if let Some(request) = self.requests.get(&id) {
            let policy = &mut self.policies[request.daemon];
            policy.record_outcome(now, engine, outcome, &mut self.policy_rng);
        }
    }

    fn sample_loads(&mut self, now: Time) {
        self.events.add(now + REPORT_INTERVAL, Event::Sample);
        let engines = self.engines.iter();
        let loads = engines.map(|e| e.alive.then(|| (e.running, e.waiting())));
        let loads = loads.collect();
        self.events.add(now + REPORT_LAG, Event::Report(loads));
    }

    fn deliver_reports(&mut self, now: Time, loads: &[Option<(u32, u32)>]) {
        for policy in &mut self.policies {
            for (engine, load) in loads.iter().enumerate() {
                policy.record_polled_load(now, engine, *load, SLOTS);
            }
        }
    }

    fn inject_fault(&mut self, now: Time) {
        match self.fault {
            Fault::None => (),
            Fault::Slow => self.engines[0].speed = 0.2,
            Fault::DomainLost => {
                for engine in (0..ENGINES).step_by(FAILURE_DOMAINS) {
                    self.fail_engine(now, engine);
                }
            }
        }
    }

    fn fail_engine(&mut self, now: Time, engine: usize) {
        self.engines[engine].fail();
        let interrupted = self.requests.iter();
        let interrupted = interrupted.filter(|(_, request)| request.engine == Some(engine));
        let interrupted: Vec<_> = interrupted.map(|(id, _)| *id).collect();
        for id in interrupted {
            self.report_outcome(now, id, engine, Outcome::Failed);
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

/// Draws a number from 0 to `count - 1` with a Zipf distribution: the probability of the n-th is
/// proportional to 1/n.
fn zipf(rng: &mut SmallRng, count: u32) -> u32 {
    let sum: f64 = (1..=count).map(|n| 1.0 / f64::from(n)).sum();
    let mut remaining = rng.random::<f64>() * sum;
    for n in 1..count {
        remaining -= 1.0 / f64::from(n);
        if remaining <= 0.0 {
            return n - 1;
        }
    }
    count - 1
}
