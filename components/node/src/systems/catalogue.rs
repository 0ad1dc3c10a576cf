//! Holds the catalogue and publishes what it says.

use std::sync::Arc;

use catalogue::record::{Catalogue, Record};
use catalogue::view::View;
use keyvalue::{KeyValue, Outcome, Range, Reply, Request};
use types::prelude::*;

/// Time between two reads of the whole catalogue.
const READ_INTERVAL: Span = Span::from_secs(1);

/// The catalogue and when to read it next.
#[derive(Debug)]
pub struct Table {
    prefix: String,
    held: Catalogue,
    next_read: Time,
}

impl Table {
    /// Empty, for a fleet.
    #[must_use]
    pub fn new(cluster: &ClusterName) -> Self {
        let prefix = format!("/buckthorncross/{cluster}/catalogue/entries/");
        Self {
            prefix,
            held: Catalogue::default(),
            next_read: Time::ZERO,
        }
    }

    /// The catalogue's revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.held.revision()
    }

    /// The catalogue indexed for serving.
    #[must_use]
    pub fn view(&self) -> View {
        View::from_catalogue(&self.held)
    }

    /// The call that is due, if any.
    pub fn tick(&mut self, now: Time) -> Option<Request> {
        if !now.has_reached(self.next_read) {
            return None;
        }
        self.next_read = now + READ_INTERVAL;
        Some(Request::Range(Range::prefix(self.prefix.clone())))
    }

    /// Takes a read's outcome; true if the catalogue changed.
    pub fn on_store(&mut self, outcome: Outcome) -> bool {
        let Ok(answer) = outcome else { return false };
        let Reply::Range(found) = answer.reply else {
            return false;
        };
        let mut changed = false;
        for kv in &found {
            changed |= self.apply(kv);
        }
        changed
    }

    fn apply(&mut self, kv: &KeyValue) -> bool {
        let name = kv
            .key
            .strip_prefix(&self.prefix)
            .and_then(|name| name.parse().ok());
        let record = serde_json::from_slice::<Record>(&kv.value);
        match (name, record) {
            (Some(name), Ok(record)) => self.held.apply(name, Arc::new(record)),
            (_, Err(error)) => {
                tracing::warn!("catalogue: {} is malformed: {error}", kv.key);
                false
            }
            (None, _) => false,
        }
    }
}
