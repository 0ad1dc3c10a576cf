//! Messages between daemons, and their maximum encoded length.
//!
//! Lengths are upper bounds for bincode with variable-length integers; a test compares them with
//! the actual encoding.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::fact::{Topic, check_sizes};
use crate::member::{ReportVersion, State};
use crate::origin::{OriginId, OriginTag};

/// Maximum length of an attachment, in bytes.
pub const MAX_ATTACHMENT_BYTES: usize = 32;

/// Sender of a message, as authenticated by its envelope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Name of the sender.
    pub id: DaemonId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Address at which the sender is reached.
    pub address: SocketAddr,
}

/// A message and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Message to send.
    pub message: Message,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to acknowledge that it is alive.
    Probe {
        /// Sequence number, returned in the acknowledgement.
        seq: u32,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Confirms that the sender is alive, or that the target of an indirect probe is.
    Ack {
        /// Sequence number of the probe.
        seq: u32,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Asks the receiver to probe another daemon on the sender's behalf.
    ProbeFor {
        /// Sequence number, returned in the acknowledgement.
        seq: u32,
        /// Daemon to probe.
        target: DaemonId,
    },
    /// Gossip only.
    Push(Gossip),
    /// Announces a new daemon and asks for the members.
    Join(MemberRecord),
    /// Asks for the members whose name sorts after this one.
    PageRequest(DaemonId),
    /// A page of members in order of their names.
    Page {
        /// Members on this page.
        members: Vec<MemberRecord>,
        /// Name after which the next page starts; none on the last page.
        next: Option<DaemonId>,
    },
    /// Summary of what the sender knows of a range of origins.
    Digest(Digest),
    /// Reply to a digest: what the receiver lacks, and what the sender asks for.
    Repair {
        /// Members that the receiver lacks or knows differently.
        members: Vec<MemberRecord>,
        /// Facts that the receiver lacks or knows differently.
        origins: Vec<OriginFacts>,
        /// Origins of which the receiver knows more than the sender.
        wanted: Vec<OriginTag>,
    },
}

/// Gossip carried on messages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Bytes that the sender attaches to every message.
    pub attachment: Bytes,
    /// Changes of members.
    pub members: Vec<MemberUpdate>,
    /// Changes of facts.
    pub facts: Vec<FactGroup>,
}

/// A change of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// Full record, for a member that the receiver may not know.
    Full(MemberRecord),
    /// Short form; ignored unless the receiver knows this incarnation of the member.
    Brief {
        /// Tag of the member's name and incarnation.
        origin: OriginTag,
        /// Number of refutations by this incarnation.
        refutation: u32,
        /// Reported state.
        state: State,
    },
}

/// Full record of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the member.
    pub id: DaemonId,
    /// Version of this record.
    pub stamp: ReportVersion,
    /// Reported state.
    pub state: State,
    /// Address at which the member is reached.
    pub address: SocketAddr,
    /// Failure domain of the member.
    pub failure_domain: FailureDomain,
    /// Region that contains the failure domain.
    pub region: Region,
}

/// A fact value and all origins that publish it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactGroup {
    /// Topic of the fact.
    pub topic: Topic,
    /// Key of the fact.
    pub key: Bytes,
    /// Value of the fact.
    pub value: Bytes,
    /// Origins that publish this value, each with the fact's sequence number.
    pub origins: Vec<(OriginTag, u64)>,
}

/// Summary of what a daemon knows of a range of origins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Origin after which the range starts; if absent, it starts at the first origin.
    pub after: Option<OriginId>,
    /// Last origin of the range, inclusive; if absent, the range has no upper end.
    pub until: Option<OriginId>,
    /// Origins in the range.
    pub entries: Vec<DigestEntry>,
}

/// Summary of what a daemon knows of one origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Tag of the origin.
    pub origin: OriginTag,
    /// Refutation count and state, if the origin is the current run of a member.
    pub member: Option<(u32, State)>,
    /// Hash of the facts that are still valid; 0 if there are none.
    pub facts: u32,
}

/// Facts of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginFacts {
    /// Daemon and incarnation that published the facts.
    pub origin: OriginId,
    /// Facts with their sequence numbers.
    pub facts: Vec<SharedFact>,
}

/// One fact in its encoded form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFact {
    /// Topic of the fact.
    pub topic: Topic,
    /// Key of the fact.
    pub key: Bytes,
    /// Sequence number; higher is newer.
    pub seq: u64,
    /// Value of the fact.
    pub value: Bytes,
}

