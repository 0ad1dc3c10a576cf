//! Arrivals at the upstreams of one service, summed over a fleet whose retry budgets are counted by
//! processes that are killed, start alone, are cut off, freeze or leave.
//!
//! Nearly all sends fail, so that each process uses what its budget gives. A process knows the daemons that it has heard of, and while the store
//! answers it, as many as the store lists.

use std::collections::BTreeSet;

use dispatch::{RetryBudget, RetryLimits, RetryPolicy, RetryReason};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

const STEP: Span = Span::from_millis(20);
const LENGTH: Span = Span::from_secs(50);
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.9,
    allowance: 60.0,
    window: Span::from_secs(10),
};
/// Share of the sends that fail.
const FAILING: f64 = 0.95;
/// Sends of one request at most.
const MAX_SENDS: u32 = 12;
/// Time within which two processes that reach each other know of each other.
const MAX_LEARNING: Span = Span::from_secs(3);
/// Time from a kill to the next start.
const RESTART: Span = Span::from_millis(100);
/// Fleets that are simulated.
const SIZES: [usize; 4] = [6, 20, 88, 300];
/// Requests a second, over all daemons: few, so that the allowance counts, and many.
const RATES: [f64; 2] = [8.0, 150.0];

fn at(secs: f64) -> Time {
    Time::ZERO + Span::from_secs_f64(secs)
}

/// What happens to the daemons.
#[derive(Debug, Clone, Default)]
struct Scenario {
    /// When which share of the daemons is killed.
    kills: Vec<(f64, f64)>,
    /// Interval at which one daemon after the other is killed.
    kill_each: Option<Span>,
    /// Span of seconds in which no daemon reaches any other.
    alone: Option<(f64, f64)>,
    /// Span of seconds in which two halves don't reach each other.
    halves: Option<(f64, f64)>,
    /// Spans of seconds in which half of the daemons stand still.
    frozen: Vec<(f64, f64)>,
    /// Interval at which one daemon after the other leaves, and starts again.
    leave_each: Option<Span>,
    /// When daemons join that are as many again.
    doubled_at: Option<f64>,
}

/// One process of a daemon.
struct Process {
    budget: RetryBudget,
    /// Peers it does not know, and when it hears of them.
    unknown: Vec<(usize, Time)>,
    /// Peers it has known; those that left are not kept.
    known: BTreeSet<usize>,
}

/// One host.
#[derive(Default)]
struct Host {
    process: Option<Process>,
    starts_at: Time,
    /// Requests that wait until the host goes on.
    held: u32,
}

struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    /// Daemons that the store counts; those that join are not counted yet.
    listed: usize,
    /// When callers sent requests.
    requests: Vec<Time>,
    /// When upstreams got sends beyond the first of their request.
    retries: Vec<Time>,
}

