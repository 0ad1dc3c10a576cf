//! Pins of named sessions: this daemon's table, and the exchange with a session's home daemons.
//!
//! The first request of a session at a daemon asks the session's homes for its pin; later ones
//! find the pin in the daemon's own table. While all homes are unreachable, the session is served
//! from the version that this daemon chooses, and pinned at the daemons that can be reached.

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

/// Timeout for a home's reply.
const HOME_TIMEOUT: Span = Span::from_millis(150);
/// A pin expires after this time without use.
const PIN_IDLE_TTL: Span = Span::from_secs(3600);
/// Most idle pins dropped in one tick.
const MAX_EXPIRED_PER_TICK: usize = 500;

/// A live daemon and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LiveDaemon {
    pub(crate) member: Member,
    pub(crate) address: SocketAddr,
}

/// Result of a lookup of a session's pin.
#[derive(Debug, Default)]
pub(crate) struct FoundPin {
    /// The pin, if any daemon holds one.
    pub(crate) pin: Option<Pin>,
    /// Homes that answered that they hold no pin.
    missing_at: Vec<DaemonId>,
}

impl FoundPin {
    /// A pin known without a lookup at the homes.
    pub(crate) fn of(pin: Pin) -> Self {
        Self {
            pin: Some(pin),
            missing_at: Vec::new(),
        }
    }
}

/// This daemon's table of pins and its connections to the homes of sessions.
pub(crate) struct Sessions {
    me: DaemonId,
    pins: Mutex<Pins>,
    live: ArcSwap<Vec<LiveDaemon>>,
    peers: OnceLock<Handle>,
}

impl Sessions {
    /// Creates an empty table; no other daemon is known yet.
    pub(crate) fn new(me: DaemonId) -> Self {
        Self {
            me,
            pins: Mutex::new(Pins::new(PIN_IDLE_TTL)),
            live: ArcSwap::default(),
            peers: OnceLock::new(),
        }
    }

    /// Sets the connections to other daemons; only the first call counts.
    pub(crate) fn set_peers(&self, peers: Handle) {
        let _ = self.peers.set(peers);
    }

    /// Sets the live daemons, this one included.
    pub(crate) fn set_members(&self, live: Vec<LiveDaemon>) {
        let members = live.iter().map(|live| live.member.clone());
        lock(&self.pins).set_members(members.collect());
        self.live.store(live.into());
    }

    /// Finds a session's pin in this table or at its homes.
    pub(crate) async fn find(&self, key: &SessionKey, now: Time) -> FoundPin {
        if let Some(pin) = lock(&self.pins).get(key, now) {
            return FoundPin::of(pin);
        }
        let found = self.ask_homes(key).await;
        if let Some(pin) = &found.pin {
            let copies = found.missing_at.iter();
            copies.for_each(|home| self.send(home, &Message::Pin(pin.clone())));
            lock(&self.pins).pin(pin.clone(), now);
        }
        found
    }

    async fn ask_homes(&self, key: &SessionKey) -> FoundPin {
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
            if let LookupStep::Found(pin, missing_at) = step {
                let pin = Some(pin);
                return FoundPin { pin, missing_at };
            }
        }
        let missing_at = match step {
            LookupStep::New(missing_at) => missing_at,
            LookupStep::Wait | LookupStep::Found(..) => Vec::new(),
        };
        FoundPin {
            pin: None,
            missing_at,
        }
    }

    /// Stores a pin here and at the session's homes, and returns the one in force: of two first
    /// requests at once, one chooses the version for both.
    pub(crate) async fn store_pin(&self, pin: Pin, found: FoundPin, now: Time) -> Pin {
        let is_known = found.pin.is_some_and(|held| held.version == pin.version);
        if is_known {
            return pin;
        }
        // A pin that replaces another must reach every home, or the old one would come back.
        let homes = match &pin.replaces {
            Some(_) => self.homes(&pin.key),
            None => found.missing_at,
        };
        let mut homes = homes.into_iter();
        let mut in_force = pin;
        if let Some(first) = homes.next() {
            in_force = self.pin_at(&first, in_force, now).await;
        }
        homes.for_each(|home| self.send(&home, &Message::Pin(in_force.clone())));
        lock(&self.pins).pin(in_force, now)
    }

    async fn pin_at(&self, home: &DaemonId, pin: Pin, now: Time) -> Pin {
        if *home == self.me {
            return lock(&self.pins).pin(pin, now);
        }
        let answer = self.ask(home, &Message::Pin(pin.clone()));
        match read_reply(answer).await {
            Some(Reply::Found(in_force)) if in_force.key == pin.key => Pin {
                replaces: pin.replaces,
                ..in_force
            },
            _ => pin,
        }
    }

    /// Answers another daemon's message; `None` if it cannot be decoded.
    pub(crate) fn answer(&self, body: &Bytes, now: Time) -> Option<Payload> {
        let message = serde_json::from_slice::<Message>(body).ok()?;
        let reply = lock(&self.pins).answer(message, now);
        payload(&reply)
    }

    /// Drops idle pins, and sends pins to daemons that became their homes.
    pub(crate) fn tick(&self, now: Time) {
        let moved = {
            let mut pins = lock(&self.pins);
            pins.expire(now, MAX_EXPIRED_PER_TICK);
            pins.rehome(&self.me, now)
        };
        for (home, pin) in moved {
            self.send(&home, &Message::Pin(pin));
        }
    }

    /// Number of pins and their bound, for the dump.
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

    fn ask(&self, home: &DaemonId, message: &Message) -> Option<PendingReply> {
        let peers = self.peers.get()?;
        Some(peers.ask(self.address(home)?, payload(message)?, HOME_TIMEOUT))
    }

    fn send(&self, home: &DaemonId, message: &Message) {
        if let (Some(peers), Some(address)) = (self.peers.get(), self.address(home))
            && let Some(payload) = payload(message)
        {
            peers.send(address, payload);
        }
    }
}

type PendingReply = flume::Receiver<Result<Payload, peers::AskError>>;

fn payload(content: &impl serde::Serialize) -> Option<Payload> {
    let body = Bytes::from(serde_json::to_vec(content).ok()?);
    let part = Part::Session;
    Some(Payload::Part { part, body })
}

async fn read_reply(answer: Option<PendingReply>) -> Option<Reply> {
    match answer?.recv_async().await.ok()?.ok()? {
        Payload::Part {
            part: Part::Session,
            body,
        } => serde_json::from_slice(&body).ok(),
        _ => None,
    }
}
