//! How the catalogue spreads between daemons and from the store.
//!
//! A few daemons per failure domain watch the store; a change is announced to a few
//! random peers at once, each of which asks for what it lacks and announces in turn.
//! Besides, every daemon asks a few random peers each second how far they are and how
//! fresh, which repairs what announcements missed. Revisions are dense, so a gap shows.
//!
//! [`Sync`] is pure: messages, the store's replies and ticks go in, [`Effect`]s come out.

mod contact;
mod freshness;
mod message;
mod repair;
mod report;
mod source;
mod transfer;
mod watchers;

use std::collections::BTreeMap;

use keyvalue::Request;
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::head::Keys;
use crate::record::{Catalogue, Held};
use crate::sync::contact::Touch;
use crate::sync::freshness::FleetSize;
use crate::sync::source::Source;
use crate::sync::transfer::Transfer;

pub use crate::sync::freshness::{Decision, Reach, decide};
pub use crate::sync::message::{MAX_MESSAGE_SIZE, MAX_PAGE_RECORDS, Message, MessageError};
pub use crate::sync::report::{Heard, InForce, Laggard};
pub use crate::sync::watchers::watchers;

/// Most daemons whose reports are kept.
pub const MAX_HEARD: usize = 2048;

/// How eagerly a daemon spreads and checks.
#[derive(Debug, Clone)]
pub struct Config {
    /// This daemon.
    pub me: DaemonId,
    /// The fleet's keys in the store.
    pub keys: Keys,
    /// Daemons per failure domain that watch the store.
    pub watchers_per_domain: usize,
    /// Peers told at once of a new revision.
    pub fanout: usize,
    /// Peers asked each time.
    pub asked: usize,
    /// Time between two rounds of asking.
    pub ask_interval: Span,
    /// Time between two reads of the head by a watcher.
    pub poll_interval: Span,
    /// A page or a reply of the store is due within.
    pub patience: Span,
    /// Bytes of records in a page, unless one record is longer.
    pub page: ByteSize,
    /// A report counts as reaching a daemon for so long.
    pub reach: Span,
}

impl Config {
    /// The defaults for a daemon of a fleet.
    #[must_use]
    pub fn new(me: DaemonId, cluster: &ClusterName) -> Self {
        Self {
            me,
            keys: Keys::new(cluster),
            watchers_per_domain: 2,
            fanout: 3,
            asked: 2,
            ask_interval: Span::from_secs(1),
            poll_interval: Span::from_secs(2),
            patience: Span::from_secs(3),
            page: ByteSize(32 << 10),
            reach: Span::from_secs(30),
        }
    }
}

/// A live daemon as the membership tells.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub id: DaemonId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// What the caller does for [`Sync`].
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send to a daemon; may be lost.
    Send {
        /// To whom.
        to: DaemonId,
        /// What.
        message: Message,
    },
    /// Call the store and bring back the outcome. One at a time.
    Store(Request),
    /// Begin to watch the catalogue's keys, from now on.
    Watch,
    /// Stop watching.
    StopWatch,
    /// The catalogue changed; it is complete up to this revision.
    Applied(Revision),
}

/// One daemon's part in spreading the catalogue.
#[derive(Debug)]
pub struct Sync {
    cfg: Config,
    catalogue: Catalogue,
    members: Vec<Member>,
    heard: BTreeMap<DaemonId, Heard>,
    /// The moment of which the catalogue was last known to be current.
    confirmed: Option<Time>,
    touch: Touch,
    /// The moment of which the store was last known to answer some daemon.
    store_answered: Option<Time>,
    fleet: FleetSize,
    transfer: Option<Transfer>,
    source: Source,
    watching: bool,
    next_ask: Time,
    /// Peers in a row that had other records at the same revision.
    mismatches: u32,
    next_compare: Time,
    /// Someone waits until this revision is in force everywhere.
    awaited: Option<(Revision, Time)>,
}

