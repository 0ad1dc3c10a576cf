//! The member table: what is known of each daemon, and which of two reports is newer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::message::MemberRecord;
use crate::origin::OriginId;

/// Daemons in the table at most, the dead included.
pub(crate) const MAX_MEMBERS: usize = 2_048;

/// Every daemon probes a suspect itself in the last moments before it buries it.
const LAST_KNOCKS: Span = Span::from_millis(3_200);
/// Between two such probes.
const KNOCK: Span = Span::from_secs(1);

/// How new a report of a member is.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Raised by a restart.
    pub incarnation: Incarnation,
    /// Raised by the member itself when it hears that it is suspected or down.
    pub refutation: u32,
}

/// What is said of a member; of two with the same stamp the later listed holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Answers.
    Alive,
    /// Did not answer.
    Suspect,
    /// Did not refute its suspicion in time.
    Down,
    /// Went of its own accord; no refutation of the same restart undoes it.
    Left,
}

impl State {
    /// Whether the member counts as part of the fleet.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A member as this daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What would be told of it.
    pub record: MemberRecord,
    /// When this daemon last had a message from it itself.
    pub heard_at: Option<Time>,
    /// When its state last changed.
    pub since: Time,
    /// A suspicion ends in death, and the memory of the dead, at this moment.
    pub deadline: Time,
    /// A suspect is probed by this daemon itself at this moment.
    pub knock_at: Time,
}

impl Member {
    /// Which restart it is.
    #[must_use]
    pub fn origin(&self) -> OriginId {
        OriginId {
            daemon: self.record.id.clone(),
            incarnation: self.record.stamp.incarnation,
        }
    }
}

/// Of two reports, the one with the larger rank holds.
fn rank(stamp: Stamp, state: State) -> (Incarnation, bool, u32, State) {
    let left = state == State::Left;
    (stamp.incarnation, left, stamp.refutation, state)
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing: as old as what is held or older.
    None,
    /// It is present and was not, or it is another restart.
    Up,
    /// Its refutation counted, it was and is present.
    Refreshed,
    /// It is suspected.
    Suspect,
    /// It is gone.
    Gone,
    /// There is no room for it.
    Full,
}

/// Every other daemon known.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<DaemonId, Member>,
    present: usize,
}

impl MemberTable {
    pub(crate) fn get(&self, id: &DaemonId) -> Option<&Member> {
        self.members.get(id)
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Members that are alive or suspected.
    pub(crate) fn present(&self) -> usize {
        self.present
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members named after `after`, in order.
    pub(crate) fn after(&self, after: Option<&DaemonId>) -> impl Iterator<Item = &Member> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let range = self.members.range::<DaemonId, _>((from, Unbounded));
        range.map(|(_, member)| member)
    }

    pub(crate) fn heard(&mut self, id: &DaemonId, now: Time) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard_at = Some(now);
        }
    }

    pub(crate) fn set_deadline(&mut self, id: &DaemonId, deadline: Time) {
        if let Some(member) = self.members.get_mut(id) {
            member.deadline = deadline;
        }
    }

    /// Lets a suspicion begin, or begin anew.
    pub(crate) fn suspect(&mut self, now: Time, id: &DaemonId, span: Span) {
        if let Some(member) = self.members.get_mut(id) {
            member.since = now;
            member.deadline = now + span;
            member.knock_at = member.deadline - LAST_KNOCKS;
        }
    }

    /// Suspects to probe now; each is due again a second later.
    pub(crate) fn due_knocks(&mut self, now: Time) -> Vec<DaemonId> {
        let members = self.members.values_mut();
        let due =
            members.filter(|m| m.record.state == State::Suspect && now.has_reached(m.knock_at));
        let due = due.map(|member| {
            member.knock_at = now + KNOCK;
            member.record.id.clone()
        });
        due.collect()
    }

    /// Puts off the deadlines of suspicions.
    pub(crate) fn put_off_suspicions(&mut self, by: Span) {
        let suspects = self.members.values_mut();
        for member in suspects.filter(|member| member.record.state == State::Suspect) {
            member.deadline = member.deadline + by;
            member.knock_at = member.knock_at + by;
        }
    }

    /// Takes a report if it is newer than what is held.
    pub(crate) fn merge(&mut self, now: Time, record: &MemberRecord) -> Change {
        if !self.members.contains_key(&record.id) {
            return self.insert(now, record);
        }
        let Some(held) = self.members.get_mut(&record.id) else {
            return Change::None;
        };
        let (old, new) = (&held.record, record);
        if rank(new.stamp, new.state) <= rank(old.stamp, old.state) {
            return Change::None;
        }
        let restarted = new.stamp.incarnation != old.stamp.incarnation;
        let was_present = old.state.is_present();
        let change = match new.state {
            State::Alive | State::Suspect if restarted || !was_present => Change::Up,
            State::Alive => Change::Refreshed,
            State::Suspect => Change::Suspect,
            State::Down | State::Left => Change::Gone,
        };
        held.record = record.clone();
        held.since = now;
        held.deadline = Time::NEVER;
        held.knock_at = Time::NEVER;
        self.present -= usize::from(was_present);
        self.present += usize::from(record.state.is_present());
        change
    }

    /// Adds a daemon not known so far. Those already gone are not worth a place.
    fn insert(&mut self, now: Time, record: &MemberRecord) -> Change {
        if !record.state.is_present() {
            return Change::None;
        }
        if self.members.len() >= MAX_MEMBERS && !self.evict() {
            return Change::Full;
        }
        let member = Member {
            record: record.clone(),
            heard_at: None,
            since: now,
            deadline: Time::NEVER,
            knock_at: Time::NEVER,
        };
        self.members.insert(record.id.clone(), member);
        self.present += 1;
        Change::Up
    }

    /// Makes room by forgetting who has been gone longest; says whether it could.
    fn evict(&mut self) -> bool {
        let gone = self.iter().filter(|m| !m.record.state.is_present());
        let oldest = gone.min_by_key(|member| member.since);
        let Some(id) = oldest.map(|member| member.record.id.clone()) else {
            return false;
        };
        self.members.remove(&id);
        true
    }

    /// Suspects whose time is up.
    pub(crate) fn overdue_suspects(&self, now: Time) -> Vec<&Member> {
        let overdue = self.iter().filter(|member| {
            member.record.state == State::Suspect && now.has_reached(member.deadline)
        });
        overdue.collect()
    }

    /// Forgets the dead whose time is up.
    pub(crate) fn forget(&mut self, now: Time) {
        self.members
            .retain(|_, m| m.record.state.is_present() || !now.has_reached(m.deadline));
    }

    /// Whether a present member is reached there.
    pub(crate) fn has_present_at(&self, address: SocketAddr) -> bool {
        let mut present = self.iter().filter(|m| m.record.state.is_present());
        present.any(|member| member.record.address == address)
    }
}
