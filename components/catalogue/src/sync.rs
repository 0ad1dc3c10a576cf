//! Replication of the catalogue between daemons and from the store.
//!
//! A few daemons per failure domain watch the store. A daemon that reaches a new revision
//! announces it at once to a few random peers, which request what they lack and announce
//! in turn (gossip). In addition, every daemon asks a few random peers each second for
//! their revision, digest and freshness (anti-entropy), which repairs what announcements
//! missed. Revisions are dense, so a missing one is detected.
//!
//! [`Sync`] does no I/O: messages, store replies and ticks go in, [`Effect`]s come out.

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
use crate::record::{Catalogue, EncodedRecord};
use crate::sync::contact::Contact;
use crate::sync::freshness::FleetSize;
use crate::sync::source::Source;
use crate::sync::transfer::Transfer;

pub use crate::sync::freshness::{Decision, Reach, decide};
pub use crate::sync::message::{MAX_MESSAGE_SIZE, MAX_PAGE_RECORDS, Message, MessageError};
pub use crate::sync::report::{Laggard, Propagation, Report};
pub use crate::sync::watchers::watchers;

/// Largest number of daemons whose reports are kept.
pub const MAX_REPORTS: usize = 2048;

/// Fan-out, intervals and timeouts of replication.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this daemon.
    pub me: DaemonId,
    /// The fleet's keys in the store.
    pub keys: Keys,
    /// Daemons per failure domain that watch the store.
    pub watchers_per_domain: usize,
    /// Random peers to which a new revision is announced.
    pub fanout: usize,
    /// Random peers asked in each anti-entropy round.
    pub peers_per_round: usize,
    /// Time between two anti-entropy rounds.
    pub round_interval: Span,
    /// Time between two reads of the head by a watcher.
    pub poll_interval: Span,
    /// Timeout for the next page of a transfer.
    pub page_timeout: Span,
    /// Bytes after which a page takes no further records; it may exceed this by one record.
    pub page_size: ByteSize,
    /// How long a store answer counts as recent when the reachable part is assessed.
    pub reach_window: Span,
}

impl Config {
    /// Returns the default configuration for this daemon of a fleet.
    #[must_use]
    pub fn new(me: DaemonId, cluster: &ClusterName) -> Self {
        Self {
            me,
            keys: Keys::new(cluster),
            watchers_per_domain: 2,
            fanout: 3,
            peers_per_round: 2,
            round_interval: Span::from_secs(1),
            poll_interval: Span::from_secs(2),
            page_timeout: Span::from_secs(3),
            page_size: ByteSize(32 << 10),
            reach_window: Span::from_secs(30),
        }
    }
}

/// A live daemon according to the membership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The daemon's name.
    pub id: DaemonId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
}

/// An action that [`Sync`] asks its caller to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a daemon; it may be lost.
    Send {
        /// The recipient.
        to: DaemonId,
        /// The message to encode and send.
        message: Message,
    },
    /// Call the store and pass the outcome to [`Sync::on_store`]. One call is in flight at a time.
    Store(Request),
    /// Start watching the catalogue's keys from the store's current revision.
    Watch,
    /// Stop watching the catalogue's keys.
    StopWatch,
    /// The catalogue changed and holds every edit up to this revision.
    Applied(Revision),
}

/// The replication state of one daemon.
#[derive(Debug)]
pub struct Sync {
    cfg: Config,
    catalogue: Catalogue,
    members: Vec<Member>,
    reports: BTreeMap<DaemonId, Report>,
    /// The latest time as of which the catalogue is known to have been current.
    validated_at: Option<Time>,
    contact: Contact,
    /// The latest time at which the store is known to have answered any daemon.
    store_answered_at: Option<Time>,
    fleet: FleetSize,
    transfer: Option<Transfer>,
    source: Source,
    watching: bool,
    next_round: Time,
    /// Consecutive summaries with this daemon's revision but another digest.
    mismatches: u32,
    next_whole_transfer: Time,
    /// The revision that a caller waits to see in force everywhere, and until when.
    awaited_revision: Option<(Revision, Time)>,
}

