//! The membership of one daemon: its tables, and what others may ask of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rand::Rng;
use types::prelude::*;

use crate::config::{Allowance, Config};
use crate::fact::{Fact, PublishError, Topic};
use crate::member::{Member, MemberTable, Stamp, State};
use crate::message::{Envelope, MAX_ATTACHMENT_BYTES, MemberRecord};
use crate::origin::{OriginId, OriginTable};
use crate::probe::Prober;
use crate::repair::Cursor;
use crate::rumor::{Rumors, Subject, Urgency};

mod news;
mod publish;
mod receive;
mod report;
mod tick;

/// Times that an urgent fact is told by each daemon: four rounds.
const URGENT_TIMES: u8 = 16;
/// Times that any other fact is told by each daemon.
const FACT_TIMES: u8 = 3;

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A daemon is there: new, restarted, or back from the dead.
    MemberUp {
        /// Which.
        id: DaemonId,
        /// Its restart.
        incarnation: Incarnation,
    },
    /// A daemon does not answer.
    MemberSuspect {
        /// Which.
        id: DaemonId,
    },
    /// A daemon is gone.
    MemberDown {
        /// Which.
        id: DaemonId,
        /// Whether it said so itself.
        left: bool,
    },
    /// A fact is new or has a new value.
    FactChanged {
        /// Whose.
        origin: DaemonId,
        /// On what.
        topic: Topic,
        /// Which.
        key: Bytes,
    },
    /// A message came with an attachment.
    Attachment {
        /// From whom.
        from: DaemonId,
        /// What.
        bytes: Bytes,
    },
    /// Another process goes by this daemon's name; one of the two must stop.
    DuplicateName {
        /// Where the other is reached.
        address: SocketAddr,
    },
    /// An earlier run had a higher incarnation; this daemon goes on with a higher one yet.
    IncarnationRaised(Incarnation),
}

/// What to send and what happened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What to send.
    pub send: Vec<Envelope>,
    /// What happened.
    pub events: Vec<Event>,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Messages with a part over its bounds.
    pub malformed: u64,
    /// Messages from an earlier run of a daemon.
    pub stale: u64,
    /// Members for whom there was no room.
    pub members_refused: u64,
    /// Facts of unknown origins, or without room.
    pub facts_refused: u64,
    /// Facts that were new.
    pub facts_new: u64,
    /// Facts that were known.
    pub facts_repeated: u64,
    /// Own deaths refuted.
    pub refutations: u64,
    /// Pauses of this process noticed.
    pub pauses: u64,
    /// Bytes of messages made, without envelopes.
    pub bytes_sent: u64,
    /// Messages made.
    pub messages_sent: u64,
}

/// How full the tables are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Fill {
    /// Members, the dead included.
    pub members: usize,
    /// Origins of facts, the retired included.
    pub origins: usize,
    /// Facts.
    pub facts: usize,
    /// Changes still to be told.
    pub rumors: usize,
}

/// Moments of the next periodic actions.
#[derive(Debug, Default)]
struct Schedule {
    push_at: Time,
    repair_at: Time,
    heal_at: Time,
    join_at: Time,
    tidy_at: Time,
    join_tries: u32,
}

/// Membership and facts as one daemon sees them.
#[derive(Debug)]
pub struct Membership {
    cfg: Config,
    me: MemberRecord,
    members: MemberTable,
    pub(crate) origins: OriginTable,
    rumors: Rumors,
    prober: Prober,
    schedule: Schedule,
    pub(crate) cursor: Cursor,
    allowance: Allowance,
    repairs: Allowance,
    joins: Allowance,
    own_seq: u64,
    attachment: Bytes,
    ticked_at: Option<Time>,
    counters: Counters,
}

