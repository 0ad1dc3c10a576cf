//! Events in the order of their time.

use std::collections::BTreeMap;

use types::prelude::*;

/// Events to come. Those of the same time come in the order in which they were added.
#[derive(Debug)]
pub struct Events<E> {
    queue: BTreeMap<(Time, u64), E>,
    added: u64,
}

impl<E> Events<E> {
    /// None to come.
    pub fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            added: 0,
        }
    }

    /// Adds an event.
    pub fn add(&mut self, at: Time, event: E) {
        self.added += 1;
        self.queue.insert((at, self.added), event);
    }

    /// Takes the next event and its time.
    pub fn next(&mut self) -> Option<(Time, E)> {
        let ((at, _), event) = self.queue.pop_first()?;
        Some((at, event))
    }
}
