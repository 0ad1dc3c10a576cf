//! A few ledgers with a queue of pending effects, fast time and a fake store.

use std::collections::{BTreeMap, BTreeSet};

use keyvalue::{CallError, Outcome, Request};
use ledger::*;
use standins::store::Table;
use types::prelude::*;

pub(crate) const PREFIX: &str = "/buckthorncross/test";
const START: u64 = 1_800_000_000_000;

#[derive(Debug, Clone)]
pub(crate) enum Pending {
    Message {
        from: usize,
        to: DaemonId,
        message: Message,
    },
    Call {
        from: usize,
        id: CallId,
        request: Request,
    },
    Outcome {
        to: usize,
        id: CallId,
        outcome: Outcome,
    },
}

#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) peer: Peer,
    pub(crate) ledger: Ledger,
    /// Crashed daemons stay in the table: the index names one run of one host.
    pub(crate) is_alive: bool,
    pub(crate) is_paused: bool,
    /// Reaches its peers and not the store.
    pub(crate) is_cut_off: bool,
    waiting: BTreeMap<Receipt, u32>,
}

#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) store: Table,
    pub(crate) is_store_down: bool,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) pending: Vec<Pending>,
    /// Writes that take effect after their caller was told that there is no reply.
    pub(crate) delayed: Vec<Request>,
    /// Requests whose whole answer was released.
    pub(crate) answered: BTreeSet<u32>,
    /// Released while no second daemon was in reach.
    pub(crate) weak: BTreeSet<u32>,
    configure: fn(&mut Config),
    runs: u64,
}

pub(crate) fn peer(index: usize) -> Peer {
    Peer {
        id: format!("daemon-{index}").parse().unwrap(),
        incarnation: Incarnation(0),
        failure_domain: ["kaloor", "vyttila"][index % 2].parse().unwrap(),
        region: "ernakulam".parse().unwrap(),
    }
}

/// The bill of request `number`; the customer's name tells the request in the totals.
pub(crate) fn bill(number: u32, at: WallTime) -> Bill {
    Bill {
        id: BillId {
            customer: format!("customer-{number}").parse().unwrap(),
            request: format!("req-{number}").parse().unwrap(),
        },
        item: Item::Version {
            offer: "brief-writer".parse().unwrap(),
            version: "brief-large@2026-11".parse().unwrap(),
        },
        input: Tokens(1000),
        output: Tokens(200),
        cost: Cost(1234),
        at,
        attempts: 1,
    }
}