impl Sync {
    /// Without a catalogue: such a daemon serves nothing.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let source = Source::new(cfg.keys.clone());
        Self {
            cfg,
            catalogue: Catalogue::default(),
            members: Vec::new(),
            heard: BTreeMap::new(),
            confirmed: None,
            touch: Touch::default(),
            store_answered: None,
            fleet: FleetSize::default(),
            transfer: None,
            source,
            watching: false,
            next_ask: Time::ZERO,
            mismatches: 0,
            next_compare: Time::ZERO,
            awaited: None,
        }
    }

    /// The catalogue held.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The highest revision that any daemon told of.
    #[must_use]
    pub fn fleet_revision(&self) -> Revision {
        let heard = self.heard.values().map(|heard| heard.revision).max();
        heard.unwrap_or_default().max(self.catalogue.highest())
    }

    /// True while this daemon is one of the store's watchers.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Does what is due. `members` are the live daemons, this one included.
    pub fn tick(&mut self, now: Time, members: &[Member], rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.touch.begin(now);
        if self.members != members {
            self.meet(now, members, &mut effects);
            self.members = members.to_vec();
            self.choose_watching(&mut effects);
            self.forget_silent(now);
        }
        self.note_fleet_size(now);
        self.tick_transfer(now);
        if now.has_reached(self.next_ask) {
            self.next_ask = now + self.cfg.ask_interval;
            self.ask_peers(now, rng, &mut effects);
        }
        self.tick_source(now, rng, &mut effects);
        effects
    }

    /// Takes a message of a peer that is known to be of this fleet.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &DaemonId,
        message: Message,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Ask { told, token } => {
                self.hear(now, from, &told);
                let reply = self.tell(now, token);
                effects.push(send(from, reply));
                self.want_newer(now, from, &told, &mut effects);
            }
            Message::Tell {
                told,
                age,
                store_age,
                settled,
                fleet,
                token,
            } => {
                self.hear(now, from, &told);
                self.touch.note_answer(now, from, token, settled);
                self.note_store(now, store_age, token);
                self.note_fleet(now, fleet, token);
                self.confirm(now, &told, age, token);
                self.compare_whole(now, from, &told, &mut effects);
                self.want_newer(now, from, &told, &mut effects);
            }
            Message::Announce { told } => {
                self.hear(now, from, &told);
                self.want_newer(now, from, &told, &mut effects);
            }
            Message::Want { after, cursor } => {
                effects.push(send(from, self.page(after, cursor)));
            }
            Message::Page(page) => self.on_page(now, from, page, rng, &mut effects),
        }
        effects
    }

    /// Takes records that came by another way, such as those an edit read or wrote.
    pub fn learn(&mut self, records: Vec<(EntryName, Held)>, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.apply(records, None, rng, &mut effects);
        effects
    }

    /// Applies records and tells of a new revision.
    fn apply(
        &mut self,
        records: Vec<(EntryName, Held)>,
        complete_to: Option<Revision>,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.catalogue.revision();
        let changed = self.catalogue.apply_all(records, complete_to);
        let revision = self.catalogue.revision();
        self.source.confirm(revision, &mut self.confirmed);
        if changed || revision != before {
            effects.push(Effect::Applied(revision));
        }
        if revision != before {
            self.announce(rng, effects);
        }
    }

    /// Tells a few random peers at once.
    fn announce(&mut self, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let told = self.told();
        for peer in self.random_peers(self.cfg.fanout, rng) {
            effects.push(send(&peer, Message::Announce { told }));
        }
    }

    fn ask_peers(&mut self, now: Time, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let mut peers = self.random_peers(self.cfg.asked, rng);
        peers.extend(self.awaited_laggards(now));
        peers.sort();
        peers.dedup();
        let (told, token) = (self.told(), now);
        for peer in peers {
            effects.push(send(&peer, Message::Ask { told, token }));
        }
    }

    fn random_peers(&self, count: usize, rng: &mut impl Rng) -> Vec<DaemonId> {
        let others = self
            .members
            .iter()
            .filter(|member| member.id != self.cfg.me);
        let mut others: Vec<&DaemonId> = others.map(|member| &member.id).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !others.is_empty() {
            let place = rng.random_range(0..others.len());
            chosen.push(others.swap_remove(place).clone());
        }
        chosen
    }

    fn told(&self) -> message::Told {
        message::Told {
            revision: self.catalogue.revision(),
            digest: self.catalogue.digest(),
        }
    }
}

fn send(to: &DaemonId, message: Message) -> Effect {
    Effect::Send {
        to: to.clone(),
        message,
    }
}
