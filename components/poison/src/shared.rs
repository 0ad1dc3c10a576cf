//! One table of suspects for the threads of a daemon.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::suspects::Suspects;

/// What is held against contents, shared by the thread that serves callers and the one that
/// speaks with other daemons. Locked for microseconds, never across a call or a wait.
#[derive(Debug, Clone, Default)]
pub struct SharedSuspects(Arc<Mutex<Suspects>>);

impl SharedSuspects {
    /// Of these.
    #[must_use]
    pub fn new(suspects: Suspects) -> Self {
        Self(Arc::new(Mutex::new(suspects)))
    }

    /// The table, while the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
