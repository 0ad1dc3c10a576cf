//! Simulates a fleet of ledgers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use keyvalue::{CallError, Outcome, Request};
use ledger::{
    Bill, BillId, CallId, Config, Effect, Export, Item, Ledger, Message, Peer, Receipt, Step,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

use super::store::CountedStore;
use crate::report::Figures;

const PREFIX: &str = "/buckthorncross/bench";
const TICK_INTERVAL: Span = Span::from_millis(200);
const STORE_ONE_WAY: Span = Span::from_millis(2);
const MIN_NETWORK_MICROS: u64 = 200;
const MAX_NETWORK_MICROS: u64 = 800;
const START_MILLIS: u64 = 1_800_000_000_000;
const CUSTOMERS: u64 = 10;
const VERSIONS: u64 = 10;
const DOMAINS: usize = 4;
/// Time after which the other daemons learn of a crash.
const CRASH_DETECTION: Span = Span::from_secs(3);
const SETTLING_TIME: Span = Span::from_secs(120);
/// Length in seconds of the window in which the crash happens at a random time. The window starts
/// the same number of seconds after the start of the load.
const CRASH_WINDOW_SECONDS: u64 = 5;

/// Deviations of an arm from the current fleet without faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArmConfig {
    /// Hosts that crash at the same time: a random one, then the holder of its bills.
    pub hosts: u32,
    /// Whether the store is down before the crash and for a while after.
    pub store_down: bool,
    /// How long charges are collected before they are sent to the second holder.
    pub hold: Option<Span>,
}

#[derive(Debug)]
enum Event {
    Answer,
    Deliver(usize, usize, Message),
    Call(usize, CallId, Request),
    Outcome(usize, CallId, Outcome),
    Tick(usize),
    Flush(usize),
    RemoveMember(usize),
    StoreUp,
    Crash,
}

struct Daemon {
    peer: Peer,
    ledger: Ledger,
    is_alive: bool,
    waiting: BTreeMap<Receipt, (u64, Time)>,
    flush_at: Time,
}

/// Counts after everything is sealed and rolled up.
#[derive(Debug, Clone, Copy, Default)]
pub struct FinalCounts {
    pub answered: u64,
    /// Requests whose daemon crashed before the end of their answer.
    pub cut: u64,
    pub lost: u64,
    pub doubled: u64,
}

/// Simulation of a fleet of ledgers and a store.
pub struct Simulation {
    now: Time,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    last_event: u64,
    daemons: Vec<Daemon>,
    members: Vec<Peer>,
    store: CountedStore,
    is_store_down: bool,
    request_interval: Span,
    until: Time,
    arm: ArmConfig,
    requests: u64,
    answered: BTreeSet<u64>,
    replication_delay: Histogram<u64>,
    cpu_time: Duration,
    sent: (u64, u64),
    json_bytes: u64,
}

