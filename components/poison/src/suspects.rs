//! What is held against contents, by all daemons together, and which of them are barred.
//!
//! Each daemon adds up all words, so that an end each at three daemons is three, and judges by
//! itself: the same words lead to the same bars. A bar lapses; then one daemon at a time sends
//! the content once more, and its fate decides.

mod answered;
mod attribution;
mod crashes;
mod evidence;
mod outbox;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::content::Content;
use crate::policy::PoisonPolicy;
use crate::runs::Under;
use crate::updates::{Fate, UpstreamRun, Word, Words};
use answered::Whole;
use crashes::Ends;
use evidence::{End, Suspect};
use outbox::News;

/// Contents held at most. A rack that is lost takes hundreds with it at one moment; those under
/// which one upstream ended go first.
const MAX_SUSPECTS: usize = 1_024;
/// A content that had run for longer did not end its upstream: one that does, does so when
/// the upstream begins to run it.
const SOON: Span = Span::from_secs(3);
/// Ends are remembered for this long after they came, or after their content's bar lapsed.
const REMEMBERED: Span = Span::from_secs(600);
/// Words of before a content was cleared may come so much later.
const FORGIVEN_FOR: Span = Span::from_secs(60);
/// Contents of which this is remembered.
const MAX_FORGIVEN: usize = 1_024;
/// A daemon that tries a content has its answer within.
const TRIED_FOR: Span = Span::from_secs(10);
/// When a bar lapses, daemons may try one after the other, each so long after the one before,
/// so that the first one's word is everywhere by then,
const TRY_EACH: Span = Span::from_millis(500);
/// and all of them within this.
const TRY_ALL: Span = Span::from_secs(60);

/// Whether a content may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Open,
    /// Once, to see whether its bar still holds.
    Trial,
    /// Not before this moment.
    Barred {
        /// When it may be tried again.
        until: Time,
    },
}

/// A content that is barred, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Barred {
    /// Which.
    pub content: Content,
    /// Whose requests they are.
    pub customer: Option<Arc<str>>,
    /// Since when.
    pub since: Time,
    /// When it is tried again.
    pub until: Time,
    /// Upstreams that ended under it, and how long it had run there.
    pub ends: Vec<(UpstreamRun, Span)>,
}

/// What changed when words were added up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A content is barred.
    Barred(Barred),
    /// A content is barred no more: answered whole, lifted, or other contents explain its ends.
    Cleared(Content),
}

/// What is held against contents.
#[derive(Debug, Default)]
pub struct Suspects {
    policy: PoisonPolicy,
    /// Tells this daemon's turns to try from the others'.
    me: u64,
    daemons: usize,
    suspects: HashMap<Content, Suspect>,
    ends: Ends,
    whole: Whole,
    /// Up to when ends under a content do not count: it was answered whole, or lifted.
    forgiven: HashMap<Content, Time>,
    news: News,
    changes: Vec<Change>,
}

impl Suspects {
    /// Of a daemon of this name.
    #[must_use]
    pub fn new(policy: PoisonPolicy, me: &str) -> Self {
        Self {
            policy,
            me: xxh3_64(me.as_bytes()),
            daemons: 1,
            ..Self::default()
        }
    }

    /// Sets how many daemons and upstreams there are.
    pub fn set_fleet(&mut self, daemons: usize, upstreams: usize) {
        self.daemons = daemons;
        self.ends.upstreams = upstreams;
    }

    /// Whether a content may be sent.
    #[must_use]
    pub fn admission(&self, now: Time, content: Content) -> Admission {
        let suspect = self.suspects.get(&content);
        let Some(suspect) = suspect.filter(|suspect| suspect.barred_since.is_some()) else {
            return Admission::Open;
        };
        let lapses_at = suspect.lapses_at(&self.policy);
        let tried_until = suspect.tried_at.map(|at| at + TRIED_FOR);
        let until = lapses_at.max(tried_until.unwrap_or_default());
        if now < until {
            return Admission::Barred { until };
        }
        match now.has_reached(until + self.turn(content)) {
            true => Admission::Trial,
            false => Admission::Barred {
                until: until + self.turn(content),
            },
        }
    }

