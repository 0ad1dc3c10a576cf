//! A thread that watches the catalogue's keys in the store, while this daemon is one of the
//! fleet's watchers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use keyvalue::ModRevision;
use store::{Store, Watch, WatchEnd};

use crate::event::Event;

/// Pause after a watch that broke off, so that reconnects do not overload a store that is down.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Starts and stops the thread that watches.
pub(crate) struct Watcher {
    store: Arc<dyn Store>,
    prefix: String,
    events: flume::Sender<Event>,
    stop: Option<Arc<AtomicBool>>,
}

impl Watcher {
    /// Creates a watcher that is not started.
    #[must_use]
    pub(crate) fn new(store: Arc<dyn Store>, prefix: String, events: flume::Sender<Event>) -> Self {
        Self {
            store,
            prefix,
            events,
            stop: None,
        }
    }

    /// Starts to watch for changes from now on.
    pub(crate) fn start(&mut self) {
        self.stop();
        let stop = Arc::new(AtomicBool::new(false));
        let watch = Watch {
            prefix: self.prefix.clone(),
            from: ModRevision(0),
            stop: stop.clone(),
        };
        let (store, events) = (self.store.clone(), self.events.clone());
        let thread = std::thread::Builder::new().name("watch".to_owned());
        match thread.spawn(move || follow(store.as_ref(), &watch, &events)) {
            Ok(_) => self.stop = Some(stop),
            // The regular reads of the catalogue's head go on and find what changed.
            Err(e) => tracing::error!("store: cannot watch: {e}"),
        }
    }

    /// Stops watching. The thread ends at the watch's next message; until then it may report
    /// changes that are known already, which does no harm.
    pub(crate) fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.store(true, Ordering::Relaxed);
        }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Restarts the watch whenever it ends, until it is stopped.
fn follow(store: &dyn Store, watch: &Watch, events: &flume::Sender<Event>) {
    let mut sink = |batch: store::WatchBatch| {
        let delivered = events.send(Event::Watch(batch.events));
        delivered.is_ok() && !watch.stop.load(Ordering::Relaxed)
    };
    loop {
        match store.watch(watch, &mut sink) {
            WatchEnd::Stopped => return,
            WatchEnd::Idle | WatchEnd::Compacted(_) => {}
            WatchEnd::Closed(reason) | WatchEnd::Broken(reason) => {
                tracing::warn!("store: the watch broke off: {reason}");
                std::thread::sleep(RECONNECT_PAUSE);
            }
        }
    }
}
