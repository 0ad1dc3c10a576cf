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
    #[serde(rename = "over")]
    pub replaces: Option<VersionId>,
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
struct HeldPin {
    version: VersionId,
    revision: Revision,
    since: Time,
    last_used: Time,
}

/// Pins by session, with the members that their homes are computed from.
#[derive(Debug)]
pub struct Pins {
    idle_limit: Span,
    by_session: BTreeMap<SessionKey, HeldPin>,
    by_use: BTreeSet<(Time, SessionKey)>,
    members: Vec<Member>,
    /// Members for which every pin has been sent to its homes.
    swept_members: Vec<Member>,
    sweep: Option<Sweep>,
}

/// A pass over all pins after the members changed, in parts.
#[derive(Debug)]
struct Sweep {
    /// Members that the sweep began with.
    target: Vec<Member>,
    /// Last session that was checked.
    after: Option<SessionKey>,
}

impl Pins {
    /// Creates an empty table whose pins are dropped when unused for `idle_limit`.
    #[must_use]
    pub fn new(idle_limit: Span) -> Self {
        Self {
            idle_limit,
            by_session: BTreeMap::new(),
            by_use: BTreeSet::new(),
            members: Vec::new(),
            swept_members: Vec::new(),
            sweep: None,
        }
    }

    /// Number of pins in the table, for the dump.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_session.len()
    }

    /// Whether the table holds no pins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_session.is_empty()
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
        let held = self.by_session.get(key)?;
        Some(to_pin(key, held, now))
    }

    /// Adds a pin unless the one held wins over it, and returns the winning pin.
    ///
    /// Two daemons, or the two sides of a network partition, may pin a session at once. Of two pins
    /// the older one wins in both homes, in whichever order they arrive, so that the session does
    /// not change its version later. Only a pin that names the held version as replaced wins over
    /// an older one.
    pub fn pin(&mut self, pin: Pin, now: Time) -> Pin {
        let since = now - pin.age;
        let is_winner = self.by_session.get(&pin.key).is_none_or(|held| {
            let replaces = pin.replaces.as_ref() == Some(&held.version);
            let is_older = (since, &pin.version) < (held.since, &held.version);
            held.version != pin.version && (replaces || (is_older && pin.replaces.is_none()))
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
    /// Each sweep finishes with the members that it began with, and the next one covers what
    /// changed meanwhile. If each change restarted the sweep, pins would never reach their new
    /// homes when members change more often than a sweep takes.
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
        let part = self.by_session.range::<SessionKey, _>(range);
        let part: Vec<_> = part.take(PINS_CHECKED_PER_TICK).collect();
        let mut to_send = Vec::new();
        for (key, held) in &part {
            // A restarted home has lost its pins, so another incarnation counts as a new home.
            // Otherwise a session would change its version after its homes restarted one after the
            // other.
            let old = home_members(key.hash64(), &self.swept_members);
            let new = home_members(key.hash64(), &sweep.target).into_iter();
            let gained = new.filter(|home| !old.contains(home) && home.id != *own_id);
            to_send.extend(gained.map(|home| (home.id.clone(), to_pin(key, held, now))));
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
        self.by_session
            .iter()
            .map(move |(key, held)| to_pin(key, held, now))
    }

    fn insert(&mut self, pin: &Pin, since: Time, now: Time) {
        let key = pin.key.clone();
        if let Some(old) = self.by_session.get(&key) {
            self.by_use.remove(&(old.last_used, key.clone()));
        } else if self.by_session.len() >= MAX_PINS {
            self.drop_least_recently_used();
        }
        self.by_use.insert((now, key.clone()));
        let held = HeldPin {
            version: pin.version.clone(),
            revision: pin.revision,
            since,
            last_used: now,
        };
        self.by_session.insert(key, held);
    }

    fn touch(&mut self, key: &SessionKey, now: Time) {
        if let Some(held) = self.by_session.get_mut(key) {
            self.by_use.remove(&(held.last_used, key.clone()));
            held.last_used = now;
            self.by_use.insert((now, key.clone()));
        }
    }

    fn drop_least_recently_used(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first() {
            self.by_session.remove(&key);
        }
    }
}

fn to_pin(key: &SessionKey, held: &HeldPin, now: Time) -> Pin {
    Pin {
        key: key.clone(),
        version: held.version.clone(),
        revision: held.revision,
        age: now.since(held.since),
        replaces: None,
    }
}
