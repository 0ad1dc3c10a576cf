//! Calls to the store: sealing, roll-ups and sweeps.

use super::*;

/// Time after which a call without an outcome is treated as one whose reply was lost.
const CALL_TIMEOUT: Span = Span::from_secs(30);

/// Purpose of a call, which determines where its outcome goes.
#[derive(Debug)]
pub(super) enum Call {
    /// Seals a batch of this origin.
    Seal(Origin),
    /// Rolls up this shard.
    RollUp(u16),
    /// Deletes expired marks.
    Sweep,
}

impl Ledger {
    /// Processes the outcome of a call. Unknown numbers are ignored.
    pub fn on_store(&mut self, now: Time, id: CallId, outcome: Outcome) -> Vec<Effect> {
        match self.calls.remove(&id).map(|(call, _)| call) {
            Some(Call::Seal(origin)) => {
                self.on_sealed(now, &origin, outcome);
                self.flush(now)
            }
            Some(Call::RollUp(shard)) => {
                let next = self.rollups.on_outcome(now, shard, outcome);
                next.map(|request| self.call(now, Call::RollUp(shard), request))
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

    /// Times out calls whose outcome was lost inside this process.
    ///
    /// An outcome is dropped when a queue is full. Without the timeout, the origin of that call
    /// would wait forever and none of its batches would be sealed again.
    pub(super) fn expire_calls(&mut self, now: Time) -> Vec<Effect> {
        let expired = self
            .calls
            .iter()
            .filter(|(_, (_, deadline))| now.has_reached(*deadline));
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

    /// Starts sealing the batches that are due.
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

    /// Whether this daemon may seal a journal: it recorded the charges, or their primary has left
    /// the fleet, has sent nothing for too long, or has left them unsealed for too long.
    ///
    /// Bills must not wait for a daemon that has crashed, is paused or is cut off from the store,
    /// so the holder seals in its place. If both seal at once, this is harmless: the mark advances
    /// only once.
    fn may_seal(&self, journal: &Journal, now: Time) -> bool {
        let Some(primary) = &journal.primary else {
            return true;
        };
        let is_silent = now.has_reached(primary.last_heard_at + self.cfg.primary_timeout);
        let is_late = now.has_reached(primary.oldest_held_at + self.cfg.max_custody_age);
        is_silent || is_late || self.is_adopted(journal)
    }

    fn on_sealed(&mut self, now: Time, origin: &Origin, outcome: Outcome) {
        let seal_interval = self.seal_interval();
        let cfg = &self.cfg;
        let Some(journal) = self.journals.get_mut(origin) else {
            return;
        };
        let previously_sealed = journal.sealed();
        seal::on_outcome(journal, now, outcome);
        if journal.sealed() == previously_sealed {
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

    /// Returns the time between batches, which grows with the fleet so that the rate of writes to
    /// the store does not.
    fn seal_interval(&self) -> Span {
        let fleet = self.members.len() as f64 + 1.0;
        let share = Span::from_secs_f64(fleet / self.cfg.seal_rate.0);
        share.max(self.cfg.seal_interval)
    }

    /// Starts the due roll-ups of the shards that this daemon owns.
    pub(super) fn roll_up_due(&mut self, now: Time, wall: WallTime) -> Vec<Effect> {
        let requests = self.rollups.tick(now, wall);
        let calls = requests.into_iter();
        calls
            .map(|(shard, request)| self.call(now, Call::RollUp(shard), request))
            .collect()
    }

    /// Starts a sweep if one is due and this daemon owns shard 0, whose owner does the sweeps.
    pub(super) fn sweep_due(&mut self, now: Time, wall: WallTime) -> Option<Effect> {
        if !self.rollups.has_shard(0) {
            return None;
        }
        let request = self.sweep.tick(now, wall, &self.keys)?;
        Some(self.call(now, Call::Sweep, request))
    }
}
