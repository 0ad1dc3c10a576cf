//! Simulates the customers, daemons and engines of one arm.

use std::collections::BTreeMap;

use limits::{AdmissionRequest, DemandFact, Grant, Ticket, Verdict};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use routing::{Outcome, RouteRequest, Router, TargetIndex, UpstreamIndex};
use types::prelude::*;

use super::admitter::{Admitter, Decision, Kind, Resumed};
use super::results::Results;
use super::upstreams::{ENGINES, SLOTS, load_report, routers};
use crate::fake::engine::{Engine, Job, Started};
use crate::fake::events::Events;

/// Total number of slots of all engines.
pub const ALL_SLOTS: u32 = ENGINES as u32 * SLOTS;
const PROMPT_TOKENS: u32 = 500;
const OUTPUT_TOKENS: f64 = 150.0;
const TICK_INTERVAL: Span = Span::from_millis(100);
const REPORT_INTERVAL: Span = Span::from_secs(4);
const REPORT_LAG: Span = Span::from_millis(500);
/// Maximum time until a fact has reached all daemons.
const MAX_FACT_DELAY: Span = Span::from_secs(1);
const INTERACTIVE_TIMEOUT: Span = Span::from_secs(20);
const BATCH_TIMEOUT: Span = Span::from_secs(60);
const MAX_ADMISSIONS: u32 = 20;
/// Time per token used to estimate how many tokens a cancelled batch request has already produced.
const ESTIMATED_TOKEN_MILLIS: u64 = 30;
/// Start and end of the partner's batch load. `END` is the end of the simulation.
pub const BURST_PERIOD: (Time, Time) = (Time(60_000_000), Time(150_000_000));
const END: Time = Time(160_000_000);

/// Load of a customer.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Priority of its requests.
    pub priority: Priority,
    /// Requests per second.
    pub rate: f64,
    /// Sends requests only during the burst.
    pub only_in_burst: bool,
    /// Request rate limit, if any.
    pub limit: Option<Rate>,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Admit(u64),
    FirstToken(u64, u32),
    End(u64, u32, Span),
    Tick,
    Fact(usize, DemandFact),
    Sample,
    Report(Vec<(u32, u32)>),
}

#[derive(Debug)]
struct Request {
    customer: usize,
    daemon: usize,
    output: u32,
    done: u32,
    arrived: Time,
    admissions: u32,
    /// Number of runs at engines, used to ignore events of earlier runs.
    run: u32,
    engine: Option<usize>,
    /// True if it is running at its engine, false if it is queued there.
    is_running: bool,
    first_token: Option<Time>,
    grant: Option<Grant>,
}

/// Simulation of one arm.
pub struct Simulation<'a> {
    kind: Kind,
    customers: &'a [Customer],
    customer_rngs: Vec<SmallRng>,
    events: Events<Event>,
    engines: Vec<Engine>,
    admitters: Vec<Admitter>,
    routers: Vec<Router>,
    target: TargetIndex,
    requests: BTreeMap<u64, Request>,
    tickets: BTreeMap<(usize, Ticket), u64>,
    preemptible: BTreeMap<(usize, usize), Vec<u64>>,
    pool: EntryName,
    rng: SmallRng,
    last_id: u64,
    results: Results,
}

impl<'a> Simulation<'a> {
    /// Creates a fleet of daemons with the same kind of admission. Arrivals depend on the seed
    /// only.
    pub fn new(kind: Kind, daemons: usize, customers: &'a [Customer], seed: u64) -> Self {
        let pool: EntryName = "pool".parse().expect("a name");
        let limits: Vec<_> = customers
            .iter()
            .filter_map(|customer| Some((customer.id.clone(), customer.limit?)))
            .collect();
        let admitter = |d| Admitter::new(kind, d, daemons, ALL_SLOTS, &pool, &limits);
        let (routers, target) = routers(daemons);
        let mut events = Events::new();
        for customer in 0..customers.len() {
            events.add(Time::ZERO, Event::Arrive(customer));
        }
        events.add(Time::ZERO, Event::Tick);
        events.add(Time::ZERO, Event::Sample);
        let customer_rng = |n| SmallRng::seed_from_u64(seed * 1_000 + n as u64);
        Self {
            kind,
            customer_rngs: (0..customers.len()).map(customer_rng).collect(),
            events,
            engines: (0..ENGINES).map(|_| Engine::new(SLOTS)).collect(),
            admitters: (0..daemons).map(admitter).collect(),
            routers,
            target,
            requests: BTreeMap::new(),
            tickets: BTreeMap::new(),
            preemptible: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            last_id: 0,
            results: Results::new(customers.len()),
            customers,
            pool,
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
            Event::Arrive(customer) => self.handle_arrival(now, customer),
            Event::Admit(id) => self.admit(now, id),
            Event::FirstToken(id, run) => self.first_token(now, id, run),
            Event::End(id, run, per_token) => self.handle_end(now, id, run, per_token),
            Event::Tick => self.handle_tick(now),
            Event::Fact(from, fact) => {
                for admitter in &mut self.admitters {
                    admitter.record_peer_demand(from, &fact);
                }
            }
            Event::Sample => self.sample_loads(now),
            Event::Report(loads) => self.deliver_reports(now, &loads),
        }
    }

