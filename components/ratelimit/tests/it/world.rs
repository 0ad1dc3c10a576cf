//! Simulates a fleet of daemons that send to upstreams with limits.
//!
//! Each daemon has the product's table and knows only its own answers and its peers' messages.
//! Daemons learn late of peers that come and go, messages are delayed and lost, and answers begin
//! up to some seconds after their requests were sent, so that they arrive out of order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ratelimit::{
    Admission, Advertised, Advertisement, DaemonKey, Fleet, InstanceKey, Lenders, RateLimits,
};
use types::prelude::*;

/// Window over which requests are counted.
const WINDOW: Span = Span::from_secs(4);
const STEP: Span = Span::from_millis(10);
/// Interval at which daemons send their limits to each other.
const GOSSIP_INTERVAL: Span = Span::from_millis(200);
/// A fleet below this size sends its messages to all daemons, a larger one to a few.
const SMALL_FLEET: usize = 16;
const GOSSIP_FANOUT: usize = 4;

/// Other daemons that are asked for one request at most.
const MAX_ASKED: usize = 4;
/// Time for which a daemon that does not reply is not asked.
const EJECTION: Span = Span::from_secs(1);

/// Share of the requests that one daemon gets while they are skewed.
const SKEWED_SHARE: f64 = 0.9;

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub daemons: usize,
    pub seconds: u64,
    /// Requests a second over all daemons.
    pub requests_per_s: f64,
    /// Limit of each upstream; `None` for one that takes everything.
    pub limits: Vec<Option<f64>>,
    /// Span of seconds in which limits are advertised.
    pub advertised: (u64, u64),
    /// Share of the messages that is lost.
    pub lost: f64,
    /// Interval at which a daemon is killed; it restarts two seconds later.
    pub kill_every: Option<Span>,
    /// Span of seconds in which the fleet is partitioned into halves.
    pub cut: Option<(u64, u64)>,
    /// Interval at which a new daemon joins.
    pub join_every: Option<Span>,
    /// Second at which all daemons are killed and restart.
    pub killed_all_at: Option<u64>,
    /// Span of seconds in which one daemon gets nine of ten requests.
    pub skewed: Option<(u64, u64)>,
    /// Interval at which another daemon gets them.
    pub skew_moves_every: Option<Span>,
    /// Whether a refused request is tried once more at another daemon, at once.
    pub retries: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            daemons: 6,
            seconds: 40,
            requests_per_s: 120.0,
            limits: vec![Some(2.1), Some(1.3), None, None],
            advertised: (5, 30),
            lost: 0.0,
            kill_every: None,
            cut: None,
            join_every: None,
            killed_all_at: None,
            skewed: None,
            skew_moves_every: None,
            retries: false,
        }
    }
}

/// Result of a scenario for one upstream.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Arrivals from all daemons in the worst window, from three seconds after the limit's
    /// start.
    pub worst: usize,
    /// The same from daemons that an answer had informed at least half a second before.
    pub worst_informed: usize,
    /// Arrivals while the limit was advertised, from three seconds after its start.
    pub limited: usize,
    /// Time from the limit's end to the first request after it.
    pub idle_after: Option<Span>,
}

