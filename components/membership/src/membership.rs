//! Membership state of one daemon, and the queries on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rand::Rng;
use types::prelude::*;

use crate::config::{Config, TokenBucket};
use crate::fact::{Fact, PublishError, Topic};
use crate::member::{Member, MemberTable, ReportVersion, State};
use crate::message::{Envelope, MAX_ATTACHMENT_BYTES, MemberRecord};
use crate::origin::{OriginId, OriginTable};
use crate::probe::Prober;
use crate::repair::Cursor;
use crate::rumor::{Rumors, Subject, Urgency};

mod gossip;
mod publish;
mod receive;
mod report;
mod tick;

/// Number of times each daemon sends an urgent fact: four rounds.
const URGENT_TRANSMISSIONS: u8 = 16;
/// Number of times each daemon sends any other fact.
const FACT_TRANSMISSIONS: u8 = 3;

/// A change that the caller may act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A daemon is present: it is new, restarted, or was down before.
    MemberUp {
        /// Name of the daemon.
        id: DaemonId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A daemon does not answer.
    MemberSuspect {
        /// Name of the daemon.
        id: DaemonId,
    },
    /// A daemon is down or left.
    MemberDown {
        /// Name of the daemon.
        id: DaemonId,
        /// Whether the daemon itself announced that it leaves.
        left: bool,
    },
    /// A fact is new or has a new value.
    FactChanged {
        /// Daemon that published the fact.
        origin: DaemonId,
        /// Topic of the fact.
        topic: Topic,
        /// Key of the fact.
        key: Bytes,
    },
    /// A message carried an attachment.
    Attachment {
        /// Sender of the message.
        from: DaemonId,
        /// Content of the attachment.
        bytes: Bytes,
    },
    /// Another process uses this daemon's name; one of the two must be stopped.
    DuplicateName {
        /// Address of the other process.
        address: SocketAddr,
    },
    /// An earlier run had a higher incarnation; this daemon continues with this one, which is
    /// higher still.
    IncarnationRaised(Incarnation),
}

/// Result of a call: messages to send and events.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Messages to send.
    pub send: Vec<Envelope>,
    /// Events in the order in which they occurred.
    pub events: Vec<Event>,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Messages rejected because a part exceeds its limits.
    pub malformed: u64,
    /// Messages from an earlier run of a daemon.
    pub stale: u64,
    /// Members not added because the table was full.
    pub members_refused: u64,
    /// Facts rejected: unknown origin, no room, or older than the stored value.
    pub facts_refused: u64,
    /// New facts received.
    pub facts_new: u64,
    /// Facts received that were already known.
    pub facts_repeated: u64,
    /// Number of times this daemon refuted reports that it is suspect or gone.
    pub refutations: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
    /// Bytes of messages sent, without envelopes.
    pub bytes_sent: u64,
    /// Messages sent.
    pub messages_sent: u64,
}

/// Number of entries in the tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Fill {
    /// Members, including those that are gone.
    pub members: usize,
    /// Origins of facts, including retired ones.
    pub origins: usize,
    /// Facts of all origins.
    pub facts: usize,
    /// Updates waiting to be sent.
    pub rumors: usize,
}

/// Times of the next periodic actions.
#[derive(Debug, Default)]
struct Schedule {
    push_at: Time,
    repair_at: Time,
    heal_at: Time,
    join_at: Time,
    cleanup_at: Time,
    join_attempts: u32,
}

/// Membership and shared facts as seen by one daemon.
#[derive(Debug)]
pub struct Membership {
    cfg: Config,
    local: MemberRecord,
    members: MemberTable,
    pub(crate) origins: OriginTable,
    rumors: Rumors,
    prober: Prober,
    schedule: Schedule,
    pub(crate) cursor: Cursor,
    gossip_budget: TokenBucket,
    repair_budget: TokenBucket,
    join_budget: TokenBucket,
    own_seq: u64,
    attachment: Bytes,
    last_tick_at: Option<Time>,
    counters: Counters,
}

