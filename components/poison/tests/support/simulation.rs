//! Simulation of a fleet of daemons in front of upstreams that crash, in simulated time.
//!
//! Each daemon has the product's tables and knows only what it sees and what it is sent. Requests
//! are sent to an upstream, wait there, start, and are answered some seconds later. An upstream
//! that crashes breaks all of them, and they go to other upstreams while attempts are left. A
//! culprit crashes its upstream a moment after it starts. It is a request, or a part of prompts
//! which many requests carry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use poison::{
    Admission, AttemptEnd, Attempts, Content, ContentUpdates, Contents, PoisonPolicy, Suspects,
    UpstreamInstance,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub daemons: usize,
    pub upstreams: usize,
    pub seconds: u64,
    /// Ordinary requests per second, over all daemons.
    pub requests_per_s: f64,
    /// Crashes per upstream and second that no request causes.
    pub crashes_per_s: f64,
    /// Interval at which a share of all upstreams crashes at one moment, and that share.
    pub rack_losses: Option<(Span, f64)>,
    /// Number of culprits, the requests that crash upstreams.
    pub culprits: usize,
    /// How often each culprit is sent, per second.
    pub culprit_per_s: f64,
    /// Time from one culprit's first sending to the next one's.
    pub culprit_gap: Span,
    /// Whether all culprits are of one customer.
    pub of_one: bool,
    /// Where the culprits are parts of prompts; none if they are requests.
    pub position: Option<Position>,
    /// Upstreams that run a version which crashes by itself, and its crashes per second.
    pub bad_version: Option<(usize, f64)>,
    /// Upper bound of the wait at an upstream, in ms.
    pub wait_ms: u64,
    /// Whether an upstream shows when it starts to process a request.
    pub shows_start: bool,
    /// Share of the messages between daemons that is lost.
    pub update_loss: f64,
}

impl Default for Scenario {
    /// Six daemons in front of twelve upstreams, and one culprit.
    fn default() -> Self {
        Self {
            seed: 1,
            daemons: 6,
            upstreams: 12,
            seconds: 60,
            requests_per_s: 60.0,
            crashes_per_s: 0.0,
            rack_losses: None,
            culprits: 1,
            culprit_per_s: 3.0,
            culprit_gap: Span::ZERO,
            of_one: false,
            position: None,
            bad_version: None,
            wait_ms: 400,
            shows_start: true,
            update_loss: 0.0,
        }
    }
}

/// Position in the prompt of a part that crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// It stands first, before a part that ordinary requests carry as well.
    First,
    /// It follows a first part that ordinary requests carry as well.
    Later,
}

/// Outcome of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Upstreams that a culprit crashed.
    pub crashes: usize,
    /// Attempts of a culprit later than three seconds after its third crash; the most of any
    /// culprit.
    pub late_sends: usize,
    /// Upstreams that one culprit crashed; the most of any culprit.
    pub crashes_of_one: usize,
    /// Attempts of a culprit later than a second after its fifth crash; the most of any culprit.
    pub sends_after_five: usize,
    /// Ordinary requests that were taken back from an upstream for a suspected part.
    pub withdrawn: usize,
    /// Ordinary requests that arrived while culprits were sent, and long enough before the end.
    pub beside: usize,
    /// Of these, those that were answered.
    pub served_beside: usize,
    /// Ordinary requests.
    pub requests: usize,
    /// Of these, those whose upstream crashed at least once.
    pub hit: usize,
    /// Of these, those that a daemon refused as quarantined.
    pub refused: usize,
}

impl Outcome {
    /// Adds another seed: the worst of crashes and sends, and sums of the request counts.
    pub fn add(&mut self, one: &Self) {
        self.crashes = self.crashes.max(one.crashes);
        self.late_sends = self.late_sends.max(one.late_sends);
        self.crashes_of_one = self.crashes_of_one.max(one.crashes_of_one);
        self.sends_after_five = self.sends_after_five.max(one.sends_after_five);
        self.withdrawn += one.withdrawn;
        self.beside += one.beside;
        self.served_beside += one.served_beside;
        self.requests += one.requests;
        self.hit += one.hit;
        self.refused += one.refused;
    }
}

