//! The control thread: owns the tables, takes events, runs the systems each tick.

use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::view::View;
use types::prelude::*;

use crate::event::{Event, StoreUse};
use crate::shared::{Shared, lock};
use crate::snapshot::{Readiness, Snapshot};
use crate::storage::Storage;
use crate::systems;
use crate::systems::catalogue::Action;
use crate::watching::Watching;

/// Until members are known.
const FLEET_OF_ONE: usize = 1;

/// The tables and what they reach out through.
pub(crate) struct Control {
    shared: Arc<Shared>,
    storage: Storage,
    watching: Watching,
    catalogue: systems::catalogue::Table,
    view: Arc<View>,
    leaving: bool,
}

impl Control {
    /// Empty tables.
    #[must_use]
    pub(crate) fn new(shared: Arc<Shared>, storage: Storage) -> Self {
        let settings = &shared.settings;
        let keys = catalogue::head::Keys::new(&settings.cluster);
        let prefix = keys.all().to_owned();
        let watching = Watching::new(shared.store.clone(), prefix, shared.events.clone());
        let catalogue = systems::catalogue::Table::new(settings, rand::random());
        Self {
            shared,
            storage,
            watching,
            catalogue,
            view: Arc::default(),
            leaving: false,
        }
    }

    /// Runs until told to stop.
    pub(crate) fn run(mut self, events: &flume::Receiver<Event>) {
        let tick = self.shared.settings.control.tick.to_duration();
        let mut next_tick = Instant::now();
        loop {
            match events.recv_deadline(next_tick) {
                Ok(Event::Stop) | Err(flume::RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.take(event),
                Err(flume::RecvTimeoutError::Timeout) => {}
            }
            let now = Instant::now();
            if now >= next_tick {
                self.tick();
                next_tick = next_after(next_tick, now, tick);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.shared.now();
        let actions = match event {
            Event::Store(StoreUse::Catalogue, outcome) => self.catalogue.on_store(now, outcome),
            Event::Store(StoreUse::Edit, outcome) => self.catalogue.on_edit_step(now, outcome),
            Event::Watch(events) => self.catalogue.on_watch(now, &events),
            Event::Hosts(hosts) => {
                systems::hosts::apply(&mut lock(&self.shared.router), now, &hosts);
                return;
            }
            Event::Leave => {
                self.leaving = true;
                self.publish(now);
                return;
            }
            Event::Stop => return,
        };
        self.perform(now, actions);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let actions = self.catalogue.tick(now);
        self.perform(now, actions);
        // Every tick: how fresh the catalogue is changes without an event.
        self.publish(now);
    }

    fn perform(&mut self, now: Time, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Store(used, request) => self.storage.call(used, request),
                // No other daemon is known yet.
                Action::Send(..) => {}
                Action::Watch => self.watching.start(),
                Action::StopWatch => self.watching.stop(),
                Action::Changed => changed = true,
            }
        }
        if changed {
            self.put_in_force(now);
        }
        systems::quality::tick(&self.shared, now, FLEET_OF_ONE);
    }

    /// Serves by the catalogue as it is now.
    fn put_in_force(&mut self, now: Time) {
        let view = self.catalogue.view();
        let region = &self.shared.settings.region;
        systems::routing::configure(&mut lock(&self.shared.router), &view, region);
        tracing::info!("catalogue: revision {} is in force", view.revision);
        self.view = Arc::new(view);
        self.publish(now);
    }

    /// Makes the present state what traffic reads.
    fn publish(&self, now: Time) {
        let snapshot = Snapshot {
            readiness: self.readiness(self.view.revision),
            view: self.view.clone(),
            confirmed: self.catalogue.sync().confirmed(),
            reach: self.catalogue.sync().reach(now),
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

/// The next tick; ticks missed while the thread was held up are not made up for.
fn next_after(previous: Instant, now: Instant, tick: Duration) -> Instant {
    let next = previous + tick;
    if next > now { next } else { now + tick }
}