impl World {
    fn new(seed: u64, daemons: usize, scenario: Scenario) -> Self {
        let joining = if scenario.doubled_at.is_some() {
            daemons
        } else {
            0
        };
        let host = |index: usize| Host {
            starts_at: match index < daemons {
                true => Time::ZERO,
                false => at(scenario.doubled_at.unwrap_or_default()),
            },
            ..Host::default()
        };
        Self {
            hosts: (0..daemons + joining).map(host).collect(),
            listed: daemons,
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn run(mut self, requests_per_s: f64) -> Self {
        let mut now = Time::ZERO;
        let mut due = 0.0;
        while now < Time::ZERO + LENGTH {
            self.start_processes(now);
            self.disrupt(now);
            self.exchange(now);
            due += requests_per_s * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request(now);
            }
            self.go_on(now);
            now = now + STEP;
        }
        self
    }

    fn start_processes(&mut self, now: Time) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.process.is_some() || now < host.starts_at {
                continue;
            }
            let peers = (0..self.hosts.len()).filter(|peer| *peer != index);
            let heard = peers.map(|peer| {
                let ms = self.rng.random_range(50..MAX_LEARNING.as_millis());
                (peer, now + Span::from_millis(ms))
            });
            let unknown = heard.collect();
            let process = Process {
                budget: RetryBudget::after_start(LIMITS, RetryPolicy::default(), now),
                unknown,
                known: BTreeSet::new(),
            };
            self.hosts[index].process = Some(process);
        }
    }

    fn kill(&mut self, now: Time, index: usize) {
        let host = &mut self.hosts[index];
        host.process = None;
        host.held = 0;
        host.starts_at = now + RESTART;
    }

    fn disrupt(&mut self, now: Time) {
        let is_due = |time: f64| now <= at(time) && at(time) < now + STEP;
        let turn = |interval: Span| {
            let ticks = now.since(Time::ZERO).as_micros() / STEP.as_micros();
            let each = (interval.as_micros() / STEP.as_micros()).max(1);
            (ticks > 0 && ticks.is_multiple_of(each)).then_some((ticks / each) as usize)
        };
        let shares = self.scenario.kills.iter().filter(|(time, _)| is_due(*time));
        let shares = shares.map(|(_, share)| *share).collect::<Vec<_>>();
        for share in shares {
            for index in 0..self.hosts.len() {
                if self.rng.random_bool(share) {
                    self.kill(now, index);
                }
            }
        }
        if let Some(turn) = self.scenario.kill_each.and_then(turn) {
            self.kill(now, turn % self.hosts.len());
        }
        if let Some(turn) = self.scenario.leave_each.and_then(turn) {
            let leaving = turn % self.hosts.len();
            self.kill(now, leaving);
            for process in self
                .hosts
                .iter_mut()
                .filter_map(|host| host.process.as_mut())
            {
                if process.known.remove(&leaving) {
                    process.unknown.push((leaving, now + RESTART));
                }
            }
        }
    }

    fn reaches(&self, now: Time, one: usize, other: usize) -> bool {
        let is_in = |span: Option<(f64, f64)>| {
            span.is_some_and(|(from, until)| (at(from)..at(until)).contains(&now))
        };
        let are_apart = is_in(self.scenario.halves) && one % 2 != other % 2;
        !is_in(self.scenario.alone) && !are_apart
    }

    /// Lets processes learn of each other, and divides the allowance.
    fn exchange(&mut self, now: Time) {
        let running = self.hosts.iter().map(|host| host.process.is_some());
        let running = running.collect::<Vec<_>>();
        for index in 0..self.hosts.len() {
            let Some(mut process) = self.hosts[index].process.take() else {
                continue;
            };
            let heard = process.unknown.extract_if(.., |(peer, hears_at)| {
                *hears_at <= now && running[*peer] && self.reaches(now, index, *peer)
            });
            process.known.extend(heard.map(|(peer, _)| peer));
            let daemons = (process.known.len() + 1).max(self.listed);
            process.budget.set_daemons(daemons);
            self.hosts[index].process = Some(process);
        }
    }

    fn is_frozen(&self, now: Time, index: usize) -> bool {
        let mut spans = self.scenario.frozen.iter();
        index.is_multiple_of(2) && spans.any(|(from, until)| (at(*from)..at(*until)).contains(&now))
    }

    /// When a host that has just gone on stood still.
    fn frozen_at(&self, now: Time) -> Time {
        let starts = self.scenario.frozen.iter().map(|(from, _)| at(*from));
        starts.filter(|from| *from <= now).max().unwrap_or(now)
    }

    /// Lets a caller send a request to a daemon that listens.
    fn request(&mut self, now: Time) {
        self.requests.push(now);
        let hosts = self.hosts.iter().enumerate();
        let listening = hosts.filter(|(_, host)| host.process.is_some());
        let Some((index, _)) = listening.choose(&mut self.rng) else {
            return;
        };
        if self.is_frozen(now, index) {
            self.hosts[index].held += 1;
            return;
        }
        self.read(now, index);
    }

    /// Lets a daemon read a request.
    fn read(&mut self, now: Time, index: usize) {
        if let Some(process) = &mut self.hosts[index].process {
            process.budget.record_request(now);
            self.send(now, index);
        }
    }

    /// Handles what waited on hosts that go on.
    fn go_on(&mut self, now: Time) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].held == 0 || self.is_frozen(now, index) {
                continue;
            }
            let since = self.frozen_at(now);
            for _ in 0..std::mem::take(&mut self.hosts[index].held) {
                if let Some(process) = &mut self.hosts[index].process {
                    process.budget.record_delayed_request(now, since);
                    self.send(now, index);
                }
            }
        }
    }

    /// Sends a request until it is served, or no retry is left.
    fn send(&mut self, now: Time, index: usize) {
        for sends in 1..=MAX_SENDS {
            if sends > 1 {
                self.retries.push(now);
            }
            if !self.rng.random_bool(FAILING) {
                return;
            }
            let Some(process) = &mut self.hosts[index].process else {
                return;
            };
            if sends == MAX_SENDS || !process.budget.try_acquire(now, RetryReason::Failure) {
                return;
            }
        }
    }

    /// Retries in the window from a time on, and those that the operators allow.
    fn window(&self, from: Time) -> (f64, f64) {
        let within = |times: &[Time], from: Time| {
            let before = |until: Time| times.partition_point(|at| *at < until);
            (before(from + LIMITS.window) - before(from)) as f64
        };
        let half = Span(LIMITS.window.0 / 2);
        let earlier = [Span::ZERO, half, LIMITS.window];
        let earlier = earlier
            .into_iter()
            .filter(|span| from >= Time::ZERO + *span);
        let requests = earlier.map(|span| within(&self.requests, from - span));
        let allowed = LIMITS.ratio * requests.fold(0.0, f64::max) + LIMITS.allowance;
        (within(&self.retries, from), allowed)
    }

    fn assert_bound_holds(&self, what: &str) {
        for from in (0..(LENGTH.as_millis() - LIMITS.window.as_millis())).step_by(250) {
            let (retries, allowed) = self.window(Time::ZERO + Span::from_millis(from));
            assert!(
                retries <= allowed,
                "{what}: {retries} retries in 10 s from {from} ms, {allowed} allowed"
            );
        }
    }
}

