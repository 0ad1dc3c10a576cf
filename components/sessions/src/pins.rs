//! Table of the pins that a daemon holds as a home, and of those it used recently.
//!
//! The table is bounded: when it holds [`MAX_PINS`], the least recently used pin is dropped. Pins
//! unused for longer than the table's idle limit are dropped as well.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::SessionKey;
use crate::homes::{Member, home_members};

/// Most pins in the table.
pub const MAX_PINS: usize = 50_000;
/// Pins checked per tick after the members changed.
pub const PINS_CHECKED_PER_TICK: usize = 200;

/// A pin as sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// Session that is pinned.
    pub key: SessionKey,
    /// Version that the session keeps.
    pub version: VersionId,
    /// Revision of the catalogue under which the version was pinned.
    pub revision: Revision,
    /// Time since the session was pinned to the version; of two pins the older one wins.
    pub age: Span,
    /// Version that this pin replaces because it may no longer serve the session.
    pub over: Option<VersionId>,
}

/// Message between daemons about pins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a home to hold this pin; the home answers [`Reply::Found`] with the pin that wins.
    Pin(Pin),
    /// Asks for the pin of a session.
    Ask(SessionKey),
}

/// Answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The pin that the daemon holds.
    Found(Pin),
    /// The daemon holds no pin of the session.
    Missing,
}

#[derive(Debug, Clone)]
struct Entry {
    version: VersionId,
    revision: Revision,
    since: Time,
    last_used: Time,
}

/// Pins by session, with the members that their homes are computed from.
#[derive(Debug)]
pub struct Pins {
    idle_limit: Span,
    entries: BTreeMap<SessionKey, Entry>,
    by_use: BTreeSet<(Time, SessionKey)>,
    members: Vec<Member>,
    /// Members for which every pin has been sent to its homes.
    swept_members: Vec<Member>,
    sweep: Option<Sweep>,
}

/// A pass over all pins after the members changed, in parts.
#[derive(Debug)]
struct Sweep {
    target: Vec<Member>,
    after: Option<SessionKey>,
}

impl Pins {
    /// Creates an empty table whose pins are dropped when unused for `idle_limit`.
    #[must_use]
    pub fn new(idle_limit: Span) -> Self {
        Self {
            idle_limit,
            entries: BTreeMap::new(),
            by_use: BTreeSet::new(),
            members: Vec::new(),
            swept_members: Vec::new(),
            sweep: None,
        }
    }

    /// Number of pins in the table, for the dump.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table holds no pins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Answers another daemon's message.
    pub fn answer(&mut self, message: Message, now: Time) -> Reply {
        match message {
            Message::Pin(pin) => Reply::Found(self.pin(pin, now)),
            Message::Ask(key) => self.get(&key, now).map_or(Reply::Missing, Reply::Found),
        }
    }

    /// Returns the pin of a session and marks it as used.
    pub fn get(&mut self, key: &SessionKey, now: Time) -> Option<Pin> {
        self.touch(key, now);
        let entry = self.entries.get(key)?;
        Some(to_pin(key, entry, now))
    }

    /// Adds a pin unless the one held wins over it, and returns the winning pin.
    ///
    /// Guards against a session that changes its version after two daemons pinned it at once, or
    /// after both sides of a network partition did: of two pins the older one wins in both
    /// homes, in whichever order they arrive. Only a pin that names the held version as
    /// replaced wins over an older one.
    pub fn pin(&mut self, pin: Pin, now: Time) -> Pin {
        let since = now - pin.age;
        let is_winner = self.entries.get(&pin.key).is_none_or(|held| {
            let replaces = pin.over.as_ref() == Some(&held.version);
            let is_older = (since, &pin.version) < (held.since, &held.version);
            held.version != pin.version && (replaces || (is_older && pin.over.is_none()))
        });
        if is_winner {
            self.insert(&pin, since, now);
        }
        self.get(&pin.key, now).unwrap_or(pin)
    }

    /// Drops pins unused for longer than the idle limit, at most `limit` of them.
    pub fn expire(&mut self, now: Time, limit: usize) {
        for _ in 0..limit {
            match self.by_use.first() {
                Some((last_used, _)) if now.since(*last_used) > self.idle_limit => {
                    self.drop_least_recently_used()
                }
                _ => return,
            }
        }
    }

    /// Sets the daemons that can be homes, and starts a sweep over all pins if they changed.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
        if self.sweep.is_none() {
            self.begin_sweep();
        }
    }

    /// Starts a sweep if the members differ from those of the last one.
    ///
    /// Guards against pins that never reach their new homes because members change more often
    /// than a sweep takes: each sweep finishes with the members that it began with, and the next
    /// one covers what changed meanwhile.
    fn begin_sweep(&mut self) {
        self.sweep = (self.swept_members != self.members).then(|| Sweep {
            target: self.members.clone(),
            after: None,
        });
    }

    /// Continues the sweep by up to [`PINS_CHECKED_PER_TICK`] pins, and returns pins to send and
    /// the daemons that became their homes. Called once per tick.
    pub fn rehome(&mut self, own_id: &DaemonId, now: Time) -> Vec<(DaemonId, Pin)> {
        let Some(mut sweep) = self.sweep.take() else {
            return Vec::new();
        };
        let lower = sweep
            .after
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let range = (lower, Bound::Unbounded);
        let part = self.entries.range::<SessionKey, _>(range);
        let part: Vec<_> = part.take(PINS_CHECKED_PER_TICK).collect();
        let mut to_send = Vec::new();
        for (key, entry) in &part {
            // Guards against a session that changes its version after its homes restarted one
            // after the other: a restarted home has lost its pins, so another incarnation counts
            // as a new home.
            let old = home_members(key.hash64(), &self.swept_members);
            let new = home_members(key.hash64(), &sweep.target).into_iter();
            let gained = new.filter(|home| !old.contains(home) && home.id != *own_id);
            to_send.extend(gained.map(|home| (home.id.clone(), to_pin(key, entry, now))));
        }
        sweep.after = part.last().map(|(key, _)| (*key).clone());
        if part.len() < PINS_CHECKED_PER_TICK {
            self.swept_members = sweep.target;
            self.begin_sweep();
        } else {
            self.sweep = Some(sweep);
        }
        to_send
    }

    /// Iterates over all pins, to hand them over at a shutdown.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = Pin> {
        self.entries
            .iter()
            .map(move |(key, entry)| to_pin(key, entry, now))
    }

    fn insert(&mut self, pin: &Pin, since: Time, now: Time) {
        let key = pin.key.clone();
        if let Some(old) = self.entries.get(&key) {
            self.by_use.remove(&(old.last_used, key.clone()));
        } else if self.entries.len() >= MAX_PINS {
            self.drop_least_recently_used();
        }
        self.by_use.insert((now, key.clone()));
        let entry = Entry {
            version: pin.version.clone(),
            revision: pin.revision,
            since,
            last_used: now,
        };
        self.entries.insert(key, entry);
    }

    fn touch(&mut self, key: &SessionKey, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.by_use.remove(&(entry.last_used, key.clone()));
            entry.last_used = now;
            self.by_use.insert((now, key.clone()));
        }
    }

    fn drop_least_recently_used(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first() {
            self.entries.remove(&key);
        }
    }
}

fn to_pin(key: &SessionKey, entry: &Entry, now: Time) -> Pin {
    Pin {
        key: key.clone(),
        version: entry.version.clone(),
        revision: entry.revision,
        age: now.since(entry.since),
        over: None,
    }
}