impl Outcome {
    pub fn allowed(limit: f64) -> usize {
        (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
    }
}

/// First tries of requests in a span of seconds.
#[derive(Debug, Default, Clone, Copy)]
pub struct FirstTries {
    pub asked: usize,
    pub served: usize,
}

impl FirstTries {
    pub fn share(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

struct Daemon {
    id: DaemonId,
    limits: RateLimits,
    lenders: Lenders,
    started_at: Time,
    is_up: bool,
    /// Other daemons known to this one, and when it learns of more.
    knows: BTreeSet<usize>,
    learn_queue: Vec<(Time, usize)>,
    informed_at: BTreeMap<usize, Time>,
}

impl Daemon {
    /// Converts a time to this daemon's own clock.
    fn local_time(&self, now: Time) -> Time {
        Time(now.since(self.started_at).as_micros())
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An answer's head arrives at the daemon, unless it restarted since it sent the request at
    /// `sent_at`.
    Answer {
        daemon: usize,
        daemon_started_at: Time,
        upstream: usize,
        sent_at: Time,
    },
    Message {
        to: usize,
        message: usize,
    },
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    daemons: Vec<Daemon>,
    by_key: BTreeMap<DaemonKey, usize>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    messages: Vec<Vec<Advertisement>>,
    next_event: u64,
    arrivals: Vec<Vec<(Time, bool)>>,
    /// First tries by the second in which they were made.
    first_tries: BTreeMap<u64, FirstTries>,
}

fn secs(seconds: u64) -> Time {
    Time::ZERO + Span::from_secs(seconds)
}

/// Simulates a scenario and returns the outcome for each upstream.
pub fn simulate(scenario: &Scenario) -> Vec<Outcome> {
    outcomes(scenario, &run(scenario))
}

/// Simulates a scenario; returns the outcome for each upstream, and the first tries in each of these
/// spans of seconds.
pub fn simulate_first_tries<const N: usize>(
    scenario: &Scenario,
    spans: [(u64, u64); N],
) -> (Vec<Outcome>, [FirstTries; N]) {
    let simulation = run(scenario);
    let first_tries = spans.map(|(from, to)| {
        let seconds = simulation.first_tries.range(from..to);
        seconds.fold(FirstTries::default(), |sum, (_, second)| FirstTries {
            asked: sum.asked + second.asked,
            served: sum.served + second.served,
        })
    });
    (outcomes(scenario, &simulation), first_tries)
}

fn outcomes(scenario: &Scenario, simulation: &Simulation<'_>) -> Vec<Outcome> {
    let arrivals = simulation.arrivals.iter();
    arrivals
        .map(|arrivals| outcome(scenario, arrivals))
        .collect()
}

fn run(scenario: &Scenario) -> Simulation<'_> {
    let mut simulation = Simulation {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(scenario.seed),
        daemons: Vec::new(),
        by_key: BTreeMap::new(),
        events: BinaryHeap::new(),
        messages: Vec::new(),
        next_event: 0,
        arrivals: vec![Vec::new(); scenario.limits.len()],
        first_tries: BTreeMap::new(),
    };
    for _ in 0..scenario.daemons {
        simulation.join(Time::ZERO);
    }
    let mut now = Time::ZERO;
    let mut gossip_at = Time::ZERO;
    let mut kill_at = scenario.kill_every.map(|every| secs(6) + every);
    let mut join_at = scenario.join_every.map(|every| secs(6) + every);
    let mut restarts = Vec::<(Time, usize)>::new();
    while now < secs(scenario.seconds) {
        simulation.deliver(now);
        for (_, daemon) in restarts.extract_if(.., |(at, _)| *at <= now) {
            simulation.restart(now, daemon);
        }
        if scenario.killed_all_at.is_some_and(|at| now == secs(at)) {
            for daemon in 0..simulation.daemons.len() {
                simulation.restart(now, daemon);
            }
        }
        if kill_at.is_some_and(|at| now >= at) {
            let daemon = simulation.rng.random_range(0..simulation.daemons.len());
            simulation.daemons[daemon].is_up = false;
            restarts.push((now + Span::from_secs(2), daemon));
            kill_at = scenario.kill_every.map(|every| now + every);
        }
        if join_at.is_some_and(|at| now >= at) {
            simulation.join(now);
            join_at = scenario.join_every.map(|every| now + every);
        }
        if now >= gossip_at {
            simulation.gossip(now);
            gossip_at = now + GOSSIP_INTERVAL;
        }
        simulation.requests(now);
        now = now + STEP;
    }
    simulation
}

impl Simulation<'_> {
    fn learn_time(&mut self, now: Time) -> Time {
        let max_ms = if self.daemons.len() > SMALL_FLEET {
            4_500
        } else {
            800
        };
        now + Span::from_millis(self.rng.random_range(50..max_ms))
    }

    fn join(&mut self, now: Time) {
        let new = self.daemons.len();
        for other in 0..new {
            let at = self.learn_time(now);
            self.daemons[other].learn_queue.push((at, new));
        }
        let id = DaemonId::new(&format!("daemon-{new}")).expect("a name");
        self.by_key.insert(DaemonKey::from(&id), new);
        self.daemons.push(Daemon {
            id,
            limits: RateLimits::default(),
            lenders: Lenders::default(),
            started_at: now,
            is_up: true,
            knows: BTreeSet::new(),
            learn_queue: Vec::new(),
            informed_at: BTreeMap::new(),
        });
        self.learn_all(now, new);
    }

    /// Schedules when a daemon that just started learns of all its peers.
    fn learn_all(&mut self, now: Time, daemon: usize) {
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            let at = self.learn_time(now);
            self.daemons[daemon].learn_queue.push((at, other));
        }
        self.set_fleet(now, daemon);
    }

    fn restart(&mut self, now: Time, daemon: usize) {
        let this = &mut self.daemons[daemon];
        this.limits = RateLimits::default();
        this.lenders = Lenders::default();
        this.started_at = now;
        this.is_up = true;
        this.knows.clear();
        this.learn_queue.clear();
        this.informed_at.clear();
        self.learn_all(now, daemon);
    }

    fn set_fleet(&mut self, now: Time, daemon: usize) {
        let this = &self.daemons[daemon];
        let others = this.knows.iter().map(|other| &self.daemons[*other].id);
        let fleet = Arc::new(Fleet::new(&this.id, others));
        let this = &mut self.daemons[daemon];
        let local = this.local_time(now);
        this.limits.set_fleet(local, &fleet);
    }