    fn handle_arrival(&mut self, now: Time, number: usize) {
        let customer = &self.customers[number];
        let rng = &mut self.customer_rngs[number];
        let next = now + exponential(rng, 1.0 / customer.rate);
        let output = exponential(rng, OUTPUT_TOKENS).as_secs_f64();
        let daemon = rng.random_range(0..self.admitters.len());
        self.events.add(next, Event::Arrive(number));
        if customer.only_in_burst && !(BURST_PERIOD.0..BURST_PERIOD.1).contains(&now) {
            return;
        }
        self.last_id += 1;
        let request = Request {
            customer: number,
            daemon,
            output: output.clamp(5.0, 600.0) as u32,
            done: 0,
            arrived: now,
            admissions: 0,
            run: 0,
            engine: None,
            is_running: false,
            first_token: None,
            grant: None,
        };
        self.requests.insert(self.last_id, request);
        self.results.arrived(now, number);
        self.admit(now, self.last_id);
    }

    fn admit(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.admissions += 1;
        let daemon = request.daemon;
        let customer = &self.customers[request.customer];
        let timeout = match customer.priority {
            Priority::Interactive => INTERACTIVE_TIMEOUT,
            Priority::Batch => BATCH_TIMEOUT,
        };
        let ask = AdmissionRequest {
            customer: customer.id.clone(),
            offer: self.pool.clone(),
            pool: self.pool.clone(),
            priority: customer.priority,
            tokens: Tokens(u64::from(PROMPT_TOKENS) + OUTPUT_TOKENS as u64),
            deadline: now + timeout,
        };
        match self.admitters[daemon].admit(now, id, ask, &mut self.rng) {
            Decision::Start(grant) => self.start(now, id, grant),
            Decision::Wait(Some(ticket)) => drop(self.tickets.insert((daemon, ticket), id)),
            Decision::Wait(None) => (),
            Decision::Refuse(retry_after) => self.handle_refusal(now, id, retry_after),
        }
    }

