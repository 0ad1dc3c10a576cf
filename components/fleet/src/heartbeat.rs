//! Heartbeats: the state that a daemon sends to a few peers several times a second.
//!
//! Only two daemons watch the store, since every change costs a call for each watcher. Each of the
//! other daemons must notice at once when no watcher is left that reaches both the store and
//! itself. Every heartbeat therefore names the daemons whose watch is known to work and the age of
//! each report. A relay adds the time for which it held the report, and no two clocks are compared.
//!
//! Fields added after the first version of the message follow behind it, so that daemons of either
//! version read each other: an older one ignores them, a newer one treats them as absent.
//!
//! A heartbeat also carries claims on how current copies of the store's keys are, see
//! [`crate::freshness`].

use std::collections::HashMap;

use balance::AverageLoad;
use bytes::Bytes;
use dispatch::{
    Advertisement, BrittleAdvertisement, MAX_PACE_REPORTS, PaceReport, RolloutSummary, SharedLoad,
};
use mirror::Revision;
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::clocks::ReporterClocks;
use crate::freshness::Freshness;

/// Upstreams in one heartbeat at most; the busiest daemons have requests in flight at some hundred.
const MAX_LOADS: usize = 1_024;
/// Rate limits accepted from one heartbeat at most.
const MAX_RATE_LIMITS: usize = 64;
/// Brittle services accepted from one heartbeat at most.
const MAX_BRITTLE: usize = 32;
/// Daemons of one kind named in one heartbeat at most: two watchers are enough, the rest allows for
/// overlaps.
const MAX_REPORTS: usize = 4;
/// Daemons that must get no answer from the store before their peers consider it unreachable: fewer
/// may be cut off from it, and those after them in the watch order get an answer a moment later.
const UNREACHABLE_REPORTS: usize = 3;

/// A daemon's report on whether the store answers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReport {
    /// The daemon that made the report.
    pub daemon: DaemonId,
    /// Age of the report in ms as far as relays know it, not counting the network transit between
    /// them.
    pub age_ms: u16,
    /// Identifies the process of that daemon; increases with each restart.
    pub run: Incarnation,
    /// Time of the report by that daemon's own clock, in ms since its process started.
    pub clock_ms: u64,
    /// The store's revision that it held then; read by the previous release only.
    pub held: Revision,
    /// How long before the report that copy was last known to be current, in ms; read by the
    /// previous release only.
    pub validated_ms: Option<u16>,
}

/// When a heartbeat was sent, by its sender's clock; read by the previous release only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentAt {
    /// Identifies the sender's process; increases with each restart.
    pub run: Incarnation,
    /// Time in ms since that process started.
    pub clock_ms: u64,
}

/// The state of a daemon as it reports it to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The store's revision that the sender holds.
    pub held: Revision,
    /// Daemons whose watch of the store works, as far as the sender knows.
    pub watchers: Vec<StoreReport>,
    /// Daemons that get no answer from the store, as far as the sender knows.
    pub store_unreachable: Vec<StoreReport>,
    /// The fleet's evidence on roll-outs, as far as the sender knows.
    pub rollouts: Vec<RolloutSummary>,
    /// The sender's requests in flight, by upstream.
    pub loads: Vec<SharedLoad>,
    /// Rate limits advertised by upstreams, as far as the sender knows.
    #[serde(skip)]
    pub rate_limits: Vec<Advertisement>,
    /// When the heartbeat was sent.
    #[serde(skip)]
    pub sent_at: Option<SentAt>,
    /// Freshness claims dated by the receiver's clock; absent from releases that do not send them,
    /// or while that clock is not known yet.
    #[serde(skip)]
    pub freshness: Option<Freshness>,
    /// Port at which the sender accepts tunnels; absent from releases without them.
    #[serde(skip)]
    pub tunnel_port: Option<u16>,
    /// Brittle services, as far as the sender knows; absent from releases that do not send them.
    #[serde(skip)]
    pub brittle: Vec<BrittleAdvertisement>,
    /// The sender's encoded [`overload::Report`]; empty from releases that do not send it.
    #[serde(skip)]
    pub overload: Vec<u8>,
    /// Some of the sender's samples of upstreams' paces; absent while it knows of no upstream whose
    /// pace differs, and from releases that do not send them.
    #[serde(skip)]
    pub paces: Vec<PaceReport>,
    /// The sender's average requests in flight at plain services, by upstream; absent from releases
    /// that do not send them.
    #[serde(skip)]
    pub averages: Vec<AverageLoad>,
}

