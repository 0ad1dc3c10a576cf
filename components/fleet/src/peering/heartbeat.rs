//! Sending heartbeats, several times a second, and the freshness claims they carry.

use bytes::Bytes;
use mirror::Revision;
use peers::{Part, Payload};
use traffic::Observed;
use types::prelude::*;

use super::{FULL_HEARTBEAT_TICKS, MirrorState, Peering};
use crate::freshness::Claim;
use crate::gossip::GossipKind;
use crate::heartbeat::{Heartbeat, SentAt, StoreReport};

impl Peering {
    pub(super) fn merge_claims(&mut self, now: Time, from: &DaemonId, heartbeat: &Heartbeat) {
        let Some(received) = &heartbeat.freshness else {
            return;
        };
        let dropped = self.claims.merge(now, self.handle.run(), received);
        if dropped > 0 {
            tracing::debug!(peer = %from, dropped, "peers: dropped freshness claims for another clock");
        }
    }

    /// Records a freshness claim from an answer of the store.
    pub(crate) fn note_claim(&mut self, claim: Claim) {
        self.claims.add(claim);
    }

    /// Latest moment at which a copy of revision `held` was known to be current.
    pub(crate) fn validated_at(&self, held: Revision) -> Option<Time> {
        self.claims.validated_at(held)
    }

    /// Latest moment at which the store is known to have answered any daemon.
    pub(crate) fn store_last_answered_at(&self) -> Option<Time> {
        self.claims.latest()
    }

    /// Sends a heartbeat to a few peers; `own_watch_works` is whether this daemon's watch of the
    /// store is answered, and `observed` has what the event loop reports.
    pub(crate) fn send_heartbeat(
        &mut self,
        now: Time,
        mirror: MirrorState,
        own_watch_works: bool,
        observed: &Observed,
    ) {
        self.ticks = self.ticks.wrapping_add(1);
        let is_full = self.ticks.is_multiple_of(FULL_HEARTBEAT_TICKS)
            || std::mem::take(&mut self.must_send_heartbeat);
        let kind = match is_full {
            true => GossipKind::Heartbeat,
            false if self.is_small() => GossipKind::LocalHeartbeat,
            false => return,
        };
        let me = &self.members.local().id;
        let mut watchers = self.peer_states.watcher_reports(now);
        watchers.retain(|report| report.daemon != *me);
        if own_watch_works {
            watchers.push(self.own_report(now, mirror));
        }
        let heartbeat = Heartbeat {
            held: mirror.held,
            watchers,
            store_unreachable: self.peer_states.store_unreachable(now),
            rollouts: self.aggregator.summaries(),
            loads: observed.loads(),
            rate_limits: observed.rate_limits(),
            sent_at: Some(self.sent_at(now)),
            freshness: None,
            tunnel_port: None,
            brittle: observed.brittle(),
            overload: observed.overload(),
            averages: observed.averages(),
            paces: self.pace_rotation.take(&self.own_paces),
        };
        match heartbeat.encode() {
            Ok(body) => self.send_heartbeat_to_targets(now, &body, &heartbeat, kind),
            Err(e) => tracing::error!("peers: {e}"),
        }
    }

    /// Sends an encoded heartbeat to a few peers, adding for each the freshness claims dated by
    /// that peer's clock.
    fn send_heartbeat_to_targets(
        &mut self,
        now: Time,
        encoded: &Bytes,
        heartbeat: &Heartbeat,
        kind: GossipKind,
    ) {
        for address in self.recipients(now, kind) {
            let clock = self.handle.clock_of(address);
            let freshness = clock.and_then(|clock| self.claims.for_peer(&clock));
            // The port follows behind the claims, so they are never left out.
            let freshness = freshness.unwrap_or_default();
            let body = Heartbeat::encode_for(encoded, &freshness);
            let body = body.and_then(|body| Heartbeat::encode_with_tunnels(body, self.tunnel_port));
            let body =
                body.and_then(|body| Heartbeat::encode_with_brittle(body, &heartbeat.brittle));
            let body =
                body.and_then(|body| Heartbeat::encode_with_overload(body, &heartbeat.overload));
            let averages = &heartbeat.averages;
            let body = body.and_then(|body| Heartbeat::encode_with_averages(body, averages));
            let body = body.and_then(|body| Heartbeat::encode_with_paces(body, &heartbeat.paces));
            match body {
                Ok(body) => {
                    let part = Part::Standing;
                    self.handle.send(address, Payload::Part { part, body });
                }
                Err(e) => tracing::error!("peers: {e}"),
            }
        }
    }

    fn sent_at(&self, now: Time) -> SentAt {
        SentAt {
            run: self.members.local().stamp.incarnation,
            clock_ms: now.since(Time::ZERO).as_millis(),
        }
    }

    /// This daemon's report about itself and the store.
    pub(super) fn own_report(&self, now: Time, mirror: MirrorState) -> StoreReport {
        let validated_ms = mirror.validated_at.map(|at| now.since(at).as_millis());
        let SentAt { run, clock_ms } = self.sent_at(now);
        StoreReport {
            daemon: self.members.local().id.clone(),
            age_ms: 0,
            run,
            clock_ms,
            held: mirror.held,
            validated_ms: validated_ms.and_then(|ms| u16::try_from(ms).ok()),
        }
    }
}