impl Sync {
    /// Creates the state with an empty catalogue; until one arrives, every entry is refused.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let source = Source::new(cfg.keys.clone());
        Self {
            cfg,
            catalogue: Catalogue::default(),
            members: Vec::new(),
            reports: BTreeMap::new(),
            validated_at: None,
            contact: Contact::default(),
            store_answered_at: None,
            fleet: FleetSize::default(),
            transfer: None,
            source,
            watching: false,
            next_round: Time::ZERO,
            mismatches: 0,
            next_whole_transfer: Time::ZERO,
            awaited_revision: None,
        }
    }

    /// Returns the catalogue that this daemon holds.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the highest revision that any daemon has reported, this one included.
    #[must_use]
    pub fn fleet_revision(&self) -> Revision {
        let reported = self.reports.values().map(|report| report.revision).max();
        reported
            .unwrap_or_default()
            .max(self.catalogue.highest_revision())
    }

    /// Whether this daemon is one of those that watch the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Performs the work that is due. `members` are the live daemons, this one included.
    pub fn tick(&mut self, now: Time, members: &[Member], rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.contact.start(now);
        if self.members != members {
            self.ask_new_members(now, members, &mut effects);
            self.members = members.to_vec();
            self.update_watching(&mut effects);
            self.drop_stale_reports(now);
        }
        self.update_fleet_size(now);
        self.tick_transfer(now);
        if now.has_reached(self.next_round) {
            self.next_round = now + self.cfg.round_interval;
            self.ask_peers(now, rng, &mut effects);
        }
        self.tick_source(now, rng, &mut effects);
        effects
    }

    /// Handles a message from a peer already authenticated as a member of this fleet.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &DaemonId,
        message: Message,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::SummaryRequest { summary, asked_at } => {
                self.note_summary(now, from, &summary);
                let reply = self.summary_reply(now, asked_at);
                effects.push(send(from, reply));
                self.request_if_newer(now, from, &summary, &mut effects);
            }
            Message::SummaryReply {
                summary,
                validated_age,
                store_answer_age,
                established,
                largest_fleet,
                asked_at,
            } => {
                self.note_summary(now, from, &summary);
                self.contact.note_reply(now, from, asked_at, established);
                self.note_store_answer(now, store_answer_age, asked_at);
                self.adopt_fleet_size(now, largest_fleet, asked_at);
                self.mark_validated(now, &summary, validated_age, asked_at);
                self.repair_from_peer(now, from, &summary, &mut effects);
                self.request_if_newer(now, from, &summary, &mut effects);
            }
            Message::Announcement { summary } => {
                self.note_summary(now, from, &summary);
                self.request_if_newer(now, from, &summary, &mut effects);
            }
            Message::PageRequest { after, cursor } => {
                effects.push(send(from, self.page(after, cursor)));
            }
            Message::Page(page) => self.on_page(now, from, page, rng, &mut effects),
        }
        effects
    }

    /// Applies records from outside replication, such as those that an edit read or wrote.
    pub fn apply_records(
        &mut self,
        records: Vec<(EntryName, EncodedRecord)>,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.apply(records, None, rng, &mut effects);
        effects
    }

    /// Applies records and announces a new revision.
    fn apply(
        &mut self,
        records: Vec<(EntryName, EncodedRecord)>,
        complete_to: Option<Revision>,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.catalogue.revision();
        let changed = self.catalogue.apply_all(records, complete_to);
        let revision = self.catalogue.revision();
        self.source
            .apply_pending_validation(revision, &mut self.validated_at);
        if changed || revision != before {
            effects.push(Effect::Applied(revision));
        }
        if revision != before {
            self.announce(rng, effects);
        }
    }

    /// Announces this daemon's revision to a few random peers.
    fn announce(&mut self, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let summary = self.summary();
        for peer in self.random_peers(self.cfg.fanout, rng) {
            effects.push(send(&peer, Message::Announcement { summary }));
        }
    }

    fn ask_peers(&mut self, now: Time, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let mut peers = self.random_peers(self.cfg.peers_per_round, rng);
        peers.extend(self.laggards_to_ask(now));
        peers.sort();
        peers.dedup();
        let (summary, asked_at) = (self.summary(), now);
        for peer in peers {
            effects.push(send(&peer, Message::SummaryRequest { summary, asked_at }));
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
            let index = rng.random_range(0..others.len());
            chosen.push(others.swap_remove(index).clone());
        }
        chosen
    }

    fn summary(&self) -> message::Summary {
        message::Summary {
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
