//! How the end of an upstream shows, and what had begun there.
//!
//! A connection that breaks may be the upstream's end, a cut link or one lost connection. So the
//! upstream is asked at once whether it still listens: a program that has ended refuses. Where
//! the host itself is gone nobody refuses, and its entry in the list goes some seconds later.

use std::rc::Rc;
use std::time::Duration;

use dispatch::{LastSeen, UpstreamIndex};
use http1::refuses;
use poison::{Content, Run, RunEnd, Under, UpstreamRun};
use tokio::sync::mpsc::UnboundedReceiver;
use types::prelude::*;

use crate::shared::Shared;

/// How often is looked whether a doubt is settled, and how often at most: as long as both looks
/// at an upstream that does not refuse take.
const PROBE_POLL: Duration = Duration::from_millis(5);
const MAX_PROBE_POLLS: u32 = 32;
/// Contents named in one log line at most: a busy engine's are some dozen.
const MAX_LOGGED_CONTENTS: usize = 16;

/// How an upstream's end showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// It refuses connections.
    Refuses,
    /// Its entry went from the list, after a run had broken there.
    GoneFromList,
    /// Other daemons tell.
    Told,
    /// It was known before; a connection of it breaks only now.
    Known,
}

/// Asks upstreams that may have ended whether they still listen, each once at a time.
pub(crate) async fn probe_doubtful<T: 'static>(
    shared: Rc<Shared<T>>,
    mut probe_tx: UnboundedReceiver<LastSeen>,
) {
    while let Some(upstream) = probe_tx.recv().await {
        if !shared.probing.borrow_mut().insert(upstream.index) {
            continue;
        }
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let index = upstream.index;
            if refuses(upstream.spec.address).await {
                let latest = shared.upstreams.borrow().last_seen(index);
                shared.record_upstream_crash(&latest.unwrap_or(upstream), Sign::Refuses);
            }
            shared.probing.borrow_mut().remove(&index);
        });
    }
}

impl<T> Shared<T> {
    /// Notes that a run of a content is over.
    pub(crate) fn run_ended(&self, index: UpstreamIndex, run: Run, content: Content, end: RunEnd) {
        let now = self.now();
        // What a leaving upstream cuts was planned.
        let was_leaving = self.upstreams.borrow().is_leaving(index);
        let end = match end {
            RunEnd::Broken if was_leaving => RunEnd::NotRun,
            end => end,
        };
        if end == RunEnd::Whole {
            self.cfg.suspects.lock().whole(now, content);
        }
        let under = self.runs.borrow_mut().over(now, index, run, end);
        // A draft of what upstreams ended under before may end this one after it was dropped.
        let needs_probe = match end {
            RunEnd::Broken => true,
            RunEnd::GivenUp => self.cfg.suspects.lock().is_held(content),
            _ => false,
        };
        if let Some(under) = under {
            let upstream = self.upstreams.borrow().last_seen(index);
            if let Some(upstream) = upstream {
                self.record_crash(&upstream, &[under], Sign::Known);
            }
        } else if needs_probe {
            self.probe(index);
        }
    }

    fn probe(&self, index: UpstreamIndex) {
        if let Some(upstream) = self.upstreams.borrow().last_seen(index) {
            // The task that asks lives as long as the event loop.
            let _ = self.probe_tx.send(upstream);
        }
    }

    /// Notes that an upstream refuses connections: its program has ended.
    pub(crate) fn upstream_refuses(&self, index: UpstreamIndex) {
        let upstream = self.upstreams.borrow().last_seen(index);
        if let Some(upstream) = upstream {
            self.record_upstream_crash(&upstream, Sign::Refuses);
        }
    }

    /// Notes an upstream whose entry went without a word before. One on which nothing broke may
    /// live on: some leave that way.
    pub(crate) fn unlisted(&self, gone: LastSeen) {
        let runs = self.runs.borrow();
        let (has_broken, has_given_up) =
            (runs.has_broken(gone.index), runs.has_given_up(gone.index));
        drop(runs);
        if has_broken {
            self.record_upstream_crash(&gone, Sign::GoneFromList);
        } else if has_given_up {
            // The task that asks lives as long as the event loop.
            let _ = self.probe_tx.send(gone);
        }
    }

    /// Takes other daemons' word that an upstream ended: what was given up here just before may
    /// have ended it.
    pub(crate) fn peer_reported_crash(&self, run: &UpstreamRun) {
        let found = self.upstreams.borrow().find(&run.id, run.started_at);
        if let Some(upstream) = found {
            self.record_upstream_crash(&upstream, Sign::Told);
        }
    }

    pub(crate) fn tidy_quarantine(&self, now: Time) {
        let mut suspects = self.cfg.suspects.lock();
        suspects.tidy(now);
        let barred = i64::try_from(suspects.barred().len()).unwrap_or(i64::MAX);
        self.metrics.barred_contents.set(barred);
    }

    fn record_upstream_crash(&self, upstream: &LastSeen, sign: Sign) {
        let LastSeen {
            index, heard_at, ..
        } = *upstream;
        let under = self.runs.borrow_mut().ended(self.now(), index, heard_at);
        let Some(under) = under else { return };
        if sign != Sign::Told || !under.is_empty() {
            self.metrics.upstream_ends.inc();
            self.record_crash(upstream, &under, sign);
        }
    }

    fn record_crash(&self, upstream: &LastSeen, under: &[Under], sign: Sign) {
        let spec = &upstream.spec;
        let named = under.iter().take(MAX_LOGGED_CONTENTS);
        let named = named.map(|under| format!("{} {}ms", under.content, under.ran.as_millis()));
        tracing::warn!(
            upstream = spec.id.as_str(),
            service = &*spec.service,
            version = &*spec.version,
            ?sign,
            under = named.collect::<Vec<_>>().join("; "),
            count = under.len(),
            "upstreams: ended"
        );
        self.cfg
            .suspects
            .lock()
            .ended(self.now(), &upstream.run(), under);
        self.probe_earlier(under);
    }

    /// Asks upstreams at which the same contents were dropped before they were suspected: the end
    /// of one that ran nothing else breaks no connection.
    fn probe_earlier(&self, under: &[Under]) {
        let contents = under.iter().map(|under| under.content).collect();
        let earlier = self.runs.borrow().given_up(&contents);
        earlier.into_iter().for_each(|index| self.probe(index));
    }

    /// Waits until it is known whether upstreams that are in doubt have ended, for a moment at
    /// most.
    ///
    /// Guards against the next attempt of a request that ends its upstreams: it comes within
    /// some ms, before the last end is known, and takes one more.
    pub(crate) async fn await_probes(&self) {
        for _ in 0..MAX_PROBE_POLLS {
            if self.probing.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(PROBE_POLL).await;
        }
    }
}
