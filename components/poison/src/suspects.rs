//! What is held against contents, by all daemons together, and which of them are barred.
//!
//! Each daemon adds up all words, so that an end each at three daemons is three, and judges by
//! itself: the same words lead to the same bars. A bar lapses; then one daemon at a time sends
//! the content once more, and its fate decides.

mod evidence;

use std::collections::{BTreeSet, HashMap, VecDeque};

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::content::Content;
use crate::policy::PoisonPolicy;
use crate::runs::Under;
use crate::word::{Fate, UpstreamRun, Word, Words};
use evidence::{End, Hazard, Suspect};

/// Contents held at most. A rack that is lost takes hundreds with it at one moment; those under
/// which one upstream ended go first.
const MAX_SUSPECTS: usize = 1_024;
/// A content that had run for longer did not end its upstream: one that does, does so when
/// the upstream begins to run it.
const SOON: Span = Span::from_secs(3);
/// Ends are remembered for this long after they came, or after their content's bar lapsed.
const REMEMBERED: Span = Span::from_secs(600);
/// Ends of upstreams remembered, for the rate at which they come,
const MAX_ENDS: usize = 4_096;
/// for longer than what is held against any content, so that the rate of its time stays as it was.
const ENDS_REMEMBERED: Span = Span::from_secs(3_600);
/// The rate of ends is taken over this long before a content's last.
const RATE_OVER: Span = Span::from_secs(60);
/// A rate is never taken for nothing: half an end more than were seen.
const UNSEEN_ENDS: f64 = 0.5;
/// What was answered whole so lately does not end upstreams. Guards against a request that
/// many callers send alike: a rack that is lost has it running at three upstreams at once.
const WHOLE_FOR: Span = Span::from_secs(5);
/// Contents answered whole of late that are remembered.
const MAX_WHOLE: usize = 4_096;
/// A daemon that tries a content has its answer within.
const TRIED_FOR: Span = Span::from_secs(10);
/// When a bar lapses, daemons may try one after the other, each so long after the one before,
/// so that the first one's word is everywhere by then,
const TRY_EACH: Span = Span::from_millis(500);
/// and all of them within this.
const TRY_ALL: Span = Span::from_secs(60);
/// Words that wait to be told.
const MAX_NEWS: usize = 256;
/// Words told at a time: some 60 bytes each, in one message.
const MAX_TOLD: usize = 64;

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

/// Contents that were answered whole of late.
#[derive(Debug, Default)]
struct Whole {
    order: VecDeque<(Content, Time)>,
    last: HashMap<Content, Time>,
}

impl Whole {
    fn note(&mut self, now: Time, content: Content) {
        self.forget(now);
        self.order.push_back((content, now));
        self.last.insert(content, now);
    }

    fn forget(&mut self, now: Time) {
        while let Some((content, at)) = self.order.front().copied() {
            if now.since(at) < WHOLE_FOR && self.order.len() < MAX_WHOLE {
                return;
            }
            self.order.pop_front();
            if self.last.get(&content) == Some(&at) {
                self.last.remove(&content);
            }
        }
    }

    /// Whether it was answered whole less than [`WHOLE_FOR`] before a moment, or since.
    fn clears(&self, content: &Content, at: Time) -> bool {
        let whole_at = self.last.get(content);
        whole_at.is_some_and(|whole_at| at.since(*whole_at) < WHOLE_FOR)
    }
}

/// Ends of upstreams, whatever ran there.
#[derive(Debug, Default)]
struct Ends {
    at: HashMap<UpstreamRun, Time>,
    upstreams: usize,
}

impl Ends {
    fn note(&mut self, upstream: &UpstreamRun, at: Time) {
        if self.at.len() < MAX_ENDS {
            self.at.entry(upstream.clone()).or_insert(at);
        }
    }
}

impl Hazard for Ends {
    fn rate(&self, from: Time, to: Time, explained: &BTreeSet<UpstreamRun>) -> f64 {
        let from = from.min(to - RATE_OVER);
        let over = (to.since(from)).max(RATE_OVER).as_secs_f64();
        let ends = self.at.iter();
        let ends = ends
            .filter(|(upstream, at)| **at >= from && **at <= to && !explained.contains(*upstream));
        let ends = ends.count() as f64 + UNSEEN_ENDS;
        ends / (self.upstreams.max(1) as f64 * over)
    }
}

/// What waits to be told to other daemons.
#[derive(Debug, Clone)]
struct News {
    content: Content,
    fate: Fate,
    at: Time,
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
    news: Vec<News>,
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
        let lapses_at = self.lapses_at(suspect);
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