impl Membership {
    /// A daemon that knows nobody yet.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let me = MemberRecord {
            id: cfg.me.clone(),
            stamp: Stamp {
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
            allowance: Allowance::new(budget.rate as f64, budget.burst as f64),
            repairs: Allowance::new(budget.repair_rate as f64, budget.repair_burst as f64),
            joins: Allowance::new(budget.repair_rate as f64, budget.join_burst as f64),
            me,
            cfg,
            members: MemberTable::default(),
            origins: OriginTable::default(),
            rumors: Rumors::default(),
            prober: Prober::default(),
            schedule: Schedule::default(),
            cursor: Cursor::catching_up(),
            own_seq: 0,
            attachment: Bytes::new(),
            ticked_at: None,
            counters: Counters::default(),
        };
        membership.origins.add(membership.my_origin());
        membership
    }

    /// This daemon's own record.
    #[must_use]
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All other daemons known, the dead included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Another daemon.
    #[must_use]
    pub fn member(&self, id: &DaemonId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Daemons in the fleet, this one included.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.members.present() + 1
    }

    /// Daemons in reach, this one included, judged by its last probes.
    ///
    /// A daemon that is cut off alone probes one other a second and so needs minutes to
    /// hold hundreds for dead; that hardly any probe is answered shows after seconds.
    #[must_use]
    pub fn reachable(&self) -> usize {
        let others = self.members.present() as f64;
        (others * self.prober.answered_share()).round() as usize + 1
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How full the tables are.
    #[must_use]
    pub fn fill(&self) -> Fill {
        Fill {
            members: self.members.len(),
            origins: self.origins.len(),
            facts: self.origins.fact_count(),
            rumors: self.rumors.len(),
        }
    }

    /// Replaces the addresses to join by, such as with the store's list.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.cfg.seeds = seeds;
    }

    /// Puts bytes on every message from now on, at most [`MAX_ATTACHMENT_BYTES`].
    ///
    /// # Errors
    /// When they are too long.
    pub fn set_attachment(&mut self, bytes: Bytes) -> Result<(), PublishError> {
        if bytes.len() > MAX_ATTACHMENT_BYTES {
            return Err(PublishError::ValueTooLong(bytes.len()));
        }
        self.attachment = bytes;
        Ok(())
    }

    /// Facts on a topic by every origin, this daemon's own included.
    ///
    /// A daemon that restarted shows the cumulative facts of its earlier runs too.
    pub fn facts(&self, topic: Topic) -> impl Iterator<Item = Fact> {
        self.origins.facts(topic)
    }

    /// Sends what is urgent now instead of at the next tick.
    pub fn flush(&mut self, now: Time, rng: &mut impl Rng) -> Outcome {
        let mut outcome = Outcome::default();
        if self.rumors.has_urgent() {
            self.push_urgent(now, None, rng, &mut outcome);
        }
        outcome
    }

    /// Says goodbye: others need not suspect this daemon first.
    pub fn leave(&mut self, now: Time, rng: &mut impl Rng) -> Outcome {
        self.me.state = State::Left;
        let mut outcome = Outcome::default();
        self.rumors.add(
            Subject::Member(self.me.id.clone()),
            Urgency::Urgent,
            URGENT_TIMES,
        );
        self.push_urgent(now, None, rng, &mut outcome);
        outcome
    }

    pub(crate) fn my_origin(&self) -> OriginId {
        OriginId {
            daemon: self.me.id.clone(),
            incarnation: self.me.stamp.incarnation,
        }
    }

    /// The record of an origin if that is the present run of a daemon.
    pub(crate) fn record_of(&self, id: &OriginId) -> Option<&MemberRecord> {
        let record = if id.daemon == self.me.id {
            &self.me
        } else {
            &self.members.get(&id.daemon)?.record
        };
        (record.stamp.incarnation == id.incarnation).then_some(record)
    }

    pub(crate) fn message_bytes(&self) -> usize {
        self.cfg.budget.message
    }

    /// Members by failure domain, this daemon included, as far as they are present.
    #[must_use]
    pub fn by_failure_domain(&self) -> BTreeMap<FailureDomain, Vec<DaemonId>> {
        let mut domains = BTreeMap::<_, Vec<_>>::new();
        let others = self.members.iter().map(|member| &member.record);
        let all = others.chain([&self.me]);
        for record in all.filter(|record| record.state.is_present()) {
            let domain = domains.entry(record.failure_domain.clone()).or_default();
            domain.push(record.id.clone());
        }
        domains.values_mut().for_each(|ids| ids.sort());
        domains
    }
}
