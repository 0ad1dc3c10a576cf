//! A fleet of daemons in front of a few upstreams, on simulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use balance::{AverageLoad, Reports};
use dispatch::{
    PeerLoads, Permit, PlacingPolicy, Requirements, SharedLoad, Ticket, UpstreamIndex,
    UpstreamOutcome, Upstreams,
};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Share of the requests that take five times as long.
const LONG_SHARE: f64 = 0.04;
const WARM_UP: Span = Span::from_secs(3);
const TICK: Span = Span::from_millis(100);

/// How daemons choose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Strategy {
    /// The choice of `dispatch` with this part switched off.
    Present,
    /// Any upstream.
    Random,
    /// The choice of `dispatch` by this crate.
    Balanced,
    /// The better of two by counts at one instant, scaled.
    Instant,
    /// The one with the fewest own requests in flight, the longest unused first.
    OwnOnly,
    /// Slots leased to daemons in equal parts.
    Leases,
    /// A subset of two upstreams for each daemon.
    Subset,
    /// The better of two by the load that the upstream's last answer to this daemon carried.
    InAnswers,
    /// The better of two by their load when the request arrives there.
    LateBinding,
    /// The least loaded one, known exactly.
    Exact,
}

impl Strategy {
    pub const ALL: [Self; 10] = [
        Self::Present,
        Self::Random,
        Self::Balanced,
        Self::Instant,
        Self::OwnOnly,
        Self::Leases,
        Self::Subset,
        Self::InAnswers,
        Self::LateBinding,
        Self::Exact,
    ];
}

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub daemons: usize,
    pub upstreams: usize,
    pub domains: usize,
    /// Load as a share of the capacity.
    pub load: f64,
    pub work: Span,
    pub length: Span,
    /// Share of the heartbeats that are lost.
    pub lost: f64,
    /// Longest delay of a heartbeat; they overtake each other.
    pub delay: Span,
    /// When the first upstream restarts.
    pub restarts_at: Option<Time>,
    /// Whether the first daemon reports all that a report can hold at the first upstream.
    pub false_reports: bool,
    /// While a third of the daemons send no heartbeats and no requests.
    pub frozen: Option<(Time, Time)>,
    /// While two halves don't hear each other.
    pub halves: Option<(Time, Time)>,
    /// When a third of the daemons leaves, and when it joins again.
    pub away: Option<(Time, Time)>,
    /// Factor of the arrivals at daemons of the first failure domain.
    pub skewed: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            daemons: 40,
            upstreams: 4,
            domains: 4,
            load: 0.75,
            work: Span::from_millis(60),
            length: Span::from_secs(18),
            lost: 0.0,
            delay: Span::from_millis(60),
            restarts_at: None,
            false_reports: false,
            frozen: None,
            halves: None,
            away: None,
            skewed: 1.0,
        }
    }
}

/// What callers and upstreams saw.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub waited: usize,
    pub rejected: usize,
    pub far: usize,
    latencies: Vec<u64>,
}

impl Outcome {
    /// Adds the outcome of another play.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.waited += other.waited;
        self.rejected += other.rejected;
        self.far += other.far;
        self.latencies.extend(other.latencies);
    }

    /// Share of the requests that waited or were rejected while a slot was free elsewhere.
    pub fn waited_share(&self) -> f64 {
        self.waited as f64 / self.requests.max(1) as f64
    }

    pub fn far_share(&self) -> f64 {
        self.far as f64 / self.requests.max(1) as f64
    }

    pub fn p99_ms(&self) -> f64 {
        let mut all = self.latencies.clone();
        all.sort_unstable();
        let p = all.get(all.len() * 99 / 100).copied().unwrap_or_default();
        p as f64 / 1_000.0
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Time,
    daemon: usize,
    work: Span,
}