const MAX_ATTEMPTS: u32 = 3;
const CUSTOMERS: usize = 10;
const RESTART_AFTER: Span = Span::from_millis(3_500);
const DETECTION_WINDOW: Span = Span::from_secs(3);
/// When culprits are first sent, and for how long.
const CULPRITS_FROM: Span = Span::from_secs(10);
const CULPRITS_FOR: Span = Span::from_secs(20);
/// First parts of ordinary prompts, and the parts that may follow.
const FIRST_PARTS: u64 = 3;
const LATER_PARTS: u64 = 200;
/// Id of the first culprit that is a part.
const CULPRIT_PART: u64 = 1_000_000;
const GOSSIP_INTERVAL: Span = Span::from_millis(100);
/// Least interval between a daemon's messages.
const MIN_GOSSIP_INTERVAL: Span = Span::from_millis(50);
const MESSAGE_DELAY: Span = Span::from_millis(5);
/// How long a request is held back at most.
const MAX_HOLD: Span = Span::from_secs(3);
const POLL: Span = Span::from_millis(10);
/// Interval at which a daemon looks at requests that have not started.
const WAIT_CHECK: Span = Span::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Sent(usize),
    Starts(usize, u32),
    /// A daemon looks whether a request that has not started should go on waiting.
    Checked(usize, u32),
    Answered(usize, u32),
    /// An upstream crashes without a culprit.
    Crashes(usize),
    /// A culprit crashes the instance of an upstream that it was sent to.
    CrashesUnder(UpstreamStart, usize),
    Restarts(usize),
    SendsUpdates(usize),
    /// A daemon learned something that others should know soon.
    HasUpdates(usize),
    ReceivesUpdates(usize, usize),
    RackLoss,
}

#[derive(Debug, Clone)]
struct Request {
    content: Content,
    /// Shared parts of the prompt.
    parts: Vec<u64>,
    customer: Option<Arc<str>>,
    culprit: Option<usize>,
    arrives_at: Time,
    daemon: usize,
    attempt_number: u32,
    at: Option<(UpstreamStart, poison::AttemptId)>,
    sent_at: Time,
    has_started: bool,
    /// Until when it may be held back.
    hold_until: Option<Time>,
    is_retry: bool,
}

impl Request {
    fn contents(&self) -> Contents {
        Contents::new(self.content, self.parts.iter().copied())
    }
}

/// An upstream and the number of its instance.
type UpstreamStart = (usize, u64);

struct Daemon {
    next_gossip_at: Time,
    suspects: Suspects,
    attempts: Attempts<UpstreamStart>,
}

pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    daemons: Vec<Daemon>,
    /// Number of each upstream's current instance, and whether it is up.
    upstreams: Vec<(u64, bool)>,
    requests: Vec<Request>,
    messages: Vec<ContentUpdates>,
    culprit_crashes: BTreeMap<usize, Vec<Time>>,
    culprit_sends: BTreeMap<usize, Vec<Time>>,
    refused: BTreeSet<Content>,
    hit: BTreeSet<Content>,
    answered: BTreeSet<Content>,
    withdrawn: BTreeSet<Content>,
    count: usize,
}

impl Fleet {
    pub fn run(scenario: &Scenario) -> Outcome {
        let mut fleet = Self::new(scenario.clone());
        let until = Time::ZERO + Span::from_secs(scenario.seconds);
        while let Some(Reverse((at, _, event))) = fleet.queue.pop() {
            if at > until {
                break;
            }
            fleet.now = at;
            fleet.handle(event);
        }
        fleet.outcome()
    }

