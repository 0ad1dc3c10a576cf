//! The control thread: owns the tables, handles events and runs the systems each tick.

mod commands;
mod upkeep;

use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::view::View;
use peers::Part;
use types::prelude::*;

use crate::event::{Event, StoreUse};
use crate::outbound::OutboundCalls;
use crate::shared::{Shared, lock};
use crate::snapshot::{Readiness, Snapshot};
use crate::store_pool::StorePool;
use crate::systems;
use crate::systems::catalogue::Action;
use crate::watching::Watcher;

mod billing;
mod evidence;
mod loads;
mod peering;
mod quarantine;

/// The tables, and the threads that make calls for them.
pub(crate) struct Control {
    shared: Arc<Shared>,
    store_pool: StorePool,
    watcher: Watcher,
    catalogue: systems::catalogue::Table,
    ledger: systems::ledger::Table,
    /// Signalled once all bills are sealed.
    sealed: Option<flume::Sender<()>>,
    members: systems::membership::Table,
    rollouts: systems::rollout::Table,
    outbound: OutboundCalls,
    due: loads::Due,
    view: Arc<View>,
    leaving: bool,
}

impl Control {
    /// Creates empty tables.
    ///
    /// # Errors
    /// When the thread that makes outbound calls cannot be started.
    pub(crate) fn new(
        shared: Arc<Shared>,
        store_pool: StorePool,
        peers: peers::Handle,
    ) -> std::io::Result<Self> {
        let settings = &shared.settings;
        let keys = catalogue::head::Keys::new(&settings.cluster);
        let prefix = keys.all().to_owned();
        let watcher = Watcher::new(shared.store.clone(), prefix, shared.events.clone());
        let catalogue = systems::catalogue::Table::new(settings, rand::random());
        let ledger = systems::ledger::Table::new(settings, shared.incarnation);
        let incarnation = shared.incarnation;
        let members = systems::membership::Table::new(settings, incarnation, peers, rand::random());
        let rollouts = systems::rollout::Table::new(&settings.cluster, &settings.daemon);
        let outbound = OutboundCalls::start(shared.clone())?;
        Ok(Self {
            shared,
            store_pool,
            watcher,
            catalogue,
            ledger,
            sealed: None,
            members,
            rollouts,
            outbound,
            due: loads::Due::default(),
            view: Arc::default(),
            leaving: false,
        })
    }

    /// Handles events and ticks until it is stopped.
    pub(crate) fn run(mut self, events: &flume::Receiver<Event>) {
        let tick = self.shared.settings.control.tick.to_duration();
        let mut next_tick = Instant::now();
        loop {
            match events.recv_deadline(self.wake_at(next_tick)) {
                Ok(Event::Stop) | Err(flume::RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(flume::RecvTimeoutError::Timeout) => self.flush_ledger(),
            }
            let now = Instant::now();
            if now >= next_tick {
                self.tick();
                next_tick = next_after(next_tick, now, tick);
            }
        }
    }

    /// Time of the next tick, or the ledger's next deadline if that is earlier.
    fn wake_at(&self, next_tick: Instant) -> Instant {
        let until = self.shared.now().until(self.ledger.next_deadline());
        let due = Instant::now().checked_add(until.to_duration());
        due.map_or(next_tick, |due| due.min(next_tick))
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.now();
        let actions = match event {
            Event::Store(StoreUse::Catalogue, outcome) => self.catalogue.on_store(now, outcome),
            Event::Store(StoreUse::Edit, outcome) => self.catalogue.on_edit_step(now, outcome),
            Event::Store(StoreUse::Rollout(ticket), outcome) => {
                let task = self.rollouts.on_store(now, ticket, outcome);
                self.perform_tasks(now, task);
                return;
            }
            Event::Operator(command) => {
                self.command(now, command);
                return;
            }
            Event::Called(called) => {
                self.rollouts.on_called(now, called);
                return;
            }
            Event::Watch(events) => self.catalogue.on_watch(now, &events),
            Event::Store(StoreUse::Ledger(id), outcome) => {
                let actions = self.ledger.on_store(now, id, outcome);
                return self.perform_ledger(actions);
            }
            Event::Bill(bill, end) => {
                let actions = self.ledger.record(now, *bill, end);
                return self.perform_ledger(actions);
            }
            Event::SealBills(sealed) => {
                self.sealed = Some(sealed);
                return;
            }
            Event::Peer(inbound) => {
                self.handle_peer(now, inbound);
                return;
            }
            Event::Hosts(hosts) => {
                systems::hosts::apply(&mut lock(&self.shared.router), now, &hosts);
                return;
            }
            Event::Leave => {
                self.leaving = true;
                let tasks = self.rollouts.leave(now);
                self.perform_tasks(now, tasks);
                self.members.leave(now);
                self.publish(now);
                return;
            }
            Event::Stop => return,
        };
        self.perform(now, actions);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        self.tick_members(now);
        self.shared.sessions.tick(now);
        let actions = self.catalogue.tick(now);
        self.perform(now, actions);
        self.tick_ledger(now);
        let fleet = self.members.membership().fleet_size();
        systems::quality::tick(&self.shared, now, fleet);
        self.publish_evidence(now);
        self.tick_loads(now);
        self.drive_rollouts(now);
        self.tick_quarantine(now);
        self.update_metrics(now);
        // Published at every tick, since the catalogue's freshness changes without an event.
        self.publish(now);
    }

    fn perform(&mut self, now: Time, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Store(purpose, request) => self.store_pool.call(purpose, request),
                Action::Send(to, body) => self.members.send(&to, Part::Catalogue, body),
                Action::Watch => self.watcher.start(),
                Action::StopWatch => self.watcher.stop(),
                Action::Changed => changed = true,
            }
        }
        if changed {
            self.apply_catalogue(now);
        }
    }

    /// Configures routing and limits from the current catalogue and publishes it.
    fn apply_catalogue(&mut self, now: Time) {
        let view = self.catalogue.view();
        let region = &self.shared.settings.region;
        systems::routing::configure(&mut lock(&self.shared.router), &view, region);
        systems::limits::configure(&mut self.shared.admissions.table().limiter, now, &view);
        tracing::info!("catalogue: revision {} is in force", view.revision);
        self.publish_progress(now, view.revision);
        self.view = Arc::new(view);
        self.update_slots(now);
        self.publish(now);
    }

    /// Publishes the current state as the snapshot that traffic reads.
    fn publish(&self, now: Time) {
        let snapshot = Snapshot {
            readiness: self.readiness(self.view.revision),
            is_ledger_full: self.ledger.is_full(),
            view: self.view.clone(),
            confirmed: self.catalogue.sync().validated_at(),
            reach: self.reach(now),
        };
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    fn readiness(&self, revision: Revision) -> Readiness {
        match (revision, self.leaving) {
            (_, true) => Readiness::Leaving,
            (Revision(0), false) => Readiness::Starting,
            (_, false) => Readiness::Ready,
        }
    }
}

/// Time of the next tick; ticks missed while the thread was held up are skipped.
fn next_after(previous: Instant, now: Instant, tick: Duration) -> Instant {
    let next = previous + tick;
    if next > now { next } else { now + tick }
}
