//! `spread`: how an accepted edit comes into force on every daemon, and what it costs.
//!
//! The daemons' [`Sync`]s run in one thread on virtual time; messages take the time of
//! the network, the store is the stand-in's table. Processor time is real. Beside it an
//! arm in which every daemon watches the store itself.

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
const LARGEST_NAIVE: usize = 128;
const TICK: Span = Span::from_millis(200);
const SETTLE: Span = Span::from_secs(10);
/// One way between failure domains, as at Clasach.
const ONE_WAY: Span = Span::from_micros(1_500);
const STORE_CALL: Span = Span::from_millis(4);

/// Runs it.
pub fn run(options: &cli::Spread) -> eyre::Result<Report> {
    let mut report = Report::new("spread", options.seed);
    large::measure(&mut report, &example()?)?;
    for (size, domains) in SIZES.into_iter().zip(DOMAINS) {
        for naive in [false, true] {
            // Its calls grow with the fleet and nothing else does: no need of the largest.
            if naive && size > LARGEST_NAIVE {
                continue;
            }
            let mut world = World::new(size, domains, naive, options.seed)?;
            world.measure(options.edits)?;
            let label = if naive { "naive" } else { "spread" };
            world.note(&mut report, &format!("{label} {size}"));
        }
    }
    Ok(report)
}

enum What {
    Tick(usize),
    Message {
        from: usize,
        to: usize,
        bytes: bytes::Bytes,
    },
    Called {
        to: usize,
        req: Request,
    },
    Watched {
        to: usize,
        from: i64,
    },
    Edit(u64),
}

struct World {
    now: Time,
    rng: StdRng,
    table: Table,
    keys: Keys,
    daemons: Vec<Sync>,
    members: Vec<Member>,
    places: BTreeMap<DaemonId, usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    due: BTreeMap<u64, What>,
    numbers: u64,
    entry: Arc<Entry>,
    entries: Vec<EntryName>,
    head: Head,
    accepted: BTreeMap<Revision, Time>,
    in_force: Vec<f64>,
    reached: Vec<Revision>,
    bytes: u64,
    calls: u64,
    watches: u64,
    busy: Duration,
    violations: u64,
    span: Span,
}

