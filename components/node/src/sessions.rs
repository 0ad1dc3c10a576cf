//! Pins of named sessions: this daemon's table, and the way to a session's home daemons.
//!
//! The first request of a session at a daemon asks the session's homes; later ones find the
//! pin in the daemon's own table. With all homes out of reach the session is served from what
//! is chosen here, and pinned where that is possible.

use std::net::SocketAddr;
use std::sync::{Mutex, OnceLock};

use arc_swap::ArcSwap;
use bytes::Bytes;
use peers::{Handle, Part, Payload};
use sessions::SessionKey;
use sessions::homes::{Member, homes};
use sessions::lookup::{Lookup, LookupStep};
use sessions::pins::{MAX_PINS, Message, Pin, Pins, Reply};
use types::prelude::*;

use crate::shared::lock;

/// A home answers within.
const PATIENCE: Span = Span::from_millis(150);
/// A pin goes when unused for so long.
const IDLE: Span = Span::from_secs(3600);
/// Idle pins dropped in one tick, at most.
const EXPIRED_EACH_TICK: usize = 500;

/// A live daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Live {
    pub(crate) member: Member,
    pub(crate) address: SocketAddr,
}

/// What is known of a session's pin.
#[derive(Debug, Default)]
pub(crate) struct Found {
    /// The pin, if any daemon holds one.
    pub(crate) pin: Option<Pin>,
    /// Homes that answered and hold none.
    lacking: Vec<DaemonId>,
}

impl Found {
    /// A pin that is known.
    pub(crate) fn of(pin: Pin) -> Self {
        Self {
            pin: Some(pin),
            lacking: Vec::new(),
        }
    }
}

/// Pins and the way to their homes.
pub(crate) struct Sessions {
    me: DaemonId,
    pins: Mutex<Pins>,
    live: ArcSwap<Vec<Live>>,
    peers: OnceLock<Handle>,
}

impl Sessions {
    /// An empty table; no other daemon is known yet.
    pub(crate) fn new(me: DaemonId) -> Self {
        Self {
            me,
            pins: Mutex::new(Pins::new(IDLE)),
            live: ArcSwap::default(),
            peers: OnceLock::new(),
        }
    }

    /// Gives the way to other daemons, once.
    pub(crate) fn set_peers(&self, peers: Handle) {
        let _ = self.peers.set(peers);
    }

    /// Notes which daemons live, this one included.
    pub(crate) fn set_members(&self, live: Vec<Live>) {
        let members = live.iter().map(|live| live.member.clone());
        lock(&self.pins).set_members(members.collect());
        self.live.store(live.into());
    }

    /// Finds a session's pin, here or at its homes.
    pub(crate) async fn find(&self, key: &SessionKey, now: Time) -> Found {
        if let Some(pin) = lock(&self.pins).get(key, now) {
            return Found::of(pin);
        }
        let found = self.ask_homes(key).await;
        if let Some(pin) = &found.pin {
            let copies = found.lacking.iter();
            copies.for_each(|home| self.send(home, &Message::Pin(pin.clone())));
            lock(&self.pins).pin(pin.clone(), now);
        }
        found
    }

    async fn ask_homes(&self, key: &SessionKey) -> Found {
        let (mut lookup, asks) = Lookup::start(key.clone(), self.homes(key));
        let asked = asks.into_iter().map(|(home, message)| {
            let answer = (home != self.me)
                .then(|| self.ask(&home, &message))
                .flatten();
            (home, answer)
        });
        let asked: Vec<_> = asked.collect();
        let mut step = LookupStep::New(Vec::new());
        for (home, answer) in asked {
            let reply = if home == self.me {
                Some(Reply::Missing)
            } else {
                read_reply(answer).await
            };
            step = lookup.on_reply(&home, reply);
            if let LookupStep::Found(pin, lacking) = step {
                let pin = Some(pin);
                return Found { pin, lacking };
            }
        }
        let lacking = match step {
            LookupStep::New(lacking) => lacking,
            LookupStep::Wait | LookupStep::Found(..) => Vec::new(),
        };
        Found { pin: None, lacking }
    }

    /// Holds a pin here and at the session's homes, and gives the one that stands: of two
    /// first requests at once, one chooses for both.
    pub(crate) async fn hold(&self, pin: Pin, found: Found, now: Time) -> Pin {
        let is_known = found.pin.is_some_and(|held| held.version == pin.version);
        if is_known {
            return pin;
        }
        // A pin that replaces another must reach every home, or the old one would come back.
        let homes = match &pin.over {
            Some(_) => self.homes(&pin.key),
            None => found.lacking,
        };
        let mut homes = homes.into_iter();
        let mut standing = pin;
        if let Some(first) = homes.next() {
            standing = self.pin_at(&first, standing, now).await;
        }
        homes.for_each(|home| self.send(&home, &Message::Pin(standing.clone())));
        lock(&self.pins).pin(standing, now)
    }

    async fn pin_at(&self, home: &DaemonId, pin: Pin, now: Time) -> Pin {
        if *home == self.me {
            return lock(&self.pins).pin(pin, now);
        }
        let answer = self.ask(home, &Message::Pin(pin.clone()));
        match read_reply(answer).await {
            Some(Reply::Found(standing)) if standing.key == pin.key => Pin {
                over: pin.over,
                ..standing
            },
            _ => pin,
        }
    }

    /// Answers another daemon; nothing, if its message cannot be read.
    pub(crate) fn answer(&self, body: &Bytes, now: Time) -> Option<Payload> {
        let message = serde_json::from_slice::<Message>(body).ok()?;
        let reply = lock(&self.pins).answer(message, now);
        payload(&reply)
    }

    /// Drops idle pins, and gives those to send to daemons that became their homes.
    pub(crate) fn tick(&self, now: Time) {
        let moved = {
            let mut pins = lock(&self.pins);
            pins.expire(now, EXPIRED_EACH_TICK);
            pins.rehome(&self.me, now)
        };
        for (home, pin) in moved {
            self.send(&home, &Message::Pin(pin));
        }
    }

    /// How full the table is, for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({"pins": lock(&self.pins).len(), "most_pins": MAX_PINS})
    }

    fn homes(&self, key: &SessionKey) -> Vec<DaemonId> {
        let live = self.live.load();
        let members: Vec<_> = live.iter().map(|live| live.member.clone()).collect();
        homes(key.hash64(), &members)
    }

    fn address(&self, id: &DaemonId) -> Option<SocketAddr> {
        let live = self.live.load();
        let found = live.iter().find(|live| live.member.id == *id);
        found.map(|live| live.address)
    }

    fn ask(&self, home: &DaemonId, message: &Message) -> Option<Answer> {
        let peers = self.peers.get()?;
        Some(peers.ask(self.address(home)?, payload(message)?, PATIENCE))
    }

    fn send(&self, home: &DaemonId, message: &Message) {
        if let (Some(peers), Some(address)) = (self.peers.get(), self.address(home))
            && let Some(payload) = payload(message)
        {
            peers.send(address, payload);
        }
    }
}

type Answer = flume::Receiver<Result<Payload, peers::AskError>>;

fn payload(content: &impl serde::Serialize) -> Option<Payload> {
    let body = Bytes::from(serde_json::to_vec(content).ok()?);
    let part = Part::Session;
    Some(Payload::Part { part, body })
}

async fn read_reply(answer: Option<Answer>) -> Option<Reply> {
    match answer?.recv_async().await.ok()?.ok()? {
        Payload::Part {
            part: Part::Session,
            body,
        } => serde_json::from_slice(&body).ok(),
        _ => None,
    }
}
