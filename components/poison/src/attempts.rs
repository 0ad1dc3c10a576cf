//! Attempts in flight at each upstream when it crashes.
//!
//! A crash is noticed late and piecemeal: each connection breaks by itself, the next one is
//! refused, other daemons report it. An attempt that was given up a moment before a crash may have
//! caused it as well, since engines start to process a draft before its connection closes. So ended
//! attempts are kept for a while.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use types::prelude::*;

use crate::content::{Content, Contents};

/// Ended attempts are kept this long, since an upstream's entry leaves the list some four seconds
/// after its crash.
const ENDED_KEPT: Span = Span::from_secs(10);
/// Attempts tracked per upstream at most, which is more than one processes side by side.
const MAX_ATTEMPTS: usize = 256;
/// An attempt that was given up longer than this before its upstream's crash did not cause it: an
/// upstream stops processing it within some hundred ms of the connection's close.
const GIVEN_UP_WINDOW: Span = Span::from_millis(500);
/// The same bound where the time of the crash is unknown: a crashed upstream's entry leaves the
/// list within this time.
const ENTRY_REMOVAL_WINDOW: Span = Span::from_secs(5);
/// An upstream from which anything is read longer than this after an attempt broke off did not
/// crash then.
const BROKEN_WINDOW: Span = Span::from_millis(50);

/// Identifies an attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId(u64);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream answered completely.
    Answered,
    /// The upstream reported a failure. It may not have processed the request at all, so this is no
    /// evidence either way.
    Failed,
    /// The connection to the upstream broke.
    Broken,
    /// This daemon gave it up: a dropped draft, a silent upstream, a caller that left.
    GivenUp,
    /// The upstream did not start to process it.
    NotStarted,
}

/// An attempt that was in flight at an upstream when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedAttempt {
    /// The contents of its request.
    pub contents: Contents,
    /// The customer that sent the request.
    pub customer: Option<Arc<str>>,
    /// Whether the upstream had shown that it started to process it, by the first part of an
    /// answer.
    pub had_started: bool,
    /// How long it had been processed, counted from that sign, or from its sending if none came.
    pub ran: Span,
}

#[derive(Debug, Clone)]
struct Attempt {
    id: AttemptId,
    contents: Contents,
    customer: Option<Arc<str>>,
    sent_at: Time,
    had_started: bool,
    /// When it was sent, or the last sign that the upstream started to process it.
    began_at: Time,
    /// How and when it ended, if its connection broke or it was given up.
    ended: Option<(AttemptEnd, Time)>,
}

impl Attempt {
    /// Describes the attempt for its upstream's crash, if it was in flight then.
    fn crashed_under(&self, crash: &KnownCrash) -> Option<CrashedAttempt> {
        let (how, ended_at) = self.ended?;
        let is_given_up = how == AttemptEnd::GivenUp;
        let slack = match is_given_up {
            true => GIVEN_UP_WINDOW,
            false => BROKEN_WINDOW,
        };
        let latest_related = ended_at + slack;
        let has_survived = crash.heard_at > latest_related;
        let has_crashed_later = match crash.broke_at {
            Some(broke_at) => broke_at > latest_related,
            None => crash.known_at > ended_at + ENTRY_REMOVAL_WINDOW,
        };
        if is_given_up && has_crashed_later || has_survived {
            return None;
        }
        let stopped_at = match is_given_up {
            true => crash
                .broke_at
                .unwrap_or(latest_related.min(crash.known_at))
                .max(ended_at),
            false => ended_at,
        };
        Some(CrashedAttempt {
            contents: self.contents.clone(),
            customer: self.customer.clone(),
            had_started: self.had_started,
            ran: stopped_at.since(self.began_at),
        })
    }
}

/// What is known of an upstream's crash.
#[derive(Debug, Clone, Copy)]
struct KnownCrash {
    known_at: Time,
    /// When anything was last read from the upstream.
    heard_at: Time,
    /// When the first of the attempts broke that the upstream did not survive.
    broke_at: Option<Time>,
}

#[derive(Debug, Default)]
struct UpstreamAttempts {
    attempts: Vec<Attempt>,
    crash: Option<KnownCrash>,
}

/// Attempts in flight or recently ended at each upstream. `U` identifies an instance of an
/// upstream's program.
#[derive(Debug)]
pub struct Attempts<U> {
    by_upstream: HashMap<U, UpstreamAttempts>,
    next_id: u64,
}

impl<U> Default for Attempts<U> {
    fn default() -> Self {
        Self {
            by_upstream: HashMap::new(),
            next_id: 0,
        }
    }
}

