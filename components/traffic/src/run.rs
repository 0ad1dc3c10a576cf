//! One send of a request, as its exchange sees it while the send is in progress.

use std::cell::{Cell, RefCell};

use dispatch::{Load, UpstreamIndex, UpstreamOutcome};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use types::prelude::*;

/// One send of a request.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) index: UpstreamIndex,
    /// The load by which the upstream was chosen.
    pub(crate) load: Load,
    /// Index into the route's models, where the daemon chooses the model.
    pub(crate) model_index: Option<usize>,
    /// The peer through which the request goes, if it does.
    pub(crate) peer: RefCell<Option<DaemonId>>,
    /// Why the upstream counts as silent before its answer.
    silence: Cell<Option<&'static str>>,
    /// When the request was last written.
    written_at: Cell<Option<Instant>>,
    changed: Notify,
    /// What it shows of the upstream if the exchange ends it.
    abandoned_as: Cell<UpstreamOutcome>,
}

impl Run {
    pub(crate) fn new(index: UpstreamIndex, load: Load, model_index: Option<usize>) -> Self {
        Self {
            index,
            load,
            model_index,
            peer: RefCell::default(),
            silence: Cell::default(),
            written_at: Cell::default(),
            changed: Notify::new(),
            abandoned_as: Cell::new(UpstreamOutcome::Cancelled),
        }
    }

    /// Reports that the upstream has been silent for too long.
    pub(crate) fn report_silence(&self, why: &'static str) {
        self.silence.set(Some(why));
        self.changed.notify_one();
    }

    /// Waits until the upstream has been silent for too long; returns why.
    pub(crate) async fn silent(&self) -> &'static str {
        loop {
            if let Some(why) = self.silence.get() {
                return why;
            }
            self.changed.notified().await;
        }
    }

    /// Notes that the request is about to be written on a connection that is open.
    pub(crate) fn note_written(&self) {
        self.written_at.set(Some(Instant::now()));
        self.changed.notify_one();
    }

    /// Notes that the connection on which it was written broke, and another one is opened.
    pub(crate) fn note_reconnecting(&self) {
        self.written_at.set(None);
    }

    /// Waits until the request was written and was not refused for this long.
    pub(crate) async fn taken_for(&self, span: Span) {
        loop {
            let Some(written_at) = self.written_at.get() else {
                self.changed.notified().await;
                continue;
            };
            let until = written_at + span.to_duration();
            if Instant::now() >= until {
                return;
            }
            sleep_until(until).await;
        }
    }

    /// Sets what it shows of the upstream if the exchange ends it.
    pub(crate) fn abandon(&self, outcome: UpstreamOutcome) {
        self.abandoned_as.set(outcome);
    }

    pub(crate) fn abandoned_as(&self) -> UpstreamOutcome {
        self.abandoned_as.get()
    }
}
