//! What was under way at each upstream when it ended.
//!
//! An upstream's end is seen late and in pieces: each connection to it breaks by itself, the
//! next one is refused, other daemons tell. A run that was given up a moment before its upstream's
//! end may have ended it as well: engines begin to run a draft before its connection closes. So
//! runs are remembered for a while after they are over.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use types::prelude::*;

use crate::content::Content;

/// Runs that are over are remembered for so long: an upstream's entry in the list goes some four
/// seconds after its end.
const REMEMBERED: Span = Span::from_secs(10);
/// Runs remembered of one upstream at most: more than one runs side by side.
const MAX_RUNS: usize = 256;
/// A run that was given up so long before its upstream's end has nothing to do with it: an
/// upstream stops within some hundred ms of the connection's close.
const GIVEN_UP_WITHIN: Span = Span::from_millis(500);
/// The same where the end's moment is not known: the upstream's entry goes within this.
const ENTRY_GOES_WITHIN: Span = Span::from_secs(5);
/// An upstream of which anything is read so long after a run broke there did not end with it.
const BROKEN_WITHIN: Span = Span::from_millis(50);

/// Names a run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run(u64);

/// How a run was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered to the end.
    Whole,
    /// The upstream told a failure: it may not have run it at all, so that it says nothing.
    Failed,
    /// The upstream broke off.
    Broken,
    /// It was given up here: dropped draft, silent upstream, caller that left.
    GivenUp,
    /// It did not begin.
    NotRun,
}

/// A content that was under way at an upstream when that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Under {
    /// Which.
    pub content: Content,
    /// Whose request it was.
    pub customer: Option<Arc<str>>,
    /// Whether there was a sign that it ran: the first of its answer.
    pub had_begun: bool,
    /// How long it had run, from that sign, or from its sending if none came.
    pub ran: Span,
}

#[derive(Debug, Clone)]
struct Held {
    run: Run,
    content: Content,
    customer: Option<Arc<str>>,
    sent_at: Time,
    had_begun: bool,
    /// When it was sent, or the last sign that it begins.
    began_at: Time,
    /// Broken or given up, and when.
    over: Option<(RunEnd, Time)>,
}

impl Held {
    /// As under the end of its upstream, if it was.
    fn under(&self, end: &End) -> Option<Under> {
        let (how, over_at) = self.over?;
        let is_given_up = how == RunEnd::GivenUp;
        let slack = match is_given_up {
            true => GIVEN_UP_WITHIN,
            false => BROKEN_WITHIN,
        };
        let latest = over_at + slack;
        let has_outlived_it = end.heard_at > latest;
        let has_ended_later = match end.broke_at {
            Some(broke_at) => broke_at > latest,
            None => end.known_at > over_at + ENTRY_GOES_WITHIN,
        };
        if is_given_up && has_ended_later || has_outlived_it {
            return None;
        }
        let ended_at = match is_given_up {
            true => end
                .broke_at
                .unwrap_or(latest.min(end.known_at))
                .max(over_at),
            false => over_at,
        };
        Some(Under {
            content: self.content,
            customer: self.customer.clone(),
            had_begun: self.had_begun,
            ran: ended_at.since(self.began_at),
        })
    }
}

/// What is known of an upstream's end.
#[derive(Debug, Clone, Copy)]
struct End {
    known_at: Time,
    /// When anything was last read from it.
    heard_at: Time,
    /// When a run first broke that it did not outlive.
    broke_at: Option<Time>,
}

#[derive(Debug, Default)]
struct AtUpstream {
    runs: Vec<Held>,
    end: Option<End>,
}

/// What is or was under way at each upstream, whatever `U` names a run of one's program.
#[derive(Debug)]
pub struct Runs<U> {
    by_upstream: HashMap<U, AtUpstream>,
    next: u64,
}

impl<U> Default for Runs<U> {
    fn default() -> Self {
        Self {
            by_upstream: HashMap::new(),
            next: 0,
        }
    }
}

impl<U: Copy + Eq + Hash> Runs<U> {
    /// Notes that a customer's content is sent to an upstream.
    pub fn sent(
        &mut self,
        now: Time,
        upstream: U,
        content: Content,
        customer: Option<Arc<str>>,
    ) -> Run {
        let run = Run(self.next);
        self.next += 1;
        let held = self.by_upstream.entry(upstream).or_default();
        if held.runs.len() >= MAX_RUNS {
            held.runs.remove(0);
        }
        held.runs.push(Held {
            run,
            content,
            customer,
            sent_at: now,
            had_begun: false,
            began_at: now,
            over: None,
        });
        run
    }

    /// Notes a later sign that the upstream began to run it.
    pub fn began(&mut self, now: Time, upstream: U, run: Run) {
        self.answers(upstream, run);
        if let Some(held) = self.held(upstream, run) {
            held.had_begun = true;
            held.began_at = now;
        }
    }

