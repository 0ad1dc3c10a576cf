//! A fleet of daemons before upstreams that end, in fast time.
//!
//! Each daemon has the product's tables and knows what it sees and what it is told. Requests are
//! sent to an upstream, wait there, begin, and are answered some seconds later; an upstream
//! that ends breaks all of them, and they go to others while runs are left. The poison ends its
//! upstream a moment after it begins.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use poison::{Admission, Content, PoisonPolicy, RunEnd, Runs, Suspects, UpstreamRun, Words};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

/// What is played.
#[derive(Debug, Clone)]
pub struct Day {
    pub seed: u64,
    pub daemons: usize,
    pub upstreams: usize,
    pub seconds: u64,
    /// Ordinary requests a second, over all daemons.
    pub requests_per_s: f64,
    /// Ends of each upstream a second, by themselves.
    pub ends_per_s: f64,
    /// Every so often a part of all upstreams ends at one moment.
    pub racks: Option<(Span, f64)>,
    /// Requests under which upstreams end, and how often each is sent.
    pub poisons: usize,
    pub poison_per_s: f64,
    /// Each begins so long after the one before.
    pub poison_gap: Span,
    /// Whether all of them are one customer's.
    pub of_one: bool,
    /// Longest wait at an upstream, in ms.
    pub wait_ms: u64,
    /// Whether an answer's first sign comes when an upstream begins to run a request.
    pub has_signs: bool,
    /// Part of the words between daemons that is lost.
    pub lost: f64,
}

impl Default for Day {
    /// Six daemons before twelve engines, a request of each kind that ends them.
    fn default() -> Self {
        Self {
            seed: 1,
            daemons: 6,
            upstreams: 12,
            seconds: 60,
            requests_per_s: 60.0,
            ends_per_s: 0.0,
            racks: None,
            poisons: 1,
            poison_per_s: 3.0,
            poison_gap: Span::ZERO,
            of_one: false,
            wait_ms: 400,
            has_signs: true,
            lost: 0.0,
        }
    }
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Result {
    /// Upstreams that ended under a poison.
    pub ends: usize,
    /// Sends of a poison later than three seconds after the third end under it: the most of any.
    pub late_sends: usize,
    /// Ordinary requests.
    pub requests: usize,
    /// Of these, those whose upstream ended at least once.
    pub hit: usize,
    /// Of these, those that some daemon refused as barred.
    pub refused: usize,
}

const RUNS: u32 = 3;
const CUSTOMERS: usize = 10;
const COMES_BACK_AFTER: Span = Span::from_millis(3_500);
const WINDOW: Span = Span::from_secs(3);
const TELL: Span = Span::from_millis(100);
const HOP: Span = Span::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Sent(usize),
    Begins(usize, u32),
    Answered(usize, u32),
    /// An upstream ends by itself.
    Ends(usize),
    /// A start of it ends under a poison.
    EndsUnder(Start, usize),
    Back(usize),
    Tells(usize),
    Heard(usize, usize),
    Rack,
}

#[derive(Debug, Clone)]
struct Request {
    content: Content,
    customer: Option<Arc<str>>,
    poison: Option<usize>,
    daemon: usize,
    runs: u32,
    at: Option<(Start, poison::Run)>,
    is_again: bool,
}

/// An upstream and which of its starts.
type Start = (usize, u64);

struct Daemon {
    suspects: Suspects,
    runs: Runs<Start>,
}

pub struct Fleet {
    day: Day,
    rng: ChaCha8Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    daemons: Vec<Daemon>,
    /// Starts of each upstream, and whether it is up.
    upstreams: Vec<(u64, bool)>,
    requests: Vec<Request>,
    words: Vec<Words>,
    poison_ends: BTreeMap<usize, Vec<Time>>,
    poison_sends: BTreeMap<usize, Vec<Time>>,
    refused: BTreeSet<Content>,
    hit: BTreeSet<Content>,
    count: usize,
}

impl Fleet {
    pub fn play(day: &Day) -> Result {
        let mut fleet = Self::new(day.clone());
        let until = Time::ZERO + Span::from_secs(day.seconds);
        while let Some(Reverse((at, _, event))) = fleet.queue.pop() {
            if at > until {
                break;
            }
            fleet.now = at;
            fleet.take(event);
        }
        fleet.result()
    }

