//! Whether this daemon knows the fleet's current revision.
//!
//! A daemon that has just started, was paused or was partitioned off cannot distinguish a store
//! restored from an old copy from an up-to-date one. It therefore decides edits and queries only
//! with recent replies from peers, and after many new members appeared at once, also with replies
//! from these. Only replies from established peers count, which have been running for a while and
//! have recent replies themselves: a peer that has just started or resumed after a pause knows no
//! more than the daemon that asks.

use std::collections::BTreeSet;

use types::prelude::*;

use crate::edit::EditContext;
use crate::sync::{Effect, Member, Message, Sync, send};

/// Recent replies that a daemon needs to be in contact with the fleet.
const REQUIRED_REPLIES: usize = 2;

/// How long a reply counts after the request was sent.
const REPLY_LIFETIME: Span = Span::from_secs(5);

/// Least time after its start until a daemon's replies count; by then it has received the
/// fleet's revision.
const MIN_UPTIME: Span = Span::from_secs(3);

/// Largest number of new members asked at once.
const MAX_NEW_MEMBERS: usize = 64;

/// Longest wait until half of the new members asked have replied.
const NEW_MEMBERS_TIMEOUT: Span = Span::from_secs(3);

/// Send times of the requests that were answered last.
#[derive(Debug, Default)]
struct Replies([Option<Time>; REQUIRED_REPLIES]);

impl Replies {
    fn record(&mut self, asked_at: Time) {
        self.0.rotate_left(1);
        self.0[REQUIRED_REPLIES - 1] = Some(asked_at);
    }

    fn are_sufficient(&self, now: Time, others: usize) -> bool {
        let fresh = self
            .0
            .iter()
            .flatten()
            .filter(|at| now.since(**at) <= REPLY_LIFETIME);
        fresh.count() >= others.min(REQUIRED_REPLIES)
    }
}

/// Recent replies from peers.
#[derive(Debug, Default)]
pub(super) struct Contact {
    started: Option<Time>,
    /// Replies from any peer.
    replies: Replies,
    /// Replies from established peers only.
    established: Replies,
    /// New members that were asked and have not replied.
    new_members: BTreeSet<DaemonId>,
    /// Largest number of `new_members` without a reply at which edits are decided.
    max_missing: usize,
    /// When the daemon stops waiting for replies of `new_members`.
    new_members_deadline: Time,
}

impl Contact {
    pub(super) fn note_reply(
        &mut self,
        now: Time,
        from: &DaemonId,
        asked_at: Time,
        is_established: bool,
    ) {
        self.new_members.remove(from);
        if asked_at > now {
            return;
        }
        self.replies.record(asked_at);
        if is_established {
            self.established.record(asked_at);
        }
    }

    pub(super) fn start(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    fn is_in_contact(&self, now: Time, others: usize) -> bool {
        let new_members_heard = self.new_members.len() <= self.max_missing
            || now.has_reached(self.new_members_deadline);
        new_members_heard && self.established.are_sufficient(now, others)
    }

    fn is_established(&self, now: Time, others: usize) -> bool {
        let is_past_start = self.started.is_some_and(|at| now.since(at) >= MIN_UPTIME);
        is_past_start && self.replies.are_sufficient(now, others)
    }
}

impl Sync {
    /// Whether this daemon's replies count for others as those of an established peer.
    pub(super) fn is_established(&self, now: Time) -> bool {
        let others = self.members.len().saturating_sub(1);
        self.contact.is_established(now, others)
    }

    /// Returns the state by which edits and queries of this daemon are decided now.
    #[must_use]
    pub fn edit_context(&self, now: Time) -> EditContext<'_> {
        let others = self.members.len().saturating_sub(1);
        let is_in_contact = self.contact.is_in_contact(now, others);
        EditContext {
            catalogue: &self.catalogue,
            fleet_revision: is_in_contact.then(|| self.fleet_revision()),
        }
    }

    /// Asks members that were absent before for their summaries: a region that rejoins after
    /// a partition may hold later revisions than every daemon heard so far.
    pub(super) fn ask_new_members(
        &mut self,
        now: Time,
        members: &[Member],
        effects: &mut Vec<Effect>,
    ) {
        let known: BTreeSet<&DaemonId> = self.members.iter().map(|member| &member.id).collect();
        let new_members = members.iter().map(|member| &member.id);
        let new_members = new_members.filter(|id| !known.contains(id) && **id != self.cfg.me);
        let new_members: Vec<DaemonId> = new_members.take(MAX_NEW_MEMBERS).cloned().collect();
        if new_members.is_empty() {
            return;
        }
        let (summary, asked_at) = (self.summary(), now);
        for peer in &new_members {
            effects.push(send(peer, Message::SummaryRequest { summary, asked_at }));
        }
        self.contact.max_missing = new_members.len() / 2;
        self.contact.new_members = new_members.into_iter().collect();
        self.contact.new_members_deadline = now + NEW_MEMBERS_TIMEOUT;
    }
}