impl World {
    fn new(size: usize, domains: usize, naive: bool, seed: u64) -> eyre::Result<Self> {
        let cluster = ClusterName::new("bench")?;
        let members = (0..size).map(|place| member(place, domains));
        let members = members.collect::<eyre::Result<Vec<_>>>()?;
        let daemons = members.iter().map(|member| {
            let mut cfg = Config::new(member.id.clone(), &cluster);
            if naive {
                cfg.watchers_per_domain = size;
            }
            Sync::new(cfg)
        });
        let places = members.iter().enumerate();
        let mut world = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            table: Table::new(),
            keys: Keys::new(&cluster),
            daemons: daemons.collect(),
            places: places
                .map(|(place, member)| (member.id.clone(), place))
                .collect(),
            members,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            numbers: 0,
            entry: Arc::new(example()?),
            entries: (0..40)
                .map(|n| EntryName::new(&format!("services/s{n}")))
                .collect::<Result<_, _>>()?,
            head: Head::default(),
            accepted: BTreeMap::new(),
            in_force: Vec::new(),
            reached: vec![Revision(0); size],
            bytes: 0,
            calls: 0,
            watches: 0,
            busy: Duration::ZERO,
            violations: 0,
            span: Span::ZERO,
        };
        for place in 0..size {
            let first = Span::from_micros(world.rng.random_range(0..TICK.as_micros()));
            world.at(Time::ZERO + first, What::Tick(place));
        }
        Ok(world)
    }

    /// Edits at 0.3 a second, then 50 at once, and what the daemons did meanwhile.
    fn measure(&mut self, edits: u64) -> eyre::Result<()> {
        self.run_until(Time::ZERO + SETTLE)?;
        (self.bytes, self.calls, self.busy) = (0, 0, Duration::ZERO);
        let begin = self.now;
        for edit in 0..edits {
            let gap = Span::from_micros(edit * 10_000_000 / 3);
            self.at(begin + gap, What::Edit(edit));
        }
        let burst = begin + Span::from_micros(edits * 10_000_000 / 3);
        for edit in 0..50 {
            self.at(
                burst + Span::from_millis(10 * edit),
                What::Edit(edits + edit),
            );
        }
        let end = burst + SETTLE;
        self.run_until(end)?;
        self.span = end.since(begin);
        let wanted = self.accepted.len() * self.daemons.len();
        self.violations += (wanted - self.in_force.len()) as u64;
        Ok(())
    }

    fn note(&mut self, report: &mut Report, arm: &str) {
        self.in_force.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (self.in_force.len() as f64 * part) as usize;
            self.in_force
                .get(place.min(self.in_force.len().saturating_sub(1)))
        };
        for (name, part) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            let value = at(part).copied().unwrap_or(f64::NAN);
            report.note(arm, &format!("in_force_{name}_ms"), value);
        }
        let secs = self.span.as_secs_f64();
        let each = secs * self.daemons.len() as f64;
        report.note(arm, "store_calls_per_s", self.calls as f64 / secs);
        report.note(arm, "store_watches", self.watches as f64);
        report.note(arm, "sent_bytes_per_daemon_per_s", self.bytes as f64 / each);
        let core = self.busy.as_secs_f64() / each;
        report.note(arm, "core_percent_per_daemon", 100.0 * core);
        report.violations += self.violations;
    }

    fn at(&mut self, time: Time, what: What) {
        self.numbers += 1;
        self.due.insert(self.numbers, what);
        self.queue.push(Reverse((time, self.numbers)));
    }

    fn run_until(&mut self, end: Time) -> eyre::Result<()> {
        while let Some(Reverse((time, number))) = self.queue.peek().copied()
            && time <= end
        {
            self.queue.pop();
            self.now = time;
            if let Some(what) = self.due.remove(&number) {
                self.happen(what)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, what: What) -> eyre::Result<()> {
        let ticked = matches!(what, What::Tick(_));
        let began = Instant::now();
        let (now, rng) = (self.now, &mut self.rng);
        let (place, effects) = match what {
            What::Tick(place) => (place, self.daemons[place].tick(now, &self.members, rng)),
            What::Message { from, to, bytes } => {
                let message = Message::decode(&bytes)?;
                let from = &self.members[from].id;
                (to, self.daemons[to].on_message(now, from, message, rng))
            }
            What::Called { to, req } => {
                let outcome = self.table.call(now, &req);
                (to, self.daemons[to].on_store(now, outcome, rng))
            }
            What::Watched { to, from } => return self.watched(to, from),
            What::Edit(number) => return self.edit(number),
        };
        self.busy += began.elapsed();
        if ticked {
            self.at(now + TICK, What::Tick(place));
        }
        self.perform(place, effects)
    }

    /// Tells a watcher what changed; the next look is when something is written.
    fn watched(&mut self, to: usize, from: i64) -> eyre::Result<()> {
        let end = format!("{}\u{7f}", self.keys.all());
        let changes = self.table.changes(from, self.keys.all(), Some(&end));
        let events: Vec<_> = changes
            .unwrap_or_default()
            .into_iter()
            .map(Into::into)
            .collect();
        let began = Instant::now();
        let effects = self.daemons[to].on_watch(self.now, &events, &mut self.rng);
        self.busy += began.elapsed();
        self.perform(to, effects)
    }

    fn perform(&mut self, place: usize, effects: Vec<Effect>) -> eyre::Result<()> {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let began = Instant::now();
                    let bytes = message.encode()?;
                    self.busy += began.elapsed();
                    self.bytes += bytes.len() as u64;
                    let Some(to) = self.places.get(&to).copied() else {
                        continue;
                    };
                    let jitter = self.rng.random_range(0..ONE_WAY.as_micros());
                    let arrival = self.now + ONE_WAY + Span::from_micros(jitter);
                    self.at(
                        arrival,
                        What::Message {
                            from: place,
                            to,
                            bytes,
                        },
                    );
                }
                Effect::Store(req) => {
                    self.calls += 1;
                    self.at(self.now + STORE_CALL, What::Called { to: place, req });
                }
                Effect::Watch => {
                    self.watches += 1;
                    self.watched(place, self.table.revision() + 1)?;
                }
                Effect::StopWatch => self.watches -= 1,
                Effect::Applied(revision) => self.applied(place, revision),
            }
        }
        Ok(())
    }

    fn applied(&mut self, place: usize, revision: Revision) {
        let before = self.reached[place];
        self.violations += u64::from(revision < before);
        if revision <= before {
            return;
        }
        let newly = self.accepted.range(before.next()..=revision);
        let now = self.now;
        let waits = newly.map(|(_, at)| now.since(*at).as_secs_f64() * 1_000.0);
        self.in_force.extend(waits);
        self.reached[place] = revision;
    }

    /// An edit accepted at a daemon: in the store, and known there.
    fn edit(&mut self, number: u64) -> eyre::Result<()> {
        let name = self.entries[number as usize % self.entries.len()].clone();
        let place = self.rng.random_range(0..self.daemons.len());
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
        self.accepted.insert(revision, self.now);
        let effects = self.daemons[place].apply_records(vec![(name, held)], &mut self.rng);
        self.perform(place, effects)?;
        for to in 0..self.daemons.len() {
            if self.daemons[to].is_watching() {
                self.at(self.now + STORE_CALL, What::Watched { to, from });
            }
        }
        Ok(())
    }
}

fn member(place: usize, domains: usize) -> eyre::Result<Member> {
    Ok(Member {
        id: DaemonId::new(&format!("entry-{place}"))?,
        failure_domain: FailureDomain::new(&format!("domain-{}", place % domains))?,
    })
}

/// A service with about 20 upstreams: what an edit carries.
fn example() -> eyre::Result<Entry> {
    let entries = file::parse("kochi.yaml", KOCHI)?;
    let name = EntryName::new("services/tariff-llm")?;
    let entry = entries.get(&name).map(|entry| (**entry).clone());
    entry.ok_or_else(|| eyre::eyre!("the example lacks {name}"))
}
