//! Messages between daemons: membership, heartbeats, changes of the mirror, roll-outs and
//! quarantine.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use balance::{PeerLoad, Reports};
use bytes::Bytes;
use dispatch::{
    Advertisement, BrittleAdvertisement, Evidence, EvidenceAggregator, Fleet, PaceReport,
    PaceRotation, PaceUpdate, PeerLoads, ReporterKey, RolloutMessage, RolloutSummary, TunnelPeer,
    UpdateVersion,
};
use membership::{Event as MemberEvent, Member, MemberRecord, Membership, Outcome, Sender, State};
use mirror::{Revision, SyncReply, SyncRequest};
use overload::{FleetView, PeerReports, Report};
use peers::{Handle, Inbound, Part, Payload};
use poison::ContentUpdates;
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::freshness::Claims;
use crate::gossip::{self, GossipKind, GossipView, Peer};
use crate::heartbeat::{Heartbeat, PeerStates, SentAt, watch_rank};
use crate::tunnel_offers::TunnelOffers;

mod heartbeat;

/// How long a peer's heartbeat is valid in a small fleet: until three messages in a row are
/// missing.
const REPORT_TTL_SMALL_FLEET: Span = Span::from_millis(700);
/// How long a peer's heartbeat is valid in a large fleet, where a heartbeat's content takes several
/// rounds to arrive.
pub(crate) const REPORT_TTL_LARGE_FLEET: Span = Span::from_millis(1_400);
/// Heartbeats in a large fleet, and to other failure domains, are sent once per this many ticks of
/// the control thread.
const FULL_HEARTBEAT_TICKS: u32 = 2;
/// Daemons that aggregate the fleet's roll-out evidence: the first watchers.
const ROLLOUT_COLLECTORS: usize = 2;
/// Fraction of mirror requests that may go to any failure domain.
const REMOTE_PEER_PROBABILITY: f64 = 0.2;
/// A daemon that is down keeps its share of upstreams' rate limits for as long as a region may be
/// cut off, because it may still be sending from there.
const MAX_PARTITION: Span = Span::from_secs(600);
/// Advertised rate limits queued for the next tick; peers advertise again what does not fit.
const MAX_RATE_LIMITS: usize = 1_024;
/// Updates of paces queued for the next tick: more than a daemon gets heartbeats between two ticks.
const MAX_PACE_UPDATES: usize = 64;
/// New daemons are logged one by one up to this many at a time.
const MAX_LOGGED: usize = 4;

/// The membership table, what peers have reported, and the transport that carries messages.
pub(crate) struct Peering {
    members: Membership,
    handle: Handle,
    /// Daemons that came up since the last log line.
    arrived: Vec<DaemonId>,
    gossip_view: GossipView,
    loads: PeerLoads,
    averages: Reports,
    peer_states: PeerStates,
    claims: Claims,
    aggregator: EvidenceAggregator,
    /// Rate limits advertised by peers and not yet taken by the control thread.
    rate_limits: Vec<Advertisement>,
    /// Brittle services advertised by peers and not yet taken by the control thread.
    brittle: Vec<BrittleAdvertisement>,
    /// Peers' reports on overload.
    overload: PeerReports,
    /// Paces reported by peers and not yet taken by the control thread.
    paces: Vec<PaceUpdate>,
    /// This daemon's samples of upstreams' paces, sorted by upstream.
    own_paces: Arc<[PaceReport]>,
    /// Which of them the next heartbeat reports.
    pace_rotation: PaceRotation,
    tunnel_offers: TunnelOffers,
    /// Port at which this daemon accepts tunnels.
    tunnel_port: u16,
    ticks: u32,
    /// Whether the next heartbeat goes out at the next tick, to every failure domain.
    must_send_heartbeat: bool,
}

/// How current this daemon's mirror is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MirrorState {
    /// Highest revision up to which no change is missing.
    pub(crate) held: Revision,
    /// Latest moment at which the store was known to hold nothing newer.
    pub(crate) validated_at: Option<Time>,
}

/// What the control thread has to do for a message.
pub(crate) enum Followup {
    Nothing,
    /// Answer a peer's request for changes of the mirror.
    ServeMirror(DaemonId, SyncRequest, peers::Reply),
    /// Apply changes from a peer's mirror.
    ApplyReply(SyncReply),
    /// Merge a peer's updates on request contents.
    MergeContentUpdates(ContentUpdates),
}