    fn new(scenario: Scenario) -> Self {
        let daemons = (0..scenario.daemons).map(|n| {
            let mut suspects = Suspects::new(PoisonPolicy::default(), &format!("d{n}"));
            suspects.set_fleet(scenario.daemons, scenario.upstreams);
            Daemon {
                next_gossip_at: Time::ZERO,
                suspects,
                attempts: Attempts::default(),
            }
        });
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            daemons: daemons.collect(),
            upstreams: vec![(0, true); scenario.upstreams],
            requests: Vec::new(),
            messages: Vec::new(),
            culprit_crashes: BTreeMap::new(),
            culprit_sends: BTreeMap::new(),
            refused: BTreeSet::new(),
            hit: BTreeSet::new(),
            answered: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            count: 0,
            scenario,
        };
        fleet.schedule_inputs();
        fleet
    }

    /// Schedules all requests, crashes without a culprit and the daemons' first sendings.
    fn schedule_inputs(&mut self) {
        let all = Span::from_secs(self.scenario.seconds);
        for at in self.times(self.scenario.requests_per_s, Span::ZERO, all) {
            let content = self.content(None);
            let parts = self.parts(None);
            self.arrive(at, content, parts, None, false);
        }
        for culprit in 0..self.scenario.culprits {
            let from = CULPRITS_FROM + self.scenario.culprit_gap.times(culprit as u64);
            let to = from + CULPRITS_FOR;
            for at in self.times(self.scenario.culprit_per_s, from, to) {
                let is_part = self.scenario.position.is_some();
                let content = self.content(Some(culprit).filter(|_| !is_part));
                let parts = self.parts(Some(culprit).filter(|_| is_part));
                self.arrive(at, content, parts, Some(culprit), false);
            }
        }
        if let Some((upstreams, per_s)) = self.scenario.bad_version {
            for upstream in 0..upstreams {
                let crashes = self.times(per_s, Span::ZERO, all);
                crashes
                    .into_iter()
                    .for_each(|at| self.schedule(at, Event::Crashes(upstream)));
            }
        }
        let crashes_per_s = self.scenario.crashes_per_s * self.scenario.upstreams as f64;
        for at in self.times(crashes_per_s, Span::ZERO, all) {
            let upstream = self.rng.random_range(0..self.scenario.upstreams);
            self.schedule(at, Event::Crashes(upstream));
        }
        if let Some((every, _)) = self.scenario.rack_losses {
            let times = all.as_micros() / every.as_micros();
            (1..times).for_each(|n| self.schedule(Time::ZERO + every.times(n), Event::RackLoss));
        }
        (0..self.scenario.daemons).for_each(|n| self.schedule(Time::ZERO, Event::SendsUpdates(n)));
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

    fn content(&mut self, culprit: Option<usize>) -> Content {
        let text = culprit.map_or_else(|| format!("{}", self.rng.next_u64()), |n| format!("p{n}"));
        Content::of("alice", "host", "POST", "/a", text.as_bytes())
    }

    /// The shared parts of a prompt, with the culprit among them if it is a part.
    fn parts(&mut self, culprit: Option<usize>) -> Vec<u64> {
        let Some(position) = self.scenario.position else {
            return Vec::new();
        };
        let first = self.rng.random_range(0..FIRST_PARTS);
        // Some parts are in one of ten requests, most in one of a few hundred.
        let draw = self.rng.random::<f64>().powi(3);
        let later = FIRST_PARTS + (draw * LATER_PARTS as f64) as u64;
        match (culprit, position) {
            (None, _) => vec![first, later],
            (Some(culprit), Position::First) => vec![CULPRIT_PART + culprit as u64, later],
            (Some(culprit), Position::Later) => vec![first, CULPRIT_PART + culprit as u64],
        }
    }

    fn arrive(
        &mut self,
        at: Time,
        content: Content,
        parts: Vec<u64>,
        culprit: Option<usize>,
        is_retry: bool,
    ) {
        let daemon = self.rng.random_range(0..self.scenario.daemons);
        let customer = match culprit {
            Some(_) if self.scenario.of_one => 0,
            Some(culprit) if self.scenario.position.is_none() => culprit,
            _ => self.rng.random_range(0..CUSTOMERS),
        };
        self.requests.push(Request {
            content,
            parts,
            customer: Some(Arc::from(format!("c{customer}"))),
            culprit,
            arrives_at: at,
            daemon,
            attempt_number: 0,
            at: None,
            sent_at: at,
            has_started: false,
            hold_until: None,
            is_retry,
        });
        self.schedule(at, Event::Arrives(self.requests.len() - 1));
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_after(&mut self, span: Span, event: Event) {
        self.schedule(self.now + span, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(n) => {
                self.count += usize::from(self.requests[n].culprit.is_none());
                self.send(n);
            }
            Event::Sent(n) => self.send(n),
            Event::Starts(n, attempt_number) => self.start(n, attempt_number),
            Event::Checked(n, attempt_number) => self.check_waiting(n, attempt_number),
            Event::Answered(n, attempt_number) => self.answer(n, attempt_number),
            Event::Crashes(upstream) => self.crash_upstream(upstream),
            Event::CrashesUnder((upstream, start), culprit) => {
                if self.upstreams[upstream] == (start, true) {
                    self.culprit_crashes
                        .entry(culprit)
                        .or_default()
                        .push(self.now);
                    self.crash_upstream(upstream);
                }
            }
            Event::Restarts(upstream) => {
                self.upstreams[upstream].0 += 1;
                self.upstreams[upstream].1 = true;
            }
            Event::SendsUpdates(daemon) => {
                self.send_updates(daemon);
                self.schedule_after(GOSSIP_INTERVAL, Event::SendsUpdates(daemon));
            }
            Event::HasUpdates(daemon) => self.send_updates(daemon),
            Event::ReceivesUpdates(daemon, message) => {
                let updates = self.messages[message].clone();
                self.daemons[daemon]
                    .suspects
                    .merge_updates(self.now, updates);
                self.send_updates(daemon);
            }
            Event::RackLoss => {
                let share = self.scenario.rack_losses.map_or(0.0, |(_, share)| share);
                let lost = (self.scenario.upstreams as f64 * share) as usize;
                for _ in 0..lost {
                    let upstream = self.rng.random_range(0..self.scenario.upstreams);
                    self.crash_upstream(upstream);
                }
            }
        }
    }

    fn send(&mut self, n: usize) {
        let request = self.requests[n].clone();
        let (daemon, culprit, content) = (request.daemon, request.culprit, request.content);
        let (contents, customer) = (request.contents(), request.customer.as_deref());
        let suspects = &mut self.daemons[daemon].suspects;
        match suspects.admission_of(self.now, &contents, customer) {
            Admission::Open => {}
            Admission::Trial => suspects.trial_sent_of(self.now, &contents, customer),
            Admission::Quarantined { .. } => {
                if culprit.is_none() {
                    self.refused.insert(content);
                }
                return;
            }
        }
        let hold_until = request.hold_until.unwrap_or(self.now + MAX_HOLD);
        self.requests[n].hold_until = Some(hold_until);
        let held_until = suspects.held_until(self.now, &contents, customer);
        if let Some(until) = held_until.filter(|_| self.now < hold_until) {
            return self.schedule(until.min(self.now + POLL), Event::Sent(n));
        }
        suspects.probe_sent(self.now, &contents, customer);
        self.send_updates(daemon);
        self.requests[n].hold_until = None;
        let up = (0..self.upstreams.len()).filter(|u| self.upstreams[*u].1);
        let up = up.collect::<Vec<_>>();
        if up.is_empty() || self.requests[n].attempt_number >= MAX_ATTEMPTS {
            return self.retry_by_caller(n);
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        if let Some(culprit) = culprit {
            self.culprit_sends
                .entry(culprit)
                .or_default()
                .push(self.now);
        }
        let upstream = (upstream, self.upstreams[upstream].0);
        let customer = self.requests[n].customer.clone();
        let attempt = self.daemons[daemon]
            .attempts
            .sent(self.now, upstream, contents, customer);
        let request = &mut self.requests[n];
        request.attempt_number += 1;
        request.at = Some((upstream, attempt));
        request.sent_at = self.now;
        request.has_started = false;
        let attempt_number = request.attempt_number;
        let wait = Span::from_millis(self.rng.random_range(5..self.scenario.wait_ms));
        self.schedule_after(wait, Event::Starts(n, attempt_number));
        self.schedule_after(WAIT_CHECK, Event::Checked(n, attempt_number));
    }

    /// Takes a request back that no upstream has started, if one of its contents is quarantined or
    /// suspected by now.
    fn check_waiting(&mut self, n: usize, attempt_number: u32) {
        let Some((upstream, attempt)) = self.current_attempt(n, attempt_number) else {
            return;
        };
        let request = &self.requests[n];
        if request.has_started {
            return;
        }
        let (contents, customer) = (request.contents(), request.customer.as_deref());
        let daemon = &mut self.daemons[request.daemon];
        let admission = daemon.suspects.admission_of(self.now, &contents, customer);
        let is_quarantined = matches!(admission, Admission::Quarantined { .. });
        let sent_at = request.sent_at;
        let suspects = &daemon.suspects;
        if is_quarantined || suspects.should_withdraw(self.now, &contents, customer, sent_at) {
            let end = AttemptEnd::GivenUp;
            daemon
                .attempts
                .attempt_ended(self.now, upstream, attempt, end);
            self.requests[n].at = None;
            if self.requests[n].culprit.is_none() {
                self.withdrawn.insert(self.requests[n].content);
            }
            return self.schedule(self.now, Event::Sent(n));
        }
        self.schedule_after(WAIT_CHECK, Event::Checked(n, attempt_number));
    }

    /// Callers of an ordinary request that failed retry once; a culprit's callers keep sending
    /// anyway.
    fn retry_by_caller(&mut self, n: usize) {
        let request = self.requests[n].clone();
        if request.culprit.is_none() && !request.is_retry {
            let at = self.now + Span::from_millis(300);
            self.arrive(at, request.content, request.parts, None, true);
        }
    }

    fn current_attempt(
        &self,
        n: usize,
        attempt_number: u32,
    ) -> Option<(UpstreamStart, poison::AttemptId)> {
        let request = &self.requests[n];
        request
            .at
            .filter(|_| request.attempt_number == attempt_number)
    }

    fn start(&mut self, n: usize, attempt_number: u32) {
        let Some((upstream, attempt)) = self.current_attempt(n, attempt_number) else {
            return;
        };
        let daemon = self.requests[n].daemon;
        self.requests[n].has_started = self.scenario.shows_start;
        if self.scenario.shows_start {
            self.daemons[daemon]
                .attempts
                .attempt_started(self.now, upstream, attempt);
        }
        match self.requests[n].culprit {
            Some(culprit) => {
                let duration = Span::from_millis(self.rng.random_range(45..120));
                self.schedule_after(duration, Event::CrashesUnder(upstream, culprit));
            }
            None => {
                let duration = Span::from_millis(self.rng.random_range(100..4_000));
                self.schedule_after(duration, Event::Answered(n, attempt_number));
            }
        }
    }

    fn answer(&mut self, n: usize, attempt_number: u32) {
        let Some((upstream, attempt)) = self.current_attempt(n, attempt_number) else {
            return;
        };
        self.requests[n].at = None;
        let request = self.requests[n].clone();
        self.answered.insert(request.content);
        let daemon = &mut self.daemons[request.daemon];
        daemon
            .attempts
            .attempt_ended(self.now, upstream, attempt, AttemptEnd::Answered);
        daemon.suspects.answered(self.now, request.contents());
    }

    fn crash_upstream(&mut self, upstream: usize) {
        if !std::mem::replace(&mut self.upstreams[upstream].1, false) {
            return;
        }
        let now = self.now;
        let upstream = (upstream, self.upstreams[upstream].0);
        let instance = upstream_instance(upstream);
        let in_flight = self.requests.iter().enumerate();
        let in_flight = in_flight.filter(|(_, r)| r.at.is_some_and(|(at, _)| at == upstream));
        let in_flight = in_flight.map(|(n, _)| n).collect::<Vec<_>>();
        let mut daemons = BTreeSet::new();
        for n in &in_flight {
            let request = &mut self.requests[*n];
            let Some((_, attempt)) = request.at.take() else {
                continue;
            };
            let daemon = &mut self.daemons[request.daemon];
            daemon
                .attempts
                .attempt_ended(now, upstream, attempt, AttemptEnd::Broken);
            daemons.insert(request.daemon);
            if request.culprit.is_none() {
                self.hit.insert(request.content);
            }
        }
        for number in daemons {
            let daemon = &mut self.daemons[number];
            let crashed = daemon.attempts.upstream_crashed(now, upstream, Time::ZERO);
            daemon
                .suspects
                .upstream_crashed(now, &instance, &crashed.unwrap_or_default());
            self.send_updates(number);
        }
        in_flight
            .into_iter()
            .for_each(|n| self.schedule_after(Span::from_millis(2), Event::Sent(n)));
        self.schedule_after(RESTART_AFTER, Event::Restarts(upstream.0));
    }

    fn send_updates(&mut self, daemon: usize) {
        let next_at = self.daemons[daemon].next_gossip_at;
        if self.now < next_at {
            return self.schedule(next_at, Event::HasUpdates(daemon));
        }
        let updates = self.daemons[daemon].suspects.take_updates(self.now);
        if updates.0.is_empty() {
            return;
        }
        self.daemons[daemon].next_gossip_at = self.now + MIN_GOSSIP_INTERVAL;
        self.messages.push(updates);
        let message = self.messages.len() - 1;
        let others = (0..self.scenario.daemons).filter(|other| *other != daemon);
        let others = others.collect::<Vec<_>>();
        // In a small fleet all peers; in a large one six, which forward it.
        let receivers = match others.len() {
            0..16 => others,
            n => (0..6)
                .map(|_| others[self.rng.random_range(0..n)])
                .collect(),
        };
        for other in receivers {
            if !self.rng.random_bool(self.scenario.update_loss) {
                self.schedule_after(MESSAGE_DELAY, Event::ReceivesUpdates(other, message));
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let late = self.culprit_crashes.iter().map(|(culprit, times)| {
            let Some(third) = times.get(2) else { return 0 };
            let sends = self.culprit_sends.get(culprit).into_iter().flatten();
            sends.filter(|at| **at > *third + DETECTION_WINDOW).count()
        });
        let after_five = self.culprit_crashes.iter().map(|(culprit, times)| {
            let Some(fifth) = times.get(4) else { return 0 };
            let sends = self.culprit_sends.get(culprit).into_iter().flatten();
            let sends = sends.filter(|at| **at > *fifth + Span::from_secs(1));
            sends.count()
        });
        let from = Time::ZERO + CULPRITS_FROM;
        let until = from
            + CULPRITS_FOR
            + self
                .scenario
                .culprit_gap
                .times(self.scenario.culprits as u64);
        let is_beside = |r: &&Request| {
            r.culprit.is_none() && !r.is_retry && r.arrives_at >= from && r.arrives_at < until
        };
        let beside = self.requests.iter().filter(is_beside);
        Outcome {
            crashes: self.culprit_crashes.values().map(Vec::len).sum(),
            crashes_of_one: self
                .culprit_crashes
                .values()
                .map(Vec::len)
                .max()
                .unwrap_or(0),
            sends_after_five: after_five.max().unwrap_or(0),
            withdrawn: self.withdrawn.len(),
            beside: beside.clone().count(),
            served_beside: beside
                .filter(|r| self.answered.contains(&r.content))
                .count(),
            late_sends: late.max().unwrap_or(0),
            requests: self.count,
            hit: self.hit.len(),
            refused: self.refused.len(),
        }
    }
}

fn upstream_instance((upstream, start): UpstreamStart) -> UpstreamInstance {
    UpstreamInstance {
        id: UpstreamId::new(&format!("u{upstream}-{start}")).expect("a name"),
        started_at: None,
    }
}