impl Simulation {
    /// Creates a simulation with a number of daemons and of requests per second.
    pub fn new((daemons, rate): (usize, u64), seed: u64, arm: ArmConfig) -> Self {
        let mut simulation = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            last_event: 0,
            daemons: Vec::new(),
            members: Vec::new(),
            store: CountedStore::new(),
            is_store_down: false,
            request_interval: Span::from_micros(1_000_000 / rate),
            until: Time::NEVER,
            arm,
            requests: 0,
            answered: BTreeSet::new(),
            replication_delay: Histogram::new(3).expect("three digits are allowed"),
            cpu_time: Duration::ZERO,
            sent: (0, 0),
            json_bytes: 0,
        };
        for index in 0..daemons {
            simulation.start_daemon(index, 1);
        }
        simulation
    }

    fn start_daemon(&mut self, index: usize, run: u64) {
        let peer = Peer {
            id: format!("entry-{index}").parse().expect("a name"),
            incarnation: Incarnation(run),
            failure_domain: format!("domain-{}", index % DOMAINS)
                .parse()
                .expect("a name"),
            region: "here".parse().expect("a name"),
        };
        let mut cfg = Config::new(peer.clone(), PREFIX);
        cfg.replication_interval = self.arm.hold.unwrap_or(cfg.replication_interval);
        let ledger = Ledger::new(cfg);
        self.members.push(peer.clone());
        self.daemons.push(Daemon {
            peer,
            ledger,
            is_alive: true,
            waiting: BTreeMap::new(),
            flush_at: Time::NEVER,
        });
        let phase = self.rng.random_range(0..TICK_INTERVAL.as_micros());
        let last = self.daemons.len() - 1;
        self.schedule(self.now + Span(phase), Event::Tick(last));
    }

    fn schedule(&mut self, when: Time, event: Event) {
        self.last_event += 1;
        self.pending_events.insert(self.last_event, event);
        self.events.push(Reverse((when, self.last_event)));
    }

    /// Serves requests for the given time.
    pub fn run(&mut self, span: Span) {
        self.until = self.now + span;
        self.schedule(self.now + Span::from_secs(1), Event::Answer);
        self.is_store_down = self.arm.store_down;
        if self.arm.hosts > 0 {
            let micros = Span::from_secs(CRASH_WINDOW_SECONDS).as_micros();
            let moment = Span(micros + self.rng.random_range(0..micros));
            self.schedule(self.now + moment, Event::Crash);
            self.schedule(self.now + span, Event::StoreUp);
        }
        self.run_until(self.until);
    }

    fn run_until(&mut self, until: Time) {
        while let Some(Reverse((when, _))) = self.events.peek()
            && *when <= until
            && let Some(Reverse((when, number))) = self.events.pop()
        {
            self.now = when;
            if let Some(event) = self.pending_events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Answer => self.answer_request(),
            Event::Deliver(from, to, message) => {
                let id = self.daemons[from].peer.id.clone();
                self.run_ledger(to, |ledger, now| ledger.on_peer(now, &id, message));
            }
            Event::Call(from, id, request) => {
                let outcome = match self.is_store_down {
                    true => Err(CallError::NotSent("down".to_owned())),
                    false => self.store.call(self.now, &request),
                };
                self.schedule(self.now + STORE_ONE_WAY, Event::Outcome(from, id, outcome));
            }
            Event::Outcome(to, id, outcome) => {
                self.run_ledger(to, |ledger, now| ledger.on_store(now, id, outcome));
            }
            Event::Tick(index) => self.tick(index),
            Event::Flush(index) => {
                self.daemons[index].flush_at = Time::NEVER;
                self.run_ledger(index, Ledger::flush);
            }
            Event::RemoveMember(index) => {
                let peer = self.daemons[index].peer.clone();
                self.members.retain(|member| *member != peer);
            }
            Event::StoreUp => self.is_store_down = false,
            Event::Crash => self.crash_hosts(),
        }
    }

    fn wall(&self) -> WallTime {
        WallTime(START_MILLIS + self.now.0 / 1000)
    }

    fn answer_request(&mut self) {
        if self.now.has_reached(self.until) {
            return;
        }
        self.schedule(self.now + self.request_interval, Event::Answer);
        let index = self.rng.random_range(0..self.daemons.len());
        if !self.daemons[index].is_alive {
            return;
        }
        let number = self.requests;
        self.requests += 1;
        let bill = self.bill(number);
        if number.is_multiple_of(1000) {
            self.json_bytes += serde_json::to_vec(&bill).map_or(0, |text| text.len() as u64);
        }
        let started_at = Instant::now();
        let receipt = self.daemons[index].ledger.record(self.now, bill);
        self.cpu_time += started_at.elapsed();
        self.daemons[index]
            .waiting
            .insert(receipt, (number, self.now));
        self.run_ledger(index, Ledger::flush);
    }

    /// Records bills at the first daemon up to its limit; returns their number.
    pub fn fill(&mut self) -> u64 {
        while self.daemons[0].ledger.has_room(0) {
            let bill = self.bill(self.requests);
            self.requests += 1;
            self.daemons[0].ledger.record(self.now, bill);
            // Without peers, the ends of answers are released at once.
            self.daemons[0].ledger.flush(self.now);
        }
        self.requests
    }

    fn bill(&mut self, number: u64) -> Bill {
        let request = RequestId::random(&mut self.rng);
        let (input, output) = (
            self.rng.random_range(50..4000),
            self.rng.random_range(5..800),
        );
        Bill {
            id: BillId {
                customer: self.customer(number),
                request,
            },
            item: Item::Version {
                offer: "brief-writer".parse().expect("a name"),
                version: format!("brief-large@2026-{}", number % VERSIONS)
                    .parse()
                    .expect("a version"),
            },
            input: Tokens(input),
            output: Tokens(output),
            cost: Cost(input + 3 * output),
            at: self.wall(),
            attempts: 1,
        }
    }

    /// Returns the customer of a request. In crash arms each request has its own customer, so that
    /// its bill can be found in the totals.
    fn customer(&self, number: u64) -> CustomerId {
        let number = match self.arm.hosts {
            0 => number % CUSTOMERS,
            _ => number,
        };
        format!("customer-{number}").parse().expect("a name")
    }

    fn tick(&mut self, index: usize) {
        if !self.daemons[index].is_alive {
            return;
        }
        let wall = self.wall();
        let me = &self.daemons[index].peer.id;
        let members: Vec<_> = self
            .members
            .iter()
            .filter(|peer| peer.id != *me)
            .cloned()
            .collect();
        self.run_ledger(index, |ledger, now| ledger.tick(now, wall, &members));
        self.schedule(self.now + TICK_INTERVAL, Event::Tick(index));
    }

    fn run_ledger(&mut self, index: usize, call: impl FnOnce(&mut Ledger, Time) -> Vec<Effect>) {
        let daemon = &mut self.daemons[index];
        if !daemon.is_alive {
            return;
        }
        let started_at = Instant::now();
        let effects = call(&mut daemon.ledger, self.now);
        self.cpu_time += started_at.elapsed();
        for effect in effects {
            self.apply_effect(index, effect);
        }
        let due = self.daemons[index].ledger.next_deadline();
        if due < self.daemons[index].flush_at {
            self.daemons[index].flush_at = due;
            self.schedule(due, Event::Flush(index));
        }
    }

    fn apply_effect(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                self.sent.0 += 1;
                self.sent.1 += message.to_bytes().len() as u64;
                let delay = self
                    .rng
                    .random_range(MIN_NETWORK_MICROS..MAX_NETWORK_MICROS);
                let to = self.daemons.iter().position(|daemon| daemon.peer.id == to);
                if let Some(to) = to {
                    self.schedule(self.now + Span(delay), Event::Deliver(from, to, message));
                }
            }
            Effect::Store { id, request } => {
                self.schedule(self.now + STORE_ONE_WAY, Event::Call(from, id, request));
            }
            Effect::Released { upto, .. } => self.release_answers(from, upto),
        }
    }

    fn release_answers(&mut self, index: usize, upto: Receipt) {
        let waiting = &mut self.daemons[index].waiting;
        let later = waiting.split_off(&Receipt(upto.0 + 1));
        for (number, since) in std::mem::replace(waiting, later).into_values() {
            self.answered.insert(number);
            // Fails only if an auto-resizing histogram can't grow.
            let _ = self
                .replication_delay
                .record(self.now.since(since).as_micros());
        }
    }

    /// Crashes a random host and, if two are to crash, the holder of its bills.
    fn crash_hosts(&mut self) {
        let first = self.rng.random_range(0..self.daemons.len());
        self.crash_host(first);
        if self.arm.hosts > 1 {
            let holder = self.daemons[first].ledger.fill().holder;
            let mut daemons = self.daemons.iter();
            let holder = daemons.position(|daemon| Some(&daemon.peer.id) == holder.as_ref());
            holder
                .into_iter()
                .for_each(|holder| self.crash_host(holder));
        }
    }

    fn crash_host(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
        self.schedule(self.now + CRASH_DETECTION, Event::RemoveMember(index));
    }

    /// Delay at the end of answers in microseconds.
    pub fn replication_delay(&self) -> &Histogram<u64> {
        &self.replication_delay
    }

    /// Returns the figures of a load of the given duration.
    pub fn figures(&self, span: Span) -> Figures {
        let seconds = span.as_secs_f64();
        let bills = self.requests as f64;
        let daemons = self.daemons.len() as f64;
        let counts = self.store.counts;
        let replication_delay =
            |quantile| self.replication_delay.value_at_quantile(quantile) as f64 / 1e3;
        let sampled = self.requests.div_ceil(1000) as f64;
        let fills: Vec<_> = self
            .daemons
            .iter()
            .map(|daemon| daemon.ledger.fill())
            .collect();
        let unsealed: usize = fills.iter().map(|fill| fill.own).sum();
        let sealed = bills - unsealed as f64;
        let fingerprints: usize = fills.iter().map(|fill| fill.fingerprints).sum();
        Figures::from(
            [
                ("bills", bills),
                ("store_writes_per_s", counts.writes as f64 / seconds),
                ("store_reads_per_s", counts.reads as f64 / seconds),
                (
                    "store_keys_written_per_s",
                    counts.keys_written as f64 / seconds,
                ),
                (
                    "store_bytes_written_per_s",
                    counts.bytes_written as f64 / seconds,
                ),
                ("batch_bytes_per_bill", counts.batch_bytes as f64 / sealed),
                ("json_bytes_per_bill", self.json_bytes as f64 / sampled),
                ("message_bytes_per_bill", self.sent.1 as f64 / bills),
                (
                    "messages_per_daemon_per_s",
                    self.sent.0 as f64 / daemons / seconds,
                ),
                (
                    "message_bytes_per_daemon_per_s",
                    self.sent.1 as f64 / daemons / seconds,
                ),
                ("delay_p50_ms", replication_delay(0.50)),
                ("delay_p99_ms", replication_delay(0.99)),
                ("delay_max_ms", self.replication_delay.max() as f64 / 1e3),
                (
                    "cpu_percent_per_daemon",
                    self.cpu_time.as_secs_f64() / daemons / seconds * 100.0,
                ),
                ("cpu_us_per_bill", self.cpu_time.as_secs_f64() * 1e6 / bills),
                ("fingerprints", fingerprints as f64),
                (
                    "unsealed_per_daemon",
                    mean(fills.iter().map(|fill| fill.own)),
                ),
                (
                    "custody_per_daemon",
                    mean(fills.iter().map(|fill| fill.custody)),
                ),
            ]
            .map(|(name, value)| (name.to_owned(), value)),
        )
    }

    /// Bytes in the store by part of the ledger.
    pub fn stored_bytes(&self) -> BTreeMap<String, u64> {
        let (items, _) = self.store.table.range(PREFIX, Some("/c"), 0);
        let mut parts = BTreeMap::new();
        for (key, item) in items {
            let part = key.split('/').nth(4).unwrap_or_default().to_owned();
            *parts.entry(part).or_default() += (key.len() + item.value.len()) as u64;
        }
        parts
    }

    /// Waits until everything is sealed and rolled up, then compares bills with answers.
    pub fn settle(&mut self) -> FinalCounts {
        self.run_until(self.now + SETTLING_TIME);
        let totals = self.export();
        let billed: u64 = totals.values().sum();
        let answered = self.answered.len() as u64;
        let cut = self.requests - answered;
        if self.arm.hosts == 0 {
            let (lost, doubled) = (
                answered.saturating_sub(billed),
                billed.saturating_sub(answered),
            );
            return FinalCounts {
                answered,
                cut,
                lost,
                doubled,
            };
        }
        let customers = self.answered.iter().map(|number| self.customer(*number));
        let lost = customers.filter(|customer| !totals.contains_key(customer));
        let lost = lost.count() as u64;
        let doubled = totals.values().filter(|bills| **bills > 1).count() as u64;
        FinalCounts {
            answered,
            cut,
            lost,
            doubled,
        }
    }

    /// Exports the number of bills by customer.
    fn export(&mut self) -> BTreeMap<CustomerId, u64> {
        let mut export = Export::new(PREFIX, WallTime(0), WallTime(START_MILLIS * 2));
        let mut request = export.start();
        let statement = loop {
            let outcome = self.store.call(self.now, &request);
            match export.on_store(outcome).expect("the stand-in answers") {
                Step::Call(next) => request = next,
                Step::Done(statement) => break statement,
            }
        };
        let mut totals = BTreeMap::new();
        for row in statement.rows() {
            *totals.entry(row.customer).or_default() += row.requests;
        }
        totals
    }
}

fn mean(values: impl ExactSizeIterator<Item = usize>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<usize>() as f64 / count
}