#[derive(Debug, Clone)]
struct Message {
    from: usize,
    counts: Vec<u32>,
    averages: Vec<AverageLoad>,
    shared: Vec<SharedLoad>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End {
        upstream: usize,
        run: u32,
        request: usize,
    },
    Tick(usize),
    Deliver {
        to: usize,
        message: usize,
    },
    Restart,
}

#[derive(Default)]
struct Server {
    run: u32,
    running: usize,
    queue: VecDeque<usize>,
}

struct Daemon {
    own: Vec<u32>,
    used_at: Vec<Time>,
    counts: HashMap<usize, (Time, Vec<u32>)>,
    reports: Reports,
    answers: Vec<(Time, f64)>,
    view: Vec<usize>,
    far_view: Vec<usize>,
    ticks: u32,
    dispatch: Option<Dispatch>,
}

impl Daemon {
    /// Own requests and the reported counts of others, scaled to the fleet.
    fn scaled_count(&self, now: Time, daemons: usize, upstream: usize) -> f64 {
        let recent = |at: &Time| now < *at + Span::from_millis(1_400);
        let known = self.counts.values().filter(|(at, _)| recent(at));
        let known = known.map(|(_, counts)| f64::from(counts[upstream]));
        let scale = (daemons - 1) as f64 / self.counts.len().max(1) as f64;
        f64::from(self.own[upstream]) + known.sum::<f64>() * scale
    }

    /// Load in the last answer, moved towards the mean with its age, and own requests.
    fn answered_load(&self, now: Time, upstream: usize) -> f64 {
        let mean = self.answers.iter().map(|a| a.1).sum::<f64>() / self.answers.len() as f64;
        let (at, load) = self.answers[upstream];
        let weight = (-now.since(at).as_secs_f64() / 0.1).exp();
        mean + (load - mean) * weight + f64::from(self.own[upstream])
    }
}

struct Dispatch {
    upstreams: Upstreams,
    peers: PeerLoads,
    indices: Vec<UpstreamIndex>,
}

struct World<'a> {
    scenario: &'a Scenario,
    strategy: Strategy,
    rng: ChaCha8Rng,
    arrivals: Vec<Arrival>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next: u64,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    ids: Vec<DaemonId>,
    domains: Vec<FailureDomain>,
    tickets: HashMap<usize, (usize, UpstreamIndex, Ticket)>,
    outcome: Outcome,
}

fn is_in(now: Time, span: Option<(Time, Time)>) -> bool {
    span.is_some_and(|(from, until)| (from..until).contains(&now))
}

fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let rate = scenario.load * (scenario.upstreams * SLOTS) as f64 / scenario.work.as_secs_f64();
    let base = scenario.work.as_secs_f64() / (1.0 + 4.0 * LONG_SHARE);
    let weights = (0..scenario.daemons).map(|d| match d % scenario.domains {
        0 => scenario.skewed,
        _ => 1.0,
    });
    let weights = weights.collect::<Vec<_>>();
    let total = weights.iter().sum::<f64>();
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < scenario.length.as_secs_f64() {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let factor = rng.random_range(0.5..1.5)
            * if rng.random_bool(LONG_SHARE) {
                5.0
            } else {
                1.0
            };
        let mut point = rng.random::<f64>() * total;
        let daemon = weights.iter().position(|w| {
            point -= w;
            point < 0.0
        });
        all.push(Arrival {
            at: Time::ZERO + Span::from_secs_f64(at),
            daemon: daemon.unwrap_or(0),
            work: Span::from_secs_f64(base * factor),
        });
    }
    all
}