impl Fleet {
    pub(crate) fn new(size: usize, configure: fn(&mut Config)) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            store: Table::new(),
            is_store_down: false,
            daemons: Vec::new(),
            pending: Vec::new(),
            delayed: Vec::new(),
            answered: BTreeSet::new(),
            weak: BTreeSet::new(),
            configure,
            runs: 0,
        };
        for index in 0..size {
            fleet.start(peer(index));
        }
        fleet
    }

    /// Starts a run of a host with an empty ledger.
    pub(crate) fn start(&mut self, mut peer: Peer) -> usize {
        self.runs += 1;
        peer.incarnation = Incarnation(self.runs);
        let mut cfg = Config::new(peer.clone(), PREFIX);
        (self.configure)(&mut cfg);
        self.daemons.push(Daemon {
            peer,
            ledger: Ledger::new(cfg),
            is_alive: true,
            is_paused: false,
            is_cut_off: false,
            waiting: BTreeMap::new(),
        });
        self.daemons.len() - 1
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime(START + self.now.0 / 1000)
    }

    fn runs(&self, index: usize) -> bool {
        self.daemons[index].is_alive && !self.daemons[index].is_paused
    }

    /// Serves a request and records its bill; the end of the answer is not yet released.
    pub(crate) fn serve(&mut self, index: usize, number: u32) {
        let bill = bill(number, self.wall());
        let daemon = &mut self.daemons[index];
        let receipt = daemon.ledger.record(self.now, bill);
        daemon.waiting.insert(receipt, number);
        let effects = daemon.ledger.flush(self.now);
        self.take(index, effects);
    }

    fn take(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.pending.push(Pending::Message { from, to, message });
                }
                Effect::Store { id, request } => {
                    self.pending.push(Pending::Call { from, id, request });
                }
                Effect::Released { upto, alone } => self.release(from, upto, alone),
            }
        }
    }

    fn release(&mut self, index: usize, upto: Receipt, alone: bool) {
        let waiting = &mut self.daemons[index].waiting;
        let later = waiting.split_off(&Receipt(upto.0 + 1));
        let released = std::mem::replace(waiting, later);
        for number in released.into_values() {
            self.answered.insert(number);
            if alone {
                self.weak.insert(number);
            }
        }
    }

    /// Lets time pass and every running daemon do what is due.
    pub(crate) fn tick(&mut self, span: Span) {
        self.now = self.now + span;
        let wall = self.wall();
        for index in 0..self.daemons.len() {
            self.tick_one(index, wall);
        }
    }

    fn tick_one(&mut self, index: usize, wall: WallTime) {
        if !self.runs(index) {
            return;
        }
        let me = &self.daemons[index].peer.id;
        let others = self
            .daemons
            .iter()
            .filter(|other| other.is_alive && !other.is_paused && other.peer.id != *me);
        let members: Vec<_> = others.map(|other| other.peer.clone()).collect();
        let ledger = &mut self.daemons[index].ledger;
        let effects = ledger.tick(self.now, wall, &members);
        assert!(
            ledger.next_deadline() > self.now,
            "nothing would be waited for"
        );
        self.take(index, effects);
    }

    /// Delivers one pending effect. Those of paused daemons wait, those of dead ones go.
    pub(crate) fn deliver(&mut self, position: usize) {
        let pending = self.pending.remove(position);
        match &pending {
            Pending::Message { from, to, message } => {
                let Some(index) = self.running(to) else {
                    return;
                };
                if self.daemons[index].is_paused {
                    return self.pending.push(pending);
                }
                let from = self.daemons[*from].peer.id.clone();
                let ledger = &mut self.daemons[index].ledger;
                let effects = ledger.on_peer(self.now, &from, message.clone());
                self.take(index, effects);
            }
            Pending::Call { from, id, request } => {
                let outcome = match self.is_store_down || self.daemons[*from].is_cut_off {
                    true => Err(CallError::NotSent("down".into())),
                    false => self.store.call(self.now, request),
                };
                let (to, id) = (*from, *id);
                self.pending.push(Pending::Outcome { to, id, outcome });
            }
            Pending::Outcome { to, id, outcome } => {
                if self.daemons[*to].is_paused {
                    return self.pending.push(pending);
                }
                if self.daemons[*to].is_alive {
                    let ledger = &mut self.daemons[*to].ledger;
                    let effects = ledger.on_store(self.now, *id, outcome.clone());
                    self.take(*to, effects);
                }
            }
        }
    }

    fn running(&self, id: &DaemonId) -> Option<usize> {
        let found = self.daemons.iter();
        found
            .clone()
            .position(|daemon| daemon.is_alive && daemon.peer.id == *id)
    }

    /// A call takes effect now or later, and its caller hears nothing of it.
    pub(crate) fn lose_reply(&mut self, position: usize, takes_effect_late: bool) {
        if let Pending::Call { from, id, request } = self.pending[position].clone() {
            self.pending.remove(position);
            match takes_effect_late {
                true => self.delayed.push(request),
                false => drop(self.call(&request)),
            }
            let outcome = Err(CallError::Unknown("no reply".into()));
            let to = from;
            self.pending.push(Pending::Outcome { to, id, outcome });
        }
    }

    /// Delivers everything that can be delivered.
    pub(crate) fn deliver_all(&mut self) {
        let mut left = 10_000;
        while let Some(position) = self.deliverable() {
            self.deliver(position);
            left -= 1;
            assert!(left > 0, "messages without end");
        }
    }

    fn deliverable(&self) -> Option<usize> {
        self.pending.iter().position(|pending| match pending {
            Pending::Message { to, .. } => self
                .running(to)
                .is_none_or(|index| !self.daemons[index].is_paused),
            Pending::Call { .. } => true,
            Pending::Outcome { to, .. } => !self.daemons[*to].is_paused,
        })
    }

    /// Ticks and delivers for a while.
    pub(crate) fn run(&mut self, span: Span) {
        let until = self.now + span;
        let step = Span(span.as_micros() / 1000).max(Span::from_millis(250));
        while self.now < until {
            self.tick(step);
            self.deliver_all();
        }
    }

    /// The host and all that it holds are gone; what it had sent may still arrive.
    pub(crate) fn crash(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
    }

    /// Everything heals, and all bills reach the totals.
    pub(crate) fn settle(&mut self) {
        self.is_store_down = false;
        for daemon in &mut self.daemons {
            daemon.is_paused = false;
            daemon.is_cut_off = false;
        }
        for request in std::mem::take(&mut self.delayed) {
            let _ = self.call(&request);
        }
        self.run(Span::from_secs(60));
    }

    pub(crate) fn call(&mut self, request: &Request) -> Outcome {
        self.store.call(self.now, request)
    }

    /// Keys of the store that hold a part.
    pub(crate) fn keys(&self, part: &str) -> Vec<String> {
        let (items, _) = self.store.range(PREFIX, Some("/c"), 0);
        let keys = items.into_iter().map(|(key, _)| key);
        keys.filter(|key| key.contains(part)).collect()
    }

    /// Deletes or overwrites keys behind the ledgers' backs.
    pub(crate) fn spoil(&mut self, ops: impl Iterator<Item = keyvalue::Op>) {
        for op in ops {
            let txn = keyvalue::Txn {
                success: vec![op],
                ..keyvalue::Txn::default()
            };
            self.call(&Request::Txn(txn)).unwrap();
        }
    }

    pub(crate) fn export(&mut self) -> Statement {
        let span = (WallTime(0), WallTime(START * 2));
        let mut export = Export::new(PREFIX, span.0, span.1);
        let mut request = export.start();
        loop {
            match export.on_store(self.call(&request)).unwrap() {
                Step::Call(next) => request = next,
                Step::Done(statement) => return statement,
            }
        }
    }

    /// Bills counted for a request.
    pub(crate) fn bills_of(&mut self, number: u32) -> u64 {
        let customer = bill(number, WallTime(0)).id.customer;
        let totals = self.export().totals();
        let of = totals
            .iter()
            .filter(|(account, _)| account.customer == customer);
        of.map(|(_, sum)| sum.requests).sum()
    }

    pub(crate) fn position(&self, wanted: impl Fn(&Pending) -> bool) -> Option<usize> {
        self.pending.iter().position(wanted)
    }
}

impl Fleet {
    /// Ticks a daemon that believes these to be the others.
    pub(crate) fn tick_with(&mut self, index: usize, members: &[Peer]) {
        let wall = self.wall();
        let effects = self.daemons[index].ledger.tick(self.now, wall, members);
        self.take(index, effects);
    }
}
