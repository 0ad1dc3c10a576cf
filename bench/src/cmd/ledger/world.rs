//! A fleet of ledgers in its own time.

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
const TICK: Span = Span::from_millis(200);
const STORE_WAY: Span = Span::from_millis(2);
const NEAREST_MICROS: u64 = 200;
const FARTHEST_MICROS: u64 = 800;
const START_MILLIS: u64 = 1_800_000_000_000;
const CUSTOMERS: u64 = 10;
const VERSIONS: u64 = 10;
const DOMAINS: usize = 4;
/// Others learn of a crash after so long.
const DETECTION: Span = Span::from_secs(3);
const SETTLING: Span = Span::from_secs(120);
/// A crash comes at a random moment of this many seconds, after as many.
const CRASH_SECS: u64 = 5;

/// What is unlike today's fleet without faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arm {
    /// Hosts lost at one moment: one at random, then the holder of its bills.
    pub hosts: u32,
    /// The store is down before the crash and for a while after.
    pub store_down: bool,
    /// Charges gather so long before they go to the second holder.
    pub hold: Option<Span>,
}

#[derive(Debug)]
enum Event {
    Answer,
    Deliver(usize, usize, Message),
    Call(usize, CallId, Request),
    Outcome(usize, CallId, Outcome),
    Tick(usize),
    Wake(usize),
    Forget(usize),
    StoreIsBack,
    Crash,
}

struct Daemon {
    peer: Peer,
    ledger: Ledger,
    is_alive: bool,
    waiting: BTreeMap<Receipt, (u64, Time)>,
    wake_at: Time,
}

/// What is known once everything is sealed and rolled up.
#[derive(Debug, Clone, Copy, Default)]
pub struct End {
    pub answered: u64,
    /// Requests whose daemon was lost before the end of their answer.
    pub cut: u64,
    pub lost: u64,
    pub doubled: u64,
}

/// A fleet of ledgers and a store.
pub struct World {
    now: Time,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: BTreeMap<u64, Event>,
    next_event: u64,
    daemons: Vec<Daemon>,
    members: Vec<Peer>,
    store: CountedStore,
    is_store_down: bool,
    gap: Span,
    until: Time,
    arm: Arm,
    requests: u64,
    answered: BTreeSet<u64>,
    custody: Histogram<u64>,
    busy: Duration,
    sent: (u64, u64),
    json_bytes: u64,
}

