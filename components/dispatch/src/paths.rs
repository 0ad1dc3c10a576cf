//! Paths to upstreams: directly, or through a peer.
//!
//! When a connection to an upstream cannot be opened, either the upstream is down or this host has
//! lost its path to it. A peer tells them apart: if it reaches the upstream, the path is lost, and
//! requests go through peers until a probe finds that the path is back. A lost path says nothing
//! about the upstream's health.
//!
//! Several paths of a service that were lost to silence, with nothing heard from any of its
//! upstreams since, mean that all of its paths are lost: each of hundreds of upstreams need not be
//! tried first.
//!
//! Probes are rationed for the daemon as a whole, so their cost does not grow with the number of
//! upstreams. After one that succeeds the next one follows at once, so that all paths are back soon
//! after the first.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use types::prelude::*;

use crate::upstreams::UpstreamIndex;

/// Silent paths of a service from which all of them are taken as lost.
const MIN_SILENT_PATHS: usize = 2;
/// Time without a byte after which an open connection on a lost path is given up: engines that work
/// send events far more often.
const SILENCE: Span = Span::from_millis(400);
/// Pause in which peers are not asked again for an upstream that they did not reach either.
const UNREACHED_PAUSE: Span = Span::from_secs(1);

/// How a request gets to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this daemon.
    Direct,
    /// On a connection of a peer.
    ThroughPeer,
}

/// Why a direct connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectFailure {
    /// Nothing answered in time; open connections probably hang as well.
    TimedOut,
    /// The connection was reset; open connections may still work.
    Reset,
}

/// A path that this daemon has lost.
#[derive(Debug, Clone)]
struct LostPath {
    service: Arc<str>,
    failure: DirectFailure,
    since: Time,
    /// When something was last read on a direct connection.
    heard_at: Option<Time>,
}

/// Paths of a service of which some were lost to silence.
#[derive(Debug, Clone)]
struct SilentService {
    /// Number of paths lost to silence.
    paths: usize,
    /// When the first of them was lost.
    first_at: Time,
    /// When the latest of them was lost.
    latest_at: Time,
    /// When something was last read on a direct connection to any of its upstreams.
    heard_at: Option<Time>,
}

impl SilentService {
    fn is_lost(&self) -> bool {
        let is_heard = self.heard_at.is_some_and(|at| at >= self.first_at);
        self.paths >= MIN_SILENT_PATHS && !is_heard
    }
}

/// Paths to upstreams that are not direct.
#[derive(Debug, Default)]
pub struct Paths {
    lost: BTreeMap<UpstreamIndex, LostPath>,
    silent: HashMap<Arc<str>, SilentService>,
    /// Upstreams that neither this daemon nor a peer reached, and until when peers are not asked
    /// again.
    unreached: BTreeMap<UpstreamIndex, Time>,
    /// The upstream that was probed last.
    last_probed: Option<UpstreamIndex>,
}

impl Paths {
    /// Number of lost paths.
    #[must_use]
    pub fn lost(&self) -> usize {
        self.lost.len()
    }

    /// How a request gets to an upstream of a service.
    #[must_use]
    pub fn path(&self, index: UpstreamIndex, service: &str) -> Path {
        match self.lost.contains_key(&index) || self.is_service_lost(service) {
            true => Path::ThroughPeer,
            false => Path::Direct,
        }
    }

    /// Whether this daemon has lost a path to any upstream of a service.
    #[must_use]
    pub fn is_impaired(&self, service: &str) -> bool {
        self.lost.values().any(|lost| *lost.service == *service)
    }

    fn is_service_lost(&self, service: &str) -> bool {
        self.silent.get(service).is_some_and(SilentService::is_lost)
    }

    /// Whether an open connection to an upstream, last read at `heard_at`, can be expected to work.
    #[must_use]
    pub fn trusts_open_connection(
        &self,
        index: UpstreamIndex,
        service: &str,
        heard_at: Time,
    ) -> bool {
        if let Some(lost) = self.lost.get(&index) {
            let is_heard = lost.heard_at.is_some_and(|at| at >= lost.since);
            return lost.failure == DirectFailure::Reset || is_heard;
        }
        let silent = self.silent.get(service);
        silent.is_none_or(|silent| !silent.is_lost() && heard_at >= silent.latest_at)
    }

