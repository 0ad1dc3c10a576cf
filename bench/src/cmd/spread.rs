//! `spread`: how an accepted edit comes into force in all daemons, and what that costs.
//!
//! The daemons' [`Sync`]s run in one thread in simulated time. Messages have a network delay and
//! the store is the stand-in's table. Processor time is real. In the naive arm, for comparison,
//! every daemon watches the store itself.

mod large;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::head::{Change, Head, Keys};
use catalogue::record::{EncodedRecord, Record};
use catalogue::sync::{Config, Effect, Member, Message, Sync};
use catalogue::{entry::Entry, file};
use keyvalue::{Request, Txn};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::store::Table;
use types::prelude::*;

use crate::cli;
use crate::report::Report;

const KOCHI: &str = include_str!("../../../examples/kochi.yaml");
const SIZES: [usize; 6] = [8, 16, 32, 64, 128, 460];
const DOMAINS: [usize; 6] = [4, 4, 4, 4, 4, 16];
const MAX_NAIVE_SIZE: usize = 128;
const TICK_INTERVAL: Span = Span::from_millis(200);
const SETTLING_TIME: Span = Span::from_secs(10);
/// Minimum one-way delay between failure domains, as at Clasach. Jitter adds up to the same again.
const MIN_NETWORK_DELAY: Span = Span::from_micros(1_500);
const STORE_CALL_DELAY: Span = Span::from_millis(4);

/// Runs the experiment.
pub fn run(options: &cli::Spread) -> eyre::Result<Report> {
    let mut report = Report::new("spread", options.seed);
    large::measure(&mut report, &example_service()?)?;
    for (size, domains) in SIZES.into_iter().zip(DOMAINS) {
        for naive in [false, true] {
            // In the naive arm only the store calls grow with the fleet, so the largest size is not
            // needed.
            if naive && size > MAX_NAIVE_SIZE {
                continue;
            }
            let mut simulation = Simulation::new(size, domains, naive, options.seed)?;
            simulation.measure(options.edits)?;
            let label = if naive { "naive" } else { "spread" };
            simulation.report_results(&mut report, &format!("{label} {size}"));
        }
    }
    Ok(report)
}

enum Event {
    Tick(usize),
    Message {
        from: usize,
        to: usize,
        bytes: bytes::Bytes,
    },
    StoreCall {
        to: usize,
        req: Request,
    },
    WatchEvents {
        to: usize,
        from: i64,
    },
    Edit(u64),
}

struct Simulation {
    now: Time,
    rng: StdRng,
    table: Table,
    keys: Keys,
    daemons: Vec<Sync>,
    members: Vec<Member>,
    indexes: BTreeMap<DaemonId, usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    last_number: u64,
    entry: Arc<Entry>,
    entries: Vec<EntryName>,
    head: Head,
    accepted_at: BTreeMap<Revision, Time>,
    in_force: Vec<f64>,
    applied_revision: Vec<Revision>,
    bytes: u64,
    calls: u64,
    watches: u64,
    cpu_time: Duration,
    violations: u64,
    load_duration: Span,
}

