//! The thread that follows the catalogue's keys in the store, while this daemon is one
//! of the watchers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use keyvalue::ModRevision;
use store::{Store, Watch, WatchEnd};

use crate::event::Event;

/// Pause after a watch that broke off, so that a store that is down is not besieged.
const PAUSE: Duration = Duration::from_secs(1);

/// Starts and stops the thread.
pub(crate) struct Watching {
    store: Arc<dyn Store>,
    prefix: String,
    events: flume::Sender<Event>,
    stop: Option<Arc<AtomicBool>>,
}

impl Watching {
    /// Not watching yet.
    #[must_use]
    pub(crate) fn new(store: Arc<dyn Store>, prefix: String, events: flume::Sender<Event>) -> Self {
        Self {
            store,
            prefix,
            events,
            stop: None,
        }
    }

    /// Begins to watch, from now on.
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
            // Reading the head now and then goes on and finds what changed.
            Err(e) => tracing::error!("store: cannot watch: {e}"),
        }
    }

    /// Stops watching. The thread ends at the watch's next sign of life; until then it
    /// tells of changes that are known already, which does no harm.
    pub(crate) fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.store(true, Ordering::Relaxed);
        }
    }
}

impl Drop for Watching {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Watches anew whenever a watch ends, until told to stop.
fn follow(store: &dyn Store, watch: &Watch, events: &flume::Sender<Event>) {
    let mut sink = |batch: store::WatchBatch| {
        let told = events.send(Event::Watch(batch.events));
        told.is_ok() && !watch.stop.load(Ordering::Relaxed)
    };
    loop {
        match store.watch(watch, &mut sink) {
            WatchEnd::Stopped => return,
            WatchEnd::Idle | WatchEnd::Compacted(_) => {}
            WatchEnd::Broken(reason) => {
                tracing::warn!("store: the watch broke off: {reason}");
                std::thread::sleep(PAUSE);
            }
        }
    }
}
