//! Records bills, releases the ends of answers, and turns the ledger's effects into actions.

use std::collections::BTreeMap;

use keyvalue::{Outcome, Request};
use ledger::{Bill, CallId, Config, Effect, Fill, Ledger, Message, Peer, Receipt};
use settings::Settings;
use types::prelude::*;

use crate::event::ReleaseTo;

/// Least interval between two log lines saying that only this daemon holds its bills.
const SOLE_HOLDER_LOG_INTERVAL: Span = Span::from_secs(60);

/// An action for the control thread.
#[derive(Debug)]
pub enum Action {
    /// Call the store; the outcome comes back with the call's id.
    Store(CallId, Request),
    /// Send a message to another daemon.
    Send(DaemonId, Message),
}

/// The ledger, and the answers whose ends are held back.
#[derive(Debug)]
pub struct Table {
    ledger: Ledger,
    held_ends: BTreeMap<Receipt, ReleaseTo>,
    members: Vec<Peer>,
    /// Most requests in flight at once, each of which may still bring a bill.
    max_in_flight: usize,
    log_alone_at: Time,
    was_full: bool,
}

impl Table {
    /// Creates an empty table for one run of a daemon.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let me = Peer {
            id: settings.daemon.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
        };
        Self {
            ledger: Ledger::new(Config::new(me, &prefix(&settings.cluster))),
            held_ends: BTreeMap::new(),
            members: Vec::new(),
            max_in_flight: settings.callers.max_in_flight,
            log_alone_at: Time::ZERO,
            was_full: false,
        }
    }

    /// Sets the other daemons that are live and not leaving.
    pub fn set_members(&mut self, members: Vec<Peer>) {
        self.ledger.set_members(&members);
        self.members = members;
    }

    /// Records the bill of an answer; the answer's end is released once the bill is safe.
    pub fn record(&mut self, now: Time, bill: Bill, end: ReleaseTo) -> Vec<Action> {
        let receipt = self.ledger.record(now, bill);
        self.held_ends.insert(receipt, end);
        self.flush(now)
    }

    /// Runs work that became due between two ticks.
    pub fn flush(&mut self, now: Time) -> Vec<Action> {
        let effects = self.ledger.flush(now);
        self.perform(now, effects)
    }

    /// Runs timed work: sealing, roll-ups and the exchange with other daemons.
    pub fn tick(&mut self, now: Time, wall: WallTime) -> Vec<Action> {
        self.log_full();
        let effects = self.ledger.tick(now, wall, &self.members);
        self.perform(now, effects)
    }

    /// Handles the outcome of a store call.
    pub fn on_store(&mut self, now: Time, id: CallId, outcome: Outcome) -> Vec<Action> {
        let effects = self.ledger.on_store(now, id, outcome);
        self.perform(now, effects)
    }

    /// Handles a message of another daemon; one that cannot be decoded is dropped.
    pub fn on_peer(&mut self, now: Time, from: &DaemonId, bytes: &[u8]) -> Vec<Action> {
        match Message::from_bytes(bytes) {
            Ok(message) => {
                let effects = self.ledger.on_peer(now, from, message);
                self.perform(now, effects)
            }
            Err(error) => {
                tracing::warn!("ledger: dropped a message of {from}: {error}");
                Vec::new()
            }
        }
    }

    /// When [`Table::flush`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Time {
        self.ledger.next_deadline()
    }

    /// Whether no more requests may start.
    ///
    /// Counts the largest possible number of requests as in flight, so that none of them finds the
    /// ledger full when its answer ends.
    #[must_use]
    pub fn is_full(&self) -> bool {
        !self.ledger.has_room(self.max_in_flight)
    }

    fn log_full(&mut self) {
        let is_full = self.is_full();
        match (self.was_full, is_full) {
            (false, true) => tracing::error!(
                "ledger: too many bills are not sealed yet, requests are refused as not run \
                 until the store answers"
            ),
            (true, false) => {
                tracing::info!("ledger: bills are sealed again, requests are accepted")
            }
            _ => {}
        }
        self.was_full = is_full;
    }

    /// Hastens the sealing of all bills, and returns whether none is left to seal.
    #[must_use]
    pub fn seal_all(&mut self, now: Time) -> bool {
        self.ledger.seal_all_now(now);
        let fill = self.ledger.fill();
        fill.own == 0 && fill.adopted == 0
    }

    /// How full the ledger is.
    #[must_use]
    pub fn fill(&self) -> Fill {
        self.ledger.fill()
    }

    fn perform(&mut self, now: Time, effects: Vec<Effect>) -> Vec<Action> {
        let mut actions = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => actions.push(Action::Send(to, message)),
                Effect::Store { id, request } => actions.push(Action::Store(id, request)),
                Effect::Released {
                    upto,
                    is_unreplicated,
                } => self.release(now, upto, is_unreplicated),
            }
        }
        actions
    }

    fn release(&mut self, now: Time, upto: Receipt, is_unreplicated: bool) {
        let later = self.held_ends.split_off(&Receipt(upto.0 + 1));
        for end in std::mem::replace(&mut self.held_ends, later).into_values() {
            // Fails only if the request's task has ended; the bill stands all the same.
            let _ = end.try_send(());
        }
        if is_unreplicated && now.has_reached(self.log_alone_at) {
            self.log_alone_at = now + SOLE_HOLDER_LOG_INTERVAL;
            tracing::warn!(
                "ledger: no other daemon is in reach: bills of the last seconds would be lost \
                 with this host"
            );
        }
    }
}

/// Prefix of a cluster's keys in the store.
pub(crate) fn prefix(cluster: &ClusterName) -> String {
    format!("/buckthorncross/{cluster}")
}
