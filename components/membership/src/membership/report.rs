//! Applies received reports about members, including this daemon, and about facts.

use rand::Rng;
use types::prelude::*;

use super::publish::urgency_of;
use super::{Event, Membership, Outcome};
use crate::member::{Change, State};
use crate::message::{FactGroup, Gossip, MemberRecord, MemberUpdate, OriginFacts, SharedFact};
use crate::origin::{FactUpdate, OriginId};
use crate::rumor::{Subject, Urgency};

/// Number of times a newly joined member is gossiped.
const MEMBER_TRANSMISSIONS: u32 = 3;
/// Fleet size for which the configured suspicion timeout holds.
const SUSPICION_BASE_FLEET: f64 = 10.0;

impl Membership {
    pub(super) fn apply_gossip(
        &mut self,
        now: Time,
        gossip: &Gossip,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        for update in &gossip.members {
            self.apply_member_update(now, update, rng, outcome);
        }
        for group in &gossip.facts {
            self.apply_fact_group(now, group, outcome);
        }
    }

    fn apply_member_update(
        &mut self,
        now: Time,
        update: &MemberUpdate,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        match update {
            MemberUpdate::Full(record) => self.apply_report(now, record, rng, outcome),
            MemberUpdate::Brief {
                origin,
                refutation,
                state,
            } => {
                let id = self.origins.by_tag(*origin);
                let known = id.and_then(|id| self.current_record(id));
                let Some(mut record) = known.cloned() else {
                    return;
                };
                record.stamp.refutation = *refutation;
                record.state = *state;
                self.apply_report(now, &record, rng, outcome);
            }
        }
    }

    /// Applies a received report about a member.
    pub(crate) fn apply_report(
        &mut self,
        now: Time,
        record: &MemberRecord,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        if record.id == self.local.id {
            self.apply_own_report(record, outcome);
            return;
        }
        let record = self.downgrade_down_report(record);
        self.apply_record(now, record, rng, outcome);
    }

    /// Applies a record as it is, without downgrading a down report.
    pub(super) fn apply_record(
        &mut self,
        now: Time,
        record: MemberRecord,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        let before = self.members.get(&record.id).map(|member| member.origin());
        match self.members.merge(now, &record) {
            Change::None => {
                if before.is_some()
                    && self.members.get(&record.id).map(|m| &m.record) == Some(&record)
                {
                    self.rumors.note_duplicate(&Subject::Member(record.id));
                }
                return;
            }
            Change::Full => {
                self.counters.members_refused += 1;
                return;
            }
            Change::Up => self.on_up(now, &record, before, rng, outcome),
            Change::Refuted => {}
            Change::Suspect => self.on_suspect(now, &record, outcome),
            Change::Gone => self.on_gone(now, &record, outcome),
        }
        self.queue_member(record.id);
    }

    /// Downgrades another daemon's report that a member is down to a suspicion; each daemon
    /// declares members down by its own timeout.
    ///
    /// After a partition, each side considers the other down. When they meet again, applying these
    /// reports directly would make the daemons of each side declare members of their own side down
    /// until those refuted it. A suspicion is refuted before it expires.
    fn downgrade_down_report(&self, record: &MemberRecord) -> MemberRecord {
        let mut record = record.clone();
        let known = self.members.get(&record.id).map(|member| &member.record);
        let is_present = known.is_some_and(|known| known.state.is_present());
        if record.state == State::Down && is_present {
            record.state = State::Suspect;
        }
        record
    }

    fn on_up(
        &mut self,
        now: Time,
        record: &MemberRecord,
        before: Option<OriginId>,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        let origin = OriginId {
            daemon: record.id.clone(),
            incarnation: record.stamp.incarnation,
        };
        if let Some(before) = before.filter(|before| *before != origin) {
            self.origins.retire(&before, now);
        }
        self.origins.add(origin.clone());
        self.origins.restore(&origin);
        self.prober.add(record.id.clone(), rng);
        if record.state == State::Suspect {
            let span = self.suspicion_timeout();
            self.members.start_suspicion(now, &record.id, span);
        }
        outcome.events.push(Event::MemberUp {
            id: record.id.clone(),
            incarnation: record.stamp.incarnation,
        });
    }

    fn on_suspect(&mut self, now: Time, record: &MemberRecord, outcome: &mut Outcome) {
        let span = self.suspicion_timeout();
        self.members.start_suspicion(now, &record.id, span);
        let id = record.id.clone();
        outcome.events.push(Event::MemberSuspect { id });
    }

    fn on_gone(&mut self, now: Time, record: &MemberRecord, outcome: &mut Outcome) {
        let timing = &self.cfg.timing;
        self.members.set_deadline(&record.id, now + timing.remember);
        let origin = OriginId {
            daemon: record.id.clone(),
            incarnation: record.stamp.incarnation,
        };
        self.origins.retire(&origin, now + timing.transient);
        outcome.events.push(Event::MemberDown {
            id: record.id.clone(),
            left: record.state == State::Left,
        });
    }

    /// Suspicion timeout; gossip needs longer to spread in a larger fleet.
    pub(super) fn suspicion_timeout(&self) -> Span {
        let size = self.fleet_size() as f64;
        let factor = size.log(SUSPICION_BASE_FLEET).max(1.0);
        Span::from_secs_f64(self.cfg.timing.suspicion.as_secs_f64() * factor)
    }

