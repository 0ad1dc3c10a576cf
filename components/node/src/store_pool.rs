//! Threads that call the key-value service for the control thread.

use std::sync::Arc;

use keyvalue::{CallError, Request};
use store::Store;

use crate::event::{Event, StoreUse};

/// Calls that wait; the control thread is told "not sent" for more.
const CALLS_WAITING: usize = 256;
/// Calls under way at once: a slow service must not hold back every part behind one.
const THREADS: usize = 3;

/// Takes calls from the control thread.
#[derive(Clone)]
pub(crate) struct Storage {
    calls: flume::Sender<(StoreUse, Request)>,
    events: flume::Sender<Event>,
}

impl Storage {
    /// Starts the threads; they end when the last `Storage` goes.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        events: flume::Sender<Event>,
    ) -> std::io::Result<Self> {
        let (calls, rx) = flume::bounded::<(StoreUse, Request)>(CALLS_WAITING);
        for index in 0..THREADS {
            let (rx, store, events) = (rx.clone(), store.clone(), events.clone());
            let thread = std::thread::Builder::new().name(format!("store-{index}"));
            thread.spawn(move || {
                for (used, request) in rx {
                    let outcome = store.call(request);
                    let _ = events.send(Event::Store(used, outcome));
                }
            })?;
        }
        Ok(Self { calls, events })
    }

    /// Makes a call; its outcome comes as an event.
    pub(crate) fn call(&self, used: StoreUse, request: Request) {
        if self.calls.try_send((used, request)).is_err() {
            let full = CallError::NotSent("too many calls wait".to_owned());
            let _ = self.events.try_send(Event::Store(used, Err(full)));
        }
    }
}
