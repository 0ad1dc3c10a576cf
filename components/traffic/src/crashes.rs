//! How the crash of an upstream is detected, and which requests were in flight there.
//!
//! A broken connection may be a crash, a network partition or one lost connection. So the upstream
//! is probed at once for whether it still listens: the host of a stopped program refuses
//! connections. Peers are asked as well, since a firewall on the path may refuse in its place. Where
//! the host itself is gone nothing refuses, and the upstream's entry leaves the list some seconds
//! later.

use std::rc::Rc;
use std::time::Duration;

use dispatch::{LastSeen, UpstreamIndex};
use http1::probe_refused;
use poison::{AttemptEnd, AttemptId, Contents, CrashedAttempt, UpstreamInstance};
use tokio::sync::mpsc::UnboundedReceiver;
use types::prelude::*;

use crate::shared::Shared;

/// Interval of the checks whether all probes are done.
const PROBE_POLL: Duration = Duration::from_millis(5);
/// Number of these checks: together they last as long as both connection attempts of a probe that
/// isn't refused.
const MAX_PROBE_POLLS: u32 = 32;
/// Contents named in one log line: a busy engine processes some dozen at a time.
const MAX_LOGGED_CONTENTS: usize = 16;

/// The sign of an upstream's crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// It refuses connections.
    Refuses,
    /// Its entry left the list after an attempt had broken there.
    GoneFromList,
    /// Other daemons reported it.
    Told,
    /// The crash was known before; one of its connections breaks only now.
    Known,
}

/// Probes upstreams that may have crashed for whether they still listen, with at most one probe of
/// each at a time.
pub(crate) async fn probe_doubtful<T: 'static>(
    shared: Rc<Shared<T>>,
    mut probe_rx: UnboundedReceiver<LastSeen>,
) {
    while let Some(upstream) = probe_rx.recv().await {
        if !shared.probing.borrow_mut().insert(upstream.index) {
            continue;
        }
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let index = upstream.index;
            let refuses = probe_refused(upstream.spec.address).await;
            if refuses && shared.has_stopped(index, &upstream.spec).await {
                let latest = shared.upstreams.borrow().last_seen(index);
                shared.record_upstream_crash(&latest.unwrap_or(upstream), Sign::Refuses);
            }
            shared.probing.borrow_mut().remove(&index);
        });
    }
}

impl<T> Shared<T> {
    /// Notes that an attempt of a request with these contents has ended.
    pub(crate) fn attempt_ended(
        &self,
        index: UpstreamIndex,
        attempt: AttemptId,
        contents: &Contents,
        end: AttemptEnd,
    ) {
        let now = self.now();
        // An upstream that is leaving cuts its connections on purpose.
        let was_leaving = self.upstreams.borrow().is_leaving(index);
        let end = match end {
            AttemptEnd::Broken if was_leaving => AttemptEnd::NotStarted,
            end => end,
        };
        if end == AttemptEnd::Answered {
            self.cfg.suspects.lock().answered(now, contents.clone());
        }
        let crashed = self
            .attempts
            .borrow_mut()
            .attempt_ended(now, index, attempt, end);
        // A dropped draft of a content with crash evidence may still crash the upstream.
        let needs_probe = match end {
            AttemptEnd::Broken => true,
            AttemptEnd::GivenUp => {
                let suspects = self.cfg.suspects.lock();
                contents.iter().any(|content| suspects.has_crashes(content))
            }
            _ => false,
        };
        if let Some(crashed) = crashed {
            let upstream = self.upstreams.borrow().last_seen(index);
            if let Some(upstream) = upstream {
                self.record_crash(&upstream, &[crashed], Sign::Known);
            }
        } else if needs_probe {
            self.probe(index);
        }
    }

    fn probe(&self, index: UpstreamIndex) {
        if let Some(upstream) = self.upstreams.borrow().last_seen(index) {
            // The probing task lives as long as the event loop.
            let _ = self.probe_tx.send(upstream);
        }
    }