impl World {
    /// Daemons and requests a second.
    pub fn new((daemons, rate): (usize, u64), seed: u64, arm: Arm) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next_event: 0,
            daemons: Vec::new(),
            members: Vec::new(),
            store: CountedStore::new(),
            is_store_down: false,
            gap: Span::from_micros(1_000_000 / rate),
            until: Time::NEVER,
            arm,
            requests: 0,
            answered: BTreeSet::new(),
            custody: Histogram::new(3).expect("three digits are allowed"),
            busy: Duration::ZERO,
            sent: (0, 0),
            json_bytes: 0,
        };
        for index in 0..daemons {
            world.start(index, 1);
        }
        world
    }

    fn start(&mut self, index: usize, run: u64) {
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
            wake_at: Time::NEVER,
        });
        let phase = self.rng.random_range(0..TICK.as_micros());
        let last = self.daemons.len() - 1;
        self.at(self.now + Span(phase), Event::Tick(last));
    }

    fn at(&mut self, when: Time, event: Event) {
        self.next_event += 1;
        self.bodies.insert(self.next_event, event);
        self.events.push(Reverse((when, self.next_event)));
    }

    /// Serves requests for so long.
    pub fn run(&mut self, span: Span) {
        self.until = self.now + span;
        self.at(self.now + Span::from_secs(1), Event::Answer);
        self.is_store_down = self.arm.store_down;
        if self.arm.hosts > 0 {
            let micros = Span::from_secs(CRASH_SECS).as_micros();
            let moment = Span(micros + self.rng.random_range(0..micros));
            self.at(self.now + moment, Event::Crash);
            self.at(self.now + span, Event::StoreIsBack);
        }
        self.step_until(self.until);
    }

    fn step_until(&mut self, until: Time) {
        while let Some(Reverse((when, _))) = self.events.peek()
            && *when <= until
            && let Some(Reverse((when, number))) = self.events.pop()
        {
            self.now = when;
            if let Some(event) = self.bodies.remove(&number) {
                self.happen(event);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Answer => self.answer(),
            Event::Deliver(from, to, message) => {
                let id = self.daemons[from].peer.id.clone();
                self.act(to, |ledger, now| ledger.on_peer(now, &id, message));
            }
            Event::Call(from, id, request) => {
                let outcome = match self.is_store_down {
                    true => Err(CallError::NotSent("down".to_owned())),
                    false => self.store.call(self.now, &request),
                };
                self.at(self.now + STORE_WAY, Event::Outcome(from, id, outcome));
            }
            Event::Outcome(to, id, outcome) => {
                self.act(to, |ledger, now| ledger.on_store(now, id, outcome));
            }
            Event::Tick(index) => self.tick(index),
            Event::Wake(index) => {
                self.daemons[index].wake_at = Time::NEVER;
                self.act(index, Ledger::flush);
            }
            Event::Forget(index) => {
                let peer = self.daemons[index].peer.clone();
                self.members.retain(|member| *member != peer);
            }
            Event::StoreIsBack => self.is_store_down = false,
            Event::Crash => self.crash(),
        }
    }

    fn wall(&self) -> WallTime {
        WallTime(START_MILLIS + self.now.0 / 1000)
    }

    fn answer(&mut self) {
        if self.now.has_reached(self.until) {
            return;
        }
        self.at(self.now + self.gap, Event::Answer);
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
        let began = Instant::now();
        let receipt = self.daemons[index].ledger.record(self.now, bill);
        self.busy += began.elapsed();
        self.daemons[index]
            .waiting
            .insert(receipt, (number, self.now));
        self.act(index, Ledger::flush);
    }

    /// Records bills at the first daemon up to its bound; gives their number.
    pub fn fill(&mut self) -> u64 {
        while self.daemons[0].ledger.has_room(0) {
            let bill = self.bill(self.requests);
            self.requests += 1;
            self.daemons[0].ledger.record(self.now, bill);
            // Without peers the ends are released at once.
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

    /// One for each request where each must be found again in the totals.
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
        self.act(index, |ledger, now| ledger.tick(now, wall, &members));
        self.at(self.now + TICK, Event::Tick(index));
    }

    fn act(&mut self, index: usize, act: impl FnOnce(&mut Ledger, Time) -> Vec<Effect>) {
        let daemon = &mut self.daemons[index];
        if !daemon.is_alive {
            return;
        }
        let began = Instant::now();
        let effects = act(&mut daemon.ledger, self.now);
        self.busy += began.elapsed();
        for effect in effects {
            self.perform(index, effect);
        }
        let due = self.daemons[index].ledger.next_deadline();
        if due < self.daemons[index].wake_at {
            self.daemons[index].wake_at = due;
            self.at(due, Event::Wake(index));
        }
    }

    fn perform(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                self.sent.0 += 1;
                self.sent.1 += message.to_bytes().len() as u64;
                let way = self.rng.random_range(NEAREST_MICROS..FARTHEST_MICROS);
                let to = self.daemons.iter().position(|daemon| daemon.peer.id == to);
                if let Some(to) = to {
                    self.at(self.now + Span(way), Event::Deliver(from, to, message));
                }
            }
            Effect::Store { id, request } => {
                self.at(self.now + STORE_WAY, Event::Call(from, id, request));
            }
            Effect::Released { upto, .. } => self.release(from, upto),
        }
    }

    fn release(&mut self, index: usize, upto: Receipt) {
        let waiting = &mut self.daemons[index].waiting;
        let later = waiting.split_off(&Receipt(upto.0 + 1));
        for (number, since) in std::mem::replace(waiting, later).into_values() {
            self.answered.insert(number);
            // Fails only where a histogram without bounds cannot grow.
            let _ = self.custody.record(self.now.since(since).as_micros());
        }
    }

    /// Loses one host at random and, where two are to go, the holder of its bills.
    fn crash(&mut self) {
        let first = self.rng.random_range(0..self.daemons.len());
        self.lose(first);
        if self.arm.hosts > 1 {
            let holder = self.daemons[first].ledger.fill().holder;
            let mut daemons = self.daemons.iter();
            let holder = daemons.position(|daemon| Some(&daemon.peer.id) == holder.as_ref());
            holder.into_iter().for_each(|holder| self.lose(holder));
        }
    }

    fn lose(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
        self.at(self.now + DETECTION, Event::Forget(index));
    }

    /// Delay at the end of answers, in microseconds.
    pub fn custody(&self) -> &Histogram<u64> {
        &self.custody
    }

    /// What the load of so long took.
    pub fn figures(&self, span: Span) -> Figures {
        let secs = span.as_secs_f64();
        let bills = self.requests as f64;
        let daemons = self.daemons.len() as f64;
        let counts = self.store.counts;
        let custody = |quantile| self.custody.value_at_quantile(quantile) as f64 / 1e3;
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
                ("store_writes_per_s", counts.writes as f64 / secs),
                ("store_reads_per_s", counts.reads as f64 / secs),
                (
                    "store_keys_written_per_s",
                    counts.keys_written as f64 / secs,
                ),
                (
                    "store_bytes_written_per_s",
                    counts.bytes_written as f64 / secs,
                ),
                ("batch_bytes_per_bill", counts.batch_bytes as f64 / sealed),
                ("json_bytes_per_bill", self.json_bytes as f64 / sampled),
                ("message_bytes_per_bill", self.sent.1 as f64 / bills),
                (
                    "messages_per_daemon_per_s",
                    self.sent.0 as f64 / daemons / secs,
                ),
                (
                    "message_bytes_per_daemon_per_s",
                    self.sent.1 as f64 / daemons / secs,
                ),
                ("delay_p50_ms", custody(0.50)),
                ("delay_p99_ms", custody(0.99)),
                ("delay_max_ms", self.custody.max() as f64 / 1e3),
                (
                    "cpu_percent_per_daemon",
                    self.busy.as_secs_f64() / daemons / secs * 100.0,
                ),
                ("cpu_us_per_bill", self.busy.as_secs_f64() * 1e6 / bills),
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

    /// Bytes that stand in the store, by part of the ledger.
    pub fn stored(&self) -> BTreeMap<String, u64> {
        let (items, _) = self.store.table.range(PREFIX, Some("/c"), 0);
        let mut parts = BTreeMap::new();
        for (key, item) in items {
            let part = key.split('/').nth(4).unwrap_or_default().to_owned();
            *parts.entry(part).or_default() += (key.len() + item.value.len()) as u64;
        }
        parts
    }

    /// Waits until everything is sealed and rolled up, and compares.
    pub fn settle(&mut self) -> End {
        self.step_until(self.now + SETTLING);
        let totals = self.export();
        let billed: u64 = totals.values().sum();
        let answered = self.answered.len() as u64;
        let cut = self.requests - answered;
        if self.arm.hosts == 0 {
            let (lost, doubled) = (
                answered.saturating_sub(billed),
                billed.saturating_sub(answered),
            );
            return End {
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
        End {
            answered,
            cut,
            lost,
            doubled,
        }
    }

    /// Bills in the totals by customer.
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