    /// Queues a member's record for gossip.
    ///
    /// Down reports and refutations are short and must arrive before a suspicion expires, so they are
    /// sent more often than newly joined members, whose records are long and also spread by the
    /// digest.
    pub(super) fn queue_member(&mut self, id: DaemonId) {
        let known = self.members.get(&id).map_or(&self.local, |m| &m.record);
        let is_new = known.state == State::Alive && known.stamp.refutation == 0;
        let more = if is_new { 0 } else { self.fleet_size().ilog2() };
        let times = u8::try_from(MEMBER_TRANSMISSIONS + more).unwrap_or(u8::MAX);
        self.rumors.add(Subject::Member(id), Urgency::Member, times);
    }

    /// Applies a report about this daemon itself, and refutes it if it is wrong.
    fn apply_own_report(&mut self, record: &MemberRecord, outcome: &mut Outcome) {
        let mine = self.local.stamp;
        if record.stamp.incarnation > mine.incarnation {
            self.handle_later_incarnation(record, outcome);
            return;
        }
        let same_run = record.stamp.incarnation == mine.incarnation;
        let is_wrong = record.state != State::Alive && self.local.state == State::Alive;
        if same_run && is_wrong && record.stamp.refutation >= mine.refutation {
            self.local.stamp.refutation = record.stamp.refutation + 1;
            self.counters.refutations += 1;
            self.queue_member(self.local.id.clone());
            self.queue_all_facts();
        }
    }

    /// Handles a report about a later incarnation of this daemon's name.
    ///
    /// If it has this daemon's address or is gone, it is from an earlier run whose clock was
    /// ahead. If it is alive at another address, it is a second process with the same name: if
    /// both raised their incarnation, each would raise it above the other's without end.
    fn handle_later_incarnation(&mut self, record: &MemberRecord, outcome: &mut Outcome) {
        let address = record.address;
        if address == self.local.address || !record.state.is_present() {
            self.raise_incarnation(record.stamp.incarnation.next(), outcome);
        } else {
            outcome.events.push(Event::DuplicateName { address });
        }
    }

    /// Continues with a higher incarnation than any that others remember.
    ///
    /// A replacement host whose clock is behind would start with a lower incarnation than its
    /// predecessor of the same name, and its messages would be ignored as outdated.
    fn raise_incarnation(&mut self, incarnation: Incarnation, outcome: &mut Outcome) {
        let old = self.own_origin();
        let own = self.origins.export(&old);
        self.local.stamp.incarnation = incarnation;
        self.local.stamp.refutation = 0;
        let new = self.own_origin();
        self.origins.add(new.clone());
        for fact in own.into_iter().flat_map(|own| own.facts) {
            self.origins.merge(Time::ZERO, &new, &fact);
        }
        self.origins.remove(&old);
        self.queue_member(self.local.id.clone());
        self.queue_all_facts();
        let raised = Event::IncarnationRaised(incarnation);
        outcome.events.push(raised);
    }

    fn apply_fact_group(&mut self, now: Time, group: &FactGroup, outcome: &mut Outcome) {
        for (tag, seq) in &group.origins {
            let Some(id) = self.origins.by_tag(*tag).cloned() else {
                self.counters.facts_refused += 1;
                continue;
            };
            let fact = SharedFact {
                topic: group.topic,
                key: group.key.clone(),
                seq: *seq,
                value: group.value.clone(),
            };
            self.apply_fact(now, &id, &fact, true, outcome);
        }
    }

    /// Applies a fact and, unless it came from a digest repair, gossips it further. Urgent facts
    /// are always gossiped further.
    fn apply_fact(
        &mut self,
        now: Time,
        id: &OriginId,
        fact: &SharedFact,
        forward: bool,
        outcome: &mut Outcome,
    ) {
        if *id == self.own_origin() {
            self.own_seq = self.own_seq.max(fact.seq);
            return;
        }
        let subject = || Subject::Fact(id.clone(), (fact.topic, fact.key.clone()));
        match self.origins.merge(now, id, fact) {
            FactUpdate::New => {
                self.counters.facts_new += 1;
                let (urgency, times) = urgency_of(fact.topic);
                if forward || fact.topic.is_urgent() {
                    self.rumors.add(subject(), urgency, times);
                }
                outcome.events.push(Event::FactChanged {
                    origin: id.daemon.clone(),
                    topic: fact.topic,
                    key: fact.key.clone(),
                });
            }
            FactUpdate::Duplicate => {
                self.counters.facts_repeated += 1;
                self.rumors.note_duplicate(&subject());
            }
            FactUpdate::Rejected => self.counters.facts_refused += 1,
        }
    }

    /// Applies an origin's facts received in a digest repair.
    pub(crate) fn apply_origin_facts(
        &mut self,
        now: Time,
        theirs: &OriginFacts,
        outcome: &mut Outcome,
    ) {
        let id = &theirs.origin;
        let is_current = self.current_record(id).is_some();
        if !self.origins.contains(id) && !self.add_retired_origin(now, theirs) {
            return;
        }
        let valid = theirs.facts.iter();
        let valid = valid.filter(|fact| is_current || fact.topic.is_cumulative());
        for fact in valid {
            self.apply_fact(now, id, fact, false, outcome);
        }
    }

    /// Adds an origin that is gone but whose cumulative facts remain valid.
    fn add_retired_origin(&mut self, now: Time, theirs: &OriginFacts) -> bool {
        let id = &theirs.origin;
        let known = self.members.get(&id.daemon);
        let may_come_up = known.is_some_and(|m| m.record.stamp.incarnation < id.incarnation);
        let has_cumulative = theirs.facts.iter().any(|fact| fact.topic.is_cumulative());
        if may_come_up || !has_cumulative {
            return false;
        }
        self.origins.add(id.clone());
        self.origins.retire(id, now);
        true
    }
}
