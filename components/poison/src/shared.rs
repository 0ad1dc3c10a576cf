//! The table of suspects that a daemon's threads share.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use crate::suspects::Suspects;

/// [`Suspects`] shared by the thread that serves callers and the one that exchanges messages with
/// other daemons. Locked for microseconds, never across a call or a wait.
#[derive(Debug, Clone, Default)]
pub struct SharedSuspects {
    suspects: Arc<Mutex<Suspects>>,
    listener: Arc<OnceLock<Listener>>,
}

/// What is called when updates for other daemons wait.
struct Listener(Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Listener")
    }
}

impl SharedSuspects {
    /// Wraps a table so that threads can share it.
    #[must_use]
    pub fn new(suspects: Suspects) -> Self {
        Self {
            suspects: Arc::new(Mutex::new(suspects)),
            listener: Arc::default(),
        }
    }

    /// Locks the table until the guard is dropped.
    pub fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what [`Self::notify`] calls; the first call counts.
    pub fn listen(&self, listener: impl Fn() + Send + Sync + 'static) {
        // A second listener would be of another control thread, of which there is one.
        let _ = self.listener.set(Listener(Box::new(listener)));
    }

    /// Tells the listener if updates wait that other daemons should get at once.
    pub fn notify(&self) {
        if let Some(listener) = self.listener.get()
            && self.lock().has_updates()
        {
            (listener.0)();
        }
    }
}