impl Membership {
    /// Creates a membership that knows no other daemon yet.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let local = MemberRecord {
            id: cfg.local_id.clone(),
            stamp: ReportVersion {
                incarnation: cfg.incarnation,
                refutation: 0,
            },
            state: State::Alive,
            address: cfg.address,
            failure_domain: cfg.failure_domain.clone(),
            region: cfg.region.clone(),
        };
        let budget = &cfg.budget;
        let mut membership = Self {
            gossip_budget: TokenBucket::new(budget.rate as f64, budget.burst as f64),
            repair_budget: TokenBucket::new(budget.repair_rate as f64, budget.repair_burst as f64),
            join_budget: TokenBucket::new(budget.repair_rate as f64, budget.join_burst as f64),
            local,
            cfg,
            members: MemberTable::default(),
            origins: OriginTable::default(),
            rumors: Rumors::default(),
            prober: Prober::default(),
            schedule: Schedule::default(),
            cursor: Cursor::catching_up(),
            own_seq: 0,
            attachment: Bytes::new(),
            last_tick_at: None,
            counters: Counters::default(),
        };
        membership.origins.add(membership.own_origin());
        membership
    }

    /// This daemon's own record.
    #[must_use]
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// All other known daemons, including those that are gone.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Looks up another daemon.
    #[must_use]
    pub fn member(&self, id: &DaemonId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Number of present daemons, including this one.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.members.present() + 1
    }

    /// Estimated number of reachable daemons, including this one, based on the last probes.
    ///
    /// An isolated daemon probes one other per second, so it needs minutes to declare hundreds
    /// down. The share of answered probes drops within seconds.
    #[must_use]
    pub fn reachable(&self) -> usize {
        let others = self.members.present() as f64;
        (others * self.prober.answered_ratio()).round() as usize + 1
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of entries in the tables.
    #[must_use]
    pub fn fill(&self) -> Fill {
        Fill {
            members: self.members.len(),
            origins: self.origins.len(),
            facts: self.origins.fact_count(),
            rumors: self.rumors.len(),
        }
    }

    /// Replaces the seed addresses, for example with the store's list.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.cfg.seeds = seeds;
    }

    /// Sets bytes to attach to every message from now on, at most [`MAX_ATTACHMENT_BYTES`].
    ///
    /// # Errors
    /// Returns an error if the attachment is too long.
    pub fn set_attachment(&mut self, bytes: Bytes) -> Result<(), PublishError> {
        if bytes.len() > MAX_ATTACHMENT_BYTES {
            return Err(PublishError::ValueTooLong(bytes.len()));
        }
        self.attachment = bytes;
        Ok(())
    }

    /// Facts on a topic from every origin, including this daemon.
    ///
    /// For a daemon that restarted, this includes the cumulative facts of its earlier runs.
    pub fn facts(&self, topic: Topic) -> impl Iterator<Item = Fact> {
        self.origins.facts(topic)
    }

    /// Sends urgent updates now instead of at the next tick.
    pub fn flush(&mut self, now: Time, rng: &mut impl Rng) -> Outcome {
        let mut outcome = Outcome::default();
        if self.rumors.has_urgent() {
            self.push_urgent(now, None, rng, &mut outcome);
        }
        outcome
    }

    /// Announces that this daemon leaves, so that others need not suspect it first.
    pub fn leave(&mut self, now: Time, rng: &mut impl Rng) -> Outcome {
        self.local.state = State::Left;
        let mut outcome = Outcome::default();
        self.rumors.add(
            Subject::Member(self.local.id.clone()),
            Urgency::Urgent,
            URGENT_TRANSMISSIONS,
        );
        self.push_urgent(now, None, rng, &mut outcome);
        outcome
    }

    pub(crate) fn own_origin(&self) -> OriginId {
        OriginId {
            daemon: self.local.id.clone(),
            incarnation: self.local.stamp.incarnation,
        }
    }

    /// Record of an origin if it is the current run of its daemon.
    pub(crate) fn current_record(&self, id: &OriginId) -> Option<&MemberRecord> {
        let record = if id.daemon == self.local.id {
            &self.local
        } else {
            &self.members.get(&id.daemon)?.record
        };
        (record.stamp.incarnation == id.incarnation).then_some(record)
    }

    pub(crate) fn max_message_bytes(&self) -> usize {
        self.cfg.budget.message
    }

    /// Present members grouped by failure domain, including this daemon.
    #[must_use]
    pub fn by_failure_domain(&self) -> BTreeMap<FailureDomain, Vec<DaemonId>> {
        let mut domains = BTreeMap::<_, Vec<_>>::new();
        let others = self.members.iter().map(|member| &member.record);
        let all = others.chain([&self.local]);
        for record in all.filter(|record| record.state.is_present()) {
            let domain = domains.entry(record.failure_domain.clone()).or_default();
            domain.push(record.id.clone());
        }
        domains.values_mut().for_each(|ids| ids.sort());
        domains
    }
}
