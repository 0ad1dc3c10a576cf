//! The lease that a daemon's claims go with.
//!
//! One lease for each daemon and time slot is shared by all claims made in the slot, so that
//! grants are a call an hour and not one a request. It is never renewed: it outlives the daemon
//! and lapses by itself, one retry window after the slot's end at the earliest.

use keyvalue::{LeaseId, Outcome, Reply};
use types::prelude::*;

/// Shortest retry window: longer than any request's deadline.
pub const MIN_WINDOW: Span = Span::from_secs(600);
/// Longest retry window.
pub const MAX_WINDOW: Span = Span::from_secs(7 * 24 * 3600);
/// A new lease is asked for when this part of the slot is left.
const ASK_AHEAD: u64 = 4;
/// Wait before a grant without a reply is asked for again.
const ASK_AGAIN: Span = Span::from_secs(1);

/// How long claims last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    /// Callers may repeat a request for this long.
    pub retry: Span,
    /// A lease is used for new claims for this long.
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

/// A lease as a claim uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLease {
    /// The lease.
    pub id: LeaseId,
    /// A claim made with it before then lasts at least the retry window.
    pub use_until: Time,
}

/// Keeps a lease for the present slot.
#[derive(Debug, Clone)]
pub struct LeaseSlots {
    windows: Windows,
    current: Option<ClaimLease>,
    asked_at: Option<Time>,
}

impl LeaseSlots {
    /// Without a lease as yet. The retry window is brought within its bounds.
    #[must_use]
    pub fn new(windows: Windows) -> Self {
        let retry = windows.retry.clamp(MIN_WINDOW, MAX_WINDOW);
        Self {
            windows: Windows { retry, ..windows },
            current: None,
            asked_at: None,
        }
    }

    /// The lease for new claims, if there is one.
    #[must_use]
    pub fn current(&self, now: Time) -> Option<ClaimLease> {
        self.current.filter(|lease| now < lease.use_until)
    }

    /// Forgets a lease that the store may no longer have; to be called when it refuses a
    /// claim's write, or claims would be refused until the slot's end.
    pub fn forget(&mut self, id: LeaseId) {
        self.current = self.current.filter(|lease| lease.id != id);
    }

    /// The call to make now, if any, with the moment to be given back with its outcome.
    #[must_use]
    pub fn poll(&mut self, now: Time) -> Option<(Time, keyvalue::Request)> {
        let ahead = Span(self.windows.slot.0 / ASK_AHEAD);
        let is_fresh = self.current(now + ahead).is_some();
        let is_asked = self.asked_at.is_some_and(|at| now.since(at) < ASK_AGAIN);
        if is_fresh || is_asked {
            return None;
        }
        self.asked_at = Some(now);
        let ttl = self.windows.retry + self.windows.slot;
        Some((now, keyvalue::Request::LeaseGrant { ttl }))
    }

    /// Takes the outcome of a call made at `asked_at`.
    ///
    /// Guards against claims that lapse early: the lease runs from the grant, which may be as
    /// early as the call. A daemon paused in between would take the reply, when it wakes, for
    /// one to a call that it has just made, and use a lease that is nearly or quite over. So
    /// the slot is counted from the call that this reply belongs to. A grant whose reply was
    /// lost lapses by itself.
    pub fn on_outcome(&mut self, asked_at: Time, outcome: &Outcome) {
        let Ok(answer) = outcome else {
            return;
        };
        let Reply::LeaseGranted(id) = answer.reply else {
            return;
        };
        let use_until = asked_at + self.windows.slot;
        let is_longer = |held: ClaimLease| held.use_until < use_until;
        if self.current.is_none_or(is_longer) {
            self.current = Some(ClaimLease { id, use_until });
        }
    }
}
