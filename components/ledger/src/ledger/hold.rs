//! Holding: for others and by others, and the release of answers.

use super::*;

impl Ledger {
    /// Sends unsealed charges to their second holders.
    pub(super) fn hold_all(&mut self, now: Time) -> Vec<Effect> {
        let origins: Vec<_> = self.journals.keys().cloned().collect();
        let mut effects = Vec::new();
        for origin in origins {
            if self.leads(&self.journals[&origin]) {
                self.ensure_holder(&origin, now);
                effects.extend(self.hold(&origin, now));
            } else if let Some(journal) = self.journals.get_mut(&origin) {
                journal.replica = None;
            }
        }
        effects
    }

    fn hold(&mut self, origin: &Origin, now: Time) -> Vec<Effect> {
        let Some(journal) = self.journals.get_mut(origin) else {
            return Vec::new();
        };
        let messages = custody::flush(origin, journal, now, &self.cfg);
        let Some(replica) = &journal.replica else {
            return Vec::new();
        };
        let to = |message| Effect::Send {
            to: replica.peer.clone(),
            message,
        };
        messages.into_iter().map(to).collect()
    }

    /// This daemon answers for the journal: it recorded it, or its keeper is gone.
    fn leads(&self, journal: &Journal) -> bool {
        journal.keeper.is_none() || (!journal.is_empty() && self.is_orphan(journal))
    }

    /// The keeper of a held journal has left the fleet.
    pub(super) fn is_orphan(&self, journal: &Journal) -> bool {
        let keeper = journal.keeper.as_ref();
        keeper.is_some_and(|keeper| !self.is_member(&keeper.daemon, keeper.incarnation))
    }

    /// Whether a run of a daemon is in the fleet. A host that was replaced under its name
    /// is a later run, which has forgotten what the earlier one held.
    fn is_member(&self, id: &DaemonId, incarnation: Incarnation) -> bool {
        let mut members = self.members.iter();
        members.any(|peer| peer.id == *id && peer.incarnation <= incarnation)
    }

    /// Replaces a holder that is gone or silent.
    fn ensure_holder(&mut self, origin: &Origin, now: Time) {
        let journal = &self.journals[origin];
        if let Some(replica) = &journal.replica {
            let has_failed = replica.has_failed(now);
            if !has_failed && self.is_member(&replica.peer, replica.run) {
                return;
            }
            if has_failed {
                self.avoid
                    .insert(replica.peer.clone(), now + self.cfg.avoid);
            }
        }
        self.assign_holder(origin);
    }

    fn assign_holder(&mut self, origin: &Origin) {
        let candidates = self.members.iter().filter(|peer| {
            let is_origin = peer.id == origin.daemon || peer.id == self.cfg.me.id;
            !is_origin && !self.avoid.contains_key(&peer.id)
        });
        let chosen = custody::choose(&self.cfg.me, origin, candidates).cloned();
        let Some(journal) = self.journals.get_mut(origin) else {
            return;
        };
        match chosen {
            Some(peer) => custody::assign(journal, &peer),
            None => journal.replica = None,
        }
    }

    /// Releases answers whose bills are held twice or sealed.
    ///
    /// Guards against an answer without a bill: were the end released before the second
    /// holder has the bill, the loss of this host would leave a caller with a whole
    /// answer that nobody bills.
    pub(super) fn release(&mut self, now: Time) -> Vec<Effect> {
        let own = self.own();
        let acked = own.replica.as_ref().map_or(0, |replica| replica.acked);
        let safe = Receipt(own.sealed().max(acked));
        let held = self.release_upto(safe, false);
        let alone = self.alone_upto(now);
        let unheld = self.release_upto(alone, true);
        held.into_iter().chain(unheld).collect()
    }

