//! What daemons send each other, and how long it is on the wire.
//!
//! Lengths are those of bincode with variable-length integers, rounded up; a test
//! compares them with the real encoding.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::fact::{Topic, check};
use crate::member::{Stamp, State};
use crate::origin::{OriginId, OriginTag};

/// Longest attachment, in bytes.
pub const MAX_ATTACHMENT_BYTES: usize = 32;

/// Who sent a message, as its envelope proved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Its name.
    pub id: DaemonId,
    /// Its restart.
    pub incarnation: Incarnation,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// A message and where to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver's address.
    pub to: SocketAddr,
    /// What to send.
    pub message: Message,
}

/// What daemons send each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Probe {
        /// Comes back in the acknowledgement.
        seq: u32,
        /// News on the way.
        news: News,
    },
    /// I am here, or the daemon that you asked me to probe is.
    Ack {
        /// The probe's.
        seq: u32,
        /// News on the way.
        news: News,
    },
    /// Probe another for me.
    ProbeFor {
        /// Comes back in the acknowledgement.
        seq: u32,
        /// Whom.
        target: DaemonId,
    },
    /// News only.
    Push(News),
    /// I am new; send me the members.
    Join(MemberRecord),
    /// Send me the members after this one.
    PageRequest(DaemonId),
    /// Some members in order of their names.
    Page {
        /// The members.
        members: Vec<MemberRecord>,
        /// Ask for what follows this one; nothing at the end.
        next: Option<DaemonId>,
    },
    /// What I hold of a range of origins, in short.
    Digest(Digest),
    /// What you lack in that range, and what I lack.
    Repair {
        /// Members.
        members: Vec<MemberRecord>,
        /// Facts.
        origins: Vec<OriginFacts>,
        /// Origins of which the receiver knows more.
        wanted: Vec<OriginTag>,
    },
}

/// News that travels on messages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// What the sender attaches to every message.
    pub attachment: Bytes,
    /// Changes of members.
    pub members: Vec<MemberNews>,
    /// Changes of facts.
    pub facts: Vec<FactGroup>,
}

/// A change of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberNews {
    /// A member that the receiver may not know.
    Full(MemberRecord),
    /// A restart that the receiver knows, or else ignores.
    Brief {
        /// Which restart of which daemon.
        origin: OriginTag,
        /// How often it refuted its death.
        refutation: u32,
        /// What is said of it.
        state: State,
    },
}

/// All there is to know of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub id: DaemonId,
    /// How new this is.
    pub stamp: Stamp,
    /// What is said of it.
    pub state: State,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where that stands.
    pub region: Region,
}

/// One value and the origins that say it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactGroup {
    /// What it is about.
    pub topic: Topic,
    /// Which fact.
    pub key: Bytes,
    /// What it says.
    pub value: Bytes,
    /// Who says it, each with the fact's sequence number.
    pub origins: Vec<(OriginTag, u64)>,
}

/// What a daemon holds of a range of origins, in short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The range begins after this one, or at the first.
    pub after: Option<OriginId>,
    /// The range ends with this one, or at the last.
    pub until: Option<OriginId>,
    /// The origins in the range.
    pub entries: Vec<DigestEntry>,
}

/// What a daemon holds of one origin, in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Which.
    pub origin: OriginTag,
    /// Refutations and state, where the origin is a member.
    pub member: Option<(u32, State)>,
    /// Hash over the facts that still count, 0 for none.
    pub facts: u32,
}

/// Facts of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginFacts {
    /// Whose.
    pub origin: OriginId,
    /// What they say.
    pub facts: Vec<SharedFact>,
}

/// One fact on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFact {
    /// What it is about.
    pub topic: Topic,
    /// Which fact.
    pub key: Bytes,
    /// How new.
    pub seq: u64,
    /// What it says.
    pub value: Bytes,
}

