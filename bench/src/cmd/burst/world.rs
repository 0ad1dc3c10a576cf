//! Customers, daemons and engines of one arm in fast time.

use std::collections::BTreeMap;

use limits::{AdmissionRequest, DemandFact, Grant, Ticket, Verdict};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use routing::{Outcome, RouteRequest, Router, TargetIndex, UpstreamIndex};
use types::prelude::*;

use super::admitter::{Admitter, Answer, Ended, Kind};
use super::found::Found;
use super::upstreams::{ENGINES, SLOTS, load_report, routers};
use crate::fake::engine::{Engine, Job, Started};
use crate::fake::events::Events;

/// Slots of all engines.
pub const ALL_SLOTS: u32 = ENGINES as u32 * SLOTS;
const PROMPT_TOKENS: u32 = 500;
const OUTPUT_TOKENS: f64 = 150.0;
const TICK: Span = Span::from_millis(100);
const REPORT_INTERVAL: Span = Span::from_secs(4);
const REPORT_LAG: Span = Span::from_millis(500);
/// Time that a fact takes to all daemons, at most.
const FACT_DELAY: Span = Span::from_secs(1);
const INTERACTIVE_DEADLINE: Span = Span::from_secs(20);
const BATCH_DEADLINE: Span = Span::from_secs(60);
const MAX_TRIES: u32 = 20;
/// Milliseconds between tokens that a cancelled batch request is reckoned to have had.
const TOKEN_MILLIS: u64 = 30;
/// When the batch begins and ends, and when the arm ends.
pub const BURST: (Time, Time) = (Time(60_000_000), Time(150_000_000));
const END: Time = Time(160_000_000);

/// A customer's load.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its name.
    pub id: CustomerId,
    /// What goes first.
    pub priority: Priority,
    /// Requests a second.
    pub rate: f64,
    /// Only during the burst.
    pub in_burst: bool,
    /// Its limit, if any.
    pub limit: Option<Rate>,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Try(u64),
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
    tries: u32,
    /// Counts its runs at engines, so that events of an earlier run are known.
    run: u32,
    engine: Option<usize>,
    /// Runs at its engine, rather than waits there.
    is_running: bool,
    first_token: Option<Time>,
    grant: Option<Grant>,
}

/// One arm under way.
pub struct World<'a> {
    kind: Kind,
    customers: &'a [Customer],
    generators: Vec<SmallRng>,
    events: Events<Event>,
    engines: Vec<Engine>,
    admitters: Vec<Admitter>,
    routers: Vec<Router>,
    target: TargetIndex,
    requests: BTreeMap<u64, Request>,
    tickets: BTreeMap<(usize, Ticket), u64>,
    batch: BTreeMap<(usize, usize), Vec<u64>>,
    pool: EntryName,
    rng: SmallRng,
    last_id: u64,
    found: Found,
}