/// The fields that follow the first version of the message. Its own fields are fixed; newer ones
/// follow behind it in turn.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Extension {
    rate_limits: Vec<Advertisement>,
    sent_at: Option<SentAt>,
}

/// The bytes are not a valid heartbeat.
#[derive(Debug, thiserror::Error)]
#[error("invalid heartbeat: {0}")]
pub struct HeartbeatError(#[from] postcard::Error);

/// Appends a field to an encoded heartbeat.
fn append<T: Serialize + ?Sized>(encoded: Bytes, field: &T) -> Result<Bytes, HeartbeatError> {
    let mut bytes = Vec::from(encoded);
    bytes.extend(postcard::to_allocvec(field)?);
    Ok(bytes.into())
}

impl Heartbeat {
    /// Encodes the part that is the same for every receiver.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode(&self) -> Result<Bytes, HeartbeatError> {
        let mut bytes = postcard::to_allocvec(self)?;
        let extension = Extension {
            rate_limits: self.rate_limits.clone(),
            sent_at: self.sent_at,
        };
        bytes.extend(postcard::to_allocvec(&extension)?);
        Ok(bytes.into())
    }

    /// Appends the freshness claims for one receiver to an encoded heartbeat.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode_for(encoded: &Bytes, freshness: &Freshness) -> Result<Bytes, HeartbeatError> {
        let mut bytes = encoded.to_vec();
        bytes.extend(postcard::to_allocvec(freshness)?);
        Ok(bytes.into())
    }

    /// Appends the port for tunnels, which follows behind the freshness claims.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode_with_tunnels(encoded: Bytes, port: u16) -> Result<Bytes, HeartbeatError> {
        let mut bytes = Vec::from(encoded);
        bytes.extend(postcard::to_allocvec(&Some(port))?);
        Ok(bytes.into())
    }

    /// Appends the brittle services, which follow behind the port for tunnels.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode_with_brittle(
        encoded: Bytes,
        brittle: &[BrittleAdvertisement],
    ) -> Result<Bytes, HeartbeatError> {
        append(encoded, brittle)
    }

    /// Appends the report on overload, which follows behind the brittle services.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode_with_overload(encoded: Bytes, report: &[u8]) -> Result<Bytes, HeartbeatError> {
        append(encoded, report)
    }

    /// Appends samples of upstreams' paces, which follow behind the average loads.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode_with_paces(
        encoded: Bytes,
        paces: &[PaceReport],
    ) -> Result<Bytes, HeartbeatError> {
        if paces.is_empty() {
            return Ok(encoded);
        }
        append(encoded, paces)
    }

    /// Appends the average loads, which follow behind the report on overload.
    ///
    /// # Errors
    /// Never for a message of this version.
    pub fn encode_with_averages(
        encoded: Bytes,
        averages: &[AverageLoad],
    ) -> Result<Bytes, HeartbeatError> {
        append(encoded, averages)
    }

    /// Decodes a heartbeat, also of an older or newer version.
    ///
    /// # Errors
    /// When the first version's fields cannot be read.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        let (mut heartbeat, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        heartbeat.loads.truncate(MAX_LOADS);
        // An unreadable extension does not invalidate the fields before it.
        let extension = postcard::take_from_bytes::<Extension>(rest);
        let (extension, rest) = extension.unwrap_or_default();
        if let Ok((freshness, rest)) = postcard::take_from_bytes::<Freshness>(rest) {
            heartbeat.freshness = Some(freshness);
            let port = postcard::take_from_bytes::<Option<u16>>(rest);
            let (port, rest) = port.unwrap_or_default();
            heartbeat.tunnel_port = port;
            let brittle = postcard::take_from_bytes(rest);
            let (brittle, rest) = brittle.unwrap_or_default();
            heartbeat.brittle = brittle;
            heartbeat.brittle.truncate(MAX_BRITTLE);
            let overload = postcard::take_from_bytes(rest);
            let (overload, rest): (Vec<u8>, _) = overload.unwrap_or_default();
            heartbeat.overload = overload;
            let averages = postcard::take_from_bytes(rest);
            let (averages, rest): (Vec<AverageLoad>, _) = averages.unwrap_or_default();
            heartbeat.averages = averages;
            heartbeat.averages.truncate(balance::MAX_LOADS);
            heartbeat.paces = postcard::from_bytes(rest).unwrap_or_default();
            heartbeat.paces.truncate(MAX_PACE_REPORTS);
        }
        heartbeat.sent_at = extension.sent_at;
        heartbeat.rate_limits = extension.rate_limits;
        heartbeat.rate_limits.truncate(MAX_RATE_LIMITS);
        Ok(heartbeat)
    }
}

