//! Calls to the store: batches to seal and roll-ups.

use super::*;

/// A call without an outcome for so long counts as one without a reply.
const CALL_TIMEOUT: Span = Span::from_secs(30);

/// Whom a call's outcome goes to.
#[derive(Debug)]
pub(super) enum Call {
    /// A batch of this origin.
    Seal(Origin),
    /// A roll-up of this shard.
    Roll(u16),
    /// Old marks.
    Sweep,
}

impl Ledger {
    /// Takes the outcome of a call. Unknown numbers are passed over.
    pub fn on_store(&mut self, now: Time, id: CallId, outcome: Outcome) -> Vec<Effect> {
        match self.calls.remove(&id).map(|(call, _)| call) {
            Some(Call::Seal(origin)) => {
                self.on_sealed(now, &origin, outcome);
                self.flush(now)
            }
            Some(Call::Roll(shard)) => {
                let next = self.roller.on_outcome(now, shard, outcome);
                next.map(|request| self.call(now, Call::Roll(shard), request))
                    .into_iter()
                    .collect()
            }
            Some(Call::Sweep) => {
                let next = self.sweep.on_outcome(&self.keys, outcome);
                next.map(|request| self.call(now, Call::Sweep, request))
                    .into_iter()
                    .collect()
            }
            None => Vec::new(),
        }
    }

    /// Ends calls whose outcome got lost inside this process.
    ///
    /// Guards against a part that waits for ever: an outcome is dropped where a queue is
    /// full, and no batch of that origin would be sealed again.
    pub(super) fn expire_calls(&mut self, now: Time) -> Vec<Effect> {
        let expired = self
            .calls
            .iter()
            .filter(|(_, (_, until))| now.has_reached(*until));
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        let lost = || Err(CallError::Unknown("no outcome".to_owned()));
        let ended = expired.into_iter();
        ended
            .flat_map(|id| self.on_store(now, id, lost()))
            .collect()
    }

    fn call(&mut self, now: Time, call: Call, request: Request) -> Effect {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, (call, now + CALL_TIMEOUT));
        Effect::Store { id, request }
    }

    /// Starts the batches that are due.
    pub(super) fn seal_due(&mut self, now: Time, wall: WallTime) -> Vec<Effect> {
        let due = self.journals.iter().filter(|(_, journal)| {
            let is_due = now.has_reached(journal.seal.due);
            is_due && self.may_seal(journal, now)
        });
        let due: Vec<_> = due.map(|(origin, _)| origin.clone()).collect();
        let mut effects = Vec::new();
        for origin in due {
            let journal = self.journals.get_mut(&origin);
            let request =
                journal.and_then(|journal| seal::request(&origin, journal, &self.keys, wall));
            effects.extend(request.map(|request| self.call(now, Call::Seal(origin), request)));
        }
        effects
    }

    /// This daemon recorded the charges, or their keeper is gone, silent or late.
    ///
    /// Guards against bills that wait for a daemon which is dead, paused or cut off from
    /// the store: the holder seals in its place. Both sealing at once is harmless, since
    /// the mark moves once.
    fn may_seal(&self, journal: &Journal, now: Time) -> bool {
        let Some(keeper) = &journal.keeper else {
            return true;
        };
        let is_silent = now.has_reached(keeper.heard + self.cfg.silence);
        let is_late = now.has_reached(keeper.since + self.cfg.late);
        is_silent || is_late || self.is_orphan(journal)
    }

    fn on_sealed(&mut self, now: Time, origin: &Origin, outcome: Outcome) {
        let seal_interval = self.seal_interval();
        let cfg = &self.cfg;
        let Some(journal) = self.journals.get_mut(origin) else {
            return;
        };
        let before = journal.sealed();
        seal::on_outcome(journal, now, outcome);
        if journal.sealed() == before {
            return;
        }
        self.counters.batches += 1;
        let has_backlog = journal.len() >= seal::MAX_BATCH_CHARGES;
        let is_alone = journal.replica.is_none();
        let interval = match has_backlog || is_alone {
            true => cfg.backlog_interval,
            false => seal_interval,
        };
        journal.seal.due = now + interval;
    }

    /// Grows with the fleet, so that the store's writes do not.
    fn seal_interval(&self) -> Span {
        let fleet = self.members.len() as f64 + 1.0;
        let share = Span::from_secs_f64(fleet / self.cfg.seal_rate.0);
        share.max(self.cfg.seal_interval)
    }

    /// Starts the roll-ups that are due of the shards that fall to this daemon.
    pub(super) fn roll_due(&mut self, now: Time, wall: WallTime) -> Vec<Effect> {
        let requests = self.roller.tick(now, wall);
        let calls = requests.into_iter();
        calls
            .map(|(shard, request)| self.call(now, Call::Roll(shard), request))
            .collect()
    }

    /// Starts a sweep when it is due and falls to this daemon, as the first shard does.
    pub(super) fn sweep_due(&mut self, now: Time, wall: WallTime) -> Option<Effect> {
        if !self.roller.has_shard(0) {
            return None;
        }
        let request = self.sweep.tick(now, wall, &self.keys)?;
        Some(self.call(now, Call::Sweep, request))
    }
}