/// Whether a daemon has a share of upstreams' rate limits: it is present, or went silent so
/// recently that it may be on the other side of a network partition.
#[must_use]
pub fn shares_rate_limits(now: Time, member: &Member) -> bool {
    match member.record.state {
        State::Down => now.since(member.state_since) < MAX_PARTITION,
        state => state.is_present(),
    }
}

impl Peering {
    /// Creates the state of a daemon that accepts tunnels at a port.
    pub(crate) fn new(members: Membership, handle: Handle, tunnel_port: u16) -> Self {
        Self {
            members,
            handle,
            arrived: Vec::new(),
            gossip_view: GossipView::default(),
            loads: PeerLoads::default(),
            averages: Reports::default(),
            peer_states: PeerStates::default(),
            claims: Claims::default(),
            aggregator: EvidenceAggregator::default(),
            rate_limits: Vec::new(),
            brittle: Vec::new(),
            overload: PeerReports::default(),
            paces: Vec::new(),
            own_paces: Arc::default(),
            pace_rotation: PaceRotation::default(),
            tunnel_offers: TunnelOffers::default(),
            tunnel_port,
            ticks: 0,
            must_send_heartbeat: false,
        }
    }

    /// The transport for messages and requests.
    pub(crate) fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// The address at which other daemons reach this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    pub(crate) fn daemons(&self) -> usize {
        self.members.fleet_size()
    }

    /// This daemon's rank by name among those present; lower ranks act first.
    pub(crate) fn rank(&self) -> u64 {
        let me = &self.members.local().id;
        let present = self
            .members
            .members()
            .filter(|m| m.record.state.is_present());
        present.filter(|member| member.record.id < *me).count() as u64
    }

    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.members.set_seeds(seeds);
    }

    pub(crate) fn tick(&mut self, now: Time) {
        let outcome = self.members.tick(now, &mut rand::rng());
        self.apply_outcome(outcome);
        self.log_arrived();
    }

    /// Logs one line per new daemon, or a single line when a fleet starts: a line for each peer at
    /// each daemon would grow with the square of the fleet.
    fn log_arrived(&mut self) {
        if self.arrived.len() > MAX_LOGGED {
            let daemons = self.members.fleet_size();
            tracing::info!(came = self.arrived.len(), daemons, "peers: many joined");
        } else {
            for peer in &self.arrived {
                tracing::info!(%peer, "peers: up");
            }
        }
        self.arrived.clear();
    }

    /// Handles a message and returns what the control thread has to do for it.
    pub(crate) fn receive(&mut self, now: Time, inbound: Inbound) -> Followup {
        match inbound {
            Inbound::Message { from, payload } => match payload {
                Payload::Membership(message) => {
                    let rng = &mut rand::rng();
                    let outcome = self.members.receive(now, &from, message, rng);
                    self.apply_outcome(outcome);
                    Followup::Nothing
                }
                Payload::Part { part, body } => self.handle_part(now, from, part, &body),
            },
            Inbound::Ask {
                from,
                payload: Payload::Part { body, .. },
                reply,
            } => match SyncRequest::decode(&body) {
                Ok(request) => Followup::ServeMirror(from.id, request, reply),
                Err(e) => {
                    tracing::warn!("peers: {e}");
                    Followup::Nothing
                }
            },
            Inbound::Ask { .. } => Followup::Nothing,
        }
    }

    fn handle_part(&mut self, now: Time, sender: Sender, part: Part, body: &Bytes) -> Followup {
        let from = sender.id;
        match part {
            Part::Standing => match Heartbeat::decode(body) {
                Ok(heartbeat) => {
                    if let Some(port) = heartbeat.tunnel_port {
                        let address = SocketAddr::new(sender.address.ip(), port);
                        self.tunnel_offers.note(now, &from, address);
                    }
                    let report_ttl = self.report_ttl();
                    self.peer_states.take(now, &from, &heartbeat, report_ttl);
                    self.merge_claims(now, &from, &heartbeat);
                    for rollout in &heartbeat.rollouts {
                        self.aggregator.merge_summary(rollout);
                    }
                    self.note_rate_limits(heartbeat.rate_limits);
                    self.note_brittle(heartbeat.brittle);
                    self.note_overload(now, &from, &heartbeat.overload);
                    self.note_paces(&from, heartbeat.sent_at, heartbeat.paces);
                    self.averages.update(now, from.clone(), heartbeat.averages);
                    self.loads.update(now, from, heartbeat.loads);
                }
                Err(e) => tracing::warn!(peer = %from, "peers: {e}"),
            },
            Part::Rollout => match RolloutMessage::decode(body) {
                Ok(message) => self.aggregator.handle_message(from, message),
                Err(e) => tracing::warn!(peer = %from, "peers: {e}"),
            },
            Part::Mirror => match SyncReply::decode(body) {
                Ok(reply) => return Followup::ApplyReply(reply),
                Err(e) => tracing::warn!(peer = %from, "peers: {e}"),
            },
            Part::Poison => match ContentUpdates::decode(body) {
                Ok(updates) => return Followup::MergeContentUpdates(updates),
                Err(e) => tracing::warn!(peer = %from, "peers: {e}"),
            },
            // Loans of shares, by the previous release: they end by themselves.
            Part::Limits => {}
            other => tracing::warn!(peer = %from, "peers: unexpected message part {other:?}"),
        }
        Followup::Nothing
    }

    /// Keeps a peer's report on overload. A peer that sends none, or whose failure domain is not
    /// known, is one of those that the known ones stand for.
    fn note_overload(&mut self, now: Time, from: &DaemonId, report: &[u8]) {
        let Some(member) = self.members.member(from).filter(|_| !report.is_empty()) else {
            return;
        };
        let domain = member.record.failure_domain.clone();
        match Report::decode(report) {
            Ok(report) => self.overload.update(now, from.clone(), domain, report),
            Err(e) => tracing::debug!(peer = %from, "peers: invalid report on overload: {e}"),
        }
    }

    /// The reports on overload that are valid, and the number of daemons in each failure domain.
    pub(crate) fn overload_view(&mut self, now: Time) -> FleetView {
        let own = self.members.local().failure_domain.clone();
        let mut present = BTreeMap::from([(own.clone(), 1)]);
        let members = self.members.members().map(|member| &member.record);
        for record in members.filter(|record| record.state.is_present()) {
            *present.entry(record.failure_domain.clone()).or_default() += 1;
        }
        self.overload.view(now, &present, &own)
    }

    fn note_brittle(&mut self, advertised: Vec<BrittleAdvertisement>) {
        let room = MAX_RATE_LIMITS.saturating_sub(self.brittle.len());
        self.brittle.extend(advertised.into_iter().take(room));
    }

    /// Queues a peer's reports. They are ordered by when the heartbeat was sent.
    fn note_paces(&mut self, from: &DaemonId, sent_at: Option<SentAt>, reports: Vec<PaceReport>) {
        let Some(SentAt { run, clock_ms }) = sent_at else {
            return;
        };
        if reports.is_empty() || self.paces.len() >= MAX_PACE_UPDATES {
            return;
        }
        self.paces.push(PaceUpdate {
            reporter: ReporterKey(xxh3_64(from.as_str().as_bytes())),
            version: UpdateVersion { run, clock_ms },
            reports,
        });
    }

    /// Sets the samples of upstreams' paces that heartbeats report.
    pub(crate) fn set_own_paces(&mut self, paces: Arc<[PaceReport]>) {
        self.own_paces = paces;
    }

    /// Takes the paces that peers reported since the last call.
    pub(crate) fn take_paces(&mut self) -> Vec<PaceUpdate> {
        std::mem::take(&mut self.paces)
    }

    /// Takes the brittle services that peers advertised since the last call.
    pub(crate) fn take_brittle(&mut self) -> Vec<BrittleAdvertisement> {
        std::mem::take(&mut self.brittle)
    }

    fn note_rate_limits(&mut self, advertised: Vec<Advertisement>) {
        let room = MAX_RATE_LIMITS.saturating_sub(self.rate_limits.len());
        self.rate_limits.extend(advertised.into_iter().take(room));
    }

    /// The peers that offer tunnels to upstreams.
    pub(crate) fn tunnel_peers(&mut self) -> Arc<Vec<TunnelPeer>> {
        self.tunnel_offers.peers(&self.members, self.tunnel_port)
    }

    /// Takes the rate limits that peers advertised since the last call.
    pub(crate) fn take_rate_limits(&mut self) -> Vec<Advertisement> {
        std::mem::take(&mut self.rate_limits)
    }

    /// The daemons that share upstreams' rate limits.
    pub(crate) fn fleet(&self, now: Time) -> Fleet {
        let peers = self.members.members();
        let peers = peers.filter(|member| shares_rate_limits(now, member));
        let peers = peers.map(|member| &member.record.id);
        Fleet::new(&self.members.local().id, peers)
    }

    /// Whether a daemon is this one or a peer that shares the fleet's bounds.
    pub(crate) fn shares_bounds(&self, now: Time, id: &DaemonId) -> bool {
        let member = self.members.member(id);
        *id == self.members.local().id
            || member.is_some_and(|member| shares_rate_limits(now, member))
    }

    fn apply_outcome(&mut self, outcome: Outcome) {
        for envelope in outcome.send {
            self.handle
                .send(envelope.to, Payload::Membership(envelope.message));
        }
        for event in outcome.events {
            match event {
                MemberEvent::MemberUp { id, .. } => self.arrived.push(id),
                MemberEvent::MemberSuspect { id } => tracing::info!(peer = %id, "peers: suspected"),
                MemberEvent::MemberDown { id, left } => {
                    tracing::info!(peer = %id, left, "peers: down");
                }
                MemberEvent::IncarnationRaised(incarnation) => {
                    self.handle.set_incarnation(incarnation);
                }
                MemberEvent::DuplicateName { address } => {
                    tracing::error!(%address, "peers: another process has this daemon's name");
                }
                MemberEvent::FactChanged { .. } | MemberEvent::Attachment { .. } => {}
            }
        }
    }

    /// Gossips changes of the store's keys to a few peers.
    pub(crate) fn send_changes(&mut self, now: Time, reply: &SyncReply) {
        match reply.encode() {
            Ok(body) => self.send_gossip(now, Part::Mirror, &body, GossipKind::Change),
            Err(e) => tracing::warn!("peers: {e}"),
        }
    }

    /// Gossips updates on request contents to a few peers.
    pub(crate) fn send_suspects(&mut self, now: Time, updates: &ContentUpdates) {
        match updates.encode() {
            Ok(body) => self.send_gossip(now, Part::Poison, &body, GossipKind::Change),
            Err(e) => tracing::error!("peers: {e}"),
        }
    }

    fn send_gossip(&mut self, now: Time, part: Part, body: &Bytes, kind: GossipKind) {
        for address in self.recipients(now, kind) {
            let body = body.clone();
            self.handle.send(address, Payload::Part { part, body });
        }
    }

    fn recipients(&mut self, now: Time, kind: GossipKind) -> Vec<SocketAddr> {
        let here = &self.members.local().failure_domain;
        let members = self.members.members().map(|member| &member.record);
        let present = members.filter(|record| record.state.is_present());
        let peers = present.map(|record| Peer {
            address: record.address,
            is_local: record.failure_domain == *here,
        });
        let peers = peers.collect::<Vec<_>>();
        let rng = &mut rand::rng();
        self.gossip_view.recipients(now, &peers, kind, rng)
    }

    pub(crate) fn is_small(&self) -> bool {
        gossip::is_small(self.members.fleet_size())
    }

    /// How long a heartbeat's reports are valid.
    pub(crate) fn report_ttl(&self) -> Span {
        match self.is_small() {
            true => REPORT_TTL_SMALL_FLEET,
            false => REPORT_TTL_LARGE_FLEET,
        }
    }

    /// This daemon's rank in the order in which daemons watch the store.
    pub(crate) fn watch_rank(&self) -> usize {
        let members = self.members.members();
        let present = members.filter(|member| member.record.state.is_present());
        watch_rank(&self.members.local().id, present.map(|m| &m.record.id))
    }

    /// Number of daemons ahead of this one in the watch order whose watch works, by reports that
    /// are still valid.
    pub(crate) fn watchers_ahead(&mut self, now: Time) -> usize {
        let report_ttl = self.report_ttl();
        self.peer_states.expire(now, report_ttl);
        self.peer_states.watchers_ahead(&self.members.local().id)
    }

    /// Whether a heartbeat of any other daemon is still valid.
    pub(crate) fn hears_peers(&self) -> bool {
        self.peer_states.len() > 0
    }

    /// What peers have reported about themselves and the store.
    pub(crate) fn peer_states(&self) -> &PeerStates {
        &self.peer_states
    }

    /// Records for the next heartbeat that the store does not answer this daemon.
    pub(crate) fn note_store_failure(&mut self, now: Time, mirror: MirrorState) {
        let report = self.own_report(now, mirror);
        self.peer_states.note_store_unreachable(now, report);
        self.must_send_heartbeat = true;
    }

    /// Requests in flight from all other daemons, by upstream, as backlog in ms and count.
    ///
    /// In a large fleet only some daemons' heartbeats are known; their sums are scaled up to stand
    /// for the rest.
    pub(crate) fn peer_loads(&mut self, now: Time) -> HashMap<u32, (f64, u32)> {
        let mut loads = self.loads.sums(now);
        let peers = self.members.fleet_size().saturating_sub(1);
        let share = peers as f64 / self.peer_states.len().max(1) as f64;
        if share > 1.0 {
            for (backlog_ms, in_flight) in loads.values_mut() {
                *backlog_ms *= share;
                *in_flight = (f64::from(*in_flight) * share) as u32;
            }
        }
        loads
    }

    /// Average requests in flight from all other daemons at plain services, by upstream.
    pub(crate) fn peer_averages(&mut self, now: Time) -> HashMap<u32, PeerLoad> {
        let me = &self.members.local().id;
        let others = self.members.members().map(|member| &member.record);
        let present = others.filter(|record| record.state.is_present() && record.id != *me);
        let present = present.map(|record| (&record.id, &record.failure_domain));
        self.averages.sums(now, present)
    }

    /// Records this daemon's evidence on a roll-out and returns the fleet's.
    pub(crate) fn aggregate(&mut self, own: &Evidence) -> RolloutSummary {
        let me = self.members.local().id.clone();
        self.aggregator.fleet(&me, own)
    }

    /// Announces to all daemons at once that an order's version is bad.
    pub(crate) fn mark_bad(&mut self, order: u64) {
        self.aggregator.mark_bad(order);
        self.must_send_heartbeat = true;
    }

    /// Sessions that stay on their version during a roll-out, as known by all daemons.
    pub(crate) fn staying(&self, order: u64) -> BTreeSet<u32> {
        self.aggregator.staying(order)
    }

    /// Reports this daemon's evidence on a roll-out to the aggregators and gossips the sessions
    /// that stay on their version.
    pub(crate) fn report(&mut self, now: Time, own: &Evidence, staying: &BTreeSet<u32>) {
        let me = self.members.local().id.clone();
        let order = own.order;
        let sessions = staying.iter().copied().collect();
        let sessions = RolloutMessage::Staying { order, sessions };
        self.aggregator.handle_message(me.clone(), sessions);
        let report = RolloutMessage::Report {
            own: *own,
            staying: staying.iter().copied().collect(),
        };
        let collectors = self.peer_states.first_watchers(ROLLOUT_COLLECTORS);
        let collectors = collectors.iter().filter(|collector| **collector != me);
        let addresses =
            collectors.filter_map(|collector| Some(self.members.member(collector)?.record.address));
        let addresses = addresses.collect::<Vec<_>>();
        self.send_message(&report, &addresses);
        if let Some(news) = self.aggregator.unannounced_staying_sessions(order) {
            let recipients = self.recipients(now, GossipKind::Change);
            self.send_message(&news, &recipients);
        }
    }

    fn send_message(&self, message: &RolloutMessage, to: &[SocketAddr]) {
        let body = match message.encode() {
            Ok(body) => body,
            Err(e) => {
                tracing::error!("rollouts: {e}");
                return;
            }
        };
        for address in to {
            let part = Part::Rollout;
            let body = body.clone();
            self.handle.send(*address, Payload::Part { part, body });
        }
    }

    /// Chooses a peer whose mirror is ahead of `held`. A daemon that holds nothing asks any present
    /// peer, even before their heartbeats arrive.
    ///
    /// Prefers the own failure domain: a snapshot is as large as all upstreams together, and
    /// traffic between failure domains costs money. Sometimes chooses any other peer, in case none
    /// nearby has the changes.
    pub(crate) fn choose_catch_up_peer(&self, held: Revision) -> Option<SocketAddr> {
        let ahead = self.peer_states.ahead_of(held);
        let ahead = ahead.filter_map(|daemon| Some(&self.members.member(daemon)?.record));
        let ahead = ahead.collect::<Vec<_>>();
        if !ahead.is_empty() || held > Revision::default() {
            return self.choose_peer(&ahead);
        }
        let peers = self.members.members().map(|member| &member.record);
        let peers = peers.filter(|record| record.state.is_present());
        self.choose_peer(&peers.collect::<Vec<_>>())
    }

    fn choose_peer(&self, candidates: &[&MemberRecord]) -> Option<SocketAddr> {
        let rng = &mut rand::rng();
        let here = &self.members.local().failure_domain;
        let local = candidates.iter().filter(|r| r.failure_domain == *here);
        let local = local
            .choose(rng)
            .filter(|_| !rng.random_bool(REMOTE_PEER_PROBABILITY));
        let chosen = local.or_else(|| candidates.choose(rng));
        chosen.map(|record| record.address)
    }

    /// Announces to peers that this daemon leaves.
    pub(crate) fn leave(&mut self, now: Time) {
        let outcome = self.members.leave(now, &mut rand::rng());
        self.apply_outcome(outcome);
    }
}