impl<U: Copy + Eq + Hash> Attempts<U> {
    /// Records that a customer's request is sent to an upstream.
    pub fn sent(
        &mut self,
        now: Time,
        upstream: U,
        contents: impl Into<Contents>,
        customer: Option<Arc<str>>,
    ) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let at_upstream = self.by_upstream.entry(upstream).or_default();
        if at_upstream.attempts.len() >= MAX_ATTEMPTS {
            at_upstream.attempts.remove(0);
        }
        at_upstream.attempts.push(Attempt {
            id,
            contents: contents.into(),
            customer,
            sent_at: now,
            had_started: false,
            began_at: now,
            ended: None,
        });
        id
    }

    /// Records a sign that the upstream started to process an attempt.
    pub fn attempt_started(&mut self, now: Time, upstream: U, id: AttemptId) {
        self.forget_crash_if_answering(upstream, id);
        if let Some(attempt) = self.attempt_mut(upstream, id) {
            attempt.had_started = true;
            attempt.began_at = now;
        }
    }

    /// Forgets an upstream's crash if it answers an attempt that was sent after it: the program was
    /// restarted under the same name.
    fn forget_crash_if_answering(&mut self, upstream: U, id: AttemptId) {
        let Some(at_upstream) = self.by_upstream.get_mut(&upstream) else {
            return;
        };
        let attempt = at_upstream.attempts.iter().find(|attempt| attempt.id == id);
        let sent_at = attempt.map(|attempt| attempt.sent_at);
        if at_upstream
            .crash
            .is_some_and(|crash| sent_at > Some(crash.known_at))
        {
            at_upstream.crash = None;
        }
    }

    /// Records that an attempt ended. Returns it for attribution if its upstream is known to have
    /// crashed.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        upstream: U,
        id: AttemptId,
        end: AttemptEnd,
    ) -> Option<CrashedAttempt> {
        if end == AttemptEnd::Answered {
            self.forget_crash_if_answering(upstream, id);
        }
        let at_upstream = self.by_upstream.get_mut(&upstream)?;
        let place = at_upstream
            .attempts
            .iter()
            .position(|attempt| attempt.id == id)?;
        match (end, at_upstream.crash) {
            (AttemptEnd::Answered | AttemptEnd::Failed | AttemptEnd::NotStarted, _) => {
                at_upstream.attempts.remove(place);
                None
            }
            (_, None) => {
                at_upstream.attempts[place].ended = Some((end, now));
                None
            }
            (_, Some(crash)) => {
                let mut attempt = at_upstream.attempts.remove(place);
                attempt.ended = Some((end, now));
                attempt.crashed_under(&crash)
            }
        }
    }

    /// Upstreams at which one of these contents was given up and that are not known to have
    /// crashed.
    #[must_use]
    pub fn given_up(&self, contents: &BTreeSet<Content>) -> Vec<U> {
        let is_match = |attempt: &Attempt| {
            let is_given_up = attempt
                .ended
                .is_some_and(|(how, _)| how == AttemptEnd::GivenUp);
            is_given_up && attempt.contents.iter().any(|own| contents.contains(&own))
        };
        let not_crashed = self
            .by_upstream
            .iter()
            .filter(|(_, at_upstream)| at_upstream.crash.is_none());
        let given_up =
            not_crashed.filter(|(_, at_upstream)| at_upstream.attempts.iter().any(is_match));
        given_up.map(|(upstream, _)| *upstream).collect()
    }

    /// Records the crash of an upstream from which anything was last read at `heard_at`. Returns
    /// the ended attempts that were in flight then; those whose connections have not broken yet are
    /// returned by [`Self::attempt_ended`]. Returns nothing if the crash was known before.
    pub fn upstream_crashed(
        &mut self,
        now: Time,
        upstream: U,
        heard_at: Time,
    ) -> Option<Vec<CrashedAttempt>> {
        let at_upstream = self.by_upstream.entry(upstream).or_default();
        if at_upstream.crash.is_some() {
            return None;
        }
        let broken = at_upstream
            .attempts
            .iter()
            .filter_map(|attempt| match attempt.ended {
                Some((AttemptEnd::Broken, at)) if heard_at <= at + BROKEN_WINDOW => Some(at),
                _ => None,
            });
        let crash = KnownCrash {
            known_at: now,
            heard_at,
            broke_at: broken.min(),
        };
        at_upstream.crash = Some(crash);
        let ended = at_upstream
            .attempts
            .extract_if(.., |attempt| attempt.ended.is_some());
        Some(
            ended
                .filter_map(|attempt| attempt.crashed_under(&crash))
                .collect(),
        )
    }

    /// Whether an upstream is known to have crashed.
    #[must_use]
    pub fn has_crashed(&self, upstream: U) -> bool {
        let at_upstream = self.by_upstream.get(&upstream);
        at_upstream.is_some_and(|at_upstream| at_upstream.crash.is_some())
    }

    /// Whether an attempt broke at an upstream that is not known to have crashed.
    #[must_use]
    pub fn has_broken(&self, upstream: U) -> bool {
        self.has_ended_as(upstream, AttemptEnd::Broken)
    }

    /// Whether an attempt was given up at an upstream that is not known to have crashed.
    #[must_use]
    pub fn has_given_up(&self, upstream: U) -> bool {
        self.has_ended_as(upstream, AttemptEnd::GivenUp)
    }

    fn has_ended_as(&self, upstream: U, end: AttemptEnd) -> bool {
        let at_upstream = self.by_upstream.get(&upstream);
        let at_upstream = at_upstream.filter(|at_upstream| at_upstream.crash.is_none());
        let ended_so = |attempt: &Attempt| attempt.ended.is_some_and(|(how, _)| how == end);
        at_upstream.is_some_and(|at_upstream| at_upstream.attempts.iter().any(ended_so))
    }

    /// Drops attempts and crashes that are too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.by_upstream.retain(|_, at_upstream| {
            let is_recent = |attempt: &mut Attempt| {
                attempt
                    .ended
                    .is_none_or(|(_, at)| now.since(at) < ENDED_KEPT)
            };
            at_upstream.attempts.retain_mut(is_recent);
            let known_at = at_upstream.crash.map(|crash| crash.known_at);
            !at_upstream.attempts.is_empty()
                || known_at.is_some_and(|at| now.since(at) < ENDED_KEPT)
        });
    }

    /// Number of upstreams with an attempt or a crash on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_upstream.len()
    }

    /// Whether no upstream has an attempt or a crash on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    fn attempt_mut(&mut self, upstream: U, id: AttemptId) -> Option<&mut Attempt> {
        let at_upstream = self.by_upstream.get_mut(&upstream)?;
        at_upstream
            .attempts
            .iter_mut()
            .find(|attempt| attempt.id == id)
    }
}
