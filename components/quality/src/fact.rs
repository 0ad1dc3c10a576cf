//! Encoding of the facts that daemons publish to each other: counters of ratings, and suspensions.
//!
//! An evidence fact holds its daemon's own totals, which only grow, and the daemon's view of the
//! whole fleet; a daemon that has just started adopts that view, since it also holds the ratings of
//! daemons that are gone. A suspension fact holds two counters, which only grow too.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use types::prelude::*;

use crate::rating::{BINS, Bin, Totals};
use crate::stream::{Phase, StreamId};
use crate::suspension::SuspensionCounters;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;

const EVIDENCE_KIND: u8 = b'q';
const SUSPENSION_KIND: u8 = b's';
const FORMAT_VERSION: u8 = 1;
const MILLIS_PER_SECOND: u64 = 1_000;
const SHARE_STEPS: f64 = 65_535.0;
const VARINT_CONTINUES: u8 = 0x80;
const VARINT_BITS: u32 = 7;
const VARINT_MAX_BYTES: u32 = 5;

/// Encoded fact, published under this daemon's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedFact {
    /// Encoded kind and stream, at most [`MAX_KEY_BYTES`] long.
    pub key: Bytes,
    /// Encoded content, at most [`MAX_VALUE_BYTES`] long.
    pub value: Bytes,
}

impl EncodedFact {
    /// Whether it is about a suspension, which should be sent to the peers at once.
    #[must_use]
    pub fn is_suspension(&self) -> bool {
        self.key.first() == Some(&SUSPENSION_KIND)
    }
}

/// Reason for which a peer's fact, or a new stream, is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FactError {
    /// The key or value is too long.
    #[error("a fact of {0} bytes is longer than allowed; the peer runs another release")]
    TooLong(usize),
    /// The key or the format is unknown.
    #[error("a fact has an unknown key; the peer runs another release")]
    UnknownKey,
    /// The value is truncated or holds an invalid number.
    #[error("a fact cannot be read; the peer runs another release or is faulty")]
    Malformed,
    /// The maximum number of streams is reached.
    #[error("more than {0} versions and classes are known; withdraw some from the catalogue")]
    TooMany(usize),
}

/// Decoded fact.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fact {
    Evidence(StreamId, Evidence),
    Suspension(StreamId, SuspensionCounters),
}

/// One daemon's evidence on one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Evidence {
    pub(crate) incarnation: Incarnation,
    /// Uptime of the daemon when it published this.
    pub(crate) uptime: Span,
    pub(crate) totals: Totals,
    /// The daemon's decayed totals over the whole fleet.
    pub(crate) view: Totals,
    pub(crate) reference: f64,
    pub(crate) phase: Phase,
}

pub(crate) fn encode(fact: &Fact) -> EncodedFact {
    let mut value = BytesMut::with_capacity(MAX_VALUE_BYTES);
    value.put_u8(FORMAT_VERSION);
    let key = match fact {
        Fact::Evidence(id, evidence) => {
            put_evidence(&mut value, evidence);
            key(EVIDENCE_KIND, *id)
        }
        Fact::Suspension(id, counters) => {
            put_varint(&mut value, counters.suspended);
            put_varint(&mut value, counters.lifted);
            key(SUSPENSION_KIND, *id)
        }
    };
    EncodedFact {
        key,
        value: value.freeze(),
    }
}

fn key(kind: u8, id: StreamId) -> Bytes {
    let mut key = BytesMut::with_capacity(MAX_KEY_BYTES);
    key.put_u8(kind);
    key.put_u64(id.0);
    key.freeze()
}

pub(crate) fn decode(mut key: &[u8], mut value: &[u8]) -> Result<Fact, FactError> {
    if key.len() > MAX_KEY_BYTES || value.len() > MAX_VALUE_BYTES {
        return Err(FactError::TooLong(key.len().max(value.len())));
    }
    let kind = key.try_get_u8().map_err(|_| FactError::UnknownKey)?;
    let id = StreamId(key.try_get_u64().map_err(|_| FactError::UnknownKey)?);
    let format = value.try_get_u8().map_err(|_| FactError::Malformed)?;
    if !key.is_empty() || format != FORMAT_VERSION {
        return Err(FactError::UnknownKey);
    }
    let fact = match kind {
        EVIDENCE_KIND => Fact::Evidence(id, get_evidence(&mut value)?),
        SUSPENSION_KIND => Fact::Suspension(id, get_counters(&mut value)?),
        _ => return Err(FactError::UnknownKey),
    };
    if value.is_empty() {
        Ok(fact)
    } else {
        Err(FactError::Malformed)
    }
}