    /// Handles a refusal: the caller retries after the given time through a random daemon. Requests
    /// that have already produced tokens return to the same daemon.
    fn handle_refusal(&mut self, now: Time, id: u64, retry_after: Span) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.results.refused(now, request.customer);
        if request.admissions >= MAX_ADMISSIONS {
            self.requests.remove(&id);
            return;
        }
        if request.done == 0 {
            request.daemon = self.rng.random_range(0..self.admitters.len());
        }
        self.events.add(now + retry_after, Event::Admit(id));
    }

    fn start(&mut self, now: Time, id: u64, grant: Option<Grant>) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.run == 0 {
                self.results.started(now, request.customer);
            }
            request.grant = grant;
            self.attempt(now, id);
        }
    }

    fn attempt(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (daemon, priority) = (request.daemon, self.customers[request.customer].priority);
        let route_request = RouteRequest {
            target: self.target,
            prefix: &[],
            priority,
            tried: &[],
        };
        let router = &mut self.routers[daemon];
        let upstream = router.pick(now, &route_request, &mut self.rng);
        let upstream = upstream.expect("every engine is live");
        let preempts_batch =
            priority == Priority::Interactive && router.should_preempt_batch(now, upstream);
        router.started(upstream, &route_request);
        self.start_on_engine(now, id, upstream.0 as usize, priority);
        if preempts_batch && self.kind == (Kind::Ours { give_way: true }) {
            self.preempt_batch(now, daemon, upstream.0 as usize);
        }
    }

    fn start_on_engine(&mut self, now: Time, id: u64, engine: usize, priority: Priority) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.run += 1;
        request.engine = Some(engine);
        let engine_priority = match self.kind {
            Kind::Open { priorities: false } => Priority::Interactive,
            _ => priority,
        };
        let job = Job {
            id,
            priority: engine_priority,
            prompt: vec![(id, PROMPT_TOKENS), (id ^ 1 << 63, request.done)],
            output: request.output - request.done,
        };
        let started = self.engines[engine].arrive(now, job);
        self.schedule_job_events(started);
    }

    /// Cancels the daemon's most recent batch request at an engine. The request resumes later from
    /// the tokens that it has produced.
    fn preempt_batch(&mut self, now: Time, daemon: usize, engine: usize) {
        let own_batch = self.preemptible.get_mut(&(daemon, engine));
        let Some(id) = own_batch.and_then(Vec::pop) else {
            return;
        };
        let started = self.engines[engine].cancel(now, id);
        self.schedule_job_events(started);
        let index = UpstreamIndex(engine as u32);
        let router = &mut self.routers[daemon];
        router.preemptible_ended(index);
        router.finished(now, index, self.target, Outcome::Cancelled, &mut self.rng);
        self.results.preempted += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.run += 1;
        request.engine = None;
        request.is_running = false;
        if let Some(first) = request.first_token.take() {
            let tokens = now.since(first).as_millis() / ESTIMATED_TOKEN_MILLIS;
            request.done = (request.done + tokens as u32).min(request.output - 1);
        }
        let grant = request.grant.take();
        if let Some(ticket) = self.admitters[daemon].give_way(grant) {
            self.tickets.insert((daemon, ticket), id);
        }
    }

    fn schedule_job_events(&mut self, started: Option<Started>) {
        let Some(started) = started else {
            return;
        };
        let Some(request) = self.requests.get_mut(&started.id) else {
            return;
        };
        request.is_running = true;
        let (id, run) = (started.id, request.run);
        self.events
            .add(started.first_token, Event::FirstToken(id, run));
        self.events
            .add(started.end, Event::End(id, run, started.per_token));
    }

    fn first_token(&mut self, now: Time, id: u64, run: u32) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.run != run {
            return;
        }
        request.first_token = Some(now);
        if request.done == 0 {
            self.results
                .first_token(request.arrived, now, request.customer);
        }
        let priority = self.customers[request.customer].priority;
        if let (Some(engine), Priority::Batch) = (request.engine, priority) {
            let key = (request.daemon, engine);
            self.routers[request.daemon].preemptible_started(UpstreamIndex(engine as u32));
            self.preemptible.entry(key).or_default().push(id);
        }
    }

    fn handle_end(&mut self, now: Time, id: u64, run: u32, per_token: Span) {
        let is_current_run = self.requests.get(&id).is_some_and(|r| r.run == run);
        if !is_current_run {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let (daemon, customer) = (request.daemon, request.customer);
        let engine = request.engine.expect("a running request has an engine");
        let started = self.engines[engine].end(now);
        self.schedule_job_events(started);
        self.results.ended(now, customer);
        let index = UpstreamIndex(engine as u32);
        let router = &mut self.routers[daemon];
        let had_first_token = request.first_token.is_some();
        if had_first_token && self.customers[customer].priority == Priority::Batch {
            router.preemptible_ended(index);
            if let Some(own_batch) = self.preemptible.get_mut(&(daemon, engine)) {
                own_batch.retain(|other| *other != id);
            }
        }
        let outcome = Outcome::Answered {
            first_token: Span::ZERO,
            per_token,
        };
        router.finished(now, index, self.target, outcome, &mut self.rng);
        let load = (self.engines[engine].running, self.engines[engine].waiting());
        router.record_report(now, index, &load_report(load));
        let used = Tokens(u64::from(PROMPT_TOKENS + request.output));
        self.admitters[daemon].release(now, request.grant, used);
        self.resume_waiting(now, daemon);
    }

    fn resume_waiting(&mut self, now: Time, daemon: usize) {
        for ended in self.admitters[daemon].pump(now, &mut self.rng) {
            match ended {
                Resumed::Split(id) => self.start(now, id, None),
                Resumed::Ours(ticket, verdict) => {
                    let Some(id) = self.tickets.remove(&(daemon, ticket)) else {
                        continue;
                    };
                    match verdict {
                        Verdict::Start(grant) => self.start(now, id, Some(grant)),
                        Verdict::Refuse(refusal) => {
                            self.handle_refusal(now, id, refusal.retry_after)
                        }
                    }
                }
            }
        }
    }

    fn handle_tick(&mut self, now: Time) {
        self.events.add(now + TICK_INTERVAL, Event::Tick);
        for daemon in 0..self.admitters.len() {
            if let Some(fact) = self.admitters[daemon].tick(now) {
                self.results.facts += 1;
                let delay = Span(self.rng.random_range(0..MAX_FACT_DELAY.as_micros()));
                self.events.add(now + delay, Event::Fact(daemon, fact));
            }
            self.resume_waiting(now, daemon);
        }
        self.results.sample(now, self.running());
    }

    /// Number of interactive and batch requests running at engines.
    fn running(&self) -> (u32, u32) {
        let running = self.requests.values().filter(|r| r.is_running);
        running.fold((0, 0), |(interactive, batch), request| {
            match self.customers[request.customer].priority {
                Priority::Interactive => (interactive + 1, batch),
                Priority::Batch => (interactive, batch + 1),
            }
        })
    }

    fn sample_loads(&mut self, now: Time) {
        self.events.add(now + REPORT_INTERVAL, Event::Sample);
        let loads = self.engines.iter().map(|e| (e.running, e.waiting()));
        let loads = loads.collect();
        self.events.add(now + REPORT_LAG, Event::Report(loads));
    }

    fn deliver_reports(&mut self, now: Time, loads: &[(u32, u32)]) {
        for router in &mut self.routers {
            for (engine, load) in loads.iter().enumerate() {
                let mut report = load_report(*load);
                report.loaded = Some(vec![self.target]);
                router.record_report(now, UpstreamIndex(engine as u32), &report);
            }
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> Span {
    Span::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln())
}