    /// How long after a bar's lapse this daemon may try the content.
    fn turn(&self, content: Content) -> Span {
        let all = TRY_EACH.times(self.daemons.saturating_sub(1) as u64);
        let all = all.min(TRY_ALL).as_micros();
        let drawn = xxh3_64(content.to_string().as_bytes()) ^ self.me;
        Span(drawn % (all + 1))
    }

    /// Whether upstreams ended under a content so often that it should run where few others do.
    #[must_use]
    pub fn is_suspect(&self, content: Content) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.count() + 1 >= self.policy.least_ends as usize)
    }

    /// Whether an upstream ended under a content.
    #[must_use]
    pub fn is_held(&self, content: Content) -> bool {
        self.suspects.contains_key(&content)
    }

    /// Notes that this daemon sends a content to see whether its bar still holds.
    pub fn tried(&mut self, now: Time, content: Content) {
        self.take_one(now, content, Fate::Tried, now);
    }

    /// Notes what an upstream ended under at this daemon.
    pub fn ended(&mut self, now: Time, upstream: &UpstreamRun, under: &[Under]) {
        self.ends.note(upstream, now);
        for under in under {
            let ran_ms = u32::try_from(under.ran.as_millis()).unwrap_or(u32::MAX);
            let fate = Fate::Ended {
                upstream: upstream.clone(),
                customer: under.customer.clone(),
                had_begun: under.had_begun,
                ran_ms,
            };
            self.take_one(now, under.content, fate, now);
        }
        self.judge(now);
    }

    /// Notes that a content was answered whole here.
    pub fn whole(&mut self, now: Time, content: Content) {
        self.whole.note(now, content);
        if self.suspects.contains_key(&content) {
            self.take_one(now, content, Fate::Whole, now);
            self.judge(now);
        }
    }

    /// Takes a bar as it stands in the store: the upstreams that ended under a content, and how long
    /// it had run there. When they ended is not known any more; it counts from now.
    ///
    /// Guards against a daemon that starts and finds too little in this to prove it: it would
    /// take the bar for over, delete it, and so end it everywhere.
    pub fn restore(
        &mut self,
        now: Time,
        content: Content,
        customer: Option<&Arc<str>>,
        ends: impl IntoIterator<Item = (UpstreamRun, Span)>,
    ) {
        let held = self.suspects.get(&content);
        if held.is_some_and(|suspect| suspect.barred_since.is_some()) {
            return;
        }
        for (upstream, ran) in ends {
            let end = End {
                had_begun: true,
                ran,
                at: now,
            };
            self.add_end(content, customer, &upstream, end);
        }
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.is_told = true;
        }
        self.judge(now);
    }

    /// Whether an upstream ended under a content that is barred.
    #[must_use]
    pub fn explains(&self, upstream: &UpstreamRun) -> bool {
        let mut barred = self.suspects.values().filter(|s| s.barred_since.is_some());
        barred.any(|suspect| suspect.ends.contains_key(upstream))
    }

    /// Whether contents are barred at all.
    #[must_use]
    pub fn bars(&self) -> bool {
        self.policy.bars
    }

    /// Lifts a content's bar on an operator's word; whether there was one.
    pub fn lift(&mut self, now: Time, content: Content) -> bool {
        let is_held = self.suspects.contains_key(&content);
        if is_held {
            self.take_one(now, content, Fate::Lifted, now);
            self.judge(now);
        }
        is_held
    }

    /// Takes other daemons' words. Returns upstreams of which they tell that they ended.
    pub fn take(&mut self, now: Time, words: Words) -> Vec<UpstreamRun> {
        let mut ended = BTreeSet::new();
        for Word {
            content,
            fate,
            age_ms,
        } in words.0
        {
            let at = now - Span::from_millis(u64::from(age_ms));
            if let Fate::Ended { upstream, .. } = &fate {
                self.ends.note(upstream, at);
                ended.insert(upstream.clone());
            }
            if matches!(fate, Fate::Ended { .. })
                && let Some(cleared_at) = self.cleared(&content, at)
            {
                // Who told this has not heard of it.
                self.tell(now, content, Fate::Whole, cleared_at);
                continue;
            }
            self.take_one(now, content, fate, at);
        }
        self.judge(now);
        ended.into_iter().collect()
    }

    /// Adds one word up; what is news is told on.
    fn take_one(&mut self, now: Time, content: Content, fate: Fate, at: Time) {
        if now.since(at) > REMEMBERED {
            return;
        }
        let is_news = match &fate {
            Fate::Ended {
                upstream,
                customer,
                had_begun,
                ran_ms,
            } => {
                let end = End {
                    had_begun: *had_begun,
                    ran: Span::from_millis(u64::from(*ran_ms)),
                    at,
                };
                self.add_end(content, customer.as_ref(), upstream, end)
            }
            Fate::Whole | Fate::Lifted => self.forgive(content, at),
            Fate::Tried => {
                let suspect = self.suspects.get_mut(&content);
                suspect.is_some_and(|suspect| {
                    let is_later = suspect.tried_at.is_none_or(|held| held < at);
                    suspect.tried_at = suspect.tried_at.max(Some(at));
                    is_later
                })
            }
        };
        if is_news {
            self.tell(now, content, fate, at);
        }
    }

    fn add_end(
        &mut self,
        content: Content,
        customer: Option<&Arc<str>>,
        upstream: &UpstreamRun,
        end: End,
    ) -> bool {
        if end.ran > SOON || self.cleared(&content, end.at).is_some() {
            return false;
        }
        if !self.suspects.contains_key(&content) {
            self.make_room();
        }
        let suspect = self.suspects.entry(content).or_default();
        suspect.customer = customer.cloned();
        suspect.add(upstream.clone(), end)
    }

    /// Until when a content is cleared, if an end under it at this moment is.
    fn cleared(&self, content: &Content, at: Time) -> Option<Time> {
        let forgiven = self.forgiven.get(content).copied();
        let forgiven = forgiven.filter(|up_to| at <= *up_to);
        forgiven.or_else(|| self.whole.clears(content, at))
    }

    /// Drops what is held against a content up to a moment; whether there was anything.
    ///
    /// Guards against words of before that come later: they would bar it again.
    fn forgive(&mut self, content: Content, up_to: Time) -> bool {
        if self.forgiven.len() < MAX_FORGIVEN || self.forgiven.contains_key(&content) {
            let held = self.forgiven.entry(content).or_default();
            *held = up_to.max(*held);
        }
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return false;
        };
        let before = suspect.ends.len();
        suspect.ends.retain(|_, end| end.at > up_to);
        suspect.is_told = false;
        suspect.ends.len() < before
    }

    /// Drops half of those that least is held against, the oldest first, when there is no room.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.count(), suspect.last_at());
        let mut held = self
            .suspects
            .iter()
            .map(|(c, s)| (weight(s), *c))
            .collect::<Vec<_>>();
        held.sort();
        for (_, content) in held.iter().take(MAX_SUSPECTS / 2) {
            self.suspects.remove(content);
        }
    }

    fn tell(&mut self, now: Time, content: Content, fate: Fate, at: Time) {
        self.news.push(now, content, fate, at);
    }

    /// Words to be told to other daemons now.
    pub fn news(&mut self, now: Time) -> Words {
        let suspects = &self.suspects;
        let ends = |content: &Content| suspects.get(content).map_or(0, Suspect::count);
        self.news.take(now, ends)
    }

    /// What changed since the last time.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Everything that is barred.
    #[must_use]
    pub fn barred(&self) -> Vec<Barred> {
        let suspects = self.suspects.iter();
        let barred = suspects.filter_map(|(content, suspect)| suspect.bar(*content, &self.policy));
        barred.collect()
    }

    /// Forgets what is too old.
    pub fn tidy(&mut self, now: Time) {
        self.whole.forget(now);
        self.forgiven
            .retain(|_, up_to| now.since(*up_to) < FORGIVEN_FOR);
        self.ends.forget(now);
        let policy = self.policy;
        self.suspects
            .retain(|_, suspect| now.since(suspect.lapses_at(&policy)) < REMEMBERED);
    }

    /// Contents that something is held against.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is held against any content.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
