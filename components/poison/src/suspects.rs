//! Crashes attributed to contents by all daemons together, and which contents are quarantined.
//!
//! Each daemon merges all updates, so that one crash each at three daemons counts as three, and
//! judges by itself: the same updates lead to the same quarantines. When a quarantine expires, one
//! daemon at a time sends the content once more, and the outcome of this half-open trial decides.
//!
//! A content is a whole request or a part of prompts. A part that crashes upstreams comes in many
//! requests at once, so it is held back from its first crash on until it is known to be harmless
//! ([`holding`]).

mod answered;
mod attribution;
mod crashes;
mod evidence;
mod holding;
mod outbox;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempts::CrashedAttempt;
use crate::content::{Content, Contents};
use crate::policy::PoisonPolicy;
use crate::updates::{ContentEvent, ContentUpdate, ContentUpdates, UpstreamInstance};
use answered::RecentlyAnswered;
use crashes::UpstreamCrashes;
use evidence::{Crash, Suspect};
use outbox::Outbox;

/// Contents tracked at most. A lost rack makes suspects of hundreds at one moment; those with a
/// single crash are dropped first.
const MAX_SUSPECTS: usize = 1_024;
/// A content that had been processed for longer did not crash its upstream: one that crashes
/// upstreams does so when they start to process it.
const MAX_RAN: Span = Span::from_secs(3);
/// The same bound for a part of prompts once an upstream shows that it started: crashing parts do
/// so at once, and many requests carry the harmless ones.
const MAX_PART_RAN: Span = Span::from_millis(500);
/// Crashes are kept for this long after they happened, or after their content's quarantine expired.
const CRASHES_KEPT: Span = Span::from_secs(600);
/// Reports of crashes from before a content was cleared may arrive this much later.
const CLEARED_KEPT: Span = Span::from_secs(60);
/// Cleared contents remembered at most.
const MAX_CLEARED: usize = 1_024;
/// A trial's outcome is known within this time; until then no other daemon starts one.
const TRIAL_TIMEOUT: Span = Span::from_secs(10);
/// Delay between the trials of two daemons after a quarantine expires, so that every daemon has
/// heard of the first trial before the next would start.
const TRIAL_SPACING: Span = Span::from_millis(500);
/// A peer's trial counts as this much older at each hop. A message loses the age of its way, so that
/// a trial would otherwise seem new again and circulate.
const TRIAL_HOP_AGE: Span = Span::from_millis(20);
/// A trial is forwarded up to this age.
const TRIAL_FORWARDED_FOR: Span = Span::from_secs(1);
/// Bound on these delays in a large fleet.
const MAX_TRIAL_SPREAD: Span = Span::from_secs(60);

/// Whether a content may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Open,
    /// It may be sent once, as the half-open trial after its quarantine expired.
    Trial,
    /// It is quarantined.
    Quarantined {
        /// When a trial may be sent.
        until: Time,
    },
}

impl Admission {
    /// The stricter of two decisions on one request.
    fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Quarantined { until: a }, Self::Quarantined { until: b }) => {
                Self::Quarantined { until: a.max(b) }
            }
            (strict @ Self::Quarantined { .. }, _) | (_, strict @ Self::Quarantined { .. }) => {
                strict
            }
            (Self::Trial, _) | (_, Self::Trial) => Self::Trial,
            (Self::Open, Self::Open) => Self::Open,
        }
    }
}

/// A quarantined content, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// The quarantined content.
    pub content: Content,
    /// The customer that sends these requests.
    pub customer: Option<Arc<str>>,
    /// When the quarantine started.
    pub since: Time,
    /// When the quarantine expires.
    pub until: Time,
    /// Upstreams that crashed under it, and how long it had been processed there.
    pub crashes: Vec<(UpstreamInstance, Span)>,
    /// Parts that cannot be told from a quarantined part: only requests that carry them as well are
    /// refused.
    pub companions: Vec<Content>,
}

/// A change of the set of quarantined contents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A content is quarantined.
    Quarantined(Quarantine),
    /// A content is no longer quarantined: it was answered completely, its quarantine was lifted,
    /// or other contents explain its crashes.
    Cleared(Content),
}

