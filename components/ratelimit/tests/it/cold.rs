//! Checks that fleets of 6 to 300 daemons send cold upstreams no more than these tolerate in any
//! second, from when they turn cold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ratelimit::{Admission, ColdBound, DaemonKey, Fleet, InstanceKey, Lenders, RateLimits};
use types::prelude::*;

const FLEETS: [usize; 5] = [6, 20, 78, 150, 300];
const STEP: Span = Span::from_millis(5);
const BOUND: ColdBound = ColdBound {
    rate: Rate(11.0),
    spare: 10.5,
};
const UPSTREAMS: usize = 12;
/// Largest fleet that is played before as many upstreams.
const MAX_BURST_FLEET: usize = 78;
/// The second in which the upstreams turn cold, and how long they stay cold.
const COLD_AT: u64 = 12;
const COLD_FOR: Span = Span::from_secs(3);
/// Longest time until a daemon knows that an upstream is cold.
const MAX_LAG_MS: u64 = 400;
/// Other daemons that are asked for one request at most, and the longest time that this takes.
const MAX_ASKED: usize = 4;
const MAX_LEASE_MS: u64 = 100;
/// Longest time until daemons know of one that has started.
const MAX_LEARN_MS: u64 = 4_500;

#[derive(Debug, Clone, Copy)]
struct Scenario {
    daemons: usize,
    upstreams: usize,
    seed: u64,
    /// Requests a second at each upstream, over all daemons.
    requests_per_s: f64,
    /// Share of the requests that the first daemon gets.
    skew: f64,
    /// Interval at which a daemon is killed, and started again half a second later.
    kill_every: Option<Span>,
    /// Interval at which a daemon joins.
    join_every: Option<Span>,
    /// Whether the two halves of the fleet lose sight of each other before the upstreams turn cold.
    is_split: bool,
}

struct Daemon {
    id: DaemonId,
    limits: RateLimits,
    lenders: Lenders,
    started_at: Time,
    up_from: Time,
    knows: BTreeSet<usize>,
    learns: Vec<(Time, usize)>,
    cold_known_at: Vec<Time>,
}

struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    daemons: Vec<Daemon>,
    by_key: BTreeMap<DaemonKey, usize>,
    arrivals: Vec<Vec<Time>>,
}

fn secs(seconds: u64) -> Time {
    Time::ZERO + Span::from_secs(seconds)
}

