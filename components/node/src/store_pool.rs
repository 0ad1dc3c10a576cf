//! Threads that call the key-value service for the control thread, which never blocks.

use std::sync::Arc;

use keyvalue::{CallError, Request};
use store::Store;

use crate::event::{Event, StoreUse};

/// Most calls that wait for a thread; further ones are reported as not sent.
const MAX_WAITING_CALLS: usize = 256;
/// Calls in flight at once. With a single thread, one slow call would hold up those of every
/// part of the daemon.
const THREADS: usize = 3;

/// Hands calls of the control thread to the threads.
#[derive(Clone)]
pub(crate) struct StorePool {
    calls: flume::Sender<(StoreUse, Request)>,
    events: flume::Sender<Event>,
}

impl StorePool {
    /// Starts the threads; they end when the last `StorePool` is dropped.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        events: flume::Sender<Event>,
    ) -> std::io::Result<Self> {
        let (calls, rx) = flume::bounded::<(StoreUse, Request)>(MAX_WAITING_CALLS);
        for index in 0..THREADS {
            let (rx, store, events) = (rx.clone(), store.clone(), events.clone());
            let thread = std::thread::Builder::new().name(format!("store-{index}"));
            thread.spawn(move || {
                for (purpose, request) in rx {
                    let outcome = store.call(request);
                    let _ = events.send(Event::Store(purpose, outcome));
                }
            })?;
        }
        Ok(Self { calls, events })
    }

    /// Queues a call; its outcome comes as an event.
    pub(crate) fn call(&self, purpose: StoreUse, request: Request) {
        if self.calls.try_send((purpose, request)).is_err() {
            let full = CallError::NotSent("too many calls wait".to_owned());
            let _ = self.events.try_send(Event::Store(purpose, Err(full)));
        }
    }
}