/// Contents suspected of crashing upstreams, and the evidence against them.
#[derive(Debug, Default)]
pub struct Suspects {
    policy: PoisonPolicy,
    /// Hash of the daemon's name; gives each daemon another trial delay.
    daemon_hash: u64,
    daemons: usize,
    suspects: HashMap<Content, Suspect>,
    crashes: UpstreamCrashes,
    answered: RecentlyAnswered,
    /// Crashes up to this time do not count: the content was answered completely or its quarantine
    /// lifted.
    cleared: HashMap<Content, Time>,
    outbox: Outbox,
    changes: Vec<Change>,
}

impl Suspects {
    /// Creates an empty table for the daemon with this name.
    #[must_use]
    pub fn new(policy: PoisonPolicy, daemon: &str) -> Self {
        Self {
            policy,
            daemon_hash: xxh3_64(daemon.as_bytes()),
            daemons: 1,
            ..Self::default()
        }
    }

    /// Sets how many daemons and upstreams there are.
    pub fn set_fleet(&mut self, daemons: usize, upstreams: usize) {
        self.daemons = daemons;
        self.crashes.upstreams = upstreams;
    }

    /// Decides whether a content may be sent now.
    #[must_use]
    pub fn admission(&self, now: Time, content: Content) -> Admission {
        let suspect = self.suspects.get(&content);
        let Some(suspect) = suspect.filter(|suspect| suspect.quarantined_since.is_some()) else {
            return Admission::Open;
        };
        let expires_at = suspect.expires_at(&self.policy);
        let trial_until = suspect.trial_at.map(|at| at + TRIAL_TIMEOUT);
        let until = expires_at.max(trial_until.unwrap_or_default());
        if now < until {
            return Admission::Quarantined { until };
        }
        match now.has_reached(until + self.trial_delay(content)) {
            true => Admission::Trial,
            false => Admission::Quarantined {
                until: until + self.trial_delay(content),
            },
        }
    }

    /// Decides whether a request may be sent now, by all of its contents.
    #[must_use]
    pub fn admission_of(
        &self,
        now: Time,
        contents: &Contents,
        customer: Option<&str>,
    ) -> Admission {
        let quarantined = self.applying(contents, customer);
        let admissions = quarantined.map(|content| self.admission(now, content));
        admissions.fold(Admission::Open, Admission::stricter)
    }

