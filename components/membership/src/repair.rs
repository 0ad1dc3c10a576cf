//! Anti-entropy repair: daemons compare digests of what they know, one range at a time.

use std::collections::BTreeMap;

use crate::member::State;
use crate::membership::{Membership, Outcome};
use crate::message::{Digest, DigestEntry, MemberRecord, Message, OriginFacts, Sender};
use crate::origin::{OriginId, OriginTag};

/// Maximum number of origins in one digest.
const ORIGINS_PER_DIGEST: usize = 48;
/// Maximum number of own origins compared with one digest; a peer that knows far fewer receives
/// the rest later.
const MAX_ORIGINS_COMPARED: usize = 4 * ORIGINS_PER_DIGEST;

/// Full rounds of the digest without an unknown member before it slows down.
const CATCH_UP_ROUNDS: u32 = 4;

/// Position of the next digest, and whether to send digests faster.
#[derive(Debug)]
pub(crate) struct Cursor {
    after: Option<OriginId>,
    /// Full rounds left at the catch-up interval.
    catch_up_rounds: u32,
}

impl Cursor {
    /// Starts at the first origin, in catch-up mode until a few rounds bring no unknown member.
    pub(crate) fn catching_up() -> Self {
        Self {
            after: None,
            catch_up_rounds: CATCH_UP_ROUNDS,
        }
    }

    /// Restarts catch-up mode after a repair brought unknown members, since others may lack them
    /// too.
    pub(crate) fn restart_catch_up(&mut self) {
        self.catch_up_rounds = CATCH_UP_ROUNDS;
    }

    /// Continues after an origin; none starts a new round.
    fn advance(&mut self, until: Option<OriginId>) {
        if until.is_none() {
            self.catch_up_rounds = self.catch_up_rounds.saturating_sub(1);
        }
        self.after = until;
    }

    pub(crate) fn is_catching_up(&self) -> bool {
        self.catch_up_rounds > 0
    }
}

/// Content of a repair message, collected up to the maximum size.
#[derive(Default)]
struct RepairBuilder {
    members: Vec<MemberRecord>,
    origins: Vec<OriginFacts>,
    wanted: Vec<OriginTag>,
    bytes: usize,
}

impl RepairBuilder {
    fn add_member(&mut self, record: &MemberRecord) {
        self.bytes += record.wire_len();
        self.members.push(record.clone());
    }

    fn add_facts(&mut self, facts: Option<OriginFacts>) {
        if let Some(facts) = facts.filter(|origin| !origin.facts.is_empty()) {
            self.bytes += facts.wire_len();
            self.origins.push(facts);
        }
    }

    fn is_empty(&self) -> bool {
        self.members.is_empty() && self.origins.is_empty() && self.wanted.is_empty()
    }

    fn into_message(self) -> Message {
        Message::Repair {
            members: self.members,
            origins: self.origins,
            wanted: self.wanted,
        }
    }
}

/// Whether an origin is worth sending to a peer that does not know it.
fn is_worth_sending(entry: &DigestEntry) -> bool {
    let present = entry.member.is_some_and(|(_, state)| state.is_present());
    present || entry.facts != 0
}

impl Membership {
    /// Digest of the next range of origins; starts again after the last.
    pub(crate) fn next_digest(&mut self) -> Digest {
        let after = self.cursor.after.take();
        let ids = self
            .origins
            .range(after.as_ref())
            .take(ORIGINS_PER_DIGEST + 1);
        let mut ids = ids.cloned().collect::<Vec<_>>();
        let more = ids.len() > ORIGINS_PER_DIGEST;
        ids.truncate(ORIGINS_PER_DIGEST);
        let until = if more { ids.last().cloned() } else { None };
        self.cursor.advance(until.clone());
        let entries = ids.iter().map(|id| self.digest_entry(id)).collect();
        Digest {
            after,
            until,
            entries,
        }
    }

    fn digest_entry(&self, id: &OriginId) -> DigestEntry {
        let record = self.current_record(id);
        DigestEntry {
            origin: id.tag(),
            member: record.map(|record| (record.stamp.refutation, record.state)),
            facts: self.origins.hash(id),
        }
    }

    /// Answers a digest with what its sender lacks, and asks for what the sender seems to know
    /// better.
    pub(crate) fn on_digest(&mut self, from: &Sender, digest: &Digest, outcome: &mut Outcome) {
        if !self.has_repair_budget() {
            return;
        }
        let entries = digest.entries.iter().map(|entry| (entry.origin, *entry));
        let mut theirs = entries.collect::<BTreeMap<_, _>>();
        let mut repair = RepairBuilder::default();
        let range = self.origins.range(digest.after.as_ref());
        let range = range.take_while(|id| digest.until.as_ref().is_none_or(|until| *id <= until));
        for id in range.take(MAX_ORIGINS_COMPARED) {
            let entry = theirs.remove(&id.tag());
            if repair.bytes < self.max_message_bytes() {
                self.compare(id, entry, &mut repair);
            }
        }
        let unknown = theirs.values().filter(|entry| is_worth_sending(entry));
        repair.wanted.extend(unknown.map(|entry| entry.origin));
        if !repair.is_empty() {
            self.send_repair(from.address, repair.into_message(), outcome);
        }
    }

    fn compare(&self, id: &OriginId, theirs: Option<DigestEntry>, repair: &mut RepairBuilder) {
        let mine = self.digest_entry(id);
        let Some(theirs) = theirs else {
            if is_worth_sending(&mine) {
                self.add_origin(id, repair);
            }
            return;
        };
        let members_differ = match (mine.member, theirs.member) {
            (Some(mine), Some(theirs)) => mine != theirs,
            (mine, _) => mine.is_some_and(|(_, state)| state.is_present()),
        };
        if let Some(record) = self.current_record(id).filter(|_| members_differ) {
            repair.add_member(record);
        }
        if mine.facts != theirs.facts {
            repair.add_facts(self.origins.export(id));
        }
        if members_differ || (mine.facts != theirs.facts && theirs.facts != 0) {
            repair.wanted.push(mine.origin);
        }
    }

    fn add_origin(&self, id: &OriginId, repair: &mut RepairBuilder) {
        let record = self.current_record(id);
        if let Some(record) = record.filter(|record| record.state != State::Left) {
            repair.add_member(record);
        }
        repair.add_facts(self.origins.export(id));
    }

    /// Sends the origins that the other side of a comparison asked for.
    pub(crate) fn send_wanted(
        &mut self,
        from: &Sender,
        wanted: &[OriginTag],
        outcome: &mut Outcome,
    ) {
        let mut repair = RepairBuilder::default();
        for id in wanted.iter().filter_map(|tag| self.origins.by_tag(*tag)) {
            if repair.bytes >= self.max_message_bytes() {
                break;
            }
            self.add_origin(id, &mut repair);
        }
        if !repair.is_empty() {
            self.send_repair(from.address, repair.into_message(), outcome);
        }
    }
}