impl Simulation {
    fn new(size: usize, domains: usize, naive: bool, seed: u64) -> eyre::Result<Self> {
        let cluster = ClusterName::new("bench")?;
        let members = (0..size).map(|index| member(index, domains));
        let members = members.collect::<eyre::Result<Vec<_>>>()?;
        let daemons = members.iter().map(|member| {
            let mut cfg = Config::new(member.id.clone(), &cluster);
            if naive {
                cfg.watchers_per_domain = size;
            }
            Sync::new(cfg)
        });
        let indexes = members.iter().enumerate();
        let mut simulation = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            table: Table::new(),
            keys: Keys::new(&cluster),
            daemons: daemons.collect(),
            indexes: indexes
                .map(|(index, member)| (member.id.clone(), index))
                .collect(),
            members,
            queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            last_number: 0,
            entry: Arc::new(example_service()?),
            entries: (0..40)
                .map(|n| EntryName::new(&format!("services/s{n}")))
                .collect::<Result<_, _>>()?,
            head: Head::default(),
            accepted_at: BTreeMap::new(),
            in_force: Vec::new(),
            applied_revision: vec![Revision(0); size],
            bytes: 0,
            calls: 0,
            watches: 0,
            cpu_time: Duration::ZERO,
            violations: 0,
            load_duration: Span::ZERO,
        };
        for index in 0..size {
            let first =
                Span::from_micros(simulation.rng.random_range(0..TICK_INTERVAL.as_micros()));
            simulation.schedule(Time::ZERO + first, Event::Tick(index));
        }
        Ok(simulation)
    }

    /// Makes edits at 0.3 per second, then a burst of 50, and measures the daemons meanwhile.
    fn measure(&mut self, edits: u64) -> eyre::Result<()> {
        self.run_until(Time::ZERO + SETTLING_TIME)?;
        (self.bytes, self.calls, self.cpu_time) = (0, 0, Duration::ZERO);
        let load_start = self.now;
        for edit in 0..edits {
            let gap = Span::from_micros(edit * 10_000_000 / 3);
            self.schedule(load_start + gap, Event::Edit(edit));
        }
        let burst = load_start + Span::from_micros(edits * 10_000_000 / 3);
        for edit in 0..50 {
            self.schedule(
                burst + Span::from_millis(10 * edit),
                Event::Edit(edits + edit),
            );
        }
        let end = burst + SETTLING_TIME;
        self.run_until(end)?;
        self.load_duration = end.since(load_start);
        let expected = self.accepted_at.len() * self.daemons.len();
        self.violations += (expected - self.in_force.len()) as u64;
        Ok(())
    }

    fn report_results(&mut self, report: &mut Report, arm: &str) {
        self.in_force.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let index = (self.in_force.len() as f64 * share) as usize;
            self.in_force
                .get(index.min(self.in_force.len().saturating_sub(1)))
        };
        for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            let value = quantile(share).copied().unwrap_or(f64::NAN);
            report.note(arm, &format!("in_force_{name}_ms"), value);
        }
        let seconds = self.load_duration.as_secs_f64();
        let daemon_seconds = seconds * self.daemons.len() as f64;
        report.note(arm, "store_calls_per_s", self.calls as f64 / seconds);
        report.note(arm, "store_watches", self.watches as f64);
        report.note(
            arm,
            "sent_bytes_per_daemon_per_s",
            self.bytes as f64 / daemon_seconds,
        );
        let core = self.cpu_time.as_secs_f64() / daemon_seconds;
        report.note(arm, "core_percent_per_daemon", 100.0 * core);
        report.violations += self.violations;
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.last_number += 1;
        self.pending_events.insert(self.last_number, event);
        self.queue.push(Reverse((time, self.last_number)));
    }

    fn run_until(&mut self, end: Time) -> eyre::Result<()> {
        while let Some(Reverse((time, number))) = self.queue.peek().copied()
            && time <= end
        {
            self.queue.pop();
            self.now = time;
            if let Some(event) = self.pending_events.remove(&number) {
                self.handle(event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) -> eyre::Result<()> {
        let is_tick = matches!(event, Event::Tick(_));
        let started_at = Instant::now();
        let (now, rng) = (self.now, &mut self.rng);
        let (index, effects) = match event {
            Event::Tick(index) => (index, self.daemons[index].tick(now, &self.members, rng)),
            Event::Message { from, to, bytes } => {
                let message = Message::decode(&bytes)?;
                let from = &self.members[from].id;
                (to, self.daemons[to].on_message(now, from, message, rng))
            }
            Event::StoreCall { to, req } => {
                let outcome = self.table.call(now, &req);
                (to, self.daemons[to].on_store(now, outcome, rng))
            }
            Event::WatchEvents { to, from } => return self.deliver_watch_events(to, from),
            Event::Edit(number) => return self.make_edit(number),
        };
        self.cpu_time += started_at.elapsed();
        if is_tick {
            self.schedule(now + TICK_INTERVAL, Event::Tick(index));
        }
        self.apply_effects(index, effects)
    }

    /// Delivers changes to a watcher. The next delivery is scheduled when something is written.
    fn deliver_watch_events(&mut self, to: usize, from: i64) -> eyre::Result<()> {
        let end = format!("{}\u{7f}", self.keys.all());
        let changes = self.table.changes(from, self.keys.all(), Some(&end));
        let events: Vec<_> = changes
            .unwrap_or_default()
            .into_iter()
            .map(Into::into)
            .collect();
        let started_at = Instant::now();
        let effects = self.daemons[to].on_watch(self.now, &events, &mut self.rng);
        self.cpu_time += started_at.elapsed();
        self.apply_effects(to, effects)
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) -> eyre::Result<()> {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let started_at = Instant::now();
                    let bytes = message.encode()?;
                    self.cpu_time += started_at.elapsed();
                    self.bytes += bytes.len() as u64;
                    let Some(to) = self.indexes.get(&to).copied() else {
                        continue;
                    };
                    let jitter = self.rng.random_range(0..MIN_NETWORK_DELAY.as_micros());
                    let arrival = self.now + MIN_NETWORK_DELAY + Span::from_micros(jitter);
                    self.schedule(
                        arrival,
                        Event::Message {
                            from: index,
                            to,
                            bytes,
                        },
                    );
                }
                Effect::Store(req) => {
                    self.calls += 1;
                    self.schedule(
                        self.now + STORE_CALL_DELAY,
                        Event::StoreCall { to: index, req },
                    );
                }
                Effect::Watch => {
                    self.watches += 1;
                    self.deliver_watch_events(index, self.table.revision() + 1)?;
                }
                Effect::StopWatch => self.watches -= 1,
                Effect::Applied(revision) => self.record_applied(index, revision),
            }
        }
        Ok(())
    }

    fn record_applied(&mut self, index: usize, revision: Revision) {
        let before = self.applied_revision[index];
        self.violations += u64::from(revision < before);
        if revision <= before {
            return;
        }
        let newly_applied = self.accepted_at.range(before.next()..=revision);
        let now = self.now;
        let waits = newly_applied.map(|(_, at)| now.since(*at).as_secs_f64() * 1_000.0);
        self.in_force.extend(waits);
        self.applied_revision[index] = revision;
    }

    /// Makes an edit that a random daemon has accepted: it is in the store and known to that
    /// daemon.
    fn make_edit(&mut self, number: u64) -> eyre::Result<()> {
        let name = self.entries[number as usize % self.entries.len()].clone();
        let index = self.rng.random_range(0..self.daemons.len());
        let revision = self.head.revision.next();
        let edit_id = EditId(u128::from(revision.0));
        let record = Record {
            revision,
            edit_id,
            author: OperatorName::new("bench")?,
            at: WallTime(0),
            entry: Some(self.entry.clone()),
            history: Vec::new(),
        };
        let held = EncodedRecord::new(Arc::new(record));
        self.head = self.head.after(Change {
            revision,
            name: name.clone(),
            edit_id,
        });
        let from = self.table.revision() + 1;
        let success = vec![
            self.keys.put_entry(&name, held.json.clone()),
            self.keys.put_head(&self.head),
        ];
        let txn = Txn {
            success,
            ..Txn::default()
        };
        self.table.call(self.now, &Request::Txn(txn))?;
        self.accepted_at.insert(revision, self.now);
        let effects = self.daemons[index].apply_records(vec![(name, held)], &mut self.rng);
        self.apply_effects(index, effects)?;
        for to in 0..self.daemons.len() {
            if self.daemons[to].is_watching() {
                self.schedule(self.now + STORE_CALL_DELAY, Event::WatchEvents { to, from });
            }
        }
        Ok(())
    }
}

fn member(index: usize, domains: usize) -> eyre::Result<Member> {
    Ok(Member {
        id: DaemonId::new(&format!("entry-{index}"))?,
        failure_domain: FailureDomain::new(&format!("domain-{}", index % domains))?,
    })
}

/// Returns a service with about 20 upstreams, which is the content of every edit.
fn example_service() -> eyre::Result<Entry> {
    let entries = file::parse("kochi.yaml", KOCHI)?;
    let name = EntryName::new("services/tariff-llm")?;
    let entry = entries.get(&name).map(|entry| (**entry).clone());
    entry.ok_or_else(|| eyre::eyre!("the example catalogue has no entry {name}"))
}