    fn is_cut(&self, now: Time, a: usize, b: usize) -> bool {
        let cut = self.scenario.cut;
        cut.is_some_and(|(from, to)| now >= secs(from) && now < secs(to)) && a % 2 != b % 2
    }

    fn push(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn deliver(&mut self, now: Time) {
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= now)
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            match event {
                Event::Answer {
                    daemon,
                    daemon_started_at,
                    upstream,
                    sent_at,
                } => self.answer(at, daemon, daemon_started_at, upstream, sent_at),
                Event::Message { to, message } => {
                    let ads = std::mem::take(&mut self.messages[message]);
                    let daemon = &mut self.daemons[to];
                    if daemon.is_up {
                        let local = daemon.local_time(at);
                        for ad in &ads {
                            daemon.limits.merge(local, ad);
                        }
                    }
                }
            }
        }
        for daemon in 0..self.daemons.len() {
            let this = &mut self.daemons[daemon];
            let due = this.learn_queue.extract_if(.., |(at, _)| *at <= now);
            let due = due.map(|(_, other)| other).collect::<Vec<_>>();
            if !due.is_empty() {
                this.knows.extend(due);
                self.set_fleet(now, daemon);
            }
        }
    }

    fn advertised_limit(&self, at: Time, upstream: usize) -> Option<f64> {
        let (from, to) = self.scenario.advertised;
        let is_advertised = at >= secs(from) && at < secs(to);
        self.scenario.limits[upstream].filter(|_| is_advertised)
    }

    fn answer(
        &mut self,
        at: Time,
        daemon: usize,
        daemon_started_at: Time,
        upstream: usize,
        sent_at: Time,
    ) {
        let limit = self.advertised_limit(at, upstream);
        let this = &mut self.daemons[daemon];
        if !this.is_up || this.started_at != daemon_started_at {
            return;
        }
        let answer = match limit {
            Some(limit) => {
                this.informed_at.entry(upstream).or_insert(at);
                Advertised::Limit(Rate(limit))
            }
            None => Advertised::Nothing,
        };
        let (local, local_sent_at) = (this.local_time(at), this.local_time(sent_at));
        this.limits
            .observe(local, instance(upstream), local_sent_at, answer);
    }

    fn gossip(&mut self, now: Time) {
        for from in 0..self.daemons.len() {
            if !self.daemons[from].is_up {
                continue;
            }
            let local = self.daemons[from].local_time(now);
            let ads = self.daemons[from].limits.advertise(local);
            let known = self.daemons[from].knows.iter().copied().collect::<Vec<_>>();
            if ads.is_empty() || known.is_empty() {
                continue;
            }
            let count = if known.len() < SMALL_FLEET {
                known.len()
            } else {
                GOSSIP_FANOUT
            };
            for n in 0..count {
                let to = match known.len() < SMALL_FLEET {
                    true => known[n],
                    false => known[self.rng.random_range(0..known.len())],
                };
                let is_lost = self.scenario.lost > 0.0 && self.rng.random_bool(self.scenario.lost);
                if is_lost || self.is_cut(now, from, to) {
                    continue;
                }
                let message = self.messages.len();
                self.messages.push(ads.clone());
                let at = now + Span::from_millis(self.rng.random_range(1..250));
                self.push(at, Event::Message { to, message });
            }
        }
    }

