//! Performs the ledger's actions: store calls and messages to other daemons.

use peers::Part;
use types::prelude::*;

use super::Control;
use crate::event::StoreUse;
use crate::systems::ledger::Action;

impl Control {
    /// Runs the ledger's work that became due between two ticks.
    pub(super) fn flush_ledger(&mut self) {
        let actions = self.ledger.flush(self.shared.now());
        self.perform_ledger(actions);
    }

    /// Runs the ledger's timed work. While the daemon is leaving, hastens the sealing of its bills
    /// and signals when none is left.
    pub(super) fn tick_ledger(&mut self, now: Time) {
        if let Some(sealed) = &self.sealed
            && self.ledger.seal_all(now)
        {
            let _ = sealed.try_send(());
        }
        self.ledger.set_members(self.members.other_peers());
        let wall = self.shared.clock.wall();
        let actions = self.ledger.tick(now, wall);
        self.perform_ledger(actions);
        let fill = self.ledger.fill();
        let waiting = i64::try_from(fill.own + fill.custody).unwrap_or(i64::MAX);
        self.shared.metrics.bills_waiting.set(waiting);
    }

    /// Performs the ledger's actions.
    pub(super) fn perform_ledger(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store(id, request) => self.store_pool.call(StoreUse::Ledger(id), request),
                Action::Send(to, message) => {
                    self.members.send(&to, Part::Ledger, message.to_bytes());
                }
            }
        }
    }
}