impl<'a> World<'a> {
    /// A fleet of daemons that admit alike. What customers send depends on the seed only.
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
        let generator = |n| SmallRng::seed_from_u64(seed * 1_000 + n as u64);
        Self {
            kind,
            generators: (0..customers.len()).map(generator).collect(),
            events,
            engines: (0..ENGINES).map(|_| Engine::new(SLOTS)).collect(),
            admitters: (0..daemons).map(admitter).collect(),
            routers,
            target,
            requests: BTreeMap::new(),
            tickets: BTreeMap::new(),
            batch: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            last_id: 0,
            found: Found::new(customers.len()),
            customers,
            pool,
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
            Event::Arrive(customer) => self.arrive(now, customer),
            Event::Try(id) => self.ask(now, id),
            Event::FirstToken(id, run) => self.first_token(now, id, run),
            Event::End(id, run, per_token) => self.end(now, id, run, per_token),
            Event::Tick => self.tick(now),
            Event::Fact(from, fact) => {
                for admitter in &mut self.admitters {
                    admitter.hear(from, &fact);
                }
            }
            Event::Sample => self.sample(now),
            Event::Report(loads) => self.report(now, &loads),
        }
    }

    fn arrive(&mut self, now: Time, number: usize) {
        let customer = &self.customers[number];
        let rng = &mut self.generators[number];
        let next = now + exponential(rng, 1.0 / customer.rate);
        let output = exponential(rng, OUTPUT_TOKENS).as_secs_f64();
        let daemon = rng.random_range(0..self.admitters.len());
        self.events.add(next, Event::Arrive(number));
        if customer.in_burst && !(BURST.0..BURST.1).contains(&now) {
            return;
        }
        self.last_id += 1;
        let request = Request {
            customer: number,
            daemon,
            output: output.clamp(5.0, 600.0) as u32,
            done: 0,
            arrived: now,
            tries: 0,
            run: 0,
            engine: None,
            is_running: false,
            first_token: None,
            grant: None,
        };
        self.requests.insert(self.last_id, request);
        self.found.arrived(now, number);
        self.ask(now, self.last_id);
    }

    fn ask(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.tries += 1;
        let daemon = request.daemon;
        let customer = &self.customers[request.customer];
        let within = match customer.priority {
            Priority::Interactive => INTERACTIVE_DEADLINE,
            Priority::Batch => BATCH_DEADLINE,
        };
        let ask = AdmissionRequest {
            customer: customer.id.clone(),
            offer: self.pool.clone(),
            pool: self.pool.clone(),
            priority: customer.priority,
            tokens: Tokens(u64::from(PROMPT_TOKENS) + OUTPUT_TOKENS as u64),
            deadline: now + within,
        };
        match self.admitters[daemon].admit(now, id, ask, &mut self.rng) {
            Answer::Start(grant) => self.start(now, id, grant),
            Answer::Wait(Some(ticket)) => drop(self.tickets.insert((daemon, ticket), id)),
            Answer::Wait(None) => (),
            Answer::Refuse(retry_after) => self.refused(now, id, retry_after),
        }
    }

    /// A caller comes again when it was told to, through any daemon. Work under way comes
    /// again to its own daemon.
    fn refused(&mut self, now: Time, id: u64, retry_after: Span) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.found.refused(now, request.customer);
        if request.tries >= MAX_TRIES {
            self.requests.remove(&id);
            return;
        }
        if request.done == 0 {
            request.daemon = self.rng.random_range(0..self.admitters.len());
        }
        self.events.add(now + retry_after, Event::Try(id));
    }

    fn start(&mut self, now: Time, id: u64, grant: Option<Grant>) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.run == 0 {
                self.found.started(now, request.customer);
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
        let picked = router.pick(now, &route_request, &mut self.rng);
        let picked = picked.expect("every engine is live");
        let yields = priority == Priority::Interactive && router.should_preempt_batch(now, picked);
        router.started(picked, &route_request);
        self.send(now, id, picked.0 as usize, priority);
        if yields && self.kind == (Kind::Ours { give_way: true }) {
            self.give_way(now, daemon, picked.0 as usize);
        }
    }

    fn send(&mut self, now: Time, id: u64, engine: usize, priority: Priority) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.run += 1;
        request.engine = Some(engine);
        let told = match self.kind {
            Kind::Open { priorities: false } => Priority::Interactive,
            _ => priority,
        };
        let job = Job {
            id,
            priority: told,
            prompt: vec![(id, PROMPT_TOKENS), (id ^ 1 << 63, request.done)],
            output: request.output - request.done,
        };
        let started = self.engines[engine].arrive(now, job);
        self.follow(started);
    }

    /// The daemon's latest batch request at an engine is cancelled; it goes on later from
    /// the tokens that it has.
    fn give_way(&mut self, now: Time, daemon: usize, engine: usize) {
        let own = self.batch.get_mut(&(daemon, engine));
        let Some(id) = own.and_then(Vec::pop) else {
            return;
        };
        let started = self.engines[engine].cancel(now, id);
        self.follow(started);
        let index = UpstreamIndex(engine as u32);
        let router = &mut self.routers[daemon];
        router.preemptible_ended(index);
        router.finished(now, index, self.target, Outcome::Cancelled, &mut self.rng);
        self.found.gave_way += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.run += 1;
        request.engine = None;
        request.is_running = false;
        if let Some(first) = request.first_token.take() {
            let tokens = now.since(first).as_millis() / TOKEN_MILLIS;
            request.done = (request.done + tokens as u32).min(request.output - 1);
        }
        let grant = request.grant.take();
        if let Some(ticket) = self.admitters[daemon].give_way(grant) {
            self.tickets.insert((daemon, ticket), id);
        }
    }

    fn follow(&mut self, started: Option<Started>) {
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
            self.found
                .first_token(request.arrived, now, request.customer);
        }
        let priority = self.customers[request.customer].priority;
        if let (Some(engine), Priority::Batch) = (request.engine, priority) {
            let at = (request.daemon, engine);
            self.routers[request.daemon].preemptible_started(UpstreamIndex(engine as u32));
            self.batch.entry(at).or_default().push(id);
        }
    }

    fn end(&mut self, now: Time, id: u64, run: u32, per_token: Span) {
        let is_current = self.requests.get(&id).is_some_and(|r| r.run == run);
        if !is_current {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let (daemon, customer) = (request.daemon, request.customer);
        let engine = request.engine.expect("a running request has an engine");
        let started = self.engines[engine].end(now);
        self.follow(started);
        self.found.ended(now, customer);
        let index = UpstreamIndex(engine as u32);
        let router = &mut self.routers[daemon];
        let had_begun = request.first_token.is_some();
        if had_begun && self.customers[customer].priority == Priority::Batch {
            router.preemptible_ended(index);
            if let Some(own) = self.batch.get_mut(&(daemon, engine)) {
                own.retain(|other| *other != id);
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
        self.pump(now, daemon);
    }

    fn pump(&mut self, now: Time, daemon: usize) {
        for ended in self.admitters[daemon].pump(now, &mut self.rng) {
            match ended {
                Ended::Split(id) => self.start(now, id, None),
                Ended::Ours(ticket, verdict) => {
                    let Some(id) = self.tickets.remove(&(daemon, ticket)) else {
                        continue;
                    };
                    match verdict {
                        Verdict::Start(grant) => self.start(now, id, Some(grant)),
                        Verdict::Refuse(refusal) => self.refused(now, id, refusal.retry_after),
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.events.add(now + TICK, Event::Tick);
        for daemon in 0..self.admitters.len() {
            if let Some(fact) = self.admitters[daemon].tick(now) {
                self.found.facts += 1;
                let delay = Span(self.rng.random_range(0..FACT_DELAY.as_micros()));
                self.events.add(now + delay, Event::Fact(daemon, fact));
            }
            self.pump(now, daemon);
        }
        self.found.sample(now, self.running());
    }

    /// Interactive and batch requests that run at engines.
    fn running(&self) -> (u32, u32) {
        let running = self.requests.values().filter(|r| r.is_running);
        running.fold((0, 0), |(interactive, batch), request| {
            match self.customers[request.customer].priority {
                Priority::Interactive => (interactive + 1, batch),
                Priority::Batch => (interactive, batch + 1),
            }
        })
    }

    fn sample(&mut self, now: Time) {
        self.events.add(now + REPORT_INTERVAL, Event::Sample);
        let loads = self.engines.iter().map(|e| (e.running, e.waiting()));
        let loads = loads.collect();
        self.events.add(now + REPORT_LAG, Event::Report(loads));
    }

    fn report(&mut self, now: Time, loads: &[(u32, u32)]) {
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
