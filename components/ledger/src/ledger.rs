//! The ledger of one daemon: its own charges and those it holds for others.

use std::collections::{BTreeMap, VecDeque};

use keyvalue::{CallError, Outcome, Request};
use serde::Serialize;
use types::prelude::*;

use crate::accounts::Accounts;
use crate::bill::{Bill, Charge};
use crate::codec;
use crate::custody;
use crate::journal::{Journal, Keeper, Origin};
use crate::keys::Keys;
use crate::message::Message;
use crate::rollup::Roller;
use crate::seal;
use crate::sweep::Sweep;

mod call;
mod hold;

/// A daemon as the ledger sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The failure domain's region.
    pub region: Region,
}

/// Settings of a ledger.
#[derive(Debug, Clone)]
pub struct Config {
    /// This daemon.
    pub me: Peer,
    /// Prefix of the cluster's keys in the store.
    pub prefix: String,
    /// Unsealed charges of this daemon; past it new work is refused.
    pub capacity: usize,
    /// Unsealed charges of others.
    pub custody_capacity: usize,
    /// Charges gather so long before they go to the second holder.
    pub hold_interval: Span,
    /// The second holder answers within.
    pub ack_timeout: Span,
    /// A holder that failed is not chosen again for.
    pub avoid: Span,
    /// The second holder hears of unsealed charges at least so often.
    pub refresh_interval: Span,
    /// Charges held for a daemon not heard of for so long are sealed by the holder.
    pub silence: Span,
    /// Charges held for so long are sealed by the holder, whoever lives.
    pub late: Span,
    /// An answer waits so long for a second holder when no peer responds.
    pub alone_after: Span,
    /// Time between batches of one daemon, at least.
    pub seal_interval: Span,
    /// Batches of the whole fleet: with more daemons each seals less often.
    pub seal_rate: Rate,
    /// Time between batches while there is a backlog.
    pub backlog_interval: Span,
    /// Time between roll-ups of a shard.
    pub roll_interval: Span,
    /// Fingerprints are kept so long: the callers' retry window and the longest
    /// time that a daemon may be cut off with a bill while the store is up.
    pub seen_for: Span,
}

impl Config {
    /// The defaults for a small fleet.
    #[must_use]
    pub fn new(me: Peer, prefix: &str) -> Self {
        Self {
            me,
            prefix: prefix.to_owned(),
            capacity: 300_000,
            custody_capacity: 450_000,
            hold_interval: Span::from_millis(5),
            ack_timeout: Span::from_millis(100),
            avoid: Span::from_secs(5),
            refresh_interval: Span::from_secs(2),
            silence: Span::from_secs(10),
            late: Span::from_secs(60),
            alone_after: Span::from_millis(500),
            seal_interval: Span::from_secs(5),
            seal_rate: Rate(15.0),
            backlog_interval: Span::from_secs(1),
            roll_interval: Span::from_secs(10),
            seen_for: Span::from_secs(900),
        }
    }
}

/// Number of a call to the store, to bring its outcome back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct CallId(pub u64);

/// Number of a recorded bill.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Receipt(pub u64);

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send to a peer.
    Send {
        /// Whom.
        to: DaemonId,
        /// What.
        message: Message,
    },
    /// Call the store; its outcome, also "not sent", goes to [`Ledger::on_store`].
    Store {
        /// Given back with the outcome.
        id: CallId,
        /// The call.
        request: Request,
    },
    /// All answers up to this receipt may be ended.
    Released {
        /// The last one.
        upto: Receipt,
        /// True when the bills are held by this daemon alone.
        alone: bool,
    },
}

/// What a ledger holds, for dumps and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Fill {
    /// Unsealed charges recorded here.
    pub own: usize,
    /// At most so many.
    pub capacity: usize,
    /// Of `own`, those not held by a second daemon.
    pub unheld: usize,
    /// Unsealed charges held for others.
    pub custody: usize,
    /// At most so many.
    pub custody_capacity: usize,
    /// Of `custody`, those that this daemon must seal since their keeper is gone.
    pub adopted: usize,
    /// Answers waiting for custody.
    pub waiting: usize,
    /// The second holder of this daemon's charges.
    pub holder: Option<DaemonId>,
    /// Calls to the store not yet answered.
    pub calls: usize,
    /// Batches sealed.
    pub batches: u64,
    /// Answers ended while no second daemon held their bill.
    pub released_alone: u64,
    /// Messages of peers that could not be read.
    pub damaged: u64,
    /// Bills added to totals by this daemon.
    pub rolled: u64,
    /// Bills found billed before by this daemon's roll-ups.
    pub repeats: u64,
    /// Batches put aside since they could not be read.
    pub set_aside: u64,
    /// Fingerprints kept for roll-ups.
    pub fingerprints: usize,
}

/// The ledger of one daemon.
#[derive(Debug)]
pub struct Ledger {
    cfg: Config,
    keys: Keys,
    origin: Origin,
    journals: BTreeMap<Origin, Journal>,
    members: Vec<Peer>,
    avoid: BTreeMap<DaemonId, Time>,
    /// Receipts not yet released and when they were given.
    waiting: VecDeque<(Receipt, Time)>,
    /// Calls under way and when their outcome is overdue.
    calls: BTreeMap<CallId, (call::Call, Time)>,
    next_call: u64,
    accounts: Accounts,
    roller: Roller,
    sweep: Sweep,
    counters: Fill,
}

