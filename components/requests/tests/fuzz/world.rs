//! Simulated world: three daemons, their callers, the store, the engines, and a queue of
//! pending effects.

use std::collections::BTreeMap;

use keyvalue::{CallError, Outcome, Request as StoreRequest};
use ledger::Message;
use types::prelude::*;

use crate::daemon::{Daemon, DaemonRun, StoreCallOwner};
use crate::oracle::{CallEnd, Oracle};
use crate::store::Store;

mod faults;
mod finish;

pub(crate) const TOKENS: usize = 10;
pub(crate) const PREFIX: &str = "/buckthorncross/fuzz";
const WALL_START_MS: u64 = 1_800_000_000_000;
/// Ticks after which every bill is sealed and rolled up, including those of crashed daemons.
const ROLL_UP_TICKS: usize = 30;
/// Time within which a daemon without a lease requests one again.
const LEASE_RETRY_DELAY: Span = Span::from_secs(2);
/// Time for which callers may retry a request.
const RETRY_WINDOW: Span = Span::from_secs(500);
/// Time after which a message of a crashed daemon that has not arrived is lost.
const TRANSPORT_TIMEOUT: Span = Span::from_secs(60);

pub(crate) fn is_idempotent(request: u8) -> bool {
    request < 4
}

/// Whether the answer is sent to the caller token by token; such answers are resumable.
pub(crate) fn is_streamed(request: u8) -> bool {
    request < 2
}

pub(crate) fn whole_answer(request: u8) -> Vec<String> {
    (0..TOKENS).map(|n| format!("{request}.{n}")).collect()
}

pub(crate) fn customer(request: u8) -> CustomerId {
    format!("customer-{request}").parse().unwrap()
}

/// A pending call or message.
#[derive(Debug, Clone)]
pub(crate) enum Effect {
    /// Call to the store.
    Store(DaemonRun, StoreCallOwner, StoreRequest),
    /// Outcome of a store call.
    Outcome(DaemonRun, StoreCallOwner, Outcome),
    /// Attempt sent to an engine.
    Attempt(Attempt),
    /// Engine's reply, with the call and the id of the attempt.
    End(DaemonRun, usize, u64, EngineReply),
    /// Message from one daemon's ledger to another's.
    Peer(DaemonRun, DaemonId, Message),
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) from: DaemonRun,
    pub(crate) call: usize,
    pub(crate) id: u64,
    pub(crate) request: u8,
    pub(crate) resume_from: usize,
    pub(crate) deadline: Time,
}

#[derive(Debug, Clone)]
pub(crate) enum EngineReply {
    NotSent,
    RefusedNotRun,
    Reset,
    TimedOut,
    Error(u16),
    Tokens {
        echo: u64,
        tokens: Vec<String>,
        has_end: bool,
    },
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum StoreFault {
    ReplyLost,
    Delayed,
    NotSent,
    Refused,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum EngineFault {
    NotSent,
    RefusedNotRun,
    ResetBeforeRun,
    ResetAfterRun,
    Error(u16),
    RunsAfterTimeout,
    WrongEcho,
    Truncated(u8),
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) oracle: Oracle,
    pub(crate) is_store_down: bool,
    store: Store,
    daemons: Vec<Daemon>,
    pending: Vec<(Time, Effect)>,
    first_sent: BTreeMap<u8, Time>,
    runs: u64,
}

impl World {
    pub(crate) fn new(size: usize) -> Self {
        let mut world = Self {
            now: Time(1_000_000),
            oracle: Oracle::default(),
            is_store_down: false,
            store: Store::default(),
            daemons: Vec::new(),
            pending: Vec::new(),
            first_sent: BTreeMap::new(),
            runs: 0,
        };
        for index in 0..size {
            world.runs += 1;
            world.daemons.push(Daemon::new(index, world.runs));
        }
        world.tick(Span::ZERO);
        world.run_until_idle();
        world
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime(WALL_START_MS + self.now.0 / 1000)
    }

    fn add(&mut self, effects: Vec<Effect>) {
        let now = self.now;
        self.pending
            .extend(effects.into_iter().map(|effect| (now, effect)));
    }

    pub(crate) fn send(&mut self, request: u8, daemon: usize) {
        let first = *self.first_sent.entry(request).or_insert(self.now);
        if self.now.since(first) > RETRY_WINDOW {
            return;
        }
        let call = self.oracle.call(request);
        if self.daemons[daemon].is_paused {
            return self.oracle.call_ended(call, CallEnd::Broken);
        }
        let effects = self.daemons[daemon].on_request(&mut self.oracle, call, self.now);
        self.add(effects);
    }

    /// Advances the clock, after which each daemon that is not paused does what is due.
    pub(crate) fn tick(&mut self, span: Span) {
        self.now = self.now + span;
        self.store.advance(self.now);
        if self.all_bills_sealed() {
            self.oracle.held_bills.clear();
        }
        let peers: Vec<_> = self.daemons.iter().map(Daemon::peer).collect();
        let wall = self.wall();
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_paused {
                continue;
            }
            let others: Vec<_> = (0..peers.len())
                .filter(|other| *other != index && !self.daemons[*other].is_paused)
                .map(|other| peers[other].clone())
                .collect();
            let effects = self.daemons[index].tick(&mut self.oracle, self.now, wall, &others);
            self.add(effects);
            if let Some(holder) = self.daemons[index].holder_of_all_bills() {
                self.oracle.add_holder(&self.daemons[index].id(), &holder);
            }
        }
    }

