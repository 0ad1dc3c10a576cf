//! One send of a request, as its exchange sees it while the send is in progress. The send itself is
//! an [`Attempt`](crate::attempt::Attempt).

use std::cell::{Cell, RefCell};

use dispatch::{Load, UpstreamIndex};
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
    /// Why the upstream counts as silent; none once its answer has begun.
    silence: Cell<Option<&'static str>>,
    /// Whether its answer has begun.
    has_begun: Cell<bool>,
    /// When the request was last written.
    written_at: Cell<Option<Instant>>,
    changed: Notify,
}

impl Run {
    pub(crate) fn new(index: UpstreamIndex, load: Load, model_index: Option<usize>) -> Self {
        Self {
            index,
            load,
            model_index,
            peer: RefCell::default(),
            silence: Cell::default(),
            has_begun: Cell::default(),
            written_at: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Sets why the upstream counts as silent, before its answer.
    pub(crate) fn set_silence(&self, why: Option<&'static str>) {
        self.silence.set(why);
        if why.is_some() {
            self.changed.notify_one();
        }
    }

    /// Notes that the answer has begun.
    pub(crate) fn note_began(&self) {
        self.has_begun.set(true);
        self.silence.set(None);
        self.changed.notify_one();
    }

    /// Waits until the answer has begun.
    pub(crate) async fn began(&self) {
        while !self.has_begun.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until the upstream counts as silent; returns why.
    pub(crate) async fn silent(&self) -> &'static str {
        loop {
            if let Some(why) = self.silence.get() {
                return why;
            }
            self.changed.notified().await;
        }
    }

    /// Notes that the request was written.
    pub(crate) fn note_written(&self) {
        self.written_at.set(Some(Instant::now()));
        self.changed.notify_one();
    }

    /// Notes that the connection on which it was written broke, and another one is opened.
    pub(crate) fn note_reconnecting(&self) {
        self.written_at.set(None);
    }

    /// Whether the upstream may have the request.
    pub(crate) fn is_written(&self) -> bool {
        self.written_at.get().is_some()
    }

    /// Waits until the request was written and not refused for this long.
    pub(crate) async fn accepted_for(&self, span: Span) {
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
}
