//! Replication of charges to and from other daemons, and the release of answers.

use super::*;

impl Ledger {
    /// Sends unsealed charges to their second holders.
    pub(super) fn replicate_all(&mut self, now: Time) -> Vec<Effect> {
        let origins: Vec<_> = self.journals.keys().cloned().collect();
        let mut effects = Vec::new();
        for origin in origins {
            if self.is_responsible_for(&self.journals[&origin]) {
                self.ensure_holder(&origin, now);
                effects.extend(self.replicate(&origin, now));
            } else if let Some(journal) = self.journals.get_mut(&origin) {
                journal.replica = None;
            }
        }
        effects
    }

    fn replicate(&mut self, origin: &Origin, now: Time) -> Vec<Effect> {
        let Some(journal) = self.journals.get_mut(origin) else {
            return Vec::new();
        };
        let messages = replication::flush(origin, journal, now, &self.cfg);
        let Some(replica) = &journal.replica else {
            return Vec::new();
        };
        let to = |message| Effect::Send {
            to: replica.peer.clone(),
            message,
        };
        messages.into_iter().map(to).collect()
    }

    /// Whether this daemon is responsible for a journal: it recorded the charges, or their primary
    /// has left the fleet.
    fn is_responsible_for(&self, journal: &Journal) -> bool {
        journal.primary.is_none() || (!journal.is_empty() && self.is_adopted(journal))
    }

    /// Whether the primary of a held journal has left the fleet.
    pub(super) fn is_adopted(&self, journal: &Journal) -> bool {
        let primary = journal.primary.as_ref();
        primary.is_some_and(|primary| !self.is_member(&primary.daemon, primary.incarnation))
    }

    /// Whether an incarnation of a daemon is in the fleet. A host that was replaced under the same
    /// name has a later incarnation and has lost the charges of the earlier one.
    fn is_member(&self, id: &DaemonId, incarnation: Incarnation) -> bool {
        let mut members = self.members.iter();
        members.any(|peer| peer.id == *id && peer.incarnation <= incarnation)
    }

    /// Replaces a holder that has left the fleet or does not respond.
    fn ensure_holder(&mut self, origin: &Origin, now: Time) {
        let journal = &self.journals[origin];
        if let Some(replica) = &journal.replica {
            let has_failed = replica.has_failed(now);
            if !has_failed && self.is_member(&replica.peer, replica.incarnation) {
                return;
            }
            if has_failed {
                self.avoided_holders
                    .insert(replica.peer.clone(), now + self.cfg.holder_avoidance);
            }
        }
        self.assign_holder(origin);
    }

    fn assign_holder(&mut self, origin: &Origin) {
        let candidates = self.members.iter().filter(|peer| {
            let is_origin = peer.id == origin.daemon || peer.id == self.cfg.me.id;
            !is_origin && !self.avoided_holders.contains_key(&peer.id)
        });
        let chosen = replication::choose(&self.cfg.me, origin, candidates).cloned();
        let Some(journal) = self.journals.get_mut(origin) else {
            return;
        };
        match chosen {
            Some(peer) => replication::assign(journal, &peer),
            None => journal.replica = None,
        }
    }

    /// Releases answers whose bills are replicated or sealed.
    ///
    /// If the end were released before the second holder has the bill, the loss of this host
    /// would leave the caller with a complete answer that is never billed.
    pub(super) fn release(&mut self, now: Time) -> Vec<Effect> {
        let own = self.own_journal();
        let acked = own.replica.as_ref().map_or(0, |replica| replica.acked);
        let safe = Receipt(own.sealed().max(acked));
        let held = self.release_upto(safe, false);
        let alone = self.unreplicated_upto(now);
        let unheld = self.release_upto(alone, true);
        held.into_iter().chain(unheld).collect()
    }

