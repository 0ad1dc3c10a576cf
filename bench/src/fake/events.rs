//! Event queue of a discrete-event simulation.

use std::collections::BTreeMap;

use types::prelude::*;

/// Pending events in order of time. Events of the same time keep the order in which they were
/// added.
#[derive(Debug)]
pub struct Events<E> {
    queue: BTreeMap<(Time, u64), E>,
    last_sequence: u64,
}

impl<E> Events<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Schedules an event.
    pub fn add(&mut self, time: Time, event: E) {
        self.last_sequence += 1;
        self.queue.insert((time, self.last_sequence), event);
    }

    /// Removes the next event and returns it with its time.
    pub fn next(&mut self) -> Option<(Time, E)> {
        let ((time, _), event) = self.queue.pop_first()?;
        Some((time, event))
    }
}
