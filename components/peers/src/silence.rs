//! Lines about peers that do not take what they are sent.
//!
//! One when a peer falls silent and one when it answers again, with what was given up between:
//! a line for each call would be the fleet's messages of a second, and leave no room for
//! any other line. Behind a cut many fall silent at once; of these some are named and the
//! rest are counted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::handle::Shared;

/// Lines about silent peers in [`LOG_SPAN`] at most; the next one tells how many were left out.
const MAX_LOGGED: u32 = 4;
/// The bound on lines is for this long.
const LOG_SPAN: Duration = Duration::from_secs(1);

/// Lines written of late, by all connections of a daemon.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    since: Option<Instant>,
    written: u32,
    left_out: u32,
}

impl Lines {
    /// Whether a line may be written now, and how many were left out before it.
    fn next(&mut self, now: Instant) -> Option<u32> {
        if self.since.is_none_or(|since| now >= since + LOG_SPAN) {
            self.since = Some(now);
            self.written = 0;
        }
        if self.written >= MAX_LOGGED {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[derive(Debug, Clone, Copy)]
struct Since {
    at: Instant,
    given_up: u64,
}

/// Whether one peer answers.
pub(crate) struct Silence {
    peer: SocketAddr,
    shared: Arc<Shared>,
    since: Mutex<Option<Since>>,
}

impl Silence {
    /// A peer that is taken to answer.
    pub(crate) fn towards(peer: SocketAddr, shared: Arc<Shared>) -> Self {
        Self {
            peer,
            shared,
            since: Mutex::new(None),
        }
    }

    /// Notes that a call was not answered within `waited`.
    pub(crate) fn goes_on(&self, call: &str, waited: Duration) {
        let now = Instant::now();
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(since) = &mut *since {
            since.given_up += 1;
            return;
        }
        *since = Some(Since {
            at: now.checked_sub(waited).unwrap_or(now),
            given_up: 1,
        });
        self.shared.counts.silent.add(1);
        let silent = self.shared.counts.silent.get();
        if let Some(left_out) = self.shared.may_log(now) {
            let waited_ms = waited.as_millis();
            tracing::warn!(peer = %self.peer, call, waited_ms, silent, left_out, "peers: does not answer");
        }
    }

    /// Notes that the peer answered.
    pub(crate) fn ends(&self) {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(Since { at, given_up }) = since.take() else {
            return;
        };
        self.shared.counts.silent.less();
        let now = Instant::now();
        if let Some(left_out) = self.shared.may_log(now) {
            let silent_ms = now.duration_since(at).as_millis();
            tracing::info!(peer = %self.peer, silent_ms, given_up, left_out, "peers: answers again");
        }
    }
}

impl Drop for Silence {
    fn drop(&mut self) {
        let since = self.since.get_mut().unwrap_or_else(PoisonError::into_inner);
        if since.is_some() {
            self.shared.counts.silent.less();
        }
    }
}

impl Shared {
    fn may_log(&self, now: Instant) -> Option<u32> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.next(now)
    }
}