    /// Returns the last receipt to be released without a second holder, because there is no other
    /// daemon or none has responded in time.
    fn unreplicated_upto(&self, now: Time) -> Receipt {
        let is_single = !self.members.iter().any(|peer| peer.id != self.cfg.me.id);
        let is_overdue =
            |recorded_at: &Time| now.has_reached(*recorded_at + self.cfg.replication_timeout);
        let overdue = self.waiting.iter().rev();
        let mut overdue = overdue.filter(|(_, recorded_at)| is_single || is_overdue(recorded_at));
        overdue.next().map_or(Receipt(0), |(receipt, _)| *receipt)
    }

    fn release_upto(&mut self, upto: Receipt, is_unreplicated: bool) -> Option<Effect> {
        let mut released = None;
        while let Some((receipt, _)) = self.waiting.pop_front_if(|(first, _)| *first <= upto) {
            released = Some(receipt);
            self.counters.released_alone += u64::from(is_unreplicated);
        }
        released.map(|upto| Effect::Released {
            upto,
            is_unreplicated,
        })
    }

    /// Stores a peer's charges and acknowledges them.
    pub(super) fn on_replicate(
        &mut self,
        primary: Primary,
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
            .for_each(|charge| self.accounts.intern(charge));
        let full = self.custody_count() + charges.len() > self.cfg.custody_capacity;
        let journal = self.journals.entry(origin.clone());
        let journal = journal.or_insert_with(|| Journal::new(sealed, None));
        let has_advanced = sealed > journal.sealed();
        journal.advance(sealed);
        let oldest_held_at = journal.primary.as_ref();
        let oldest_held_at = oldest_held_at.filter(|_| !journal.is_empty() && !has_advanced);
        let oldest_held_at =
            oldest_held_at.map_or(primary.oldest_held_at, |held| held.oldest_held_at);
        let to = primary.daemon.clone();
        journal.primary = Some(Primary {
            oldest_held_at,
            ..primary
        });
        if !full {
            journal.merge(first, charges);
        }
        let message = Message::Acknowledge {
            upto: journal.end(),
            origin,
            incarnation: self.cfg.me.incarnation,
            full,
        };
        vec![Effect::Send { to, message }]
    }

    fn custody_count(&self) -> usize {
        let others = self
            .journals
            .values()
            .filter(|journal| journal.primary.is_some());
        others.map(Journal::len).sum()
    }

    /// Processes a holder's acknowledgement.
    pub(super) fn on_acknowledge(
        &mut self,
        now: Time,
        from: &DaemonId,
        origin: &Origin,
        upto: u64,
        incarnation: Incarnation,
        full: bool,
    ) -> Vec<Effect> {
        let journal = self.journals.get_mut(origin);
        let replica = journal.and_then(|journal| journal.replica.as_mut());
        let Some(replica) = replica.filter(|replica| replica.peer == *from) else {
            return Vec::new();
        };
        let previous = replication::on_acknowledge(replica, now, upto, incarnation, &self.cfg);
        if full {
            self.avoided_holders
                .insert(from.clone(), now + self.cfg.holder_avoidance);
            self.assign_holder(origin);
        }
        let drop = |to| Effect::Send {
            to,
            message: Message::Drop {
                origin: origin.clone(),
            },
        };
        previous.map(drop).into_iter().collect()
    }

    /// Drops charges that another daemon now holds instead of this one.
    pub(super) fn on_drop(&mut self, from: &DaemonId, origin: &Origin) -> Vec<Effect> {
        let primary = self
            .journals
            .get(origin)
            .and_then(|journal| journal.primary.as_ref());
        if primary.is_some_and(|primary| primary.daemon == *from) {
            self.journals.remove(origin);
        }
        Vec::new()
    }

    /// Drops held journals that are sealed and about which no more messages arrive.
    pub(super) fn drop_settled_journals(&mut self, now: Time) {
        let primary_timeout = self.cfg.primary_timeout;
        self.journals.retain(|_, journal| {
            let primary = journal.primary.as_ref();
            let is_silent = primary
                .is_some_and(|primary| now.has_reached(primary.last_heard_at + primary_timeout));
            !(is_silent && journal.is_empty() && journal.seal.in_flight.is_none())
        });
    }
}