/// Maximum encoded length of a small integer (below 2^32), a variant or a length, in bytes.
const SMALL_INT_BYTES: usize = 5;
/// Maximum encoded length of a 64-bit integer, in bytes.
const U64_BYTES: usize = 9;
/// Maximum encoded length of a socket address, in bytes.
const ADDRESS_BYTES: usize = 1 + 16 + 3;

fn text_len(len: usize) -> usize {
    3 + len
}

impl MemberRecord {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let texts = text_len(self.id.as_str().len())
            + text_len(self.failure_domain.as_str().len())
            + text_len(self.region.as_str().len());
        texts + U64_BYTES + SMALL_INT_BYTES + 1 + ADDRESS_BYTES
    }
}

impl MemberUpdate {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        match self {
            Self::Full(record) => 1 + record.wire_len(),
            Self::Brief { .. } => 1 + SMALL_INT_BYTES + 3 + 1,
        }
    }
}

/// Maximum encoded length of an origin in a [`FactGroup`], in bytes, for sequence numbers below
/// 2^16.
pub(crate) const GROUP_ORIGIN_BYTES: usize = SMALL_INT_BYTES + 3;

impl FactGroup {
    /// Maximum encoded length in bytes, for sequence numbers below 2^16.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        Self::header_len(&self.key, &self.value) + self.origins.len() * GROUP_ORIGIN_BYTES
    }

    pub(crate) fn header_len(key: &Bytes, value: &Bytes) -> usize {
        1 + text_len(key.len()) + text_len(value.len()) + 3
    }
}

impl SharedFact {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        1 + text_len(self.key.len()) + U64_BYTES + text_len(self.value.len())
    }
}

impl OriginFacts {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let facts = self.facts.iter().map(SharedFact::wire_len).sum::<usize>();
        self.origin.wire_len() + 3 + facts
    }
}

impl OriginId {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        text_len(self.daemon.as_str().len()) + U64_BYTES
    }
}

impl Gossip {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let members = self
            .members
            .iter()
            .map(MemberUpdate::wire_len)
            .sum::<usize>();
        let facts = self.facts.iter().map(FactGroup::wire_len).sum::<usize>();
        text_len(self.attachment.len()) + 3 + members + 3 + facts
    }

    fn is_well_formed(&self) -> bool {
        let facts = || {
            self.facts
                .iter()
                .all(|f| check_sizes(&f.key, &f.value).is_ok())
        };
        self.attachment.len() <= MAX_ATTACHMENT_BYTES && facts()
    }
}

/// Maximum encoded length of a [`DigestEntry`], in bytes.
const DIGEST_ENTRY_BYTES: usize = SMALL_INT_BYTES + 1 + 3 + 1 + SMALL_INT_BYTES;

impl Message {
    /// Maximum encoded length in bytes.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        1 + match self {
            Self::Probe { gossip, .. } | Self::Ack { gossip, .. } => {
                SMALL_INT_BYTES + gossip.wire_len()
            }
            Self::ProbeFor { target, .. } => SMALL_INT_BYTES + text_len(target.as_str().len()),
            Self::Push(gossip) => gossip.wire_len(),
            Self::Join(record) => record.wire_len(),
            Self::PageRequest(after) => text_len(after.as_str().len()),
            Self::Page { members, next } => {
                let next = next.as_ref().map_or(0, |id| text_len(id.as_str().len()));
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
                members + origins + wanted.len() * SMALL_INT_BYTES + 9
            }
        }
    }

    /// Whether all attachments, keys and values are within their maximum lengths.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        match self {
            Self::Probe { gossip, .. } | Self::Ack { gossip, .. } | Self::Push(gossip) => {
                gossip.is_well_formed()
            }
            Self::Repair { origins, .. } => {
                let mut facts = origins.iter().flat_map(|origin| &origin.facts);
                facts.all(|fact| check_sizes(&fact.key, &fact.value).is_ok())
            }
            _ => true,
        }
    }
}

impl Digest {
    fn wire_len(&self) -> usize {
        let bound = |bound: &Option<OriginId>| 1 + bound.as_ref().map_or(0, OriginId::wire_len);
        bound(&self.after) + bound(&self.until) + 3 + self.entries.len() * DIGEST_ENTRY_BYTES
    }
}
