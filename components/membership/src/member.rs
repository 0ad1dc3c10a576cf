//! Member table: what is known of each daemon, and which of two reports is newer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::message::MemberRecord;
use crate::origin::OriginId;

/// Maximum number of daemons in the table, including those that are gone.
pub(crate) const MAX_MEMBERS: usize = 2_048;

/// A suspect is probed directly by every daemon during this time before its suspicion expires.
const DIRECT_PROBE_WINDOW: Span = Span::from_millis(3_200);
/// Interval between these direct probes of a suspect.
const DIRECT_PROBE_INTERVAL: Span = Span::from_secs(1);

/// Version of a report about a member.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReportVersion {
    /// Increased by a restart.
    pub incarnation: Incarnation,
    /// Increased by the member itself when it learns that it is reported suspect or down.
    pub refutation: u32,
}

/// Reported state of a member. Of two reports with the same stamp, the later variant takes
/// precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Did not answer a probe.
    Suspect,
    /// Did not refute its suspicion in time.
    Down,
    /// Left voluntarily; a refutation of the same incarnation does not undo it.
    Left,
}

impl State {
    /// Whether the member counts as part of the fleet.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A member as known to this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Record that is sent to other daemons.
    pub record: MemberRecord,
    /// Time of the last message received directly from the member.
    pub heard_at: Option<Time>,
    /// Time of the last state change, or at which a suspicion was restarted.
    pub state_since: Time,
    /// Time at which a suspect is declared down, or at which a member that is gone is forgotten.
    pub deadline: Time,
    /// Time at which this daemon probes a suspect directly.
    pub direct_probe_at: Time,
}

impl Member {
    /// The member's name and incarnation.
    #[must_use]
    pub fn origin(&self) -> OriginId {
        OriginId {
            daemon: self.record.id.clone(),
            incarnation: self.record.stamp.incarnation,
        }
    }
}

/// Precedence of a report; of two reports the one with the higher value holds.
fn precedence(stamp: ReportVersion, state: State) -> (Incarnation, bool, u32, State) {
    let left = state == State::Left;
    (stamp.incarnation, left, stamp.refutation, state)
}

/// Effect of a report on the member table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// The report is not newer than the stored record.
    None,
    /// The member was absent and is now present, or it restarted.
    Up,
    /// The member was present and remains so; its refutation is newer.
    Refuted,
    /// The member is now suspected.
    Suspect,
    /// The member is down or left.
    Gone,
    /// The table has no room for the member.
    Full,
}

/// All other daemons known.
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

    /// Number of members that are alive or suspected.
    pub(crate) fn present(&self) -> usize {
        self.present
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members whose name sorts after `after`, in order.
    pub(crate) fn after(&self, after: Option<&DaemonId>) -> impl Iterator<Item = &Member> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let range = self.members.range::<DaemonId, _>((from, Unbounded));
        range.map(|(_, member)| member)
    }

    pub(crate) fn record_contact(&mut self, id: &DaemonId, now: Time) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard_at = Some(now);
        }
    }

    pub(crate) fn set_deadline(&mut self, id: &DaemonId, deadline: Time) {
        if let Some(member) = self.members.get_mut(id) {
            member.deadline = deadline;
        }
    }

    /// Starts or restarts the suspicion of a member.
    pub(crate) fn start_suspicion(&mut self, now: Time, id: &DaemonId, span: Span) {
        if let Some(member) = self.members.get_mut(id) {
            member.state_since = now;
            member.deadline = now + span;
            member.direct_probe_at = member.deadline - DIRECT_PROBE_WINDOW;
        }
    }

    /// Returns the suspects that are due a direct probe, and schedules the next one a second
    /// later.
    pub(crate) fn due_direct_probes(&mut self, now: Time) -> Vec<DaemonId> {
        let members = self.members.values_mut();
        let due = members
            .filter(|m| m.record.state == State::Suspect && now.has_reached(m.direct_probe_at));
        let due = due.map(|member| {
            member.direct_probe_at = now + DIRECT_PROBE_INTERVAL;
            member.record.id.clone()
        });
        due.collect()
    }

    /// Extends the deadlines of all suspicions.
    pub(crate) fn extend_suspicions(&mut self, by: Span) {
        let suspects = self.members.values_mut();
        for member in suspects.filter(|member| member.record.state == State::Suspect) {
            member.deadline = member.deadline + by;
            member.direct_probe_at = member.direct_probe_at + by;
        }
    }

    /// Applies a report if it is newer than the stored record.
    pub(crate) fn merge(&mut self, now: Time, record: &MemberRecord) -> Change {
        if !self.members.contains_key(&record.id) {
            return self.insert(now, record);
        }
        let Some(stored) = self.members.get_mut(&record.id) else {
            return Change::None;
        };
        let (old, new) = (&stored.record, record);
        if precedence(new.stamp, new.state) <= precedence(old.stamp, old.state) {
            return Change::None;
        }
        let restarted = new.stamp.incarnation != old.stamp.incarnation;
        let was_present = old.state.is_present();
        let change = match new.state {
            State::Alive | State::Suspect if restarted || !was_present => Change::Up,
            State::Alive => Change::Refuted,
            State::Suspect => Change::Suspect,
            State::Down | State::Left => Change::Gone,
        };
        stored.record = record.clone();
        stored.state_since = now;
        stored.deadline = Time::NEVER;
        stored.direct_probe_at = Time::NEVER;
        self.present -= usize::from(was_present);
        self.present += usize::from(record.state.is_present());
        change
    }

    /// Adds an unknown daemon. Daemons that are already gone are not added.
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
            state_since: now,
            deadline: Time::NEVER,
            direct_probe_at: Time::NEVER,
        };
        self.members.insert(record.id.clone(), member);
        self.present += 1;
        Change::Up
    }

    /// Evicts the member that has been gone longest; returns false if no member is gone.
    fn evict(&mut self) -> bool {
        let gone = self.iter().filter(|m| !m.record.state.is_present());
        let oldest = gone.min_by_key(|member| member.state_since);
        let Some(id) = oldest.map(|member| member.record.id.clone()) else {
            return false;
        };
        self.members.remove(&id);
        true
    }

    /// Suspects whose timeout has passed.
    pub(crate) fn overdue_suspects(&self, now: Time) -> Vec<&Member> {
        let overdue = self.iter().filter(|member| {
            member.record.state == State::Suspect && now.has_reached(member.deadline)
        });
        overdue.collect()
    }

    /// Removes members that are gone and whose retention time has passed.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.members
            .retain(|_, m| m.record.state.is_present() || !now.has_reached(m.deadline));
    }

    /// Whether a present member has this address.
    pub(crate) fn has_present_at(&self, address: SocketAddr) -> bool {
        let mut present = self.iter().filter(|m| m.record.state.is_present());
        present.any(|member| member.record.address == address)
    }
}
