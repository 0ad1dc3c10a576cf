//! Whether this daemon knows how far the fleet is.
//!
//! A store restored from an old copy looks like any other to a daemon that was paused,
//! cut off or started just now. So edits and questions are decided only by a daemon
//! that has answers of others, and after it met many at once, of those too. Only such
//! answers count whose sender has been there for a while and is in touch itself: one that
//! has just started, or just goes on after a pause, knows no more than the asker.

use std::collections::BTreeSet;

use types::prelude::*;

use crate::edit::Known;
use crate::sync::{Effect, Member, Message, Sync, send};

/// Answers that count as being in touch, and for how long.
const ANSWERS: usize = 2;
const TOUCH: Span = Span::from_secs(5);

/// A daemon has heard how far the fleet is so long after its start.
const SETTLE: Span = Span::from_secs(3);

/// Newcomers asked at once, and the longest wait for half of them.
const MAX_NEWCOMERS: usize = 64;
const NEWCOMERS_PATIENCE: Span = Span::from_secs(3);

/// Moments of the latest questions that were answered.
#[derive(Debug, Default)]
struct Answers([Option<Time>; ANSWERS]);

impl Answers {
    fn note(&mut self, token: Time) {
        self.0.rotate_left(1);
        self.0[ANSWERS - 1] = Some(token);
    }

    fn suffice(&self, now: Time, others: usize) -> bool {
        let fresh = self
            .0
            .iter()
            .flatten()
            .filter(|at| now.since(**at) <= TOUCH);
        fresh.count() >= others.min(ANSWERS)
    }
}

/// Who answered lately.
#[derive(Debug, Default)]
pub(super) struct Touch {
    started: Option<Time>,
    /// Moments of the questions that were answered last.
    answers: Answers,
    /// The same, by those that are settled.
    settled: Answers,
    /// Newcomers that were asked and have not answered.
    newcomers: BTreeSet<DaemonId>,
    /// So many may be missing.
    enough: usize,
    until: Time,
}

impl Touch {
    pub(super) fn note_answer(
        &mut self,
        now: Time,
        from: &DaemonId,
        token: Time,
        is_settled: bool,
    ) {
        self.newcomers.remove(from);
        if token > now {
            return;
        }
        self.answers.note(token);
        if is_settled {
            self.settled.note(token);
        }
    }

    pub(super) fn begin(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    fn holds(&self, now: Time, others: usize) -> bool {
        let met = self.newcomers.len() <= self.enough || now.has_reached(self.until);
        met && self.settled.suffice(now, others)
    }

    fn is_settled(&self, now: Time, others: usize) -> bool {
        let is_old = self.started.is_some_and(|at| now.since(at) >= SETTLE);
        is_old && self.answers.suffice(now, others)
    }
}

impl Sync {
    /// Whether this daemon's answers count for others.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        let others = self.members.len().saturating_sub(1);
        self.touch.is_settled(now, others)
    }

    /// What an edit or a question needs to know here and now.
    #[must_use]
    pub fn known(&self, now: Time) -> Known<'_> {
        let others = self.members.len().saturating_sub(1);
        let in_touch = self.touch.holds(now, others);
        Known {
            catalogue: &self.catalogue,
            fleet: in_touch.then(|| self.fleet_revision()),
        }
    }

    /// Asks members that were not there before: a region that was cut off and is back
    /// may know more than all that were heard until now.
    pub(super) fn meet(&mut self, now: Time, members: &[Member], effects: &mut Vec<Effect>) {
        let known: BTreeSet<&DaemonId> = self.members.iter().map(|member| &member.id).collect();
        let met = members.iter().map(|member| &member.id);
        let met = met.filter(|id| !known.contains(id) && **id != self.cfg.me);
        let met: Vec<DaemonId> = met.take(MAX_NEWCOMERS).cloned().collect();
        if met.is_empty() {
            return;
        }
        let (told, token) = (self.told(), now);
        for peer in &met {
            effects.push(send(peer, Message::Ask { told, token }));
        }
        self.touch.enough = met.len() / 2;
        self.touch.newcomers = met.into_iter().collect();
        self.touch.until = now + NEWCOMERS_PATIENCE;
    }
}