#[derive(Debug, Clone, Copy)]
struct PeerRevision {
    until: Time,
    held: Revision,
}

/// A daemon's latest report and when it was made, by the local clock.
#[derive(Debug, Clone)]
struct DatedReport {
    at: Time,
    report: StoreReport,
}

/// What peers have reported about themselves and the store, as long as it is valid.
#[derive(Debug, Default)]
pub struct PeerStates {
    revisions: HashMap<DaemonId, PeerRevision>,
    /// Latest reports of daemons whose watch works.
    watchers: HashMap<DaemonId, DatedReport>,
    /// Latest reports of daemons that get no answer from the store.
    store_unreachable: HashMap<DaemonId, DatedReport>,
    clocks: ReporterClocks,
}

impl PeerStates {
    /// Merges a peer's heartbeat, whose revision is valid for `ttl`.
    pub fn take(&mut self, now: Time, daemon: &DaemonId, heartbeat: &Heartbeat, ttl: Span) {
        let revision = PeerRevision {
            until: now + ttl,
            held: heartbeat.held,
        };
        self.revisions.insert(daemon.clone(), revision);
        let clocks = &mut self.clocks;
        merge_reports(now, clocks, &mut self.watchers, &heartbeat.watchers);
        merge_reports(
            now,
            clocks,
            &mut self.store_unreachable,
            &heartbeat.store_unreachable,
        );
        self.keep_latest();
    }

    /// Keeps only the later of a daemon's success and failure reports.
    ///
    /// Watchers may lose their connections to the store but not those to their peers. If their last
    /// success still counted, nobody would take over until it expires after 2.2 s, but a change
    /// must be in force within 2 s.
    fn keep_latest(&mut self) {
        let store_unreachable = &self.store_unreachable;
        self.watchers.retain(|daemon, success| {
            store_unreachable
                .get(daemon)
                .is_none_or(|failure| failure.at < success.at)
        });
        let watchers = &self.watchers;
        self.store_unreachable
            .retain(|daemon, _| !watchers.contains_key(daemon));
    }

    /// Records that the store does not answer this daemon.
    pub(crate) fn note_store_unreachable(&mut self, now: Time, report: StoreReport) {
        let daemon = report.daemon.clone();
        self.store_unreachable
            .insert(daemon, DatedReport { at: now, report });
        self.keep_latest();
    }

    /// Reports of daemons that get no answer from the store, latest first.
    pub(crate) fn store_unreachable(&self, now: Time) -> Vec<StoreReport> {
        latest_reports(now, &self.store_unreachable, MAX_REPORTS)
    }

    /// Whether any daemon's watch works.
    #[must_use]
    pub fn has_watcher(&self) -> bool {
        !self.watchers.is_empty()
    }