    /// Receipts that no second daemon will take: there is none, or none has answered.
    fn alone_upto(&self, now: Time) -> Receipt {
        let is_single = !self.members.iter().any(|peer| peer.id != self.cfg.me.id);
        let is_overdue = |since: &Time| now.has_reached(*since + self.cfg.alone_after);
        let overdue = self.waiting.iter().rev();
        let mut overdue = overdue.filter(|(_, since)| is_single || is_overdue(since));
        overdue.next().map_or(Receipt(0), |(receipt, _)| *receipt)
    }

    fn release_upto(&mut self, upto: Receipt, alone: bool) -> Option<Effect> {
        let mut released = None;
        while let Some((receipt, _)) = self.waiting.pop_front_if(|(first, _)| *first <= upto) {
            released = Some(receipt);
            self.counters.released_alone += u64::from(alone);
        }
        released.map(|upto| Effect::Released { upto, alone })
    }

    /// Holds a peer's charges.
    pub(super) fn on_hold(
        &mut self,
        keeper: Keeper,
        origin: Origin,
        sealed: u64,
        first: u64,
        charges: &[u8],
    ) -> Vec<Effect> {
        if origin == self.origin {
            return Vec::new();
        }
        let Ok(mut charges) = codec::unpack(charges) else {
            self.counters.damaged += 1;
            return Vec::new();
        };
        charges
            .iter_mut()
            .for_each(|charge| self.accounts.share(charge));
        let full = self.custody_len() + charges.len() > self.cfg.custody_capacity;
        let journal = self.journals.entry(origin.clone());
        let journal = journal.or_insert_with(|| Journal::new(sealed, None));
        let has_advanced = sealed > journal.sealed();
        journal.advance(sealed);
        let since = journal.keeper.as_ref();
        let since = since.filter(|_| !journal.is_empty() && !has_advanced);
        let since = since.map_or(keeper.since, |held| held.since);
        let to = keeper.daemon.clone();
        journal.keeper = Some(Keeper { since, ..keeper });
        if !full {
            journal.merge(first, charges);
        }
        let message = Message::Held {
            upto: journal.end(),
            origin,
            by: self.cfg.me.incarnation,
            full,
        };
        vec![Effect::Send { to, message }]
    }

    fn custody_len(&self) -> usize {
        let others = self
            .journals
            .values()
            .filter(|journal| journal.keeper.is_some());
        others.map(Journal::len).sum()
    }

    /// Takes a holder's acknowledgement.
    pub(super) fn on_held(
        &mut self,
        now: Time,
        from: &DaemonId,
        origin: &Origin,
        upto: u64,
        by: Incarnation,
        full: bool,
    ) -> Vec<Effect> {
        let journal = self.journals.get_mut(origin);
        let replica = journal.and_then(|journal| journal.replica.as_mut());
        let Some(replica) = replica.filter(|replica| replica.peer == *from) else {
            return Vec::new();
        };
        let former = custody::on_held(replica, now, upto, by, &self.cfg);
        if full {
            self.avoid.insert(from.clone(), now + self.cfg.avoid);
            self.assign_holder(origin);
        }
        let drop = |to| Effect::Send {
            to,
            message: Message::Drop {
                origin: origin.clone(),
            },
        };
        former.map(drop).into_iter().collect()
    }

    /// Forgets charges that another daemon holds in this one's place.
    pub(super) fn on_drop(&mut self, from: &DaemonId, origin: &Origin) -> Vec<Effect> {
        let keeper = self
            .journals
            .get(origin)
            .and_then(|journal| journal.keeper.as_ref());
        if keeper.is_some_and(|keeper| keeper.daemon == *from) {
            self.journals.remove(origin);
        }
        Vec::new()
    }

    /// Forgets held journals that are sealed and not spoken of any more.
    pub(super) fn forget_settled(&mut self, now: Time) {
        let silence = self.cfg.silence;
        self.journals.retain(|_, journal| {
            let keeper = journal.keeper.as_ref();
            let is_silent = keeper.is_some_and(|keeper| now.has_reached(keeper.heard + silence));
            !(is_silent && journal.is_empty() && journal.seal.in_flight.is_none())
        });
    }
}
