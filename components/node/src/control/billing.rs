//! Carries the ledger's effects to the store and to other daemons.

use peers::Part;
use types::prelude::*;

use super::Control;
use crate::event::StoreUse;
use crate::systems::ledger::Action;

impl Control {
    /// Does what became due between two ticks.
    pub(super) fn flush_ledger(&mut self) {
        let actions = self.ledger.flush(self.shared.now());
        self.perform_ledger(actions);
    }

    /// Seals, rolls up, and hands on what a leaving daemon holds.
    pub(super) fn tick_ledger(&mut self, now: Time) {
        if let Some(sealed) = &self.sealed
            && self.ledger.hand_on(now)
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

    /// Does what the ledger wants done.
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
