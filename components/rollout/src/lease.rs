//! The lease that lets one daemon drive a roll-out.
//!
//! It is a key of the store that is bound to a store lease and created only when absent. The
//! revision of its creation is the fencing token, which grows with every holder. The holder counts
//! the lease's duration from before its request, so it stops no later than the time at which the
//! store lets another daemon create the key.

use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, Op, OpReply, Outcome, Put, Range, Reply,
    Request, Txn,
};
use types::prelude::*;

/// Time after its last renewal at which a lease expires.
pub const TTL: Span = Span::from_secs(15);
const RENEW_INTERVAL: Span = Span::from_secs(5);
const RENEW_RETRY_AFTER: Span = Span::from_secs(2);
/// The holder stops this long before its lease expires, since its clock may run a little slow.
const DEADLINE_MARGIN: Span = Span::from_secs(1);
/// Time after which a call without an outcome is given up.
const CALL_TIMEOUT: Span = Span::from_secs(60);

/// A lease that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Id of the store's lease.
    pub lease: LeaseId,
    /// Fencing token, larger than that of any earlier holder.
    pub fencing: u64,
    /// Time from which the holder must not act.
    pub deadline: Time,
    renew_at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not held; the key is read again at this time.
    Free(Time),
    /// Reading who holds it.
    Reading,
    /// Asking the store for a lease, which counts from this time.
    Granting(Time),
    /// Creating the key; if that succeeds, the lease is held until this deadline.
    Creating(LeaseId, Time),
    /// The reply to the creation was lost; reading whether it took effect.
    Confirming(LeaseId, Time),
    /// Held.
    Held(HeldLease),
    /// Held, with a renewal in flight since this time.
    Renewing(HeldLease, Time),
}

/// One daemon's side of the lease of a roll-out: acquires, renews and releases it.
#[derive(Debug)]
pub struct Lease {
    key: String,
    daemon: DaemonId,
    state: State,
    calls: u64,
    give_up_at: Time,
    holder: Option<DaemonId>,
}

/// A call of the store, with the number that its outcome must come back with.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreCall {
    /// Number of the call, counted per daemon and roll-out.
    pub number: u64,
    /// The request to the store.
    pub request: Request,
}

impl Lease {
    /// Creates a lease that is not held.
    #[must_use]
    pub fn new(key: String, daemon: DaemonId) -> Self {
        Self {
            key,
            daemon,
            state: State::Free(Time::ZERO),
            calls: 0,
            give_up_at: Time::NEVER,
            holder: None,
        }
    }

