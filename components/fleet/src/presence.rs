//! This daemon's own entry in the store, by which its peers find it.

use std::net::SocketAddr;

use bytes::Bytes;
use keyvalue::{LeaseId, Op, Outcome, Put, Reply, Request, Txn};
use types::prelude::*;

use crate::entry::DaemonEntry;
use crate::event::Purpose;

/// Lease of the entry. Membership notices by itself that a daemon is gone, so the lease only keeps
/// the list of addresses to join through short.
const LEASE: Span = Span::from_secs(20);
/// Renewal interval, three times within a lease, so that two lost answers do not end it.
const RENEW_INTERVAL: Span = Span::from_secs(6);
/// Delay before a failed call is retried.
const RETRY: Span = Span::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NoLease,
    Leased(LeaseId),
    Entered(LeaseId),
}

/// This daemon's entry and the state of its lease.
#[derive(Debug)]
pub(crate) struct Presence {
    key: String,
    entry: DaemonEntry,
    lease_for: Span,
    state: State,
    due_at: Time,
    is_waiting: bool,
}

impl Presence {
    pub(crate) fn new(key: String, address: SocketAddr, shortest: Span) -> Self {
        Self {
            key,
            entry: DaemonEntry {
                address,
                fleet: 1,
                keys: 0,
            },
            lease_for: LEASE.max(shortest),
            state: State::NoLease,
            due_at: Time::ZERO,
            is_waiting: false,
        }
    }

    /// The next call of the store if one is due; `fleet` and `keys` are the present numbers of
    /// daemons and keys.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        fleet: usize,
        keys: usize,
    ) -> Option<(Purpose, Request)> {
        if let State::Entered(lease) = self.state
            && self.entry.is_outdated(fleet, keys)
        {
            self.state = State::Leased(lease);
            self.due_at = now;
        }
        if self.is_waiting || now < self.due_at {
            return None;
        }
        self.entry.fleet = fleet;
        self.entry.keys = keys;
        self.is_waiting = true;
        Some(match self.state {
            State::NoLease => (
                Purpose::Lease,
                Request::LeaseGrant {
                    ttl: self.lease_for,
                },
            ),
            State::Leased(lease) => (Purpose::Enter, self.entry(lease)),
            State::Entered(lease) => (Purpose::Renew, Request::LeaseKeepAlive(lease)),
        })
    }

    fn entry(&self, lease: LeaseId) -> Request {
        let put = Put {
            key: self.key.clone(),
            value: Bytes::from(self.entry.to_string()),
            lease: Some(lease),
        };
        Request::Txn(Txn {
            compare: Vec::new(),
            success: vec![Op::Put(put)],
            failure: Vec::new(),
        })
    }

    /// Handles the outcome of a call.
    pub(crate) fn on_called(&mut self, now: Time, purpose: &Purpose, outcome: &Outcome) {
        self.is_waiting = false;
        let reply = outcome.as_ref().map(|answer| &answer.reply);
        let (state, due_at) = match (purpose, reply) {
            (Purpose::Lease, Ok(Reply::LeaseGranted(lease))) => (State::Leased(*lease), now),
            (Purpose::Enter, Ok(Reply::Txn(_))) => match self.state {
                State::Leased(lease) => (State::Entered(lease), now + RENEW_INTERVAL),
                other => (other, now + RENEW_INTERVAL),
            },
            (Purpose::Renew, Ok(Reply::LeaseRenewed(Some(_)))) => {
                (self.state, now + RENEW_INTERVAL)
            }
            (Purpose::Renew, Ok(Reply::LeaseRenewed(None))) => (State::NoLease, now),
            (_, Ok(_)) => (State::NoLease, now + RETRY),
            (_, Err(e)) => {
                tracing::info!("presence: {purpose:?} failed; retrying in {RETRY}: {e}");
                // A write under an expired lease is refused; a new lease is right after any failed
                // write.
                let state = match self.state {
                    State::Leased(_) => State::NoLease,
                    other => other,
                };
                (state, now + RETRY)
            }
        };
        self.state = state;
        self.due_at = due_at;
    }
}