    /// Notes that an upstream answers what was sent to it after its end: it is another start of the
    /// program, under the same name.
    fn answers(&mut self, upstream: U, run: Run) {
        let Some(at_upstream) = self.by_upstream.get_mut(&upstream) else {
            return;
        };
        let held = at_upstream.runs.iter().find(|held| held.run == run);
        let sent_at = held.map(|held| held.sent_at);
        if at_upstream
            .end
            .is_some_and(|end| sent_at > Some(end.known_at))
        {
            at_upstream.end = None;
        }
    }

    /// Notes that a run is over. Says what it was under if its upstream is known to have ended.
    pub fn over(&mut self, now: Time, upstream: U, run: Run, end: RunEnd) -> Option<Under> {
        if end == RunEnd::Whole {
            self.answers(upstream, run);
        }
        let at_upstream = self.by_upstream.get_mut(&upstream)?;
        let place = at_upstream.runs.iter().position(|held| held.run == run)?;
        match (end, at_upstream.end) {
            (RunEnd::Whole | RunEnd::Failed | RunEnd::NotRun, _) => {
                at_upstream.runs.remove(place);
                None
            }
            (_, None) => {
                at_upstream.runs[place].over = Some((end, now));
                None
            }
            (_, Some(known)) => {
                let mut held = at_upstream.runs.remove(place);
                held.over = Some((end, now));
                held.under(&known)
            }
        }
    }

    /// Upstreams at which one of these contents was given up, and of which it is not known that
    /// they ended.
    #[must_use]
    pub fn given_up(&self, contents: &BTreeSet<Content>) -> Vec<U> {
        let is_one = |held: &Held| {
            let is_given_up = held.over.is_some_and(|(how, _)| how == RunEnd::GivenUp);
            is_given_up && contents.contains(&held.content)
        };
        let unknown = self
            .by_upstream
            .iter()
            .filter(|(_, held)| held.end.is_none());
        let given_up = unknown.filter(|(_, held)| held.runs.iter().any(is_one));
        given_up.map(|(upstream, _)| *upstream).collect()
    }

    /// Notes that an upstream ended of which something was last read at `heard_at`, and says what
    /// had begun there and is known to have stopped. Those whose connections have not shown it yet
    /// follow by [`Self::over`]. Nothing if the end was known before.
    pub fn ended(&mut self, now: Time, upstream: U, heard_at: Time) -> Option<Vec<Under>> {
        let at_upstream = self.by_upstream.entry(upstream).or_default();
        if at_upstream.end.is_some() {
            return None;
        }
        let broken = at_upstream.runs.iter().filter_map(|held| match held.over {
            Some((RunEnd::Broken, at)) if heard_at <= at + BROKEN_WITHIN => Some(at),
            _ => None,
        });
        let end = End {
            known_at: now,
            heard_at,
            broke_at: broken.min(),
        };
        at_upstream.end = Some(end);
        let over = at_upstream.runs.extract_if(.., |held| held.over.is_some());
        Some(over.filter_map(|held| held.under(&end)).collect())
    }

    /// Whether an upstream is known to have ended.
    #[must_use]
    pub fn has_ended(&self, upstream: U) -> bool {
        let held = self.by_upstream.get(&upstream);
        held.is_some_and(|at_upstream| at_upstream.end.is_some())
    }

    /// Whether a run broke at an upstream of which it is not known that it ended.
    #[must_use]
    pub fn has_broken(&self, upstream: U) -> bool {
        self.is_over_at(upstream, RunEnd::Broken)
    }

    /// Whether a run was given up at an upstream of which it is not known that it ended.
    #[must_use]
    pub fn has_given_up(&self, upstream: U) -> bool {
        self.is_over_at(upstream, RunEnd::GivenUp)
    }

    fn is_over_at(&self, upstream: U, end: RunEnd) -> bool {
        let held = self.by_upstream.get(&upstream);
        let held = held.filter(|at_upstream| at_upstream.end.is_none());
        let is_so = |held: &Held| held.over.is_some_and(|(how, _)| how == end);
        held.is_some_and(|at_upstream| at_upstream.runs.iter().any(is_so))
    }

    /// Forgets what was over long ago.
    pub fn tidy(&mut self, now: Time) {
        self.by_upstream.retain(|_, at_upstream| {
            let is_young =
                |held: &mut Held| held.over.is_none_or(|(_, at)| now.since(at) < REMEMBERED);
            at_upstream.runs.retain_mut(is_young);
            let known_at = at_upstream.end.map(|end| end.known_at);
            !at_upstream.runs.is_empty() || known_at.is_some_and(|at| now.since(at) < REMEMBERED)
        });
    }

    /// Upstreams that something is remembered of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_upstream.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    fn held(&mut self, upstream: U, run: Run) -> Option<&mut Held> {
        let at_upstream = self.by_upstream.get_mut(&upstream)?;
        at_upstream.runs.iter_mut().find(|held| held.run == run)
    }
}
