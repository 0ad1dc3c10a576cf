//! Slots, limits and load reports, as the control thread keeps them.

use std::collections::BTreeSet;

use bytes::Bytes;
use limits::{DemandFact, Reach};
use membership::Topic;
use types::prelude::*;

use super::Control;
use crate::shared::lock;
use crate::systems::limits::slots_of;

/// Time between two counts of slots.
const SLOTS_INTERVAL: Span = Span::from_secs(1);
/// Time between two polls of an upstream of the subset, when there are few.
const POLL_INTERVAL: Span = Span::from_secs(4);
/// Time between two rounds of polls, and polls of one: five polls a second, of some 800
/// bytes each, keep within the daemon's bytes for control whatever the fleet's size.
const ROUND_INTERVAL: Span = Span::from_secs(1);
const POLLS_OF_ROUND: usize = 5;
/// When what is done seldom is due.
#[derive(Debug, Default)]
pub(super) struct Due {
    slots: Time,
    polls: Time,
}

impl Control {
    /// Shares limits anew, tells the others what is asked here, ends waits.
    pub(super) fn tick_loads(&mut self, now: Time) {
        if now.has_reached(self.due.slots) {
            self.due.slots = now + SLOTS_INTERVAL;
            self.count_slots(now);
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
        table.limiter.fleet(now, &live, reach);
        let fact = table.limiter.tick(now);
        table.deliver_verdicts(now);
        drop(table);
        if let Some(fact) = fact {
            let value = Bytes::from(fact.to_bytes());
            self.members
                .publish(now, Topic::Demand, Bytes::new(), value);
        }
    }

    /// Takes another daemon's demand.
    pub(super) fn take_demand(&self, origin: &DaemonId) {
        let mut facts = self.members.facts(Topic::Demand);
        let Some(fact) = facts.find(|fact| fact.origin == *origin) else {
            return;
        };
        match DemandFact::from_bytes(&fact.value) {
            Ok(demand) => {
                let mut table = self.shared.admissions.table();
                table.limiter.peer_fact(origin, demand);
            }
            Err(error) => tracing::warn!("limits: {origin} sent {error}, passed over"),
        }
    }

    /// Tells the limiter the slots of each service; the locks are held for one at a time.
    pub(super) fn count_slots(&self, now: Time) {
        for name in self.view.services.keys() {
            let slots = slots_of(&lock(&self.shared.router), &self.view, name);
            let mut table = self.shared.admissions.table();
            table.limiter.set_slots(now, name, slots);
        }
    }

    /// Asks some engines for their load. Each answer brings a short report besides; a poll
    /// tells what is loaded, and of engines that had no work from here.
    fn poll_loads(&self, now: Time) {
        let due = lock(&self.shared.router).due_polls(now, POLL_INTERVAL, POLLS_OF_ROUND);
        for index in due {
            self.calling.poll(index);
        }
    }

    /// Limits and loads, for the dump.
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
