//! The control thread: owns the tables, takes events, runs the systems each tick.

use std::sync::Arc;
use std::time::{Duration, Instant};

use types::prelude::*;

use crate::event::{Event, StoreUse};
use crate::shared::{Shared, lock};
use crate::snapshot::{Readiness, Snapshot};
use crate::storage::Storage;
use crate::systems;

/// The tables and what they reach out through.
pub(crate) struct Control {
    shared: Arc<Shared>,
    storage: Storage,
    catalogue: systems::catalogue::Table,
    leaving: bool,
}

impl Control {
    /// Empty tables.
    #[must_use]
    pub(crate) fn new(shared: Arc<Shared>, storage: Storage) -> Self {
        let catalogue = systems::catalogue::Table::new(&shared.settings.cluster);
        Self {
            shared,
            storage,
            catalogue,
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
        match event {
            Event::Store(StoreUse::Catalogue, outcome) => {
                if self.catalogue.on_store(outcome) {
                    self.publish();
                }
            }
            Event::Hosts(hosts) => {
                let now = self.shared.now();
                systems::hosts::apply(&mut lock(&self.shared.router), now, &hosts);
            }
            Event::Leave => {
                self.leaving = true;
                self.publish();
            }
            Event::Watch(_) | Event::Stop => {}
        }
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        if let Some(request) = self.catalogue.tick(now) {
            self.storage.call(StoreUse::Catalogue, request);
        }
    }

    /// Makes the present state what traffic reads.
    fn publish(&self) {
        let view = self.catalogue.view();
        let region = &self.shared.settings.region;
        systems::routing::configure(&mut lock(&self.shared.router), &view, region);
        tracing::info!("catalogue: revision {} is in force", view.revision);
        let readiness = self.readiness(view.revision);
        let snapshot = Snapshot {
            readiness,
            view,
            ..Snapshot::default()
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