    /// The contents of a request whose quarantine applies to it.
    fn applying<'a>(
        &'a self,
        contents: &'a Contents,
        customer: Option<&'a str>,
    ) -> impl Iterator<Item = Content> + 'a {
        let contents_of = (!self.suspects.is_empty()).then(|| contents.iter());
        contents_of.into_iter().flatten().filter(move |content| {
            let suspect = self.suspects.get(content);
            let quarantined = suspect.filter(|suspect| suspect.quarantined_since.is_some());
            quarantined.is_some_and(|suspect| suspect.applies_to(contents, customer))
        })
    }

    /// The quarantined part of a request's prompt for which it is refused, if it is refused for one.
    #[must_use]
    pub fn quarantined_part(&self, contents: &Contents, customer: Option<&str>) -> Option<Content> {
        self.applying(contents, customer)
            .find(|content| content.is_part())
    }

    /// How long after a quarantine's expiry this daemon may send the trial.
    fn trial_delay(&self, content: Content) -> Span {
        self.turn_delay(content, TRIAL_SPACING, MAX_TRIAL_SPREAD)
    }

    /// How long this daemon waits for others that may send a content first: `spacing` between two
    /// daemons, `max_spread` over all of them.
    fn turn_delay(&self, content: Content, spacing: Span, max_spread: Span) -> Span {
        let spread = spacing.times(self.daemons.saturating_sub(1) as u64);
        let spread = spread.min(max_spread).as_micros();
        let draw = xxh3_64(content.to_string().as_bytes()) ^ self.daemon_hash;
        Span(draw % (spread + 1))
    }

    /// Whether a content is one crash short of quarantine or closer, so that it should be sent
    /// where few other requests are in flight.
    #[must_use]
    pub fn is_suspect(&self, content: Content) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.count() + 1 >= self.policy.least_ends as usize)
    }

    /// Whether any crash is attributed to a content.
    #[must_use]
    pub fn has_crashes(&self, content: Content) -> bool {
        self.suspects.contains_key(&content)
    }

    /// Records that this daemon sends a request as the trial after quarantines of its contents
    /// expired.
    pub fn trial_sent_of(&mut self, now: Time, contents: &Contents, customer: Option<&str>) {
        let tried = self.applying(contents, customer).collect::<Vec<_>>();
        for content in tried {
            self.trial_sent(now, content);
        }
    }

    /// Records that this daemon sends a content as the trial after its quarantine expired.
    pub fn trial_sent(&mut self, now: Time, content: Content) {
        self.merge(now, content, ContentEvent::Trial, now);
    }

    /// Records a crash of an upstream and the requests that this daemon had in flight there.
    pub fn upstream_crashed(
        &mut self,
        now: Time,
        upstream: &UpstreamInstance,
        attempts: &[CrashedAttempt],
    ) {
        self.crashes.record(upstream, now);
        for attempt in attempts {
            let ran_ms = u32::try_from(attempt.ran.as_millis()).unwrap_or(u32::MAX);
            let is_long_started = attempt.had_started && attempt.ran > MAX_PART_RAN;
            let contents = attempt.contents.iter();
            for content in contents.filter(|content| !(is_long_started && content.is_part())) {
                let event = ContentEvent::Crashed {
                    upstream: upstream.clone(),
                    customer: attempt.customer.clone(),
                    had_started: attempt.had_started,
                    ran_ms,
                };
                self.merge(now, content, event, now);
            }
        }
        self.reevaluate(now);
    }

    /// Records that this daemon got a complete answer to a request with these contents.
    pub fn answered(&mut self, now: Time, contents: impl Into<Contents>) {
        let mut has_changed = false;
        for content in contents.into().iter() {
            self.answered.record(now, content);
            if self.suspects.contains_key(&content) {
                self.merge(now, content, ContentEvent::Answered, now);
                has_changed = true;
            }
        }
        if has_changed {
            self.reevaluate(now);
        }
    }

    /// Restores a quarantine from the store: the upstreams that crashed under a content, and how
    /// long it had been processed there. The times of the crashes are not stored; they count from
    /// now.
    ///
    /// A restored quarantine holds without further evidence. Otherwise a daemon that just started,
    /// with too little evidence of its own, would consider the quarantine over, delete it from the
    /// store and so lift it everywhere.
    pub fn restore(
        &mut self,
        now: Time,
        content: Content,
        customer: Option<&Arc<str>>,
        crashes: impl IntoIterator<Item = (UpstreamInstance, Span)>,
        companions: &[Content],
    ) {
        let known = self.suspects.get(&content);
        if known.is_some_and(|suspect| suspect.quarantined_since.is_some()) {
            return;
        }
        for (upstream, ran) in crashes {
            let crash = Crash {
                customer: customer.cloned(),
                had_started: true,
                ran,
                at: now,
            };
            for companion in companions {
                self.add_crash(*companion, &upstream, crash.clone());
            }
            self.add_crash(content, &upstream, crash);
        }
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.is_restored = true;
        }
        self.reevaluate(now);
    }

    /// Whether a quarantined content explains the crash of an upstream.
    #[must_use]
    pub fn explains(&self, upstream: &UpstreamInstance) -> bool {
        let mut quarantined = self
            .suspects
            .values()
            .filter(|s| s.quarantined_since.is_some());
        quarantined.any(|suspect| suspect.crashes.contains_key(upstream))
    }

    /// Whether the policy quarantines contents at all.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.policy.bars
    }

    /// Lifts a content's quarantine for an operator. Returns whether any crash was attributed to
    /// it.
    pub fn lift_quarantine(&mut self, now: Time, content: Content) -> bool {
        let is_known = self.suspects.contains_key(&content);
        if is_known {
            self.merge(now, content, ContentEvent::Lifted, now);
            self.reevaluate(now);
        }
        is_known
    }

    /// Merges another daemon's updates. Returns the upstreams that they report as crashed.
    pub fn merge_updates(&mut self, now: Time, updates: ContentUpdates) -> Vec<UpstreamInstance> {
        let mut crashed = BTreeSet::new();
        for ContentUpdate {
            content,
            event,
            age_ms,
        } in updates.0
        {
            let hop_age = match event {
                ContentEvent::Trial => TRIAL_HOP_AGE,
                _ => Span::ZERO,
            };
            let at = now - (Span::from_millis(u64::from(age_ms)) + hop_age);
            if let ContentEvent::Crashed { upstream, .. } = &event {
                self.crashes.record(upstream, at);
                crashed.insert(upstream.clone());
            }
            if matches!(event, ContentEvent::Crashed { .. })
                && let Some(cleared_at) = self.cleared_until(&content, at)
            {
                // The sender does not know yet that the content was cleared.
                self.queue(now, content, ContentEvent::Answered, cleared_at);
                continue;
            }
            self.merge(now, content, event, at);
        }
        self.reevaluate(now);
        crashed.into_iter().collect()
    }

    /// Merges one event and queues it for other daemons if it was new.
    fn merge(&mut self, now: Time, content: Content, event: ContentEvent, at: Time) {
        if now.since(at) > CRASHES_KEPT {
            return;
        }
        let is_new = match &event {
            ContentEvent::Crashed {
                upstream,
                customer,
                had_started,
                ran_ms,
            } => {
                let crash = Crash {
                    customer: customer.clone(),
                    had_started: *had_started,
                    ran: Span::from_millis(u64::from(*ran_ms)),
                    at,
                };
                self.add_crash(content, upstream, crash)
            }
            ContentEvent::Answered | ContentEvent::Lifted => self.clear(content, at),
            ContentEvent::Trial => {
                let suspect = self.suspects.get_mut(&content);
                suspect.is_some_and(|suspect| {
                    let is_newer = suspect.trial_at.is_none_or(|known| known < at);
                    suspect.trial_at = suspect.trial_at.max(Some(at));
                    is_newer && now.since(at) < TRIAL_FORWARDED_FOR
                })
            }
        };
        if is_new {
            self.queue(now, content, event, at);
        }
    }

    /// Adds a crash to a content's evidence. Returns whether that changed anything.
    fn add_crash(&mut self, content: Content, upstream: &UpstreamInstance, crash: Crash) -> bool {
        if crash.ran > MAX_RAN || self.cleared_until(&content, crash.at).is_some() {
            return false;
        }
        if !self.suspects.contains_key(&content) {
            self.make_room();
        }
        let suspect = self.suspects.entry(content).or_default();
        suspect.is_part = content.is_part();
        suspect.customer = crash.customer.clone();
        suspect.add(upstream.clone(), crash)
    }

    /// Time up to which a content is cleared, if that covers a crash at the given time.
    fn cleared_until(&self, content: &Content, at: Time) -> Option<Time> {
        let cleared = self.cleared.get(content).copied();
        let cleared = cleared.filter(|up_to| at <= *up_to);
        cleared.or_else(|| self.answered.cleared_until(content, at))
    }

    /// Drops a content's crashes up to the given time. Returns whether there were any.
    ///
    /// The time is remembered, since late reports of these crashes would quarantine the content
    /// again.
    fn clear(&mut self, content: Content, up_to: Time) -> bool {
        if self.cleared.len() < MAX_CLEARED || self.cleared.contains_key(&content) {
            let known = self.cleared.entry(content).or_default();
            *known = up_to.max(*known);
        }
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|_, crash| crash.at > up_to);
        suspect.is_restored = false;
        suspect.crashes.len() < before
    }

    /// Drops half of the suspects when the table is full: those with the fewest crashes, the oldest
    /// first.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.count(), suspect.last_crash_at());
        let mut by_weight = self
            .suspects
            .iter()
            .map(|(c, s)| (weight(s), *c))
            .collect::<Vec<_>>();
        by_weight.sort();
        for (_, content) in by_weight.iter().take(MAX_SUSPECTS / 2) {
            self.suspects.remove(content);
        }
    }

    fn queue(&mut self, now: Time, content: Content, event: ContentEvent, at: Time) {
        self.outbox.push(now, content, event, at);
    }

    /// Whether updates wait to be sent to other daemons.
    #[must_use]
    pub fn has_updates(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the updates to send to other daemons now.
    pub fn take_updates(&mut self, now: Time) -> ContentUpdates {
        let suspects = &self.suspects;
        let crash_count = |content: &Content| suspects.get(content).map_or(0, Suspect::count);
        self.outbox.take(now, crash_count)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// All quarantined contents.
    #[must_use]
    pub fn quarantined(&self) -> Vec<Quarantine> {
        let suspects = self.suspects.iter();
        let quarantined =
            suspects.filter_map(|(content, suspect)| suspect.quarantine(*content, &self.policy));
        quarantined.collect()
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.answered.expire(now);
        self.cleared
            .retain(|_, up_to| now.since(*up_to) < CLEARED_KEPT);
        self.crashes.expire(now);
        let policy = self.policy;
        self.suspects
            .retain(|_, suspect| now.since(suspect.expires_at(&policy)) < CRASHES_KEPT);
    }

    /// Number of contents that a crash is attributed to.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no crash is attributed to any content.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
