//! The table of pins that a daemon holds as home, and those it used lately.
//!
//! Bounded: past [`MAX_PINS`] the pin that was unused for longest goes, as do pins unused for
//! longer than the table's idle limit.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::SessionKey;
use crate::homes::{Member, home_members};

/// Most pins held.
pub const MAX_PINS: usize = 50_000;
/// Pins looked at in one tick while homes change.
pub const MOVED_EACH_TICK: usize = 200;

/// A pin as it travels between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The session.
    pub key: SessionKey,
    /// Its version.
    pub version: VersionId,
    /// Revision of the catalogue that it was pinned under.
    pub revision: Revision,
    /// How long it has had that version; of two pins the older stands.
    pub age: Span,
    /// A version that may no longer serve the session, which this pin replaces.
    pub over: Option<VersionId>,
}

/// What daemons say to each other about pins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Hold this; answered by [`Reply::Found`] with what stands.
    Pin(Pin),
    /// What do you hold?
    Ask(SessionKey),
}

/// Answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// This stands.
    Found(Pin),
    /// Nothing is held.
    Missing,
}

#[derive(Debug, Clone)]
struct Entry {
    version: VersionId,
    revision: Revision,
    since: Time,
    used: Time,
}

/// Pins by session.
#[derive(Debug)]
pub struct Pins {
    idle_limit: Span,
    entries: BTreeMap<SessionKey, Entry>,
    by_use: BTreeSet<(Time, SessionKey)>,
    members: Vec<Member>,
    /// The members that every pin was last sent to its homes by.
    homed_by: Vec<Member>,
    sweep: Option<Sweep>,
}

/// A walk over all pins after the members changed.
#[derive(Debug)]
struct Sweep {
    target: Vec<Member>,
    after: Option<SessionKey>,
}

impl Pins {
    /// An empty table whose pins go when unused for `idle_limit`.
    #[must_use]
    pub fn new(idle_limit: Span) -> Self {
        Self {
            idle_limit,
            entries: BTreeMap::new(),
            by_use: BTreeSet::new(),
            members: Vec::new(),
            homed_by: Vec::new(),
            sweep: None,
        }
    }

    /// Pins held, for the dump.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Answers another daemon.
    pub fn answer(&mut self, message: Message, now: Time) -> Reply {
        match message {
            Message::Pin(pin) => Reply::Found(self.pin(pin, now)),
            Message::Ask(key) => self.get(&key, now).map_or(Reply::Missing, Reply::Found),
        }
    }

    /// The pin of a session, which counts as a use of it.
    pub fn get(&mut self, key: &SessionKey, now: Time) -> Option<Pin> {
        self.touch(key, now);
        let entry = self.entries.get(key)?;
        Some(to_pin(key, entry, now))
    }

    /// Takes a pin and gives what stands now.
    ///
    /// Guards against a session that changes its version when two daemons pin it at once, or
    /// when two parts of a cut fleet did: of two pins the older stands in both homes, in
    /// whichever order they come. Only a pin that names the held version as replaced wins
    /// over an older one.
    pub fn pin(&mut self, pin: Pin, now: Time) -> Pin {
        let since = now - pin.age;
        let wins = self.entries.get(&pin.key).is_none_or(|held| {
            let replaces = pin.over.as_ref() == Some(&held.version);
            let is_older = (since, &pin.version) < (held.since, &held.version);
            held.version != pin.version && (replaces || (is_older && pin.over.is_none()))
        });
        if wins {
            self.insert(&pin, since, now);
        }
        self.get(&pin.key, now).unwrap_or(pin)
    }

    /// Drops pins unused for too long; at most `most` of them.
    pub fn expire(&mut self, now: Time, most: usize) {
        for _ in 0..most {
            match self.by_use.first() {
                Some((used, _)) if now.since(*used) > self.idle_limit => self.drop_oldest(),
                _ => return,
            }
        }
    }

    /// Notes who is there now.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
        if self.sweep.is_none() {
            self.begin_sweep();
        }
    }

    /// Guards against pins that never reach their new homes where members change more often
    /// than a walk over all pins takes: a walk ends with the members that it began with, and
    /// the next one takes up what changed meanwhile.
    fn begin_sweep(&mut self) {
        self.sweep = (self.homed_by != self.members).then(|| Sweep {
            target: self.members.clone(),
            after: None,
        });
    }

    /// Pins to send to daemons that became their homes, a part each tick.
    pub fn rehome(&mut self, own: &DaemonId, now: Time) -> Vec<(DaemonId, Pin)> {
        let Some(mut sweep) = self.sweep.take() else {
            return Vec::new();
        };
        let lower = sweep
            .after
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let range = (lower, Bound::Unbounded);
        let part = self.entries.range::<SessionKey, _>(range);
        let part: Vec<_> = part.take(MOVED_EACH_TICK).collect();
        let mut moved = Vec::new();
        for (key, entry) in &part {
            // Guards against a session that changes its version after both homes restarted one
            // after the other: a home that is back under its name has lost its pins, so that
            // another run counts as another home.
            let old = home_members(key.hash64(), &self.homed_by);
            let new = home_members(key.hash64(), &sweep.target).into_iter();
            let gained = new.filter(|home| !old.contains(home) && home.id != *own);
            moved.extend(gained.map(|home| (home.id.clone(), to_pin(key, entry, now))));
        }
        sweep.after = part.last().map(|(key, _)| (*key).clone());
        if part.len() < MOVED_EACH_TICK {
            self.homed_by = sweep.target;
            self.begin_sweep();
        } else {
            self.sweep = Some(sweep);
        }
        moved
    }

    /// All pins, for handing on at a shutdown.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = Pin> {
        self.entries
            .iter()
            .map(move |(key, entry)| to_pin(key, entry, now))
    }

    fn insert(&mut self, pin: &Pin, since: Time, now: Time) {
        let key = pin.key.clone();
        if let Some(old) = self.entries.get(&key) {
            self.by_use.remove(&(old.used, key.clone()));
        } else if self.entries.len() >= MAX_PINS {
            self.drop_oldest();
        }
        self.by_use.insert((now, key.clone()));
        let entry = Entry {
            version: pin.version.clone(),
            revision: pin.revision,
            since,
            used: now,
        };
        self.entries.insert(key, entry);
    }

    fn touch(&mut self, key: &SessionKey, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.by_use.remove(&(entry.used, key.clone()));
            entry.used = now;
            self.by_use.insert((now, key.clone()));
        }
    }

    fn drop_oldest(&mut self) {
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