fn instance(upstream: usize) -> InstanceKey {
    InstanceKey(upstream as u32 * 7_919 + 13)
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut world = Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            daemons: Vec::new(),
            by_key: BTreeMap::new(),
            arrivals: vec![Vec::new(); scenario.upstreams],
        };
        for _ in 0..scenario.daemons {
            world.join(Time::ZERO);
        }
        world
    }

    fn delay(&mut self, max_ms: u64) -> Span {
        Span::from_millis(self.rng.random_range(10..max_ms))
    }

    fn join(&mut self, now: Time) {
        let new = self.daemons.len();
        let id = DaemonId::new(&format!("daemon-{new}")).expect("a name");
        self.by_key.insert(DaemonKey::from(&id), new);
        self.daemons.push(Daemon {
            id,
            limits: RateLimits::default(),
            lenders: Lenders::default(),
            started_at: now,
            up_from: now,
            knows: BTreeSet::new(),
            learns: Vec::new(),
            cold_known_at: Vec::new(),
        });
        for other in 0..new {
            let at = now + self.delay(MAX_LEARN_MS);
            self.daemons[other].learns.push((at, new));
        }
        self.start(now, new);
    }

    /// Starts a daemon that knows nothing.
    fn start(&mut self, now: Time, number: usize) {
        let learns = (0..self.daemons.len()).filter(|other| *other != number);
        let learns = learns.collect::<Vec<_>>();
        let learns = learns
            .into_iter()
            .map(|other| (now + self.delay(MAX_LEARN_MS), other));
        let learns = learns.collect::<Vec<_>>();
        // What it reads when it starts says how long an upstream is still cold.
        let known_at =
            (0..self.scenario.upstreams).map(|_| secs(COLD_AT).max(now) + self.delay(MAX_LAG_MS));
        let known_at = known_at.collect();
        let daemon = &mut self.daemons[number];
        daemon.limits = RateLimits::default();
        daemon.lenders = Lenders::default();
        daemon.started_at = now;
        daemon.up_from = now;
        daemon.knows.clear();
        daemon.learns = learns;
        daemon.cold_known_at = known_at;
        self.set_fleet(now, number);
    }

    fn set_fleet(&mut self, now: Time, number: usize) {
        let is_split = self.scenario.is_split && now >= secs(COLD_AT - 2);
        let daemon = &self.daemons[number];
        let is_seen = |other: &&usize| !is_split || *other % 2 == number % 2;
        let others = daemon.knows.iter().filter(is_seen);
        let others = others.map(|other| &self.daemons[*other].id);
        let fleet = Arc::new(Fleet::new(&daemon.id, others));
        let daemon = &mut self.daemons[number];
        let local = local(daemon, now);
        daemon.limits.set_fleet(local, &fleet);
    }

    fn step(&mut self, now: Time) {
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            let local_now = local(daemon, now);
            for upstream in 0..self.scenario.upstreams {
                if daemon.cold_known_at[upstream] <= now {
                    daemon.cold_known_at[upstream] = Time::NEVER;
                    let left = now.until(secs(COLD_AT) + COLD_FOR);
                    let until = local_now + left;
                    daemon
                        .limits
                        .set_cold(local_now, instance(upstream), BOUND, until, true);
                }
            }
            let due = daemon.learns.extract_if(.., |(at, _)| *at <= now);
            let due = due.map(|(_, other)| other).collect::<Vec<_>>();
            let has_split = self.scenario.is_split && now == secs(COLD_AT - 2);
            if !due.is_empty() || has_split {
                daemon.knows.extend(due);
                self.set_fleet(now, number);
            }
        }
        let per_s = self.scenario.requests_per_s * self.scenario.upstreams as f64;
        let mean = per_s * STEP.as_secs_f64();
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        (0..count).for_each(|_| self.request(now));
    }

    fn request(&mut self, now: Time) {
        let number = match self.rng.random_bool(self.scenario.skew) {
            true => 0,
            false => self.rng.random_range(0..self.daemons.len()),
        };
        let daemon = &mut self.daemons[number];
        if now < daemon.up_from {
            return;
        }
        let local = local(daemon, now);
        let open = (0..self.scenario.upstreams)
            .filter(|u| daemon.limits.admission(local, instance(*u)) == Admission::Open);
        let open = open.collect::<Vec<_>>();
        if open.is_empty() {
            self.lease(now, number);
            return;
        }
        let upstream = open[self.rng.random_range(0..open.len())];
        daemon.limits.take(local, instance(upstream));
        let on_its_way = Span::from_millis(self.rng.random_range(1..30));
        self.arrivals[upstream].push(now + on_its_way);
    }

    /// Sends a request by the share of another daemon, if one grants it.
    fn lease(&mut self, now: Time, number: usize) {
        for _ in 0..MAX_ASKED {
            let daemon = &self.daemons[number];
            let local_now = local(daemon, now);
            let offers = (0..self.scenario.upstreams).flat_map(|upstream| {
                let instance = instance(upstream);
                let lenders = daemon.limits.other_senders(local_now, instance).iter();
                lenders.map(move |lender| (upstream, *lender))
            });
            let is_ready = |(upstream, lender): &(usize, DaemonKey)| {
                let instance = instance(*upstream);
                daemon.lenders.is_ready(local_now, *lender, instance)
            };
            let offers = offers.filter(is_ready).collect::<Vec<_>>();
            if offers.is_empty() {
                return;
            }
            let (upstream, key) = offers[self.rng.random_range(0..offers.len())];
            let lender = &mut self.daemons[self.by_key[&key]];
            if now < lender.up_from {
                let lenders = &mut self.daemons[number].lenders;
                lenders.eject(local_now, key, local_now + Span::from_secs(1));
                continue;
            }
            let at_lender = local(lender, now);
            let reply = lender.limits.lend(at_lender, instance(upstream));
            let ready_at = local_now + reply.ready_at.since(at_lender);
            let lenders = &mut self.daemons[number].lenders;
            lenders.record_reply(local_now, key, instance(upstream), ready_at);
            if reply.is_granted {
                let on_its_way = self.delay(MAX_LEASE_MS);
                self.arrivals[upstream].push(now + on_its_way);
                return;
            }
        }
    }
}

fn local(daemon: &Daemon, now: Time) -> Time {
    Time(now.since(daemon.started_at).as_micros())
}

/// What the upstreams got while they were cold.
struct Outcome {
    /// Arrivals at one upstream in the worst second.
    worst: usize,
    /// Share of the rates that was used in the last second.
    used: f64,
}