impl Ledger {
    /// An empty ledger for one run of a daemon.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let origin = Origin {
            daemon: cfg.me.id.clone(),
            incarnation: cfg.me.incarnation,
        };
        let keys = Keys::new(&cfg.prefix);
        let own = Journal::new(0, None);
        Self {
            roller: Roller::new(keys.clone(), &cfg),
            keys,
            journals: BTreeMap::from([(origin.clone(), own)]),
            origin,
            members: Vec::new(),
            avoid: BTreeMap::new(),
            waiting: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            accounts: Accounts::default(),
            sweep: Sweep::default(),
            counters: Fill::default(),
            cfg,
        }
    }

    /// Whether one more request may start while so many are in flight.
    ///
    /// Guards against losing bills in a store outage: past the bound work is refused
    /// as not run, and what is in flight still finds room.
    #[must_use]
    pub fn has_room(&self, in_flight: usize) -> bool {
        self.own().len() + in_flight < self.cfg.capacity
    }

    /// Takes the bill of an answer whose end is not yet released.
    pub fn record(&mut self, now: Time, bill: Bill) -> Receipt {
        let mut charge = Charge::from(bill);
        self.accounts.share(&mut charge);
        let own = self.journals.entry(self.origin.clone());
        let own = own.or_insert_with(|| Journal::new(0, None));
        let receipt = Receipt(own.push(charge));
        self.waiting.push_back((receipt, now));
        receipt
    }

    /// Sends what waits for the second holder and releases what is safe. To be called
    /// after a run of [`Ledger::record`].
    pub fn flush(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = self.hold_all(now);
        effects.extend(self.release(now));
        effects
    }

    /// Does what is due. `members` are the other daemons that live and do not leave.
    pub fn tick(&mut self, now: Time, wall: WallTime, members: &[Peer]) -> Vec<Effect> {
        self.set_members(members);
        self.avoid.retain(|_, until| !now.has_reached(*until));
        self.forget_settled(now);
        let mut effects = self.expire_calls(now);
        effects.extend(self.flush(now));
        effects.extend(self.seal_due(now, wall));
        effects.extend(self.roll_due(now, wall));
        effects.extend(self.sweep_due(now, wall));
        effects
    }

    /// Takes the other daemons that live and do not leave, as soon as they are known.
    ///
    /// Guards against an answer that is released alone beside a second daemon: told at the
    /// next tick only, the ledger took itself for the only one until then.
    pub fn set_members(&mut self, members: &[Peer]) {
        if self.members != members {
            self.members = members.to_vec();
            self.roller.set_members(&self.cfg.me.id, members);
        }
    }

    /// Takes a message of a peer.
    pub fn on_peer(&mut self, now: Time, from: &DaemonId, message: Message) -> Vec<Effect> {
        let mut effects = match message {
            Message::Hold {
                origin,
                sealed,
                first,
                charges,
                by,
            } => {
                let keeper = Keeper::new(from, by, now);
                self.on_hold(keeper, origin, sealed, first, &charges)
            }
            Message::Held {
                origin,
                upto,
                by,
                full,
            } => self.on_held(now, from, &origin, upto, by, full),
            Message::Drop { origin } => self.on_drop(from, &origin),
        };
        effects.extend(self.flush(now));
        effects
    }

    /// Has everything sealed as soon as the store allows, for a shutdown.
    pub fn hurry(&mut self, now: Time) {
        for journal in self.journals.values_mut() {
            journal.seal.due = journal.seal.due.min(now);
        }
    }

    /// When [`Ledger::flush`] has something to do, if no message or outcome comes before.
    /// After a flush it lies ahead.
    #[must_use]
    pub fn next_deadline(&self) -> Time {
        let journals = self.journals.values();
        let due = journals.filter_map(|journal| {
            let replica = journal.replica.as_ref()?;
            Some(replica.next_deadline(journal.end()))
        });
        let release = self.waiting.front();
        let release = release.map(|(_, since)| *since + self.cfg.alone_after);
        due.chain(release).min().unwrap_or(Time::NEVER)
    }

    /// What it holds.
    #[must_use]
    pub fn fill(&self) -> Fill {
        let own = self.own();
        let others = || {
            self.journals
                .values()
                .filter(|journal| journal.keeper.is_some())
        };
        let adopted = others().filter(|journal| self.is_orphan(journal));
        let acked = own.replica.as_ref().map_or(0, |replica| replica.acked);
        Fill {
            own: own.len(),
            capacity: self.cfg.capacity,
            unheld: (own.end() - acked.max(own.sealed())) as usize,
            custody: others().map(Journal::len).sum(),
            custody_capacity: self.cfg.custody_capacity,
            adopted: adopted.map(Journal::len).sum(),
            waiting: self.waiting.len(),
            holder: own.replica.as_ref().map(|replica| replica.peer.clone()),
            calls: self.calls.len(),
            fingerprints: self.roller.fingerprints(),
            rolled: self.roller.counts().rolled,
            repeats: self.roller.counts().repeats,
            set_aside: self.roller.counts().set_aside,
            ..self.counters.clone()
        }
    }

    fn own(&self) -> &Journal {
        &self.journals[&self.origin]
    }
}
