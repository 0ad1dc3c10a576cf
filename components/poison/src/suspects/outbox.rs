//! Updates that wait to be sent to other daemons.
//!
//! An update is sent once. It comes back from other daemons with an age that has shrunk a little at
//! each hop, and must not be treated as new.

use std::collections::{HashMap, VecDeque};

use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::content::Content;
use crate::updates::{ContentEvent, ContentUpdate, ContentUpdates};

/// Updates that wait at most.
const MAX_WAITING: usize = 256;
/// Updates sent in one message, of some 60 bytes each.
const MAX_PER_MESSAGE: usize = 64;
/// A crash is not sent a second time for this long, which exceeds the time that a message takes
/// between two daemons.
const CRASH_SENT_KEPT: Span = Span::from_secs(10);
/// The same for trials, of which the next one may follow soon. One that is still forwarded after
/// this time has aged at each hop, and is dropped.
const TRIAL_SENT_KEPT: Span = Span::from_millis(500);
/// The same for answers and lifted quarantines, which recur: a content is answered again and again,
/// and each answer may clear crashes that came since.
const CLEARING_SENT_KEPT: Span = Span::from_secs(1);
/// Sent updates remembered at most, some 40 bytes each: [`MAX_PER_MESSAGE`] of them twenty times a
/// second. Nothing more is sent while there is no room.
const MAX_SENT: usize = 16_384;

/// An update that waits, with the time of its event.
#[derive(Debug, Clone)]
struct Waiting {
    content: Content,
    event: ContentEvent,
    at: Time,
}

impl Waiting {
    fn into_update(self, now: Time) -> ContentUpdate {
        ContentUpdate {
            content: self.content,
            event: self.event,
            age_ms: u32::try_from(now.since(self.at).as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Updates that were sent recently.
#[derive(Debug, Default)]
struct Sent {
    expires_at: HashMap<u64, Time>,
    /// Keys and expiry of crashes, below of trials, and of answers and lifted quarantines, the
    /// earliest first.
    crashes: VecDeque<(u64, Time)>,
    trials: VecDeque<(u64, Time)>,
    clearings: VecDeque<(u64, Time)>,
}

impl Sent {
    fn contains(&mut self, now: Time, content: Content, event: &ContentEvent) -> bool {
        self.expire(now);
        self.expires_at.contains_key(&key_of(content, event))
    }

    /// Records an update that is to be sent. Returns false if it was sent before or there is no
    /// room.
    fn record(&mut self, now: Time, content: Content, event: &ContentEvent) -> bool {
        let key = key_of(content, event);
        if self.expires_at.contains_key(&key) || self.expires_at.len() >= MAX_SENT {
            return false;
        }
        let (order, expires_at) = match event {
            ContentEvent::Crashed { .. } => (&mut self.crashes, now + CRASH_SENT_KEPT),
            ContentEvent::Trial => (&mut self.trials, now + TRIAL_SENT_KEPT),
            ContentEvent::Answered | ContentEvent::Lifted => {
                (&mut self.clearings, now + CLEARING_SENT_KEPT)
            }
        };
        order.push_back((key, expires_at));
        self.expires_at.insert(key, expires_at);
        true
    }

    fn expire(&mut self, now: Time) {
        for order in [&mut self.crashes, &mut self.trials, &mut self.clearings] {
            while let Some((key, _)) =
                order.pop_front_if(|(_, expires_at)| now.has_reached(*expires_at))
            {
                self.expires_at.remove(&key);
            }
        }
    }
}

/// Key of an event, the same whichever daemon reports it.
fn key_of(content: Content, event: &ContentEvent) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(content.to_string().as_bytes());
    match event {
        ContentEvent::Crashed { upstream, .. } => {
            hash.update(upstream.id.as_str().as_bytes());
            let started_at = upstream.started_at.map_or(0, |at| at.0);
            hash.update(&started_at.to_le_bytes());
        }
        ContentEvent::Answered => hash.update(&[1]),
        ContentEvent::Trial => hash.update(&[2]),
        ContentEvent::Lifted => hash.update(&[3]),
    }
    hash.digest()
}

/// Updates that wait to be sent, and those that were sent recently.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: Vec<Waiting>,
    sent: Sent,
}

impl Outbox {
    pub(crate) fn push(&mut self, now: Time, content: Content, event: ContentEvent, at: Time) {
        if !self.sent.contains(now, content, &event) {
            self.waiting.push(Waiting { content, event, at });
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the updates to send now; `crash_count` gives the number of crashes of a content.
    ///
    /// Trials and clearings go first, then the contents with the most crashes, and what finds no
    /// room is dropped: a flood of suspects must not delay the update on a content with many
    /// crashes.
    pub(crate) fn take(
        &mut self,
        now: Time,
        crash_count: impl Fn(&Content) -> usize,
    ) -> ContentUpdates {
        let priority = |update: &Waiting| {
            let is_decisive = !matches!(update.event, ContentEvent::Crashed { .. });
            (is_decisive, crash_count(&update.content))
        };
        let mut updates = std::mem::take(&mut self.waiting);
        updates.sort_by_key(|update| std::cmp::Reverse(priority(update)));
        updates.truncate(MAX_WAITING);
        self.waiting = updates.split_off(updates.len().min(MAX_PER_MESSAGE));
        updates.retain(|update| self.sent.record(now, update.content, &update.event));
        ContentUpdates(
            updates
                .into_iter()
                .map(|update| update.into_update(now))
                .collect(),
        )
    }
}