    /// Whether a request that waits on a direct connection is to be given up: the path was lost to
    /// silence, and nothing was read there since.
    #[must_use]
    pub fn is_silent(
        &self,
        now: Time,
        index: UpstreamIndex,
        service: &str,
        heard_at: Time,
    ) -> bool {
        let is_over = |since: Time| heard_at < since && now.since(since) >= SILENCE;
        if let Some(lost) = self.lost.get(&index) {
            let is_silent = lost.failure == DirectFailure::TimedOut && lost.heard_at.is_none();
            return is_silent && is_over(lost.since);
        }
        let silent = self.silent.get(service).filter(|silent| silent.is_lost());
        silent.is_some_and(|silent| is_over(silent.first_at))
    }

    /// Records that a peer reached an upstream of `service` to which a direct connection, begun at
    /// `since`, could not be opened. Returns whether the path was not known to be lost.
    pub fn record_lost(
        &mut self,
        index: UpstreamIndex,
        service: &Arc<str>,
        failure: DirectFailure,
        since: Time,
    ) -> bool {
        self.unreached.remove(&index);
        if self.lost.contains_key(&index) {
            return false;
        }
        let lost = LostPath {
            service: Arc::clone(service),
            failure,
            since,
            heard_at: None,
        };
        self.lost.insert(index, lost);
        if failure == DirectFailure::TimedOut {
            let silent = self.silent.entry(Arc::clone(service));
            let silent = silent.or_insert(SilentService {
                paths: 0,
                first_at: since,
                latest_at: since,
                heard_at: None,
            });
            silent.paths += 1;
            silent.latest_at = silent.latest_at.max(since);
        }
        true
    }

    /// Records that something was read on a direct connection.
    pub fn record_heard(&mut self, now: Time, index: UpstreamIndex, service: &str) {
        if self.lost.is_empty() {
            return;
        }
        if let Some(lost) = self.lost.get_mut(&index) {
            lost.heard_at = Some(now);
        }
        if let Some(silent) = self.silent.get_mut(service) {
            silent.heard_at = Some(now);
        }
    }

    /// Records that a direct connection to an upstream was opened. Returns whether its path was
    /// lost.
    pub fn record_reached(&mut self, now: Time, index: UpstreamIndex, service: &str) -> bool {
        self.unreached.remove(&index);
        if let Some(silent) = self.silent.get_mut(service) {
            silent.heard_at = Some(now);
        }
        self.forget(index)
    }

    /// Records that neither this daemon nor a peer reached an upstream.
    pub fn record_unreached(&mut self, now: Time, index: UpstreamIndex) {
        self.forget(index);
        self.unreached.insert(index, now + UNREACHED_PAUSE);
    }

    /// Whether peers may be asked for an upstream.
    #[must_use]
    pub fn may_ask_peers(&self, now: Time, index: UpstreamIndex) -> bool {
        let until = self.unreached.get(&index);
        until.is_none_or(|until| now.has_reached(*until))
    }

    /// The next upstream whose path is to be probed: each lost one in turn.
    pub fn next_probe(&mut self) -> Option<UpstreamIndex> {
        let after = self.last_probed;
        let mut later = self.lost.keys().filter(|index| Some(**index) > after);
        let next = later.next().or_else(|| self.lost.keys().next()).copied();
        self.last_probed = next;
        next
    }

    /// Forgets upstreams that are not `known`.
    pub fn retain(&mut self, now: Time, known: impl Fn(UpstreamIndex) -> bool) {
        let gone = self.lost.keys().filter(|index| !known(**index));
        for index in gone.copied().collect::<Vec<_>>() {
            self.forget(index);
        }
        self.unreached.retain(|_, until| !now.has_reached(*until));
    }

    fn forget(&mut self, index: UpstreamIndex) -> bool {
        let Some(lost) = self.lost.remove(&index) else {
            return false;
        };
        if lost.failure == DirectFailure::TimedOut
            && let Some(silent) = self.silent.get_mut(&lost.service)
        {
            silent.paths -= 1;
            if silent.paths == 0 {
                self.silent.remove(&lost.service);
            }
        }
        true
    }
}