/// Longest encoding of a small integer (below 2^32), a variant or a length.
const SMALL: usize = 5;
/// Longest encoding of a 64-bit integer.
const LARGE: usize = 9;
/// Longest encoding of an address.
const ADDRESS: usize = 1 + 16 + 3;

fn text(len: usize) -> usize {
    3 + len
}

impl MemberRecord {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let texts = text(self.id.as_str().len())
            + text(self.failure_domain.as_str().len())
            + text(self.region.as_str().len());
        texts + LARGE + SMALL + 1 + ADDRESS
    }
}

impl MemberNews {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        match self {
            Self::Full(record) => 1 + record.wire_len(),
            Self::Brief { .. } => 1 + SMALL + 3 + 1,
        }
    }
}

/// Length of an origin in a [`FactGroup`] at most, in bytes, for sequence numbers below 2^16.
pub(crate) const GROUP_ORIGIN: usize = SMALL + 3;

impl FactGroup {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        Self::head_len(&self.key, &self.value) + self.origins.len() * GROUP_ORIGIN
    }

    pub(crate) fn head_len(key: &Bytes, value: &Bytes) -> usize {
        1 + text(key.len()) + text(value.len()) + 3
    }
}

impl SharedFact {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        1 + text(self.key.len()) + LARGE + text(self.value.len())
    }
}

impl OriginFacts {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let facts = self.facts.iter().map(SharedFact::wire_len).sum::<usize>();
        self.origin.wire_len() + 3 + facts
    }
}

impl OriginId {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        text(self.daemon.as_str().len()) + LARGE
    }
}

impl News {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let members = self.members.iter().map(MemberNews::wire_len).sum::<usize>();
        let facts = self.facts.iter().map(FactGroup::wire_len).sum::<usize>();
        text(self.attachment.len()) + 3 + members + 3 + facts
    }

    fn is_well_formed(&self) -> bool {
        let facts = || self.facts.iter().all(|f| check(&f.key, &f.value).is_ok());
        self.attachment.len() <= MAX_ATTACHMENT_BYTES && facts()
    }
}

/// Length of a [`DigestEntry`] on the wire at most, in bytes.
const DIGEST_ENTRY: usize = SMALL + 1 + 3 + 1 + SMALL;

impl Message {
    /// Length on the wire at most, in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        1 + match self {
            Self::Probe { news, .. } | Self::Ack { news, .. } => SMALL + news.wire_len(),
            Self::ProbeFor { target, .. } => SMALL + text(target.as_str().len()),
            Self::Push(news) => news.wire_len(),
            Self::Join(record) => record.wire_len(),
            Self::PageRequest(after) => text(after.as_str().len()),
            Self::Page { members, next } => {
                let next = next.as_ref().map_or(0, |id| text(id.as_str().len()));
                let members = members.iter().map(MemberRecord::wire_len).sum::<usize>();
                members + 3 + 1 + next
            }
            Self::Digest(digest) => digest.wire_len(),
            Self::Repair {
                members,
                origins,
                wanted,
            } => {
                let members = members.iter().map(MemberRecord::wire_len).sum::<usize>();
                let origins = origins.iter().map(OriginFacts::wire_len).sum::<usize>();
                members + origins + wanted.len() * SMALL + 9
            }
        }
    }

    /// Whether every part keeps its bounds.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        match self {
            Self::Probe { news, .. } | Self::Ack { news, .. } | Self::Push(news) => {
                news.is_well_formed()
            }
            Self::Repair { origins, .. } => {
                let mut facts = origins.iter().flat_map(|origin| &origin.facts);
                facts.all(|fact| check(&fact.key, &fact.value).is_ok())
            }
            _ => true,
        }
    }
}

impl Digest {
    fn wire_len(&self) -> usize {
        let edge = |edge: &Option<OriginId>| 1 + edge.as_ref().map_or(0, OriginId::wire_len);
        edge(&self.after) + edge(&self.until) + 3 + self.entries.len() * DIGEST_ENTRY
    }
}
