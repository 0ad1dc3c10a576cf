//! Three daemons, their callers, the store and the engines, with a queue of pending effects.

use std::collections::BTreeMap;

use keyvalue::{CallError, Outcome, Request as StoreRequest};
use ledger::Message;
use types::prelude::*;

use crate::daemon::{Daemon, Run, Which};
use crate::oracle::{Oracle, Saw};
use crate::store::Store;

mod faults;
mod finish;

pub(crate) const TOKENS: usize = 10;
pub(crate) const PREFIX: &str = "/buckthorncross/fuzz";
const START: u64 = 1_800_000_000_000;
/// Ticks until every bill is sealed, those of dead daemons too, and rolled up.
const ROLL_UP_TICKS: usize = 30;
/// A daemon that got no lease asks for one again within.
const LEASE_ASKED_AGAIN: Span = Span::from_secs(2);
/// Callers do not repeat a request for longer.
const RETRY_WINDOW: Span = Span::from_secs(500);
/// What was sent by a dead daemon and has not arrived by then never does.
const TRANSPORT_LIMIT: Span = Span::from_secs(60);

pub(crate) fn is_idempotent(request: u8) -> bool {
    request < 4
}

/// Shown to the caller token by token, and resumable.
pub(crate) fn is_streamed(request: u8) -> bool {
    request < 2
}

pub(crate) fn whole_answer(request: u8) -> Vec<String> {
    (0..TOKENS).map(|n| format!("{request}.{n}")).collect()
}

pub(crate) fn customer(request: u8) -> CustomerId {
    format!("customer-{request}").parse().unwrap()
}

