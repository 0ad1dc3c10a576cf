//! Work of each tick that is no table's own: roll-out drivers, metrics and health.

use membership::State;
use telemetry::labels::{Direction, MemberState};
use types::prelude::*;

use super::Control;
use crate::event::MAX_WAITING_EVENTS;
use crate::shared::lock;
use crate::snapshot::Readiness;

impl Control {
    /// Runs the drivers of roll-outs and performs their tasks.
    pub(super) fn drive_rollouts(&mut self, now: Time) {
        let members = self.catalogue.members().iter();
        let members: Vec<DaemonId> = members.map(|member| member.id.clone()).collect();
        let shared = &self.shared;
        let quality = || lock(&shared.quality).dump();
        let catalogue = self.catalogue.catalogue();
        let tasks = self
            .rollouts
            .tick(now, &self.view, catalogue, &members, quality);
        self.perform_tasks(now, tasks);
    }

    /// Updates metrics and the health that probes read.
    pub(super) fn update_metrics(&self, now: Time) {
        let metrics = &self.shared.metrics;
        let revision = i64::try_from(self.view.revision.0).unwrap_or(i64::MAX);
        metrics.catalogue_revision.set(revision);
        let confirmed = self.catalogue.sync().validated_at();
        let age = confirmed.map_or(now.since(Time::ZERO), |at| now.since(at));
        metrics.freshness_age.set(age.as_secs_f64());
        let fill = self.ledger.fill();
        metrics
            .bills_waiting
            .set(i64::try_from(fill.own).unwrap_or(i64::MAX));
        metrics.set_queue_fill("bills", fill.own, fill.capacity);
        metrics.set_queue_fill("bills_for_others", fill.custody, fill.custody_capacity);
        self.update_member_metrics();
        metrics.set_queue_fill("events", self.shared.events.len(), MAX_WAITING_EVENTS);
        let most = self.shared.settings.callers.max_in_flight;
        metrics.set_queue_fill("requests", self.shared.in_flight.count(), most);
        let not_ready = match self.readiness(self.view.revision) {
            Readiness::Ready => None,
            Readiness::Starting => Some("no catalogue is held yet".to_owned()),
            Readiness::Leaving => Some("leaving".to_owned()),
        };
        self.shared.health.tick(not_ready);
    }

    fn update_member_metrics(&self) {
        let metrics = &self.shared.metrics;
        let count = |state: State| {
            let members = self.members.membership().members();
            members
                .filter(|member| member.record.state == state)
                .count()
        };
        // Membership doesn't list this daemon, which is alive.
        metrics.set_members(MemberState::Alive, count(State::Alive) + 1);
        metrics.set_members(MemberState::Suspect, count(State::Suspect));
        metrics.set_members(MemberState::Leaving, count(State::Left));
        metrics.set_members(MemberState::Dead, count(State::Down));
        let stats = self.members.peers().stats();
        metrics.set_peer_bytes(Direction::Received, ByteSize(stats.bytes_in));
        metrics.set_peer_bytes(Direction::Sent, ByteSize(stats.bytes_out));
    }
}
