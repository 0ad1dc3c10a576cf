//! Small facts that daemons exchange: counters of ratings, and suspensions.
//!
//! A counter's fact holds its daemon's own totals, which only grow, and the daemon's view of
//! the fleet, from which a daemon that has just started takes what daemons since gone had
//! learnt. A fact of a suspension holds two rounds, which only grow.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use types::prelude::*;

use crate::rating::{BINS, Bin, Totals};
use crate::stream::{Phase, StreamId};
use crate::suspension::Rounds;

/// Longest key.
pub const MAX_KEY_BYTES: usize = 64;
/// Longest value.
pub const MAX_VALUE_BYTES: usize = 256;

const EVIDENCE: u8 = b'q';
const SUSPENSION: u8 = b's';
const FORMAT: u8 = 1;
const MILLIS: u64 = 1_000;
const SHARE_STEPS: f64 = 65_535.0;
const CONTINUED: u8 = 0x80;
const VARINT_BITS: u32 = 7;
const VARINT_BYTES: u32 = 5;

/// One fact, ready to be published under this daemon's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// At most [`MAX_KEY_BYTES`].
    pub key: Bytes,
    /// At most [`MAX_VALUE_BYTES`].
    pub value: Bytes,
}

impl Cell {
    /// Whether it tells of a suspension, which should spread at once.
    #[must_use]
    pub fn is_suspension(&self) -> bool {
        self.key.first() == Some(&SUSPENSION)
    }
}

/// Why a peer's fact is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CellError {
    /// Longer than allowed.
    #[error("a fact of {0} bytes is longer than allowed; the peer runs another release")]
    TooLong(usize),
    /// Not a key of this component.
    #[error("a fact has an unknown key; the peer runs another release")]
    UnknownKey,
    /// Ends early or holds what it must not.
    #[error("a fact cannot be read; the peer runs another release or is faulty")]
    Malformed,
    /// More versions and classes than are kept.
    #[error("more than {0} versions and classes are known; withdraw some from the catalogue")]
    TooMany(usize),
}

/// What a fact says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fact {
    Evidence(StreamId, Evidence),
    Suspension(StreamId, Rounds),
}

/// One daemon's counters for one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Evidence {
    pub(crate) incarnation: Incarnation,
    /// How long the daemon had run when it published this.
    pub(crate) uptime: Span,
    pub(crate) totals: Totals,
    /// The daemon's faded view of the whole fleet.
    pub(crate) view: Totals,
    pub(crate) reference: f64,
    pub(crate) phase: Phase,
}

pub(crate) fn encode(fact: &Fact) -> Cell {
    let mut value = BytesMut::with_capacity(MAX_VALUE_BYTES);
    value.put_u8(FORMAT);
    let key = match fact {
        Fact::Evidence(id, evidence) => {
            put_evidence(&mut value, evidence);
            key(EVIDENCE, *id)
        }
        Fact::Suspension(id, rounds) => {
            put_varint(&mut value, rounds.suspended);
            put_varint(&mut value, rounds.lifted);
            key(SUSPENSION, *id)
        }
    };
    Cell {
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

pub(crate) fn decode(mut key: &[u8], mut value: &[u8]) -> Result<Fact, CellError> {
    if key.len() > MAX_KEY_BYTES || value.len() > MAX_VALUE_BYTES {
        return Err(CellError::TooLong(key.len().max(value.len())));
    }
    let kind = key.try_get_u8().map_err(|_| CellError::UnknownKey)?;
    let id = StreamId(key.try_get_u64().map_err(|_| CellError::UnknownKey)?);
    let format = value.try_get_u8().map_err(|_| CellError::Malformed)?;
    if !key.is_empty() || format != FORMAT {
        return Err(CellError::UnknownKey);
    }
    let fact = match kind {
        EVIDENCE => Fact::Evidence(id, get_evidence(&mut value)?),
        SUSPENSION => Fact::Suspension(id, get_rounds(&mut value)?),
        _ => return Err(CellError::UnknownKey),
    };
    if value.is_empty() {
        Ok(fact)
    } else {
        Err(CellError::Malformed)
    }
}

fn put_evidence(buf: &mut BytesMut, evidence: &Evidence) {
    buf.put_u64(evidence.incarnation.0);
    buf.put_u32(u32::try_from(evidence.uptime.as_millis() / MILLIS).unwrap_or(u32::MAX));
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

fn get_evidence(buf: &mut &[u8]) -> Result<Evidence, CellError> {
    let malformed = |_| CellError::Malformed;
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
        _ => return Err(CellError::Malformed),
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

fn get_rounds(buf: &mut &[u8]) -> Result<Rounds, CellError> {
    Ok(Rounds {
        suspended: get_varint(buf)?,
        lifted: get_varint(buf)?,
    })
}

fn put_totals(buf: &mut BytesMut, totals: &Totals) {
    let filled = |bin: &Bin<u32>| bin.good > 0 || bin.bad > 0;
    let bins = totals.0.iter().enumerate();
    let mask = bins.fold(0u16, |mask, (n, bin)| mask | u16::from(filled(bin)) << n);
    buf.put_u16(mask);
    for bin in totals.0.iter().filter(|bin| filled(bin)) {
        put_varint(buf, bin.good);
        put_varint(buf, bin.bad);
    }
}

fn get_totals(buf: &mut &[u8]) -> Result<Totals, CellError> {
    let mask = buf.try_get_u16().map_err(|_| CellError::Malformed)?;
    if mask >> BINS != 0 {
        return Err(CellError::Malformed);
    }
    let mut totals = Totals::default();
    let bins = totals.0.iter_mut().enumerate();
    for (_, bin) in bins.filter(|(n, _)| mask >> n & 1 == 1) {
        bin.good = get_varint(buf)?;
        bin.bad = get_varint(buf)?;
    }
    Ok(totals)
}

fn put_varint(buf: &mut BytesMut, mut number: u32) {
    while number >= u32::from(CONTINUED) {
        buf.put_u8(number as u8 | CONTINUED);
        number >>= VARINT_BITS;
    }
    buf.put_u8(number as u8);
}

fn get_varint(buf: &mut &[u8]) -> Result<u32, CellError> {
    let mut number = 0u64;
    for place in 0..VARINT_BYTES {
        let byte = buf.try_get_u8().map_err(|_| CellError::Malformed)?;
        number |= u64::from(byte & !CONTINUED) << (place * VARINT_BITS);
        if byte & CONTINUED == 0 {
            return u32::try_from(number).map_err(|_| CellError::Malformed);
        }
    }
    Err(CellError::Malformed)
}