    /// Notes that an upstream refuses connections: its program has stopped.
    pub(crate) fn upstream_refuses(&self, index: UpstreamIndex) {
        let upstream = self.upstreams.borrow().last_seen(index);
        if let Some(upstream) = upstream {
            self.record_upstream_crash(&upstream, Sign::Refuses);
        }
    }

    /// Notes that an upstream's entry left the list without notice. One at which nothing broke may
    /// still be running: some leave that way.
    pub(crate) fn unlisted(&self, gone: LastSeen) {
        let attempts = self.attempts.borrow();
        let (has_broken, has_given_up) = (
            attempts.has_broken(gone.index),
            attempts.has_given_up(gone.index),
        );
        drop(attempts);
        if has_broken {
            self.record_upstream_crash(&gone, Sign::GoneFromList);
        } else if has_given_up {
            // The probing task lives as long as the event loop.
            let _ = self.probe_tx.send(gone);
        }
    }

    /// Applies other daemons' report of a crash: an attempt that was given up here just before may
    /// have caused it.
    pub(crate) fn peer_reported_crash(&self, instance: &UpstreamInstance) {
        let found = self
            .upstreams
            .borrow()
            .find(&instance.id, instance.started_at);
        if let Some(upstream) = found {
            self.record_upstream_crash(&upstream, Sign::Told);
        }
    }

    pub(crate) fn tidy_quarantine(&self, now: Time) {
        let mut suspects = self.cfg.suspects.lock();
        suspects.expire(now);
        let quarantined = i64::try_from(suspects.quarantined().len()).unwrap_or(i64::MAX);
        self.metrics.barred_contents.set(quarantined);
    }

    fn record_upstream_crash(&self, upstream: &LastSeen, sign: Sign) {
        let LastSeen {
            index, heard_at, ..
        } = *upstream;
        let crashed = self
            .attempts
            .borrow_mut()
            .upstream_crashed(self.now(), index, heard_at);
        let Some(crashed) = crashed else { return };
        if sign != Sign::Told || !crashed.is_empty() {
            self.metrics.upstream_ends.inc();
            self.record_crash(upstream, &crashed, sign);
        }
    }

    fn record_crash(&self, upstream: &LastSeen, crashed: &[CrashedAttempt], sign: Sign) {
        let spec = &upstream.spec;
        let named = crashed.iter().take(MAX_LOGGED_CONTENTS);
        let named =
            named.map(|crashed| format!("{} {}ms", crashed.contents, crashed.ran.as_millis()));
        tracing::warn!(
            upstream = spec.id.as_str(),
            service = &*spec.service,
            version = &*spec.version,
            ?sign,
            under = named.collect::<Vec<_>>().join("; "),
            count = crashed.len(),
            "upstreams: ended"
        );
        self.cfg
            .suspects
            .lock()
            .upstream_crashed(self.now(), &upstream.instance(), crashed);
        self.cfg.suspects.notify();
        self.probe_earlier(crashed);
    }

    /// Probes upstreams at which the same contents were given up before they were suspected: if no
    /// other request was in flight there, their crash breaks no connection.
    fn probe_earlier(&self, crashed: &[CrashedAttempt]) {
        let suspects = self.cfg.suspects.lock();
        let contents = crashed.iter().flat_map(|crashed| crashed.contents.iter());
        let contents = contents.filter(|content| suspects.has_crashes(*content));
        let contents = contents.collect();
        drop(suspects);
        let earlier = self.attempts.borrow().given_up(&contents);
        earlier.into_iter().for_each(|index| self.probe(index));
    }

    /// Waits, for a moment at most, until all probes are done.
    ///
    /// The next attempt of a request that crashes upstreams comes within milliseconds. Without this
    /// wait it would be sent before the last crash is known, and crash one more upstream.
    pub(crate) async fn await_probes(&self) {
        for _ in 0..MAX_PROBE_POLLS {
            if self.probing.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(PROBE_POLL).await;
        }
    }
}