    /// Advances the clock by one of four spans. The longest also drops effects of crashed daemons
    /// that are older than [`TRANSPORT_TIMEOUT`].
    pub(crate) fn advance_time(&mut self, choice: u8) {
        let spans = [
            Span::from_millis(200),
            Span::from_secs(2),
            Span::from_secs(40),
        ];
        match spans.get(usize::from(choice)) {
            Some(span) => self.tick(*span),
            None => {
                self.tick(Span::from_secs(900));
                let limit = self.now - TRANSPORT_TIMEOUT;
                let daemons = &self.daemons;
                let is_live = |run: &DaemonRun| daemons.iter().any(|daemon| daemon.run == *run);
                self.pending.retain(|(at, effect)| {
                    *at > limit || sender(effect).is_some_and(|run| is_live(&run))
                });
            }
        }
    }

    fn daemon_index(&self, run: DaemonRun) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.run == run)
    }

    /// Whether the effect has to wait because the daemon that it needs is paused.
    fn is_blocked(&self, effect: &Effect) -> bool {
        let paused = |index: Option<usize>| index.is_some_and(|i| self.daemons[i].is_paused);
        match effect {
            Effect::Attempt(attempt) => paused(self.daemon_index(attempt.from)),
            Effect::Outcome(run, ..) | Effect::End(run, ..) => paused(self.daemon_index(*run)),
            Effect::Peer(_, to, _) => {
                paused(self.daemons.iter().position(|daemon| daemon.id() == *to))
            }
            Effect::Store(..) => false,
        }
    }

    fn pick(&mut self, choice: usize, wanted: impl Fn(&Effect) -> bool) -> Option<Effect> {
        let open = (0..self.pending.len())
            .filter(|i| wanted(&self.pending[*i].1) && !self.is_blocked(&self.pending[*i].1))
            .collect::<Vec<_>>();
        let index = *open.get(choice.checked_rem(open.len())?)?;
        Some(self.pending.remove(index).1)
    }

    /// Performs one pending effect.
    pub(crate) fn perform_one(&mut self, choice: usize) {
        if let Some(effect) = self.pick(choice, |_| true) {
            self.perform(effect);
        }
    }

    /// Performs all pending effects and those that follow from them, at most 300.
    pub(crate) fn perform_all(&mut self) {
        for _ in 0..300 {
            if self.pending.is_empty() {
                return;
            }
            self.perform_one(0);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Store(run, owner, request) => {
                let outcome = match self.is_store_down {
                    true => Err(CallError::NotSent("down".to_owned())),
                    false => self.store.call(&request),
                };
                self.add(vec![Effect::Outcome(run, owner, outcome)]);
            }
            Effect::Outcome(run, owner, outcome) => self
                .with_daemon(run, |daemon, oracle, now, _| {
                    daemon.on_store(oracle, owner, outcome, now)
                }),
            Effect::Attempt(attempt) => self.run_attempt(&attempt, TOKENS, true),
            Effect::End(run, call, id, reply) => self
                .with_daemon(run, |daemon, oracle, now, wall| {
                    daemon.on_end(oracle, call, id, reply, now, wall)
                }),
            Effect::Peer(from, to, message) => {
                let from = from.daemon();
                let Some(index) = self.daemons.iter().position(|daemon| daemon.id() == to) else {
                    return;
                };
                let run = self.daemons[index].run;
                self.with_daemon(run, |daemon, oracle, now, _| {
                    daemon.on_peer(oracle, &from, message, now)
                });
            }
        }
    }

    fn with_daemon(
        &mut self,
        run: DaemonRun,
        act: impl FnOnce(&mut Daemon, &mut Oracle, Time, WallTime) -> Vec<Effect>,
    ) {
        let (now, wall) = (self.now, self.wall());
        if let Some(index) = self.daemon_index(run) {
            let effects = act(&mut self.daemons[index], &mut self.oracle, now, wall);
            self.add(effects);
        }
    }

    /// Runs an attempt at the engine, unless its deadline has passed: a daemon does not begin to
    /// write then.
    fn run_attempt(&mut self, attempt: &Attempt, token_count: usize, has_end: bool) {
        if self.now.has_reached(attempt.deadline) {
            return self.reply(attempt, EngineReply::NotSent);
        }
        self.oracle.ran(attempt.call);
        let whole = whole_answer(attempt.request);
        let token_count = token_count.max(attempt.resume_from);
        let reply = EngineReply::Tokens {
            echo: attempt.id,
            tokens: whole[attempt.resume_from..token_count].to_vec(),
            has_end,
        };
        self.reply(attempt, reply);
    }

    fn reply(&mut self, attempt: &Attempt, reply: EngineReply) {
        let end = Effect::End(attempt.from, attempt.call, attempt.id, reply);
        self.add(vec![end]);
    }

    /// Advances the clock and performs all pending effects until all daemons are idle,
    /// for at most 100 ticks.
    pub(crate) fn run_until_idle(&mut self) {
        for _ in 0..100 {
            self.tick(Span::from_millis(50));
            self.perform_all();
            let is_busy = self.daemons.iter().any(|daemon| !daemon.is_idle());
            if !is_busy && self.pending.is_empty() {
                return;
            }
        }
    }

    fn all_bills_sealed(&self) -> bool {
        self.daemons.iter().all(Daemon::has_sealed_all_bills)
    }
}

fn sender(effect: &Effect) -> Option<DaemonRun> {
    match effect {
        Effect::Attempt(attempt) => Some(attempt.from),
        Effect::Store(run, ..) | Effect::Outcome(run, ..) | Effect::End(run, ..) => Some(*run),
        Effect::Peer(run, ..) => Some(*run),
    }
}