    fn requests(&mut self, now: Time) {
        let mean = self.scenario.requests_per_s * STEP.as_secs_f64();
        let mut count = mean as usize;
        count += usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let daemon = self.entry_daemon(now);
            let is_served = self.request(now, daemon);
            let second = now.since(Time::ZERO).as_millis() / 1_000;
            let first_tries = self.first_tries.entry(second).or_default();
            first_tries.asked += 1;
            first_tries.served += usize::from(is_served);
            if !is_served && self.scenario.retries {
                let other = self.rng.random_range(0..self.daemons.len());
                self.request(now, other);
            }
        }
    }

    /// Chooses the daemon that gets a new request.
    fn entry_daemon(&mut self, now: Time) -> usize {
        let crowded = self.scenario.skewed.and_then(|(from, to)| {
            let is_skewed = now >= secs(from) && now < secs(to);
            let moves_every = self.scenario.skew_moves_every;
            let moves = moves_every.map_or(0, |every| {
                now.since(secs(from)).as_millis() / every.as_millis()
            });
            is_skewed.then_some(moves as usize % self.daemons.len())
        });
        match crowded.filter(|_| self.rng.random_bool(SKEWED_SHARE)) {
            Some(daemon) => daemon,
            None => self.rng.random_range(0..self.daemons.len()),
        }
    }

    /// A request arrives at a daemon; returns whether it is sent to an upstream.
    fn request(&mut self, now: Time, daemon: usize) -> bool {
        let this = &self.daemons[daemon];
        if !this.is_up {
            return false;
        }
        let local = this.local_time(now);
        let open = (0..self.scenario.limits.len())
            .filter(|u| this.limits.admission(local, instance(*u)) == Admission::Open)
            .collect::<Vec<_>>();
        if open.is_empty() {
            let Some(upstream) = self.lease(now, daemon) else {
                return false;
            };
            self.send(now, daemon, upstream);
            return true;
        }
        let upstream = open[self.rng.random_range(0..open.len())];
        self.daemons[daemon].limits.take(local, instance(upstream));
        self.send(now, daemon, upstream);
        true
    }

    /// Asks other daemons for a request by their shares; returns the upstream to which one is
    /// granted.
    fn lease(&mut self, now: Time, daemon: usize) -> Option<usize> {
        for _ in 0..MAX_ASKED {
            let this = &self.daemons[daemon];
            let local = this.local_time(now);
            let upstreams = 0..self.scenario.limits.len();
            let offers = upstreams.flat_map(|upstream| {
                let lenders = this.limits.other_senders(local, instance(upstream));
                lenders.iter().map(move |lender| (upstream, *lender))
            });
            let is_ready = |(upstream, lender): &(usize, DaemonKey)| {
                this.lenders.is_ready(local, *lender, instance(*upstream))
            };
            let offers = offers.filter(is_ready).collect::<Vec<_>>();
            if offers.is_empty() {
                return None;
            }
            let (upstream, lender) = offers[self.rng.random_range(0..offers.len())];
            if self.ask(now, daemon, lender, upstream) {
                return Some(upstream);
            }
        }
        None
    }

    /// Asks another daemon for a request; returns whether it is granted.
    fn ask(&mut self, now: Time, from: usize, lender: DaemonKey, upstream: usize) -> bool {
        let to = self.by_key[&lender];
        let local = self.daemons[from].local_time(now);
        let is_lost = self.scenario.lost > 0.0 && self.rng.random_bool(self.scenario.lost);
        if is_lost || self.is_cut(now, from, to) || !self.daemons[to].is_up {
            let lenders = &mut self.daemons[from].lenders;
            lenders.eject(local, lender, local + EJECTION);
            return false;
        }
        let to = &mut self.daemons[to];
        let at_lender = to.local_time(now);
        let reply = to.limits.lend(at_lender, instance(upstream));
        let ready_at = local + reply.ready_at.since(at_lender);
        let lenders = &mut self.daemons[from].lenders;
        lenders.record_reply(local, lender, instance(upstream), ready_at);
        reply.is_granted
    }

    fn send(&mut self, now: Time, daemon: usize, upstream: usize) {
        let this = &self.daemons[daemon];
        let informed_at = this.informed_at.get(&upstream);
        let is_informed = informed_at.is_some_and(|at| now.since(*at) >= Span::from_millis(500));
        let daemon_started_at = this.started_at;
        self.arrivals[upstream].push((now, is_informed));
        let slow = self.rng.random_bool(0.1);
        let max_ms = if slow { 3_000 } else { 100 };
        let at = now + Span::from_millis(self.rng.random_range(5..max_ms));
        self.push(
            at,
            Event::Answer {
                daemon,
                daemon_started_at,
                upstream,
                sent_at: now,
            },
        );
    }
}

fn instance(upstream: usize) -> InstanceKey {
    InstanceKey(upstream as u32 * 7_919 + 13)
}

fn outcome(scenario: &Scenario, arrivals: &[(Time, bool)]) -> Outcome {
    let (from, to) = (secs(scenario.advertised.0 + 3), secs(scenario.advertised.1));
    let mut outcome = Outcome::default();
    let worst = |is_counted: &dyn Fn(bool) -> bool| {
        let mut window = VecDeque::new();
        let mut worst = 0;
        for (at, is_informed) in arrivals {
            if !is_counted(*is_informed) || *at < secs(scenario.advertised.0) || *at >= to {
                continue;
            }
            window.push_back(*at);
            while window
                .front()
                .is_some_and(|first| at.since(*first) > WINDOW)
            {
                window.pop_front();
            }
            if *at >= from + WINDOW {
                worst = worst.max(window.len());
            }
        }
        worst
    };
    outcome.worst = worst(&|_| true);
    outcome.worst_informed = worst(&|is_informed| is_informed);
    let limited = arrivals.iter().filter(|(at, _)| *at >= from && *at < to);
    outcome.limited = limited.count();
    let after = arrivals.iter().find(|(at, _)| *at >= to);
    outcome.idle_after = after.map(|(at, _)| at.since(to));
    outcome
}