    fn new(day: Day) -> Self {
        let daemons = (0..day.daemons).map(|n| {
            let mut suspects = Suspects::new(PoisonPolicy::default(), &format!("d{n}"));
            suspects.set_fleet(day.daemons, day.upstreams);
            Daemon {
                suspects,
                runs: Runs::default(),
            }
        });
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            daemons: daemons.collect(),
            upstreams: vec![(0, true); day.upstreams],
            requests: Vec::new(),
            words: Vec::new(),
            poison_ends: BTreeMap::new(),
            poison_sends: BTreeMap::new(),
            refused: BTreeSet::new(),
            hit: BTreeSet::new(),
            count: 0,
            day,
        };
        fleet.plan();
        fleet
    }

    /// Everything that comes from outside.
    fn plan(&mut self) {
        let all = Span::from_secs(self.day.seconds);
        for at in self.times(self.day.requests_per_s, Span::ZERO, all) {
            let content = self.content(None);
            self.arrive(at, content, None, false);
        }
        for poison in 0..self.day.poisons {
            let from = Span::from_secs(10) + self.day.poison_gap.times(poison as u64);
            let to = from + Span::from_secs(20);
            for at in self.times(self.day.poison_per_s, from, to) {
                let content = self.content(Some(poison));
                self.arrive(at, content, Some(poison), false);
            }
        }
        let ends = self.day.ends_per_s * self.day.upstreams as f64;
        for at in self.times(ends, Span::ZERO, all) {
            let upstream = self.rng.random_range(0..self.day.upstreams);
            self.at(at, Event::Ends(upstream));
        }
        if let Some((every, _)) = self.day.racks {
            let times = all.as_micros() / every.as_micros();
            (1..times).for_each(|n| self.at(Time::ZERO + every.times(n), Event::Rack));
        }
        (0..self.day.daemons).for_each(|n| self.at(Time::ZERO, Event::Tells(n)));
    }

    fn times(&mut self, per_s: f64, from: Span, to: Span) -> Vec<Time> {
        let mut at = from.as_secs_f64();
        let mut times = Vec::new();
        if per_s <= 0.0 {
            return times;
        }
        loop {
            at += -self.rng.random::<f64>().max(1e-12).ln() / per_s;
            if at > to.as_secs_f64() {
                return times;
            }
            times.push(Time::ZERO + Span::from_secs_f64(at));
        }
    }

    fn content(&mut self, poison: Option<usize>) -> Content {
        let name = poison.map_or_else(|| format!("{}", self.rng.next_u64()), |n| format!("p{n}"));
        Content::of("alice", "host", "POST", "/a", name.as_bytes())
    }

    fn arrive(&mut self, at: Time, content: Content, poison: Option<usize>, is_again: bool) {
        let daemon = self.rng.random_range(0..self.day.daemons);
        let customer = match poison {
            Some(_) if self.day.of_one => 0,
            Some(poison) => poison,
            None => self.rng.random_range(0..CUSTOMERS),
        };
        self.requests.push(Request {
            content,
            customer: Some(Arc::from(format!("c{customer}"))),
            poison,
            daemon,
            runs: 0,
            at: None,
            is_again,
        });
        self.at(at, Event::Arrives(self.requests.len() - 1));
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn after(&mut self, span: Span, event: Event) {
        self.at(self.now + span, event);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives(n) => {
                self.count += usize::from(self.requests[n].poison.is_none());
                self.send(n);
            }
            Event::Sent(n) => self.send(n),
            Event::Begins(n, run) => self.begins(n, run),
            Event::Answered(n, run) => self.answered(n, run),
            Event::Ends(upstream) => self.ends(upstream),
            Event::EndsUnder((upstream, start), poison) => {
                if self.upstreams[upstream] == (start, true) {
                    self.poison_ends.entry(poison).or_default().push(self.now);
                    self.ends(upstream);
                }
            }
            Event::Back(upstream) => {
                self.upstreams[upstream].0 += 1;
                self.upstreams[upstream].1 = true;
            }
            Event::Tells(daemon) => {
                self.tell(daemon);
                self.after(TELL, Event::Tells(daemon));
            }
            Event::Heard(daemon, words) => {
                let words = self.words[words].clone();
                self.daemons[daemon].suspects.take(self.now, words);
                self.tell(daemon);
            }
            Event::Rack => {
                let share = self.day.racks.map_or(0.0, |(_, share)| share);
                let lost = (self.day.upstreams as f64 * share) as usize;
                for _ in 0..lost {
                    let upstream = self.rng.random_range(0..self.day.upstreams);
                    self.ends(upstream);
                }
            }
        }
    }

    fn send(&mut self, n: usize) {
        let Request {
            content,
            daemon,
            poison,
            ..
        } = self.requests[n];
        let suspects = &mut self.daemons[daemon].suspects;
        match suspects.admission(self.now, content) {
            Admission::Open => {}
            Admission::Trial => suspects.tried(self.now, content),
            Admission::Barred { .. } => {
                if poison.is_none() {
                    self.refused.insert(content);
                }
                return;
            }
        }
        let up = (0..self.upstreams.len()).filter(|u| self.upstreams[*u].1);
        let up = up.collect::<Vec<_>>();
        if up.is_empty() || self.requests[n].runs >= RUNS {
            return self.comes_again(n);
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        if let Some(poison) = poison {
            self.poison_sends.entry(poison).or_default().push(self.now);
        }
        let upstream = (upstream, self.upstreams[upstream].0);
        let customer = self.requests[n].customer.clone();
        let run = self.daemons[daemon]
            .runs
            .sent(self.now, upstream, content, customer);
        let request = &mut self.requests[n];
        request.runs += 1;
        request.at = Some((upstream, run));
        let runs = request.runs;
        let wait = Span::from_millis(self.rng.random_range(5..self.day.wait_ms));
        self.after(wait, Event::Begins(n, runs));
    }

    /// Callers of what failed come again once; those of the poison do so by themselves.
    fn comes_again(&mut self, n: usize) {
        let request = self.requests[n].clone();
        if request.poison.is_none() && !request.is_again {
            let at = self.now + Span::from_millis(300);
            self.arrive(at, request.content, None, true);
        }
    }

    fn is_at(&self, n: usize, run: u32) -> Option<(Start, poison::Run)> {
        let request = &self.requests[n];
        request.at.filter(|_| request.runs == run)
    }

    fn begins(&mut self, n: usize, run: u32) {
        let Some((upstream, held)) = self.is_at(n, run) else {
            return;
        };
        let daemon = self.requests[n].daemon;
        if self.day.has_signs {
            self.daemons[daemon].runs.began(self.now, upstream, held);
        }
        match self.requests[n].poison {
            Some(poison) => {
                let takes = Span::from_millis(self.rng.random_range(45..120));
                self.after(takes, Event::EndsUnder(upstream, poison));
            }
            None => {
                let takes = Span::from_millis(self.rng.random_range(100..4_000));
                self.after(takes, Event::Answered(n, run));
            }
        }
    }

    fn answered(&mut self, n: usize, run: u32) {
        let Some((upstream, held)) = self.is_at(n, run) else {
            return;
        };
        self.requests[n].at = None;
        let Request {
            daemon, content, ..
        } = self.requests[n];
        let daemon = &mut self.daemons[daemon];
        daemon.runs.over(self.now, upstream, held, RunEnd::Whole);
        daemon.suspects.whole(self.now, content);
    }

    fn ends(&mut self, upstream: usize) {
        if !std::mem::replace(&mut self.upstreams[upstream].1, false) {
            return;
        }
        let now = self.now;
        let upstream = (upstream, self.upstreams[upstream].0);
        let run = name(upstream);
        let there = self.requests.iter().enumerate();
        let there = there.filter(|(_, r)| r.at.is_some_and(|(at, _)| at == upstream));
        let there = there.map(|(n, _)| n).collect::<Vec<_>>();
        let mut daemons = BTreeSet::new();
        for n in &there {
            let request = &mut self.requests[*n];
            let Some((_, held)) = request.at.take() else {
                continue;
            };
            let daemon = &mut self.daemons[request.daemon];
            daemon.runs.over(now, upstream, held, RunEnd::Broken);
            daemons.insert(request.daemon);
            if request.poison.is_none() {
                self.hit.insert(request.content);
            }
        }
        for daemon in daemons {
            let daemon = &mut self.daemons[daemon];
            let under = daemon.runs.ended(now, upstream, Time::ZERO);
            daemon.suspects.ended(now, &run, &under.unwrap_or_default());
        }
        there
            .into_iter()
            .for_each(|n| self.after(Span::from_millis(2), Event::Sent(n)));
        self.after(COMES_BACK_AFTER, Event::Back(upstream.0));
    }

    fn tell(&mut self, daemon: usize) {
        let words = self.daemons[daemon].suspects.news(self.now);
        if words.0.is_empty() {
            return;
        }
        self.words.push(words);
        let words = self.words.len() - 1;
        let others = (0..self.day.daemons).filter(|other| *other != daemon);
        let others = others.collect::<Vec<_>>();
        // All of a small fleet; of a large one six, who tell on.
        let told = match others.len() {
            0..16 => others,
            n => (0..6)
                .map(|_| others[self.rng.random_range(0..n)])
                .collect(),
        };
        for other in told {
            if !self.rng.random_bool(self.day.lost) {
                self.after(HOP, Event::Heard(other, words));
            }
        }
    }

    fn result(&self) -> Result {
        let late = self.poison_ends.iter().map(|(poison, ends)| {
            let Some(third) = ends.get(2) else { return 0 };
            let sends = self.poison_sends.get(poison).into_iter().flatten();
            sends.filter(|at| **at > *third + WINDOW).count()
        });
        Result {
            ends: self.poison_ends.values().map(Vec::len).sum(),
            late_sends: late.max().unwrap_or(0),
            requests: self.count,
            hit: self.hit.len(),
            refused: self.refused.len(),
        }
    }
}

fn name((upstream, start): Start) -> UpstreamRun {
    UpstreamRun {
        id: UpstreamId::new(&format!("u{upstream}-{start}")).expect("a name"),
        started_at: None,
    }
}