fn simulate(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    let mut now = Time::ZERO;
    let mut kill_at = scenario.kill_every.map(|every| secs(6) + every);
    let mut join_at = scenario.join_every.map(|every| secs(6) + every);
    while now < secs(COLD_AT) + COLD_FOR {
        if kill_at.is_some_and(|at| now >= at) {
            let number = world.rng.random_range(0..world.daemons.len());
            world.start(now, number);
            world.daemons[number].up_from = now + Span::from_millis(500);
            kill_at = scenario.kill_every.map(|every| now + every);
        }
        if join_at.is_some_and(|at| now >= at) {
            world.join(now);
            join_at = scenario.join_every.map(|every| now + every);
        }
        world.step(now);
        now = now + STEP;
    }
    let mut outcome = Outcome {
        worst: 0,
        used: 0.0,
    };
    for arrivals in &mut world.arrivals {
        arrivals.sort();
        let cold = arrivals.iter().filter(|at| **at >= secs(COLD_AT));
        let mut window = VecDeque::new();
        for at in cold.copied() {
            window.push_back(at);
            while at.since(window[0]) > Span::from_secs(1) {
                window.pop_front();
            }
            outcome.worst = outcome.worst.max(window.len());
        }
        let late = arrivals.iter().filter(|at| **at >= secs(COLD_AT + 2));
        outcome.used += late.count() as f64 / (BOUND.rate.0 * scenario.upstreams as f64);
    }
    outcome
}

/// Fleets of all sizes, before upstreams that usually get 8 requests a second each.
fn scenarios(change: impl Fn(&mut Scenario)) -> Vec<Scenario> {
    let sized = FLEETS.into_iter().flat_map(|daemons| {
        (1..=3).map(move |seed| Scenario {
            daemons,
            upstreams: UPSTREAMS,
            seed,
            requests_per_s: 8.0,
            skew: 0.0,
            kill_every: None,
            join_every: None,
            is_split: false,
        })
    });
    let mut scenarios = sized.collect::<Vec<_>>();
    scenarios.iter_mut().for_each(change);
    scenarios
}

/// Fleets before at least as many upstreams, all of them cold, at a burst.
fn burst(change: impl Fn(&mut Scenario)) -> Vec<Scenario> {
    let mut scenarios = scenarios(change);
    scenarios.retain(|s| s.daemons <= MAX_BURST_FLEET);
    for scenario in &mut scenarios {
        scenario.requests_per_s = 14.0;
        scenario.upstreams = scenario.upstreams.max(scenario.daemons);
    }
    scenarios
}

fn check(scenarios: Vec<Scenario>) -> Vec<(Scenario, Outcome)> {
    let allowed = BOUND.rate.0 + BOUND.spare;
    let played = scenarios.into_iter().map(|scenario| {
        let outcome = simulate(scenario);
        let worst = outcome.worst;
        assert!(worst as f64 <= allowed, "{worst} in a second, {scenario:?}");
        (scenario, outcome)
    });
    played.collect()
}

// Upstreams that come back cold look idle, and all daemons send to them at once.
#[test]
fn cold_upstreams_get_no_more_than_they_tolerate() {
    check(scenarios(|_| {}));
}

#[test]
fn cold_upstreams_are_used_while_there_is_demand() {
    let played = check(burst(|_| {}));
    for (scenario, outcome) in played {
        assert!(outcome.used > 0.7, "{} used, {scenario:?}", outcome.used);
    }
}

#[test]
fn cold_upstreams_are_spared_while_one_daemon_gets_most_requests() {
    check(scenarios(|s| s.skew = 0.9));
}

// The daemon with the callers had one sender's share of few upstreams.
#[test]
fn cold_upstreams_are_used_while_one_daemon_gets_most_requests() {
    let even = check(scenarios(|_| {}));
    let skewed = check(scenarios(|s| s.skew = 0.9));
    for ((scenario, skewed), (_, even)) in skewed.iter().zip(&even) {
        let share = skewed.used / even.used;
        assert!(share >= 0.75, "{share} of the usual, {scenario:?}");
    }
}

#[test]
fn cold_upstreams_are_spared_while_daemons_restart() {
    check(scenarios(|s| s.kill_every = Some(Span::from_millis(300))));
    check(burst(|s| s.kill_every = Some(Span::from_millis(300))));
}

#[test]
fn cold_upstreams_are_spared_while_the_fleet_grows() {
    check(scenarios(|s| s.join_every = Some(Span::from_millis(800))));
    check(burst(|s| s.join_every = Some(Span::from_millis(800))));
}

// Each half takes over the other's share, once its daemons no longer count.
#[test]
fn cold_upstreams_are_spared_by_both_sides_of_a_partition() {
    check(scenarios(|s| s.is_split = true));
    check(burst(|s| s.is_split = true));
}
