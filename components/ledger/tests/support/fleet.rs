//! A simulated fleet: several ledgers with a queue of pending effects, simulated time and a fake
//! store.

use std::collections::{BTreeMap, BTreeSet};

use keyvalue::{CallError, Outcome, Request};
use ledger::*;
use standins::store::Table;
use types::prelude::*;

pub(crate) const PREFIX: &str = "/buckthorncross/test";
const START_MS: u64 = 1_800_000_000_000;

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
    /// Crashed daemons stay in the list, so that an index identifies one incarnation of one host.
    pub(crate) is_alive: bool,
    pub(crate) is_paused: bool,
    /// Whether the daemon can reach its peers but not the store.
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
    /// Writes that take effect after their reply was reported lost to the caller.
    pub(crate) delayed: Vec<Request>,
    /// Requests whose complete answer was released.
    pub(crate) answered: BTreeSet<u32>,
    /// Requests whose answer was released without a second holder of its bill.
    pub(crate) unreplicated: BTreeSet<u32>,
    configure: fn(&mut Config),
    incarnations: u64,
}

pub(crate) fn peer(index: usize) -> Peer {
    Peer {
        id: format!("daemon-{index}").parse().unwrap(),
        incarnation: Incarnation(0),
        failure_domain: ["kaloor", "vyttila"][index % 2].parse().unwrap(),
        region: "ernakulam".parse().unwrap(),
    }
}

/// Creates the bill of request `number`. Each request has its own customer, by which it can be
/// found in the totals.
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
            unreplicated: BTreeSet::new(),
            configure,
            incarnations: 0,
        };
        for index in 0..size {
            fleet.start(peer(index));
        }
        fleet
    }

    /// Starts a new incarnation of a host with an empty ledger.
    pub(crate) fn start(&mut self, mut peer: Peer) -> usize {
        self.incarnations += 1;
        peer.incarnation = Incarnation(self.incarnations);
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
        WallTime(START_MS + self.now.0 / 1000)
    }

    fn is_running(&self, index: usize) -> bool {
        self.daemons[index].is_alive && !self.daemons[index].is_paused
    }

    /// Records the bill of a served request; the end of the answer is not yet released.
    pub(crate) fn serve(&mut self, index: usize, number: u32) {
        let bill = bill(number, self.wall());
        let daemon = &mut self.daemons[index];
        let receipt = daemon.ledger.record(self.now, bill);
        daemon.waiting.insert(receipt, number);
        let effects = daemon.ledger.flush(self.now);
        self.queue_effects(index, effects);
    }

    fn queue_effects(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.pending.push(Pending::Message { from, to, message });
                }
                Effect::Store { id, request } => {
                    self.pending.push(Pending::Call { from, id, request });
                }
                Effect::Released {
                    upto,
                    is_unreplicated,
                } => self.release(from, upto, is_unreplicated),
            }
        }
    }

    fn release(&mut self, index: usize, upto: Receipt, is_unreplicated: bool) {
        let waiting = &mut self.daemons[index].waiting;
        let later = waiting.split_off(&Receipt(upto.0 + 1));
        let released = std::mem::replace(waiting, later);
        for number in released.into_values() {
            self.answered.insert(number);
            if is_unreplicated {
                self.unreplicated.insert(number);
            }
        }
    }

    /// Advances the time and ticks every running daemon.
    pub(crate) fn tick(&mut self, span: Span) {
        self.now = self.now + span;
        let wall = self.wall();
        for index in 0..self.daemons.len() {
            self.tick_one(index, wall);
        }
    }

    fn tick_one(&mut self, index: usize, wall: WallTime) {
        if !self.is_running(index) {
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
        self.queue_effects(index, effects);
    }

    /// Delivers one pending effect. Those for paused daemons stay pending; those for crashed daemons
    /// are dropped.
    pub(crate) fn deliver(&mut self, position: usize) {
        let pending = self.pending.remove(position);
        match &pending {
            Pending::Message { from, to, message } => {
                let Some(index) = self.find_alive(to) else {
                    return;
                };
                if self.daemons[index].is_paused {
                    return self.pending.push(pending);
                }
                let from = self.daemons[*from].peer.id.clone();
                let ledger = &mut self.daemons[index].ledger;
                let effects = ledger.on_peer(self.now, &from, message.clone());
                self.queue_effects(index, effects);
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
                    self.queue_effects(*to, effects);
                }
            }
        }
    }

    fn find_alive(&self, id: &DaemonId) -> Option<usize> {
        let found = self.daemons.iter();
        found
            .clone()
            .position(|daemon| daemon.is_alive && daemon.peer.id == *id)
    }

    /// Loses the reply of a pending call, which takes effect now or later.
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

    /// Delivers all effects that can be delivered, and those that result.
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
                .find_alive(to)
                .is_none_or(|index| !self.daemons[index].is_paused),
            Pending::Call { .. } => true,
            Pending::Outcome { to, .. } => !self.daemons[*to].is_paused,
        })
    }

    /// Ticks and delivers repeatedly for a time span.
    pub(crate) fn run(&mut self, span: Span) {
        let until = self.now + span;
        let step = Span(span.as_micros() / 1000).max(Span::from_millis(250));
        while self.now < until {
            self.tick(step);
            self.deliver_all();
        }
    }

    /// Crashes a host, which loses its ledger; effects already pending may still be delivered.
    pub(crate) fn crash(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
    }

    /// Ends all faults and runs until all bills are rolled up.
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

    /// Returns the keys of the store that contain `part`.
    pub(crate) fn keys(&self, part: &str) -> Vec<String> {
        let (items, _) = self.store.range(PREFIX, Some("/c"), 0);
        let keys = items.into_iter().map(|(key, _)| key);
        keys.filter(|key| key.contains(part)).collect()
    }

    /// Writes to the store directly, without the ledgers.
    pub(crate) fn write_directly(&mut self, ops: impl Iterator<Item = keyvalue::Op>) {
        for op in ops {
            let txn = keyvalue::Txn {
                success: vec![op],
                ..keyvalue::Txn::default()
            };
            self.call(&Request::Txn(txn)).unwrap();
        }
    }

    pub(crate) fn export(&mut self) -> Statement {
        let span = (WallTime(0), WallTime(START_MS * 2));
        let mut export = Export::new(PREFIX, span.0, span.1);
        let mut request = export.start();
        loop {
            match export.on_store(self.call(&request)).unwrap() {
                Step::Call(next) => request = next,
                Step::Done(statement) => return statement,
            }
        }
    }

    /// Returns how many bills were counted for a request.
    pub(crate) fn bills_of(&mut self, number: u32) -> u64 {
        let customer = bill(number, WallTime(0)).id.customer;
        let totals = self.export().totals();
        let matching = totals
            .iter()
            .filter(|(account, _)| account.customer == customer);
        matching.map(|(_, sum)| sum.requests).sum()
    }

    pub(crate) fn position(&self, wanted: impl Fn(&Pending) -> bool) -> Option<usize> {
        self.pending.iter().position(wanted)
    }
}

impl Fleet {
    /// Ticks one daemon with a given view of the other members.
    pub(crate) fn tick_with(&mut self, index: usize, members: &[Peer]) {
        let wall = self.wall();
        let effects = self.daemons[index].ledger.tick(self.now, wall, members);
        self.queue_effects(index, effects);
    }
}
