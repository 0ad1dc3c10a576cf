//! Updates slots, limits and load reports on the control thread.

use std::collections::BTreeSet;

use bytes::Bytes;
use limits::{DemandFact, Reach};
use membership::Topic;
use types::prelude::*;

use super::Control;
use crate::shared::lock;
use crate::systems::limits::slots_of;

/// Interval between two counts of slots.
const SLOTS_INTERVAL: Span = Span::from_secs(1);
/// Interval between two polls of an upstream of the subset, when there are few.
const POLL_INTERVAL: Span = Span::from_secs(4);
/// Interval between two rounds of polls. Five polls a second, of some 800 bytes each, keep within
/// the daemon's bytes for control whatever the fleet's size.
const ROUND_INTERVAL: Span = Span::from_secs(1);
const POLLS_PER_ROUND: usize = 5;
/// When the work that does not run at every tick is due.
#[derive(Debug, Default)]
pub(super) struct Due {
    slots: Time,
    polls: Time,
}

impl Control {
    /// Counts slots and polls engines when due; updates the shares of limits, publishes this
    /// daemon's demand and delivers verdicts to waiting requests.
    pub(super) fn tick_loads(&mut self, now: Time) {
        if now.has_reached(self.due.slots) {
            self.due.slots = now + SLOTS_INTERVAL;
            self.update_slots(now);
        }
        if now.has_reached(self.due.polls) {
            self.due.polls = now + ROUND_INTERVAL;
            self.poll_loads(now);
        }
        self.share_limits(now);
    }

    fn share_limits(&mut self, now: Time) {
        let live = self.members.live().into_iter().map(|member| member.id);
        let live: BTreeSet<_> = live.collect();
        let reach = self.reach(now);
        let reach = Reach {
            reached: reach.reached,
            known: reach.fleet,
        };
        let mut table = self.shared.admissions.table();
        table.limiter.update_fleet(now, &live, reach);
        let fact = table.limiter.tick(now);
        table.deliver_verdicts(now);
        drop(table);
        if let Some(fact) = fact {
            let value = Bytes::from(fact.to_bytes());
            self.members
                .publish(now, Topic::Demand, Bytes::new(), value);
        }
    }

    /// Merges the demand that another daemon published.
    pub(super) fn merge_demand(&self, origin: &DaemonId) {
        let mut facts = self.members.facts(Topic::Demand);
        let Some(fact) = facts.find(|fact| fact.origin == *origin) else {
            return;
        };
        match DemandFact::from_bytes(&fact.value) {
            Ok(demand) => {
                let mut table = self.shared.admissions.table();
                table.limiter.update_peer(origin, demand);
            }
            Err(error) => tracing::warn!("limits: ignored a demand fact of {origin}: {error}"),
        }
    }

    /// Tells the limiter the slots of each service. The locks of the router and the limiter are
    /// held one after the other.
    pub(super) fn update_slots(&self, now: Time) {
        for name in self.view.services.keys() {
            let slots = slots_of(&lock(&self.shared.router), &self.view, name);
            let mut table = self.shared.admissions.table();
            table.limiter.set_slots(now, name, slots);
        }
    }

    /// Polls some engines. Every answer carries a short load report as well; a poll also reports
    /// which versions are loaded, and covers engines that had no work from here.
    fn poll_loads(&self, now: Time) {
        let due = lock(&self.shared.router).due_polls(now, POLL_INTERVAL, POLLS_PER_ROUND);
        for index in due {
            self.outbound.poll(index);
        }
    }

    /// The state of limits and load, for the dump.
    pub(super) fn dump_loads(&self) -> serde_json::Value {
        let table = self.shared.admissions.table();
        let lanes = self.view.services.keys().map(|name| {
            let lane = |priority| table.limiter.lane(name, priority);
            serde_json::json!({
                "service": name,
                "interactive": lane(Priority::Interactive),
                "batch": lane(Priority::Batch),
            })
        });
        serde_json::json!({
            "fill": table.limiter.fill(),
            "can_give_way": table.preemptible(),
            "cut_off": table.limiter.shares().is_cut_off(),
            "lanes": lanes.collect::<Vec<_>>(),
        })
    }
}