/// Plays a scenario by a strategy to choose.
pub fn run(scenario: &Scenario, strategy: Strategy) -> Outcome {
    let mut world = World::new(scenario, strategy);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        if now > Time::ZERO + scenario.length {
            break;
        }
        world.handle(now, event);
    }
    world.outcome
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, strategy: Strategy) -> Self {
        let domains =
            (0..scenario.domains).map(|d| FailureDomain::new(&format!("d{d}")).expect("a name"));
        let ids = (0..scenario.daemons).map(|d| DaemonId::new(&format!("r{d}")).expect("a name"));
        let mut world = Self {
            scenario,
            strategy,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed + 1_000),
            arrivals: arrivals(scenario),
            events: BinaryHeap::new(),
            next: 0,
            servers: (0..scenario.upstreams).map(|_| Server::default()).collect(),
            daemons: Vec::new(),
            messages: Vec::new(),
            ids: ids.collect(),
            domains: domains.collect(),
            tickets: HashMap::new(),
            outcome: Outcome::default(),
        };
        for d in 0..scenario.daemons {
            let daemon = world.daemon(d);
            world.daemons.push(daemon);
            let phase = Span::from_micros(world.rng.random_range(0..TICK.as_micros()));
            world.push(Time::ZERO + phase, Event::Tick(d));
        }
        for i in 0..world.arrivals.len() {
            world.push(world.arrivals[i].at, Event::Arrive(i));
        }
        if let Some(at) = scenario.restarts_at {
            world.push(at, Event::Restart);
        }
        world
    }

    fn domain_of(&self, member: usize) -> usize {
        member % self.scenario.domains
    }

    fn daemon(&mut self, index: usize) -> Daemon {
        let n = self.scenario.upstreams;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for peer in (0..self.scenario.daemons).filter(|peer| *peer != index) {
            match self.domain_of(peer) == self.domain_of(index) {
                true => near.push(peer),
                false => far.push(peer),
            }
        }
        near.shuffle(&mut self.rng);
        far.shuffle(&mut self.rng);
        if self.scenario.daemons > 16 {
            near.truncate(24);
            far.truncate(6);
        }
        let dispatch = self.dispatch_of();
        Daemon {
            own: vec![0; n],
            used_at: vec![Time::ZERO; n],
            counts: HashMap::new(),
            reports: Reports::default(),
            answers: vec![(Time::ZERO, 0.0); n],
            view: near,
            far_view: far,
            ticks: 0,
            dispatch,
        }
    }

    fn dispatch_of(&self) -> Option<Dispatch> {
        let evens_load = match self.strategy {
            Strategy::Present => false,
            Strategy::Balanced => true,
            _ => return None,
        };
        let policy = PlacingPolicy {
            evens_load,
            ..PlacingPolicy::default()
        };
        let mut upstreams = Upstreams::new(policy);
        upstreams.set_daemons(self.scenario.daemons);
        let specs = (0..self.scenario.upstreams).map(|u| self.spec(u));
        let specs = specs.collect::<Vec<_>>();
        upstreams.configure(Time::ZERO, &specs);
        let indices = specs.iter().map(|spec| {
            upstreams
                .find(&spec.id, spec.started_at)
                .expect("listed")
                .index
        });
        let indices = indices.collect();
        Some(Dispatch {
            upstreams,
            peers: PeerLoads::default(),
            indices,
        })
    }

    fn spec(&self, u: usize) -> Arc<Upstream> {
        Arc::new(Upstream {
            id: UpstreamId::new(&format!("u{u}")).expect("a name"),
            started_at: Some(WallTime(u64::from(self.servers[u].run) + 1)),
            service: Arc::from("app"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: self.domains[self.domain_of(u)].clone(),
            version: Arc::from("v1"),
            slots: SLOTS as u32,
            state: UpstreamState::Ready,
            warm_up_remaining: Span::ZERO,
        })
    }

    fn push(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, self.next, event)));
        self.next += 1;
    }

    fn is_absent(&self, now: Time, daemon: usize) -> bool {
        let is_third = daemon % 3 == 1;
        is_third && (is_in(now, self.scenario.frozen) || is_in(now, self.scenario.away))
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::End {
                upstream,
                run,
                request,
            } => {
                if self.servers[upstream].run == run {
                    self.end(now, upstream, request);
                }
            }
            Event::Tick(daemon) => self.tick(now, daemon),
            Event::Deliver { to, message } => self.deliver(now, to, message),
            Event::Restart => self.restart(now),
        }
    }

    fn arrive(&mut self, now: Time, request: usize) {
        let arrival = self.arrivals[request];
        let mut daemon = arrival.daemon;
        if self.is_absent(now, daemon) {
            // Callers go to another daemon.
            daemon = (daemon + 1) % self.scenario.daemons;
            self.arrivals[request].daemon = daemon;
        }
        let upstream = self.choose(now, daemon, request);
        self.start(now, daemon, upstream);
        let is_counted = now >= Time::ZERO + WARM_UP;
        let free_elsewhere = (0..self.servers.len())
            .any(|other| other != upstream && self.servers[other].running < SLOTS);
        let is_far = self.domain_of(upstream) != self.domain_of(daemon);
        let server = &mut self.servers[upstream];
        let must_wait = server.running >= SLOTS;
        let is_rejected = must_wait && server.queue.len() >= QUEUE;
        if is_counted {
            self.outcome.requests += 1;
            self.outcome.waited += usize::from(must_wait && free_elsewhere);
            self.outcome.rejected += usize::from(is_rejected);
            self.outcome.far += usize::from(is_far);
        }
        if is_rejected {
            self.finish(now, daemon, upstream, request);
            if let Some(dispatch) = &mut self.daemons[daemon].dispatch {
                let index = dispatch.indices[upstream];
                dispatch.upstreams.record_rejection(now, index);
            }
        } else if must_wait {
            server.queue.push_back(request);
        } else {
            self.run_request(now, upstream, request);
        }
    }

    fn run_request(&mut self, now: Time, upstream: usize, request: usize) {
        self.servers[upstream].running += 1;
        let run = self.servers[upstream].run;
        let end = now + self.arrivals[request].work;
        self.push(
            end,
            Event::End {
                upstream,
                run,
                request,
            },
        );
    }

    fn end(&mut self, now: Time, upstream: usize, request: usize) {
        self.servers[upstream].running -= 1;
        let arrival = self.arrivals[request];
        if arrival.at >= Time::ZERO + WARM_UP {
            self.outcome
                .latencies
                .push(now.since(arrival.at).as_micros());
        }
        self.finish(now, arrival.daemon, upstream, request);
        if let Some(next) = self.servers[upstream].queue.pop_front() {
            self.run_request(now, upstream, next);
        }
        let server = &self.servers[upstream];
        let load = (server.running + server.queue.len()) as f64;
        self.daemons[arrival.daemon].answers[upstream] = (now, load);
    }

    /// All requests of the first upstream are lost, and it has another instance key from now on.
    fn restart(&mut self, now: Time) {
        let held = self
            .tickets
            .iter()
            .filter(|(_, (u, ..))| *u == 0)
            .map(|(r, _)| *r);
        let mut held = held.collect::<Vec<_>>();
        held.sort_unstable();
        for request in held {
            self.finish(now, self.arrivals[request].daemon, 0, request);
        }
        self.servers[0] = Server {
            run: self.servers[0].run + 1,
            ..Server::default()
        };
        let specs = (0..self.scenario.upstreams)
            .map(|u| self.spec(u))
            .collect::<Vec<_>>();
        for daemon in &mut self.daemons {
            daemon.own[0] = 0;
            if let Some(dispatch) = &mut daemon.dispatch {
                dispatch.upstreams.configure(now, &specs);
                let first = dispatch.upstreams.find(&specs[0].id, specs[0].started_at);
                dispatch.indices[0] = first.expect("listed").index;
            }
        }
    }

    fn start(&mut self, now: Time, daemon: usize, upstream: usize) {
        let daemon = &mut self.daemons[daemon];
        daemon.own[upstream] += 1;
        daemon.used_at[upstream] = now;
    }

    fn finish(&mut self, now: Time, daemon: usize, upstream: usize, request: usize) {
        let daemon = &mut self.daemons[daemon];
        daemon.own[upstream] = daemon.own[upstream].saturating_sub(1);
        if let Some((_, index, ticket)) = self.tickets.remove(&request)
            && let Some(dispatch) = &mut daemon.dispatch
        {
            dispatch
                .upstreams
                .record_end(now, index, ticket, UpstreamOutcome::Good);
        }
    }

    fn tick(&mut self, now: Time, index: usize) {
        self.push(now + TICK, Event::Tick(index));
        if self.is_absent(now, index) {
            return;
        }
        if matches!(self.strategy, Strategy::Present | Strategy::Balanced) {
            self.update(now, index);
        }
        let is_small = self.scenario.daemons <= 16;
        self.daemons[index].ticks += 1;
        let is_full = self.daemons[index].ticks.is_multiple_of(2);
        if !is_full && !is_small {
            return;
        }
        let (near, far) = if is_small {
            (usize::MAX, usize::MAX)
        } else {
            (3, 1)
        };
        let far = if is_full { far } else { 0 };
        let daemon = &self.daemons[index];
        let mut to = daemon
            .view
            .iter()
            .copied()
            .sample(&mut self.rng, near.min(daemon.view.len()));
        to.extend(
            daemon
                .far_view
                .iter()
                .copied()
                .sample(&mut self.rng, far.min(daemon.far_view.len())),
        );
        let message = self.message(now, index);
        self.messages.push(message);
        let message = self.messages.len() - 1;
        for to in to {
            let delay = self
                .rng
                .random_range(1_000..self.scenario.delay.as_micros());
            if self.rng.random_bool(self.scenario.lost) {
                continue;
            }
            if is_in(now, self.scenario.halves) && (to / 2) % 2 != (index / 2) % 2 {
                continue;
            }
            self.push(
                now + Span::from_micros(delay),
                Event::Deliver { to, message },
            );
        }
    }

    fn message(&self, now: Time, index: usize) -> Message {
        let daemon = &self.daemons[index];
        let is_false = self.scenario.false_reports && index == 0;
        let mut counts = daemon.own.clone();
        let upstreams = daemon.dispatch.as_ref().map(|d| &d.upstreams);
        let mut averages = upstreams.map_or(Vec::new(), |upstreams| upstreams.own_averages(now));
        let mut shared = daemon
            .dispatch
            .as_ref()
            .map_or(Vec::new(), |d| d.upstreams.own_loads(now));
        if is_false {
            counts[0] = u32::from(u16::MAX);
            if let Some(dispatch) = &daemon.dispatch {
                let spec = dispatch
                    .upstreams
                    .spec(dispatch.indices[0])
                    .expect("listed");
                let upstream = dispatch::instance_key(&spec.id, spec.started_at).0;
                averages = vec![AverageLoad {
                    upstream,
                    in_flight: u16::MAX,
                }];
                shared = vec![SharedLoad {
                    upstream,
                    backlog_ms: u16::MAX,
                    in_flight: u16::MAX,
                }];
            }
        }
        Message {
            from: index,
            counts,
            averages,
            shared,
        }
    }

    fn deliver(&mut self, now: Time, to: usize, message: usize) {
        let message = &self.messages[message];
        let from = self.ids[message.from].clone();
        let daemon = &mut self.daemons[to];
        daemon
            .counts
            .insert(message.from, (now, message.counts.clone()));
        daemon
            .reports
            .update(now, from.clone(), message.averages.clone());
        if let Some(dispatch) = &mut daemon.dispatch {
            dispatch.peers.update(now, from, message.shared.clone());
        }
    }

    /// Sums the reports that a daemon has.
    fn update(&mut self, now: Time, index: usize) {
        let scenario = self.scenario;
        let here = (0..scenario.daemons).filter(|d| *d != index);
        let here = here.filter(|d| !(d % 3 == 1 && is_in(now, scenario.away)));
        let here = here.collect::<Vec<_>>();
        let (ids, domains) = (&self.ids, &self.domains);
        let present = here
            .iter()
            .map(|d| (&ids[*d], &domains[*d % scenario.domains]));
        let daemon = &mut self.daemons[index];
        let averages = daemon.reports.sums(now, present);
        let known = daemon.reports.len();
        if let Some(dispatch) = &mut daemon.dispatch {
            let mut sums = dispatch.peers.sums(now);
            let share = here.len() as f64 / known.max(1) as f64;
            if share > 1.0 {
                for (backlog_ms, in_flight) in sums.values_mut() {
                    *backlog_ms *= share;
                    *in_flight = (f64::from(*in_flight) * share) as u32;
                }
            }
            dispatch.upstreams.set_remote_loads(&sums);
            dispatch.upstreams.set_peer_averages(&averages);
        }
    }

    fn choose(&mut self, now: Time, index: usize, request: usize) -> usize {
        let n = self.scenario.upstreams;
        let exact = |u: usize| (self.servers[u].running + self.servers[u].queue.len()) as f64;
        let daemon = &self.daemons[index];
        let rng = &mut self.rng;
        let least = |rng: &mut ChaCha8Rng, load: &dyn Fn(usize) -> f64| {
            let mut order = (0..n).collect::<Vec<_>>();
            order.shuffle(rng);
            order
                .into_iter()
                .min_by(|a, b| load(*a).total_cmp(&load(*b)))
                .unwrap_or(0)
        };
        let two = |rng: &mut ChaCha8Rng, load: &dyn Fn(usize) -> f64| {
            let drawn = (0..n).sample(rng, 2);
            drawn
                .into_iter()
                .min_by(|a, b| load(*a).total_cmp(&load(*b)))
                .unwrap_or(0)
        };
        match self.strategy {
            Strategy::Present | Strategy::Balanced => self.dispatch(now, index, request),
            Strategy::Random => rng.random_range(0..n),
            Strategy::Instant => two(rng, &|u| daemon.scaled_count(now, self.scenario.daemons, u)),
            Strategy::OwnOnly => (0..n)
                .min_by_key(|u| (daemon.own[*u], daemon.used_at[*u]))
                .unwrap_or(0),
            Strategy::Leases => {
                let load = |u: usize| {
                    let leased = (0..SLOTS)
                        .filter(|s| (u * SLOTS + s) % self.scenario.daemons == index % (n * SLOTS));
                    f64::from(daemon.own[u]) - leased.count() as f64
                };
                least(rng, &load)
            }
            Strategy::Subset => {
                let other = index % n;
                let pair = [other, (other + 1 + index / n % (n - 1)) % n];
                pair.into_iter()
                    .min_by_key(|u| (daemon.own[*u], daemon.used_at[*u]))
                    .unwrap_or(0)
            }
            Strategy::InAnswers => two(rng, &|u| daemon.answered_load(now, u)),
            Strategy::LateBinding => two(rng, &exact),
            Strategy::Exact => least(rng, &exact),
        }
    }

    fn dispatch(&mut self, now: Time, index: usize, request: usize) -> usize {
        let service = Arc::from("app");
        let local_domain = self.domains[self.domain_of(index)].clone();
        let dispatch = self.daemons[index].dispatch.as_mut().expect("one is there");
        let requirements = Requirements {
            service: &service,
            model: None,
            parts: &[],
            prompt_tokens: 0,
            permit: &Permit::Any,
            exclude: &[],
            isolated: false,
            local_domain: &local_domain,
        };
        let choice = dispatch
            .upstreams
            .choose(now, &requirements, &mut self.rng)
            .expect("listed");
        let ticket = dispatch
            .upstreams
            .record_start(now, choice.index, &choice.load, &[]);
        let upstream = dispatch
            .indices
            .iter()
            .position(|i| *i == choice.index)
            .unwrap_or(0);
        self.tickets
            .insert(request, (upstream, choice.index, ticket));
        upstream
    }
}