/// Something on its way.
#[derive(Debug, Clone)]
pub(crate) enum Effect {
    /// A call to the store.
    Store(Run, Which, StoreRequest),
    /// The store's reply.
    Outcome(Run, Which, Outcome),
    /// Work for an engine.
    Attempt(Attempt),
    /// Its answer, with the attempt's id as the engine echoes it.
    End(Run, usize, u64, EngineReply),
    /// From one daemon's ledger to another's.
    Peer(Run, DaemonId, Message),
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) from: Run,
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
    ResetBefore,
    ResetAfter,
    Error(u16),
    Late,
    Crossed,
    Cut(u8),
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
        world.drain();
        world
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime(START + self.now.0 / 1000)
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
            return self.oracle.saw(call, Saw::Broken);
        }
        let effects = self.daemons[daemon].arrive(&mut self.oracle, call, self.now);
        self.add(effects);
    }

    /// Lets time pass and every running daemon do what is due.
    pub(crate) fn tick(&mut self, span: Span) {
        self.now = self.now + span;
        self.store.advance(self.now);
        if self.is_quiet() {
            self.oracle.copies.clear();
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
            if let Some(holder) = self.daemons[index].holder_of_all() {
                self.oracle.held_by(&self.daemons[index].id(), &holder);
            }
        }
    }

    pub(crate) fn sleep(&mut self, length: u8) {
        let spans = [
            Span::from_millis(200),
            Span::from_secs(2),
            Span::from_secs(40),
        ];
        match spans.get(usize::from(length)) {
            Some(span) => self.tick(*span),
            None => {
                self.tick(Span::from_secs(900));
                let limit = self.now - TRANSPORT_LIMIT;
                let daemons = &self.daemons;
                let is_live = |run: &Run| daemons.iter().any(|daemon| daemon.run == *run);
                self.pending.retain(|(at, effect)| {
                    *at > limit || sender(effect).is_some_and(|run| is_live(&run))
                });
            }
        }
    }

    fn by_run(&self, run: Run) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.run == run)
    }

    /// What cannot happen while the daemon that it needs is paused.
    fn is_held(&self, effect: &Effect) -> bool {
        let paused = |index: Option<usize>| index.is_some_and(|i| self.daemons[i].is_paused);
        match effect {
            Effect::Attempt(attempt) => paused(self.by_run(attempt.from)),
            Effect::Outcome(run, ..) | Effect::End(run, ..) => paused(self.by_run(*run)),
            Effect::Peer(_, to, _) => {
                paused(self.daemons.iter().position(|daemon| daemon.id() == *to))
            }
            Effect::Store(..) => false,
        }
    }

    fn pick(&mut self, at: usize, wanted: impl Fn(&Effect) -> bool) -> Option<Effect> {
        let open = (0..self.pending.len())
            .filter(|i| wanted(&self.pending[*i].1) && !self.is_held(&self.pending[*i].1))
            .collect::<Vec<_>>();
        let index = *open.get(at.checked_rem(open.len())?)?;
        Some(self.pending.remove(index).1)
    }

    /// Makes one pending effect happen.
    pub(crate) fn act(&mut self, at: usize) {
        if let Some(effect) = self.pick(at, |_| true) {
            self.happen(effect);
        }
    }

    /// Makes everything that is pending now happen, and what follows, within bounds.
    pub(crate) fn settle_effects(&mut self) {
        for _ in 0..300 {
            if self.pending.is_empty() {
                return;
            }
            self.act(0);
        }
    }

    fn happen(&mut self, effect: Effect) {
        match effect {
            Effect::Store(run, which, request) => {
                let outcome = match self.is_store_down {
                    true => Err(CallError::NotSent("down".to_owned())),
                    false => self.store.call(&request),
                };
                self.add(vec![Effect::Outcome(run, which, outcome)]);
            }
            Effect::Outcome(run, which, outcome) => self.at(run, |daemon, oracle, now, _| {
                daemon.on_store(oracle, which, outcome, now)
            }),
            Effect::Attempt(attempt) => self.run_attempt(&attempt, TOKENS, true),
            Effect::End(run, call, id, reply) => self.at(run, |daemon, oracle, now, wall| {
                daemon.on_end(oracle, call, id, reply, now, wall)
            }),
            Effect::Peer(from, to, message) => {
                let from = from.daemon();
                let Some(index) = self.daemons.iter().position(|daemon| daemon.id() == to) else {
                    return;
                };
                let run = self.daemons[index].run;
                self.at(run, |daemon, oracle, now, _| {
                    daemon.on_peer(oracle, &from, message, now)
                });
            }
        }
    }

    fn at(
        &mut self,
        run: Run,
        act: impl FnOnce(&mut Daemon, &mut Oracle, Time, WallTime) -> Vec<Effect>,
    ) {
        let (now, wall) = (self.now, self.wall());
        if let Some(index) = self.by_run(run) {
            let effects = act(&mut self.daemons[index], &mut self.oracle, now, wall);
            self.add(effects);
        }
    }

    /// The engine runs it; a daemon does not begin to write past the deadline.
    fn run_attempt(&mut self, attempt: &Attempt, upto: usize, has_end: bool) {
        if self.now.has_reached(attempt.deadline) {
            return self.reply(attempt, EngineReply::NotSent);
        }
        self.oracle.ran(attempt.call);
        let whole = whole_answer(attempt.request);
        let upto = upto.max(attempt.resume_from);
        let reply = EngineReply::Tokens {
            echo: attempt.id,
            tokens: whole[attempt.resume_from..upto].to_vec(),
            has_end,
        };
        self.reply(attempt, reply);
    }

    fn reply(&mut self, attempt: &Attempt, reply: EngineReply) {
        let end = Effect::End(attempt.from, attempt.call, attempt.id, reply);
        self.add(vec![end]);
    }

    /// Lets everything that is pending happen, with time passing, until no call is open.
    pub(crate) fn drain(&mut self) {
        for _ in 0..100 {
            self.tick(Span::from_millis(50));
            self.settle_effects();
            let is_open = self.daemons.iter().any(|daemon| !daemon.is_idle());
            if !is_open && self.pending.is_empty() {
                return;
            }
        }
    }

    fn is_quiet(&self) -> bool {
        self.daemons.iter().all(Daemon::has_sealed_all)
    }
}

fn sender(effect: &Effect) -> Option<Run> {
    match effect {
        Effect::Attempt(attempt) => Some(attempt.from),
        Effect::Store(run, ..) | Effect::Outcome(run, ..) | Effect::End(run, ..) => Some(*run),
        Effect::Peer(run, ..) => Some(*run),
    }
}