fn put_evidence(buf: &mut BytesMut, evidence: &Evidence) {
    buf.put_u64(evidence.incarnation.0);
    buf.put_u32(u32::try_from(evidence.uptime.as_millis() / MILLIS_PER_SECOND).unwrap_or(u32::MAX));
    put_totals(buf, &evidence.totals);
    put_totals(buf, &evidence.view);
    buf.put_u16((evidence.reference.clamp(0.0, 1.0) * SHARE_STEPS) as u16);
    buf.put_u8(match evidence.phase {
        Phase::Unproved => 0,
        Phase::Proved => 1,
        Phase::Suspect => 2,
        Phase::Suspended => 3,
    });
}

fn get_evidence(buf: &mut &[u8]) -> Result<Evidence, FactError> {
    let malformed = |_| FactError::Malformed;
    let incarnation = Incarnation(buf.try_get_u64().map_err(malformed)?);
    let uptime = Span::from_secs(buf.try_get_u32().map_err(malformed)?.into());
    let totals = get_totals(buf)?;
    let view = get_totals(buf)?;
    let reference = f64::from(buf.try_get_u16().map_err(malformed)?) / SHARE_STEPS;
    let phase = match buf.try_get_u8().map_err(malformed)? {
        0 => Phase::Unproved,
        1 => Phase::Proved,
        2 => Phase::Suspect,
        3 => Phase::Suspended,
        _ => return Err(FactError::Malformed),
    };
    Ok(Evidence {
        incarnation,
        uptime,
        totals,
        view,
        reference,
        phase,
    })
}

fn get_counters(buf: &mut &[u8]) -> Result<SuspensionCounters, FactError> {
    Ok(SuspensionCounters {
        suspended: get_varint(buf)?,
        lifted: get_varint(buf)?,
    })
}

fn put_totals(buf: &mut BytesMut, totals: &Totals) {
    let is_filled = |bin: &Bin<u32>| bin.good > 0 || bin.bad > 0;
    let bins = totals.0.iter().enumerate();
    let mask = bins.fold(0u16, |mask, (n, bin)| mask | u16::from(is_filled(bin)) << n);
    buf.put_u16(mask);
    for bin in totals.0.iter().filter(|bin| is_filled(bin)) {
        put_varint(buf, bin.good);
        put_varint(buf, bin.bad);
    }
}

fn get_totals(buf: &mut &[u8]) -> Result<Totals, FactError> {
    let mask = buf.try_get_u16().map_err(|_| FactError::Malformed)?;
    if mask >> BINS != 0 {
        return Err(FactError::Malformed);
    }
    let mut totals = Totals::default();
    let bins = totals.0.iter_mut().enumerate();
    for (_, bin) in bins.filter(|(n, _)| mask >> n & 1 == 1) {
        bin.good = get_varint(buf)?;
        bin.bad = get_varint(buf)?;
    }
    Ok(totals)
}

fn put_varint(buf: &mut BytesMut, mut value: u32) {
    while value >= u32::from(VARINT_CONTINUES) {
        buf.put_u8(value as u8 | VARINT_CONTINUES);
        value >>= VARINT_BITS;
    }
    buf.put_u8(value as u8);
}

fn get_varint(buf: &mut &[u8]) -> Result<u32, FactError> {
    let mut value = 0u64;
    for byte_index in 0..VARINT_MAX_BYTES {
        let byte = buf.try_get_u8().map_err(|_| FactError::Malformed)?;
        value |= u64::from(byte & !VARINT_CONTINUES) << (byte_index * VARINT_BITS);
        if byte & VARINT_CONTINUES == 0 {
            return u32::try_from(value).map_err(|_| FactError::Malformed);
        }
    }
    Err(FactError::Malformed)
}
