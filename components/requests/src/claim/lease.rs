//! Lease that a daemon's claims are written with.
//!
//! Each daemon uses one lease per time slot for all claims made in the slot, so that it requests a
//! lease once an hour instead of once per request. The lease is never renewed: it outlives the
//! daemon and expires by itself, at the earliest one retry window after the slot's end.

use keyvalue::{LeaseId, Outcome, Reply};
use types::prelude::*;

/// Shortest retry window: longer than any request's deadline.
pub const MIN_WINDOW: Span = Span::from_secs(600);
/// Longest retry window.
pub const MAX_WINDOW: Span = Span::from_secs(7 * 24 * 3600);
/// A new lease is requested when one part in this many of the slot is left.
const REQUEST_AHEAD_DIVISOR: u64 = 4;
/// Delay before an unanswered lease request is retried.
const GRANT_RETRY_DELAY: Span = Span::from_secs(1);

/// How long claims last and leases are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    /// Time for which callers may retry a request.
    pub retry: Span,
    /// Time for which a lease is used for new claims.
    pub slot: Span,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            retry: Span::from_secs(24 * 3600),
            slot: Span::from_secs(3600),
        }
    }
}

/// Lease for new claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLease {
    /// Id of the lease in the store.
    pub id: LeaseId,
    /// End of use: a claim made before then lasts at least the retry window.
    pub use_until: Time,
}

/// State machine that obtains the lease for each time slot.
#[derive(Debug, Clone)]
pub struct LeaseSlots {
    windows: Windows,
    current: Option<ClaimLease>,
    requested_at: Option<Time>,
}

impl LeaseSlots {
    /// Starts without a lease. The retry window is clamped to [`MIN_WINDOW`] and [`MAX_WINDOW`].
    #[must_use]
    pub fn new(windows: Windows) -> Self {
        let retry = windows.retry.clamp(MIN_WINDOW, MAX_WINDOW);
        Self {
            windows: Windows { retry, ..windows },
            current: None,
            requested_at: None,
        }
    }

    /// Returns the lease for new claims, if there is one.
    #[must_use]
    pub fn current(&self, now: Time) -> Option<ClaimLease> {
        self.current.filter(|lease| now < lease.use_until)
    }

    /// Stops using a lease that the store may no longer have. Must be called when the store
    /// refuses a claim's write; otherwise it would refuse all claims until the slot's end.
    pub fn forget(&mut self, id: LeaseId) {
        self.current = self.current.filter(|lease| lease.id != id);
    }

    /// Returns the store call to make now, if any, and its time, which must be passed to
    /// [`Self::on_outcome`] with the outcome.
    #[must_use]
    pub fn poll(&mut self, now: Time) -> Option<(Time, keyvalue::Request)> {
        let lead = Span(self.windows.slot.0 / REQUEST_AHEAD_DIVISOR);
        let is_fresh = self.current(now + lead).is_some();
        let is_requested = self
            .requested_at
            .is_some_and(|at| now.since(at) < GRANT_RETRY_DELAY);
        if is_fresh || is_requested {
            return None;
        }
        self.requested_at = Some(now);
        let ttl = self.windows.retry + self.windows.slot;
        Some((now, keyvalue::Request::LeaseGrant { ttl }))
    }

    /// Takes the outcome of the store call made at `requested_at`.
    ///
    /// The slot is counted from the call that the reply belongs to, because the lease runs from its
    /// grant, which may be as early as that call. A daemon that was paused between call and reply
    /// may make another call before it reads the reply; counted from the later call, the slot would
    /// outlast a lease that has nearly or fully expired, and claims would expire early. A granted
    /// lease whose reply was lost expires by itself.
    pub fn on_outcome(&mut self, requested_at: Time, outcome: &Outcome) {
        let Ok(answer) = outcome else {
            return;
        };
        let Reply::LeaseGranted(id) = answer.reply else {
            return;
        };
        let use_until = requested_at + self.windows.slot;
        let ends_before = |held: ClaimLease| held.use_until < use_until;
        if self.current.is_none_or(ends_before) {
            self.current = Some(ClaimLease { id, use_until });
        }
    }
}
