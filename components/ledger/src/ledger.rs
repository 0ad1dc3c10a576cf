//! The ledger of one daemon: its own charges and those it holds for other daemons.

use std::collections::{BTreeMap, VecDeque};

use keyvalue::{CallError, Outcome, Request};
use serde::Serialize;
use types::prelude::*;

use crate::accounts::AccountInterner;
use crate::bill::{Bill, Charge};
use crate::codec;
use crate::journal::{Journal, Origin, Primary};
use crate::keys::Keys;
use crate::message::Message;
use crate::replication;
use crate::rollup::Rollups;
use crate::seal;
use crate::sweep::Sweep;

mod call;
mod hold;

/// A daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Incarnation of the daemon, which increases with each restart.
    pub incarnation: Incarnation,
    /// Failure domain of the daemon.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
}

/// Settings of a ledger.
#[derive(Debug, Clone)]
pub struct Config {
    /// This daemon.
    pub me: Peer,
    /// Prefix of the cluster's keys in the store.
    pub prefix: String,
    /// Maximum number of unsealed charges of this daemon; beyond it new requests are refused.
    pub capacity: usize,
    /// Maximum number of unsealed charges held for other daemons.
    pub custody_capacity: usize,
    /// Time during which charges are collected before they are sent to the second holder.
    pub replication_interval: Span,
    /// Timeout of an acknowledgement from the second holder.
    pub ack_timeout: Span,
    /// Time for which a holder that failed or was full is not chosen again.
    pub holder_avoidance: Span,
    /// Maximum time between messages to the second holder while charges are unsealed.
    pub refresh_interval: Span,
    /// Time without a message after which the holder seals a daemon's charges in its place.
    pub primary_timeout: Span,
    /// Age from which the holder seals charges, even if the daemon that recorded them is alive.
    pub max_custody_age: Span,
    /// Maximum time that an answer waits for a second holder when no peer responds.
    pub replication_timeout: Span,
    /// Minimum time between batches of one daemon.
    pub seal_interval: Span,
    /// Batches of the whole fleet; with more daemons, each of them seals less often.
    pub seal_rate: Rate,
    /// Time between batches while there is a backlog.
    pub backlog_interval: Span,
    /// Time between roll-ups of a shard.
    pub roll_up_interval: Span,
    /// Retention of fingerprints: the callers' retry window plus the longest time for which a
    /// daemon with an unsealed bill may be cut off while the store is up.
    pub fingerprint_retention: Span,
}

impl Config {
    /// Creates a configuration with defaults for a small fleet.
    #[must_use]
    pub fn new(me: Peer, prefix: &str) -> Self {
        Self {
            me,
            prefix: prefix.to_owned(),
            capacity: 300_000,
            custody_capacity: 450_000,
            replication_interval: Span::from_millis(5),
            ack_timeout: Span::from_millis(100),
            holder_avoidance: Span::from_secs(5),
            refresh_interval: Span::from_secs(2),
            primary_timeout: Span::from_secs(10),
            max_custody_age: Span::from_secs(60),
            replication_timeout: Span::from_millis(500),
            seal_interval: Span::from_secs(5),
            seal_rate: Rate(15.0),
            backlog_interval: Span::from_secs(1),
            roll_up_interval: Span::from_secs(10),
            fingerprint_retention: Span::from_secs(900),
        }
    }
}

/// Number of a call to the store, which identifies its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct CallId(pub u64);

/// Number of a bill recorded by this daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Receipt(pub u64);

/// An action that the caller of the ledger must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: DaemonId,
        /// The message.
        message: Message,
    },
    /// Call the store and pass the outcome, even "not sent", to [`Ledger::on_store`].
    Store {
        /// Number to pass along with the outcome.
        id: CallId,
        /// The call.
        request: Request,
    },
    /// End all answers up to a receipt.
    Released {
        /// Receipt of the last answer that may end.
        upto: Receipt,
        /// Whether only this daemon holds the bills.
        is_unreplicated: bool,
    },
}

/// Counts and gauges of a ledger, for dumps and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Fill {
    /// Unsealed charges recorded by this daemon.
    pub own: usize,
    /// Limit of `own`.
    pub capacity: usize,
    /// Those of `own` that no second daemon holds.
    pub unheld: usize,
    /// Unsealed charges held for other daemons.
    pub custody: usize,
    /// Limit of `custody`.
    pub custody_capacity: usize,
    /// Those of `custody` that this daemon must seal because their primary has left the fleet.
    pub adopted: usize,
    /// Answers waiting until a second daemon holds their bill.
    pub waiting: usize,
    /// The second holder of this daemon's charges.
    pub holder: Option<DaemonId>,
    /// Outstanding calls to the store.
    pub calls: usize,
    /// Batches sealed since the start.
    pub batches: u64,
    /// Answers released while no second daemon held their bill.
    pub released_alone: u64,
    /// Messages of peers that could not be decoded.
    pub damaged: u64,
    /// Bills that this daemon's roll-ups added to totals.
    pub rolled: u64,
    /// Bills that this daemon's roll-ups ignored because their request was already billed.
    pub repeats: u64,
    /// Undecodable batches that this daemon's roll-ups moved aside.
    pub set_aside: u64,
    /// Fingerprints cached for roll-ups.
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
    avoided_holders: BTreeMap<DaemonId, Time>,
    /// Receipts not yet released, with the time of recording.
    waiting: VecDeque<(Receipt, Time)>,
    /// Outstanding calls and the deadlines of their outcomes.
    calls: BTreeMap<CallId, (call::Call, Time)>,
    next_call: u64,
    accounts: AccountInterner,
    rollups: Rollups,
    sweep: Sweep,
    counters: Fill,
}

