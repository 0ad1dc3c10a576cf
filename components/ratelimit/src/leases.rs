//! Leases of single requests: a daemon without a share of a bound sends one request by another
//! daemon's share.
//!
//! Bounds that hold for the whole fleet are divided among daemons, and callers are not. So a daemon
//! whose share is used up asks one that has a share for a single request, and sends it itself once it
//! was granted; the lender counts it as its own. Nothing is reserved: shares go to whoever asks first,
//! callers of the lender included, so each daemon gets them in proportion to what its callers ask for.
//! The bound holds as without leases, since each share is still counted by the one daemon that has it.
//!
//! A reply says from when on the lender may send next. Until then it is not asked again, so most of the
//! requests that no share is left for are refused without a message.

use std::collections::HashMap;

use types::prelude::*;

use crate::advertised::InstanceKey;
use crate::fleet::DaemonKey;

/// Replies kept. The oldest matter least: they have mostly expired.
const MAX_REPLIES: usize = 8_192;

/// A lender's reply to a daemon that asked for one request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseReply {
    /// Whether the request may be sent.
    pub is_granted: bool,
    /// When the lender may grant the next one.
    pub ready_at: Time,
}

/// When other daemons may grant the next request.
#[derive(Debug, Default)]
pub struct Lenders {
    ready_at: HashMap<(DaemonKey, InstanceKey), Time>,
    /// Daemons that did not reply, and until when they are not asked.
    ejected: HashMap<DaemonKey, Time>,
}

impl Lenders {
    /// Whether a daemon may grant a request to an upstream, as far as is known.
    #[must_use]
    pub fn is_ready(&self, now: Time, lender: DaemonKey, instance: InstanceKey) -> bool {
        self.ready_at(now, lender, instance) <= now
    }

    /// Returns when a daemon may grant a request to an upstream, as far as is known.
    #[must_use]
    pub fn ready_at(&self, now: Time, lender: DaemonKey, instance: InstanceKey) -> Time {
        let ready_at = self.ready_at.get(&(lender, instance)).copied();
        let ejected_until = self.ejected.get(&lender).copied();
        ready_at.max(ejected_until).unwrap_or(now)
    }

    /// Records when a daemon may grant the next request to an upstream.
    pub fn record_reply(
        &mut self,
        now: Time,
        lender: DaemonKey,
        instance: InstanceKey,
        ready_at: Time,
    ) {
        if self.ready_at.len() >= MAX_REPLIES {
            self.ready_at.retain(|_, ready_at| *ready_at > now);
        }
        if self.ready_at.len() >= MAX_REPLIES {
            self.ready_at.clear();
        }
        self.ready_at.insert((lender, instance), ready_at);
    }

    /// Asks a daemon for nothing until then.
    pub fn eject(&mut self, now: Time, lender: DaemonKey, until: Time) {
        self.ejected.retain(|_, until| *until > now);
        self.ejected.insert(lender, until);
    }
}