    /// The lease, while it is certain that no other daemon holds it.
    ///
    /// The deadline is before the time at which the store can let a successor create the key, so a
    /// driver that was paused for too long finds that the deadline has passed and does not act.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<HeldLease> {
        match self.state {
            State::Held(held) | State::Renewing(held, _) if now < held.deadline => Some(held),
            _ => None,
        }
    }

    /// The daemon last seen to hold it.
    #[must_use]
    pub fn holder(&self) -> Option<&DaemonId> {
        self.holder.as_ref()
    }

    /// Returns the store call to make now, if any.
    pub fn tick(
        &mut self,
        now: Time,
        wanted: bool,
        standby_rank: Option<u32>,
    ) -> Option<StoreCall> {
        self.drop_expired(now);
        match self.state {
            State::Free(read_at)
                if wanted && standby_rank.is_some() && now.has_reached(read_at) =>
            {
                self.state = State::Reading;
                let range = Range::key(self.key.clone());
                Some(self.call(now, Request::Range(range)))
            }
            State::Held(held) if !wanted => {
                self.set_free(now + TTL);
                Some(self.call(now, Request::LeaseRevoke(held.lease)))
            }
            State::Held(held) if now.has_reached(held.renew_at) => {
                self.state = State::Renewing(held, now);
                Some(self.call(now, Request::LeaseKeepAlive(held.lease)))
            }
            _ => None,
        }
    }

    fn drop_expired(&mut self, now: Time) {
        let has_expired = match self.state {
            State::Held(held) | State::Renewing(held, _) => now.has_reached(held.deadline),
            State::Free(_) => false,
            _ => now.has_reached(self.give_up_at),
        };
        if has_expired {
            self.set_free(now);
        }
    }

    fn set_free(&mut self, read_at: Time) {
        self.state = State::Free(read_at);
        self.holder = None;
    }

    fn call(&mut self, now: Time, request: Request) -> StoreCall {
        self.calls += 1;
        self.give_up_at = now + CALL_TIMEOUT;
        let number = self.calls;
        StoreCall { number, request }
    }

    /// Handles a call's outcome and returns the call that follows, if any. Outcomes of calls that
    /// were given up are ignored.
    pub fn on_outcome(
        &mut self,
        now: Time,
        number: u64,
        outcome: Outcome,
        standby_rank: Option<u32>,
    ) -> Option<StoreCall> {
        if number != self.calls {
            return None;
        }
        let wait = TTL.times(1 + u64::from(standby_rank.unwrap_or(0)));
        match (self.state, outcome) {
            (State::Reading, Ok(answer)) => self.on_key_read(now, &answer, wait),
            (State::Granting(since), Ok(answer)) => self.on_granted(now, since, &answer, wait),
            (State::Creating(lease, end), Ok(answer)) => {
                self.on_created(now, (lease, end), &answer, wait);
                None
            }
            (State::Creating(lease, end), Err(CallError::Unknown(_))) => {
                self.state = State::Confirming(lease, end);
                let range = Range::key(self.key.clone());
                Some(self.call(now, Request::Range(range)))
            }
            (State::Confirming(lease, end), Ok(answer)) => {
                self.on_confirmed(now, (lease, end), &answer, wait);
                None
            }
            (State::Renewing(held, since), outcome) => {
                self.on_renewed(now, held, since, &outcome);
                None
            }
            (State::Held(_) | State::Free(_), _) => None,
            (_, Err(_)) => {
                self.set_free(now + wait);
                None
            }
        }
    }

    fn on_key_read(&mut self, now: Time, answer: &Answer, wait: Span) -> Option<StoreCall> {
        match &answer.reply {
            Reply::Range(found) if found.is_empty() => {
                self.state = State::Granting(now);
                Some(self.call(now, Request::LeaseGrant { ttl: TTL }))
            }
            Reply::Range(found) => {
                self.held_by_other(found.first(), now + wait);
                None
            }
            _ => {
                self.set_free(now + wait);
                None
            }
        }
    }

    fn held_by_other(&mut self, found: Option<&KeyValue>, read_at: Time) {
        self.set_free(read_at);
        self.holder = found.and_then(|kv| {
            let text = std::str::from_utf8(&kv.value).ok()?;
            text.split_once(' ')?.1.parse().ok()
        });
    }

    fn on_granted(
        &mut self,
        now: Time,
        since: Time,
        answer: &Answer,
        wait: Span,
    ) -> Option<StoreCall> {
        let Reply::LeaseGranted(lease) = answer.reply else {
            self.set_free(now + wait);
            return None;
        };
        self.state = State::Creating(lease, since + TTL - DEADLINE_MARGIN);
        let put = Put {
            key: self.key.clone(),
            value: self.value(lease).into(),
            lease: Some(lease),
        };
        let txn = Txn {
            compare: vec![Compare::Absent(self.key.clone())],
            success: vec![Op::Put(put)],
            failure: vec![Op::Range(Range::key(self.key.clone()))],
        };
        Some(self.call(now, Request::Txn(txn)))
    }

    /// The key's value: the lease id identifies this attempt, the daemon's name is for operators.
    fn value(&self, lease: LeaseId) -> String {
        format!("{} {}", lease.0, self.daemon)
    }

    fn on_created(
        &mut self,
        now: Time,
        (lease, end): (LeaseId, Time),
        answer: &Answer,
        wait: Span,
    ) {
        match &answer.reply {
            Reply::Txn(reply) if reply.succeeded => {
                self.set_held(lease, fencing_token(answer.revision.0), end, now);
            }
            Reply::Txn(reply) => {
                let found = reply.replies.iter().find_map(|reply| match reply {
                    OpReply::Range(found) => found.first(),
                    _ => None,
                });
                self.held_by_other(found, now + wait);
            }
            _ => self.set_free(now + wait),
        }
    }

    fn on_confirmed(
        &mut self,
        now: Time,
        (lease, end): (LeaseId, Time),
        answer: &Answer,
        wait: Span,
    ) {
        let found = match &answer.reply {
            Reply::Range(found) => found.first(),
            _ => None,
        };
        let own_value = self.value(lease);
        match found {
            Some(kv) if kv.value == own_value.as_bytes() => {
                self.set_held(lease, fencing_token(kv.mod_revision.0), end, now);
            }
            found => self.held_by_other(found, now + wait),
        }
    }

    fn set_held(&mut self, lease: LeaseId, fencing: u64, deadline: Time, now: Time) {
        self.state = State::Held(HeldLease {
            lease,
            fencing,
            deadline,
            renew_at: now + RENEW_INTERVAL,
        });
        self.holder = Some(self.daemon.clone());
    }

    fn on_renewed(&mut self, now: Time, held: HeldLease, since: Time, outcome: &Outcome) {
        let still_held = match outcome {
            Ok(Answer {
                reply: Reply::LeaseRenewed(left),
                ..
            }) => Some(left.is_some()),
            _ => None,
        };
        match still_held {
            Some(true) => {
                self.state = State::Held(HeldLease {
                    deadline: since + TTL - DEADLINE_MARGIN,
                    renew_at: since + RENEW_INTERVAL,
                    ..held
                });
            }
            Some(false) => self.set_free(now),
            // The renewal failed, but the lease holds until its deadline.
            None => {
                let renew_at = now + RENEW_RETRY_AFTER;
                self.state = State::Held(HeldLease { renew_at, ..held });
            }
        }
    }
}

fn fencing_token(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or(0)
}