impl Ledger {
    /// Creates an empty ledger for one incarnation of a daemon.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let origin = Origin {
            daemon: cfg.me.id.clone(),
            incarnation: cfg.me.incarnation,
        };
        let keys = Keys::new(&cfg.prefix);
        let own = Journal::new(0, None);
        Self {
            rollups: Rollups::new(keys.clone(), &cfg),
            keys,
            journals: BTreeMap::from([(origin.clone(), own)]),
            origin,
            members: Vec::new(),
            avoided_holders: BTreeMap::new(),
            waiting: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            accounts: AccountInterner::default(),
            sweep: Sweep::default(),
            counters: Fill::default(),
            cfg,
        }
    }

    /// Whether one more request may start while `in_flight` requests are running.
    ///
    /// This prevents the loss of bills in a store outage: beyond the limit, new requests are
    /// refused as not run, and those in flight still find room.
    #[must_use]
    pub fn has_room(&self, in_flight: usize) -> bool {
        self.own_journal().len() + in_flight < self.cfg.capacity
    }

    /// Records the bill of an answer whose end is not yet released.
    pub fn record(&mut self, now: Time, bill: Bill) -> Receipt {
        let mut charge = Charge::from(bill);
        self.accounts.intern(&mut charge);
        let own = self.journals.entry(self.origin.clone());
        let own = own.or_insert_with(|| Journal::new(0, None));
        let receipt = Receipt(own.push(charge));
        self.waiting.push_back((receipt, now));
        receipt
    }

    /// Sends pending charges to the second holder and releases answers whose bills are safe.
    /// Call it after one or more calls of [`Ledger::record`].
    pub fn flush(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = self.replicate_all(now);
        effects.extend(self.release(now));
        effects
    }

    /// Does everything that is due. `members` are the other daemons that are alive and not
    /// leaving.
    pub fn tick(&mut self, now: Time, wall: WallTime, members: &[Peer]) -> Vec<Effect> {
        self.set_members(members);
        self.avoided_holders
            .retain(|_, until| !now.has_reached(*until));
        self.drop_settled_journals(now);
        let mut effects = self.expire_calls(now);
        effects.extend(self.flush(now));
        effects.extend(self.seal_due(now, wall));
        effects.extend(self.roll_up_due(now, wall));
        effects.extend(self.sweep_due(now, wall));
        effects
    }

    /// Updates the other daemons that are alive and not leaving; call it as soon as they change.
    ///
    /// If the ledger learned of them only at the next tick, it would consider itself the only
    /// daemon until then and release answers without a second holder.
    pub fn set_members(&mut self, members: &[Peer]) {
        if self.members != members {
            self.members = members.to_vec();
            self.rollups.set_members(&self.cfg.me.id, members);
        }
    }

    /// Processes a message from a peer.
    pub fn on_peer(&mut self, now: Time, from: &DaemonId, message: Message) -> Vec<Effect> {
        let mut effects = match message {
            Message::Replicate {
                origin,
                sealed,
                first,
                charges,
                incarnation,
            } => {
                let primary = Primary::new(from, incarnation, now);
                self.on_replicate(primary, origin, sealed, first, &charges)
            }
            Message::Acknowledge {
                origin,
                upto,
                incarnation,
                full,
            } => self.on_acknowledge(now, from, &origin, upto, incarnation, full),
            Message::Drop { origin } => self.on_drop(from, &origin),
        };
        effects.extend(self.flush(now));
        effects
    }

    /// Makes all charges due for sealing at once, for a shutdown.
    pub fn seal_all_now(&mut self, now: Time) {
        for journal in self.journals.values_mut() {
            journal.seal.due = journal.seal.due.min(now);
        }
    }

    /// Returns when to call [`Ledger::flush`] if no message or outcome arrives before. After a
    /// flush this is in the future.
    #[must_use]
    pub fn next_deadline(&self) -> Time {
        let journals = self.journals.values();
        let due = journals.filter_map(|journal| {
            let replica = journal.replica.as_ref()?;
            Some(replica.next_deadline(journal.end()))
        });
        let release = self.waiting.front();
        let release = release.map(|(_, recorded_at)| *recorded_at + self.cfg.replication_timeout);
        due.chain(release).min().unwrap_or(Time::NEVER)
    }

    /// Returns the current counts and gauges.
    #[must_use]
    pub fn fill(&self) -> Fill {
        let own = self.own_journal();
        let others = || {
            self.journals
                .values()
                .filter(|journal| journal.primary.is_some())
        };
        let adopted = others().filter(|journal| self.is_adopted(journal));
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
            fingerprints: self.rollups.fingerprints(),
            rolled: self.rollups.counts().rolled,
            repeats: self.rollups.counts().repeats,
            set_aside: self.rollups.counts().set_aside,
            ..self.counters.clone()
        }
    }

    fn own_journal(&self) -> &Journal {
        &self.journals[&self.origin]
    }
}
