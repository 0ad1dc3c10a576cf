//! The table of suspects that a daemon's threads share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::suspects::Suspects;

/// [`Suspects`] shared by the thread that serves callers and the one that exchanges messages with
/// other daemons. Locked for microseconds, never across a call or a wait.
#[derive(Debug, Clone, Default)]
pub struct SharedSuspects(Arc<Mutex<Suspects>>);

impl SharedSuspects {
    /// Wraps a table so that threads can share it.
    #[must_use]
    pub fn new(suspects: Suspects) -> Self {
        Self(Arc::new(Mutex::new(suspects)))
    }

    /// Locks the table until the guard is dropped.
    pub fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