    /// Whether the store counts as unreachable in a fleet of this many daemons: several get no
    /// answer from it, and no watch is known to work.
    #[must_use]
    pub fn is_store_unreachable(&self, fleet: usize) -> bool {
        let peers = fleet.saturating_sub(1);
        let needed = UNREACHABLE_REPORTS.min(peers).max(1);
        self.store_unreachable.len() >= needed && !self.has_watcher()
    }

    /// Drops heartbeats and reports that are too old.
    pub fn expire(&mut self, now: Time, ttl: Span) {
        self.revisions.retain(|_, revision| now < revision.until);
        for reports in [&mut self.watchers, &mut self.store_unreachable] {
            reports.retain(|_, report| now.since(report.at) < ttl);
        }
        self.clocks.expire(now);
    }

    /// Reports of daemons whose watch works, latest first.
    pub(crate) fn watcher_reports(&self, now: Time) -> Vec<StoreReport> {
        latest_reports(now, &self.watchers, MAX_REPORTS - 1)
    }

    /// The first `count` daemons in the watch order whose watch works.
    pub(crate) fn first_watchers(&self, count: usize) -> Vec<DaemonId> {
        let mut watchers = self.watchers.keys().cloned().collect::<Vec<_>>();
        watchers.sort_by(|a, b| watch_order(a).cmp(&watch_order(b)));
        watchers.truncate(count);
        watchers
    }

    /// Number of daemons ahead of `me` in the watch order whose watch works.
    pub(crate) fn watchers_ahead(&self, me: &DaemonId) -> usize {
        watch_rank(me, self.watchers.keys().filter(|daemon| *daemon != me))
    }

    /// Number of daemons whose heartbeat is still valid.
    pub(crate) fn len(&self) -> usize {
        self.revisions.len()
    }

    /// Daemons to ask for changes after revision `held`: those furthest ahead, or for a daemon that
    /// holds nothing all that hold anything.
    ///
    /// If a daemon without a copy asked only those furthest ahead, every change of the store would
    /// make a restarted fleet request its snapshots from the few daemons that already have that
    /// change, and none from the hundred others that have a snapshot.
    pub fn ahead_of(&self, held: Revision) -> impl Iterator<Item = &DaemonId> {
        let furthest = self.revisions.values().map(|revision| revision.held).max();
        let least = match held == Revision::default() {
            true => Revision(1),
            false => furthest.unwrap_or_default().max(Revision(held.0 + 1)),
        };
        let ahead = self.revisions.iter();
        let ahead = ahead.filter(move |(_, revision)| revision.held >= least);
        ahead.map(|(daemon, _)| daemon)
    }
}

/// Merges a heartbeat's reports on other daemons, dated by their age.
fn merge_reports(
    now: Time,
    clocks: &mut ReporterClocks,
    known: &mut HashMap<DaemonId, DatedReport>,
    reports: &[StoreReport],
) {
    for report in reports.iter().take(MAX_REPORTS) {
        if let Some(at) = clocks.reported_at(now, report) {
            let report = report.clone();
            known.insert(report.daemon.clone(), DatedReport { at, report });
        }
    }
}

/// The latest reports with their present age, ready to send.
fn latest_reports(
    now: Time,
    reports: &HashMap<DaemonId, DatedReport>,
    count: usize,
) -> Vec<StoreReport> {
    let known = reports.values().map(|dated| StoreReport {
        age_ms: u16::try_from(now.since(dated.at).as_millis()).unwrap_or(u16::MAX),
        ..dated.report.clone()
    });
    let mut known = known.collect::<Vec<_>>();
    known.sort_by_key(|report| report.age_ms);
    known.truncate(count);
    known
}

/// Sort key of the watch order: the same at all daemons, and spread over hosts by a hash.
fn watch_order(daemon: &DaemonId) -> (u64, &DaemonId) {
    (xxh3_64(daemon.as_str().as_bytes()), daemon)
}

/// Rank of `me` among daemons in the watch order.
pub(crate) fn watch_rank<'a>(me: &DaemonId, peers: impl Iterator<Item = &'a DaemonId>) -> usize {
    let mine = watch_order(me);
    peers.filter(|other| watch_order(other) < mine).count()
}
