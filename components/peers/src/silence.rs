//! Log lines about peers that do not answer.
//!
//! One line is logged when a peer stops answering and one when it answers again, with the number
//! of calls that timed out in between. A line for each call would match the fleet's message rate
//! and crowd out all other lines. A network partition silences many peers at once; only some of
//! them are named and the rest are counted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::handle::Shared;

/// Maximum number of lines about unresponsive peers in one [`LOG_SPAN`]; the next line written
/// reports how many were left out.
const MAX_LINES_PER_SPAN: u32 = 4;
/// Period of the limit on lines.
const LOG_SPAN: Duration = Duration::from_secs(1);

/// Limits the rate of log lines, over all connections of a daemon.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    since: Option<Instant>,
    written: u32,
    left_out: u32,
}

impl LogLimiter {
    /// Returns how many lines were left out before this one, or `None` if this one is left out too.
    fn next(&mut self, now: Instant) -> Option<u32> {
        if self.since.is_none_or(|since| now >= since + LOG_SPAN) {
            self.since = Some(now);
            self.written = 0;
        }
        if self.written >= MAX_LINES_PER_SPAN {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[derive(Debug, Clone, Copy)]
struct Outage {
    at: Instant,
    given_up: u64,
}

/// Tracks whether one peer answers.
pub(crate) struct Silence {
    peer: SocketAddr,
    shared: Arc<Shared>,
    outage: Mutex<Option<Outage>>,
}

impl Silence {
    /// Creates the state of a peer that is assumed to answer.
    pub(crate) fn new(peer: SocketAddr, shared: Arc<Shared>) -> Self {
        Self {
            peer,
            shared,
            outage: Mutex::new(None),
        }
    }

    /// Records that a call was not answered within `waited`.
    pub(crate) fn record_timeout(&self, call: &str, waited: Duration) {
        let now = Instant::now();
        let mut outage = self.outage.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(outage) = &mut *outage {
            outage.given_up += 1;
            return;
        }
        *outage = Some(Outage {
            at: now.checked_sub(waited).unwrap_or(now),
            given_up: 1,
        });
        self.shared.counts.silent.add(1);
        let silent = self.shared.counts.silent.get();
        if let Some(left_out) = self.shared.may_log(now) {
            let waited_ms = waited.as_millis();
            tracing::warn!(peer = %self.peer, call, waited_ms, silent, left_out, "peers: peer does not answer");
        }
    }

    /// Records that the peer answered.
    pub(crate) fn record_answer(&self) {
        let mut outage = self.outage.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(Outage { at, given_up }) = outage.take() else {
            return;
        };
        self.shared.counts.silent.decrement();
        let now = Instant::now();
        if let Some(left_out) = self.shared.may_log(now) {
            let silent_ms = now.duration_since(at).as_millis();
            tracing::info!(peer = %self.peer, silent_ms, given_up, left_out, "peers: peer answers again");
        }
    }
}

impl Drop for Silence {
    fn drop(&mut self) {
        let outage = self
            .outage
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        if outage.is_some() {
            self.shared.counts.silent.decrement();
        }
    }
}

impl Shared {
    fn may_log(&self, now: Instant) -> Option<u32> {
        let mut log_limiter = self
            .log_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        log_limiter.next(now)
    }
}