/// Plays a scenario in fleets of all sizes, with few requests and with many.
fn assert_bound_holds(scenario: &Scenario) {
    for daemons in SIZES {
        for rate in RATES {
            let world = World::new(1, daemons, scenario.clone()).run(rate);
            world.assert_bound_holds(&format!("{daemons} daemons, {rate}/s"));
        }
    }
}

/// Each start would grant the allowance anew, beside what the killed processes had spent of it.
#[test]
fn the_bound_holds_while_all_daemons_are_killed_in_series() {
    assert_bound_holds(&Scenario {
        kills: (0..8).map(|n| (20.0 + 2.0 * f64::from(n), 1.0)).collect(),
        ..Scenario::default()
    });
}

/// The same where half of the fleet keeps its counts.
#[test]
fn the_bound_holds_while_half_of_the_daemons_are_killed_in_series() {
    assert_bound_holds(&Scenario {
        kills: (0..12).map(|n| (20.0 + f64::from(n), 0.5)).collect(),
        ..Scenario::default()
    });
}

/// Single kills would grant part after part.
#[test]
fn the_bound_holds_while_one_daemon_after_the_other_is_killed() {
    assert_bound_holds(&Scenario {
        kill_each: Some(Span::from_millis(100)),
        ..Scenario::default()
    });
}

/// A process that knows nobody would take the whole allowance for its own.
#[test]
fn the_bound_holds_while_daemons_start_alone() {
    assert_bound_holds(&Scenario {
        kills: vec![(15.0, 1.0), (18.0, 1.0)],
        alone: Some((14.0, 48.0)),
        ..Scenario::default()
    });
}

/// Both sides of a partition would take the whole allowance, also after kills.
#[test]
fn the_bound_holds_while_halves_are_cut_off() {
    assert_bound_holds(&Scenario {
        kills: vec![(22.0, 0.5), (24.0, 0.5)],
        halves: Some((18.0, 45.0)),
        ..Scenario::default()
    });
}

/// Hosts that go on would add what waited to what the others had spent meanwhile.
#[test]
fn the_bound_holds_while_daemons_freeze() {
    assert_bound_holds(&Scenario {
        frozen: vec![(20.0, 22.0), (24.0, 26.0), (28.0, 30.0)],
        ..Scenario::default()
    });
}

/// Those that stay would take over at once what the ones that left had just spent.
#[test]
fn the_bound_holds_while_daemons_leave_in_turn() {
    assert_bound_holds(&Scenario {
        leave_each: Some(Span::from_millis(300)),
        ..Scenario::default()
    });
}

/// New daemons would add their parts to those that the others had spent as a smaller fleet.
#[test]
fn the_bound_holds_while_the_fleet_doubles() {
    assert_bound_holds(&Scenario {
        doubled_at: Some(25.0),
        ..Scenario::default()
    });
}

/// The allowance is for bursts of failures that a quiet service did not earn retries for.
#[test]
fn an_undisturbed_fleet_uses_its_allowance() {
    let world = World::new(1, 6, Scenario::default()).run(8.0);
    let (retries, allowed) = world.window(at(30.0));
    assert!(retries >= 0.8 * allowed, "{retries} of {allowed}");
}