    /// When a content's bar lapses.
    fn lapses_at(&self, suspect: &Suspect) -> Time {
        suspect.last_at() + self.policy.bar_for(suspect.ends.len())
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
        suspect.is_some_and(|suspect| suspect.ends.len() + 1 >= self.policy.least_ends as usize)
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
            if matches!(fate, Fate::Ended { .. }) && self.whole.clears(&content, at) {
                self.tell(content, Fate::Whole, now);
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
            Fate::Ended { upstream, ran_ms } => {
                let ran = Span::from_millis(u64::from(*ran_ms));
                self.add_end(content, upstream, End { ran, at })
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
            self.tell(content, fate, at);
        }
    }

    fn add_end(&mut self, content: Content, upstream: &UpstreamRun, end: End) -> bool {
        if end.ran > SOON || self.whole.clears(&content, end.at) {
            return false;
        }
        if !self.suspects.contains_key(&content) {
            self.make_room();
        }
        let suspect = self.suspects.entry(content).or_default();
        suspect.add(upstream.clone(), end)
    }

    /// Drops what is held against a content up to a moment; whether there was anything.
    fn forgive(&mut self, content: Content, up_to: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return false;
        };
        let before = suspect.ends.len();
        suspect.ends.retain(|_, end| end.at > up_to);
        suspect.ends.len() < before
    }

    /// Drops half of those that least is held against, the oldest first, when there is no room.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.ends.len(), suspect.last_at());
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

    /// Bars the contents that explain ends best, and clears those whose ends others explain.
    ///
    /// Guards against a request that is barred for another one's sake: what runs beside the
    /// culprit and is retried with it ends with it, once, twice and now and then three times.
    fn judge(&mut self, now: Time) {
        if !self.policy.bars {
            return;
        }
        let mut explained = BTreeSet::new();
        let mut proved = BTreeSet::new();
        while let Some(content) = self.best(&explained, &proved) {
            let ends = self.suspects[&content].ends.keys();
            explained.extend(ends.cloned());
            proved.insert(content);
        }
        for (content, suspect) in &mut self.suspects {
            match (suspect.barred_since, proved.contains(content)) {
                (None, true) => suspect.barred_since = Some(now),
                (Some(_), false) => {
                    suspect.barred_since = None;
                    self.changes.push(Change::Cleared(*content));
                    continue;
                }
                _ => continue,
            }
            let ends = suspect.ends.iter().map(|(u, end)| (u.clone(), end.ran));
            self.changes.push(Change::Barred(Barred {
                content: *content,
                since: now,
                until: suspect.last_at() + self.policy.bar_for(suspect.ends.len()),
                ends: ends.collect(),
            }));
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
    }

    /// Of the contents that chance does not explain, the one that it explains worst.
    fn best(
        &self,
        explained: &BTreeSet<UpstreamRun>,
        proved: &BTreeSet<Content>,
    ) -> Option<Content> {
        let least = self.policy.least_ends as usize;
        let many = self.suspects.iter();
        let many = many.filter(|(c, s)| s.ends.len() >= least && !proved.contains(*c));
        let judged = many.filter_map(|(content, suspect)| {
            let (ends, chance) = suspect.unexplained(explained, &self.ends);
            let is_proved = ends >= least && chance <= self.policy.chance;
            is_proved.then_some((chance, *content))
        });
        let best = judged.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, content)| content)
    }

    fn tell(&mut self, content: Content, fate: Fate, at: Time) {
        self.news.push(News { content, fate, at });
    }

    /// Words to be told to other daemons now.
    ///
    /// What proves most goes first, and what finds no room is dropped: a flood of suspects must
    /// not keep the word on a proved one waiting.
    pub fn news(&mut self, now: Time) -> Words {
        let ends = |news: &News| self.suspects.get(&news.content).map_or(0, |s| s.ends.len());
        let mut news = std::mem::take(&mut self.news);
        news.sort_by_key(|news| {
            std::cmp::Reverse((!matches!(news.fate, Fate::Ended { .. }), ends(news)))
        });
        news.truncate(MAX_NEWS);
        let later = news.split_off(news.len().min(MAX_TOLD));
        self.news = later;
        let words = news.into_iter().map(|news| news.word(now));
        Words(words.collect())
    }

    /// What changed since the last time.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Everything that is barred.
    #[must_use]
    pub fn barred(&self) -> Vec<Barred> {
        let suspects = self.suspects.iter();
        let barred = suspects.filter_map(|(content, suspect)| {
            let ends = suspect.ends.iter().map(|(u, end)| (u.clone(), end.ran));
            Some(Barred {
                content: *content,
                since: suspect.barred_since?,
                until: self.lapses_at(suspect),
                ends: ends.collect(),
            })
        });
        barred.collect()
    }

    /// Forgets what is too old.
    pub fn tidy(&mut self, now: Time) {
        self.whole.forget(now);
        let ends = &mut self.ends.at;
        ends.retain(|_, at| now.since(*at) < ENDS_REMEMBERED);
        let policy = self.policy;
        self.suspects.retain(|_, suspect| {
            let bar = policy.bar_for(suspect.ends.len());
            now.since(suspect.last_at() + bar) < REMEMBERED
        });
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

impl News {
    fn word(self, now: Time) -> Word {
        Word {
            content: self.content,
            fate: self.fate,
            age_ms: u32::try_from(now.since(self.at).as_millis()).unwrap_or(u32::MAX),
        }
    }
}
